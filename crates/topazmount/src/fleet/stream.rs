//! Splits an event stream into events.

/// Largest event. A replica in trouble may send one without end.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers bytes and returns complete events, each with the blank line that ends it.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that contain no event end.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes to the buffer.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer.
    pub(super) fn next(&mut self) -> Option<Vec<u8>> {
        let start = self.searched.saturating_sub(3);
        let found = event_end(&self.buffer[start..]).map(|end| start + end);
        match found {
            Some(end) => {
                self.searched = 0;
                Some(self.buffer.drain(..end).collect())
            }
            None => {
                self.searched = self.buffer.len();
                None
            }
        }
    }

    /// Whether the bytes after the last complete event are more than an event may have.
    pub(super) fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Takes the bytes after the last complete event.
    pub(super) fn take_remainder(&mut self) -> Vec<u8> {
        self.searched = 0;
        std::mem::take(&mut self.buffer)
    }

    /// Whether there is a part of an event after the last complete one.
    pub(super) fn has_partial_event(&self) -> bool {
        !self.buffer.iter().all(u8::is_ascii_whitespace)
    }
}

/// Position after the first blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (plain, crlf) {
        (Some(left), Some(right)) => Some(left.min(right)),
        (left, right) => left.or(right),
    }
}
