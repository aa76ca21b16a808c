//! Records in a log file: `length: u32 LE | crc32: u32 LE | payload`.

use crate::log::Entry;
use crate::ready::HardState;
use serde::{Deserialize, Serialize};

/// Bytes of the header before each payload.
const HEADER_LENGTH: usize = 8;

/// A record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// Hard state; replaces earlier ones.
    HardState(HardState),
    /// An entry; one at or before the end of the log truncates the log there.
    Entry(Entry),
}

/// State of a file's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// Ends with a complete record.
    Clean,
    /// Ends with an incomplete write, which starts at this offset.
    Torn(usize),
    /// A complete record follows a damaged one: durable data was lost.
    Corrupt,
}

/// Prepends length and checksum to a payload.
pub(crate) fn frame(payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_LENGTH + payload.len());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// The payload at the start of `bytes` and the length of its record, if the record is complete and
/// undamaged.
pub(crate) fn unframe(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(bytes.get(4..HEADER_LENGTH)?.try_into().ok()?);
    let payload = bytes.get(HEADER_LENGTH..HEADER_LENGTH.checked_add(length)?)?;
    (crc32fast::hash(payload) == checksum).then_some((payload, HEADER_LENGTH + length))
}

pub(crate) fn encode(record: &Record) -> Vec<u8> {
    // Encoding plain data into memory can't fail.
    let payload = rmp_serde::to_vec(record).expect("a record is plain data");
    frame(&payload)
}

/// Reads all records of a file.
pub(crate) fn decode_all(bytes: &[u8]) -> (Vec<Record>, Ending) {
    let mut records = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        let Some((record, length)) = decode_one(&bytes[position..]) else {
            return (records, classify_damage(bytes, position));
        };
        records.push(record);
        position += length;
    }
    (records, Ending::Clean)
}

fn decode_one(bytes: &[u8]) -> Option<(Record, usize)> {
    let (payload, length) = unframe(bytes)?;
    let record = rmp_serde::from_slice(payload).ok()?;
    Some((record, length))
}

/// Distinguishes a torn write from corruption: a torn write has no complete record after it.
fn classify_damage(bytes: &[u8], position: usize) -> Ending {
    let later = position + 1..bytes.len().saturating_sub(HEADER_LENGTH);
    for start in later {
        let is_complete = decode_one(&bytes[start..]).is_some();
        if is_complete {
            return Ending::Corrupt;
        }
    }
    Ending::Torn(position)
}
