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
    /// Changes the configuration.
    Configure {
        /// Revision that the author saw.
        expected: Revision,
        /// Identifies resends.
        request: Digest,
        /// Changes to the texts of that revision; full texts would make the log grow too fast.
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
        /// Time until the deadline of the call.
        within: Duration,
    },
    /// Records how a call ended.
    Finish {
        /// Key.
        key: ActionKey,
        /// Holder's claim.
        claim: ClaimId,
        /// Result; `None` if the outcome is unknown.
        result: Option<ActionResult>,
        /// How long to keep it.
        retention: Duration,
    },
    /// Releases a claim that was never dispatched.
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

impl Command {
    /// The command as members at this level can apply it.
    pub(crate) fn at_level(self, level: FeatureLevel) -> Self {
        match self {
            Command::Fleet(change) if level < FeatureLevel::INCARNATIONS => {
                Command::Fleet(change.without_incarnation())
            }
            same => same,
        }
    }
}

/// A command with the leader's time, which makes expiry deterministic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimedCommand {
    /// Leader's clock at the proposal.
    pub at: Time,
    /// The command.
    pub command: Command,
    /// Feature level of the group from this command on, if higher than before.
    #[serde(default)]
    pub level: FeatureLevel,
}

/// The kinds of commands that all members can apply. It only rises: a member that can't apply them
/// can't rejoin the group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FeatureLevel(pub u8);

impl FeatureLevel {
    /// Commands of the first builds.
    pub const INITIAL: FeatureLevel = FeatureLevel(0);
    /// Commands that name incarnations of replicas, and those that retire weights.
    pub const INCARNATIONS: FeatureLevel = FeatureLevel(1);
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
    /// The claim is released.
    Released,
    /// The fleet is changed.
    FleetChanged,
}

/// All replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Newest time of any command; never decreases.
    pub time: Time,
    /// Configuration.
    pub configuration: Configuration,
    /// Ledger.
    pub ledger: Ledger,
    /// Catalog, replicas and weights.
    #[serde(default)]
    pub fleet: FleetState,
    /// Feature level of the group.
    #[serde(default)]
    pub level: FeatureLevel,
}

impl ControlState {
    /// State of a new group.
    pub fn founding(source: SourceFiles) -> Self {
        ControlState { configuration: Configuration::founding(source), ..ControlState::default() }
    }

    /// Applies one command.
    pub fn apply(&mut self, timed: TimedCommand) -> Reply {
        self.time = self.time.max(timed.at);
        self.level = self.level.max(timed.level);
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
