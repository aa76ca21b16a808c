//! Commands and state as legacy builds read them.

use serde::Deserialize;
use serde::de::IgnoredAny;
use topazmount_consensus::{Envelope, Message, Payload, SharedDisk, Wal};

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

/// Errors of commands in a message that legacy builds can't read.
pub fn unreadable_commands(envelope: &Envelope) -> Vec<String> {
    let Message::Append { entries, .. } = &envelope.message else { return Vec::new() };
    let read = entries.iter().filter_map(|entry| match &entry.payload {
        Payload::Command(bytes) => rmp_serde::from_slice::<TimedCommand>(bytes).err(),
        _ => None,
    });
    read.map(|error| error.to_string()).collect()
}

#[derive(Deserialize)]
struct ControlState {
    #[serde(rename = "time")]
    _time: u64,
    #[serde(rename = "configuration")]
    _configuration: IgnoredAny,
    #[serde(rename = "ledger")]
    _ledger: IgnoredAny,
    #[serde(rename = "fleet")]
    _fleet: FleetState,
}

#[derive(Deserialize)]
struct FleetState {
    #[serde(rename = "document")]
    _document: IgnoredAny,
    #[serde(rename = "instances")]
    _instances: IgnoredAny,
    #[serde(rename = "revision")]
    _revision: u64,
    #[serde(rename = "removals")]
    _removals: IgnoredAny,
    #[serde(rename = "forgotten_to")]
    _forgotten_to: u64,
    #[serde(rename = "weights")]
    _weights: IgnoredAny,
    #[serde(rename = "crashes")]
    _crashes: IgnoredAny,
}

/// Error if legacy builds can't read the state on a disk.
pub fn unreadable_state(disk: SharedDisk) -> Option<String> {
    let (_, recovered) = Wal::open(disk).unwrap();
    let read = rmp_serde::from_slice::<ControlState>(&recovered.snapshot.data);
    read.err().map(|error| error.to_string())
}
