//! Segments: bytes with their length before them, so that the end of a stream can be told from the
//! loss of the process that passes it on.

use std::io;

/// Length of a segment's header, in bytes.
const HEADER: usize = 2;
/// Longest segment.
const MAX_SEGMENT: usize = u16::MAX as usize;
/// Segment that ends a stream.
pub const LAST_SEGMENT: &[u8] = &[0; HEADER];

/// Encodes bytes as segments.
pub fn segments(bytes: &[u8]) -> Vec<u8> {
    let mut encoded = Vec::with_capacity(bytes.len() + HEADER);
    for part in bytes.chunks(MAX_SEGMENT) {
        encoded.extend_from_slice(&(part.len() as u16).to_be_bytes());
        encoded.extend_from_slice(part);
    }
    encoded
}

/// Decodes a stream of segments.
#[derive(Debug, Default)]
pub struct SegmentDecoder {
    header: Vec<u8>,
    /// Bytes left of the current segment.
    left: usize,
    is_ended: bool,
}

impl SegmentDecoder {
    /// Whether the last segment has arrived.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Decodes bytes and appends the result.
    ///
    /// # Errors
    /// If bytes follow the last segment.
    pub fn decode(&mut self, mut bytes: &[u8], decoded: &mut Vec<u8>) -> io::Result<()> {
        while !bytes.is_empty() {
            if self.is_ended {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "data after the last segment",
                ));
            }
            if self.left > 0 {
                let (part, rest) = bytes.split_at(self.left.min(bytes.len()));
                decoded.extend_from_slice(part);
                self.left -= part.len();
                bytes = rest;
                continue;
            }
            self.header.push(bytes[0]);
            bytes = &bytes[1..];
            if let [high, low] = self.header[..] {
                self.left = usize::from(u16::from_be_bytes([high, low]));
                self.is_ended = self.left == 0;
                self.header.clear();
            }
        }
        Ok(())
    }
}
