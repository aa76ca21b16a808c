//! Records of a log file: `length: u32 LE | crc32: u32 LE | payload`.

use crate::log::Entry;
use crate::ready::HardState;
use serde::{Deserialize, Serialize};

/// Bytes before each payload.
const HEADER: usize = 8;

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// Term and vote; the last one counts.
    HardState(HardState),
    /// An entry; one at or before the end of the log cuts the log there first.
    Entry(Entry),
}

/// How the reading of a file ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// At the end of a whole record.
    Clean,
    /// In a record that was being written when the machine stopped; bytes before it are good.
    Torn(usize),
    /// Whole records follow a damaged one: durable data was lost.
    Corrupt,
}

/// Wraps a payload with its length and checksum.
pub(crate) fn frame(payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER + payload.len());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// The payload at the start of `bytes` and the bytes it takes up, if it is whole and undamaged.
pub(crate) fn unframe(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(bytes.get(4..HEADER)?.try_into().ok()?);
    let payload = bytes.get(HEADER..HEADER.checked_add(length)?)?;
    (crc32fast::hash(payload) == checksum).then_some((payload, HEADER + length))
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
            return (records, ending_of_damage(bytes, position));
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

/// A damaged record with a whole one somewhere after it is not a torn write: writes end in order.
fn ending_of_damage(bytes: &[u8], position: usize) -> Ending {
    let later = position + 1..bytes.len().saturating_sub(HEADER);
    for start in later {
        let is_whole = decode_one(&bytes[start..]).is_some();
        if is_whole {
            return Ending::Corrupt;
        }
    }
    Ending::Torn(position)
}
