//! Commands as the first builds read them.

use serde::Deserialize;
use serde::de::IgnoredAny;
use topazmount_consensus::{Envelope, Message, Payload};

#[derive(Deserialize)]
struct TimedCommand {
    #[serde(rename = "at")]
    _at: u64,
    #[serde(rename = "command")]
    _command: Command,
}

#[derive(Deserialize)]
enum Command {
    Configure(IgnoredAny),
    Claim(IgnoredAny),
    Finish(IgnoredAny),
    Release(IgnoredAny),
    Fleet(FleetCommand),
}

#[derive(Deserialize)]
enum FleetCommand {
    PutDocument(IgnoredAny),
    Register(IgnoredAny),
    Depart(String),
    Expire(String),
    NameWeights(IgnoredAny),
    NoteCrashes(IgnoredAny),
    ForgetCrashes(IgnoredAny),
}

/// Why commands among the entries of a message can't be read.
pub fn unreadable_commands(envelope: &Envelope) -> Vec<String> {
    let Message::Append { entries, .. } = &envelope.message else { return Vec::new() };
    let read = entries.iter().filter_map(|entry| match &entry.payload {
        Payload::Command(bytes) => rmp_serde::from_slice::<TimedCommand>(bytes).err(),
        _ => None,
    });
    read.map(|error| error.to_string()).collect()
}
