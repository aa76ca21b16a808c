//! The replicated state machine.

use crate::configuration::Configuration;
use crate::fleet::{FleetCommand, FleetState};
use crate::ledger::{ActionResult, ClaimId, ClaimOutcome, Ledger};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use topazmount_settings::{FileDelta, SourceFiles};
use topazmount_types::{ActionKey, Digest, Revision, Time};

/// A change to the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration.
    Configure {
        /// Revision that the author saw.
        expected: Revision,
        /// Tells a resend from another change.
        request: Digest,
        /// What changes in the texts of that revision. All texts would make the log grow by
        /// megabytes with each change.
        deltas: Vec<FileDelta>,
    },
    /// Claims a key.
    Claim {
        /// Key.
        key: ActionKey,
        /// Claim.
        claim: ClaimId,
        /// Digest of the call.
        digest: Digest,
        /// Time from now by which the call ends.
        within: Duration,
    },
    /// Records how a call ended.
    Finish {
        /// Key.
        key: ActionKey,
        /// Holder's claim.
        claim: ClaimId,
        /// Result; `None` when the outcome can't be told.
        result: Option<ActionResult>,
        /// How long to keep it.
        retention: Duration,
    },
    /// Gives back a claim that was never dispatched.
    Release {
        /// Key.
        key: ActionKey,
        /// Claim.
        claim: ClaimId,
        /// Digest of the call.
        digest: Digest,
    },
    /// Changes the fleet.
    Fleet(FleetCommand),
}

/// A command with the leader's time, so that all members expire alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimedCommand {
    /// Leader's clock when it was proposed.
    pub at: Time,
    /// The command.
    pub command: Command,
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The configuration is accepted, now or earlier by the same request.
    Configured(Revision),
    /// The configuration is at another revision than expected.
    Conflict(Revision),
    /// Outcome of a claim.
    Claim(ClaimOutcome),
    /// Whether the claimant held the key.
    Finished(bool),
    /// The claim is given back.
    Released,
    /// The fleet is changed.
    FleetChanged,
}

/// All replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Newest time of any command; never goes back.
    pub time: Time,
    /// Configuration.
    pub configuration: Configuration,
    /// Ledger.
    pub ledger: Ledger,
    /// Catalog, replicas and weights.
    #[serde(default)]
    pub fleet: FleetState,
}

impl ControlState {
    /// State of a new group.
    pub fn founding(source: SourceFiles) -> Self {
        ControlState { configuration: Configuration::founding(source), ..ControlState::default() }
    }

    /// Applies one command.
    pub fn apply(&mut self, timed: TimedCommand) -> Reply {
        self.time = self.time.max(timed.at);
        let now = self.time;
        self.ledger.expire(now);
        match timed.command {
            Command::Configure { expected, request, deltas } => {
                match self.configuration.apply(now, expected, request, deltas) {
                    Ok(revision) => Reply::Configured(revision),
                    Err(revision) => Reply::Conflict(revision),
                }
            }
            Command::Claim { key, claim, digest, within } => {
                Reply::Claim(self.ledger.claim(now, key, claim, digest, now + within))
            }
            Command::Finish { key, claim, result, retention } => {
                Reply::Finished(self.ledger.finish(now, key, claim, result, retention))
            }
            Command::Release { key, claim, digest } => {
                self.ledger.release(key, claim, digest);
                Reply::Released
            }
            Command::Fleet(change) => {
                self.fleet.apply(change);
                Reply::FleetChanged
            }
        }
    }
}
