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

impl Command {
    /// The command as all members at a level can apply it.
    pub(crate) fn at_level(self, level: FeatureLevel) -> Self {
        match self {
            Command::Fleet(change) if level < FeatureLevel::INCARNATIONS => {
                Command::Fleet(change.without_incarnation())
            }
            same => same,
        }
    }
}

/// A command with the leader's time, so that all members expire alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimedCommand {
    /// Leader's clock when it was proposed.
    pub at: Time,
    /// The command.
    pub command: Command,
    /// FeatureLevel of the group from this command on, if it is above the one before.
    #[serde(default)]
    pub level: FeatureLevel,
}

/// Which kinds of commands all members can apply. It only rises: a member that can't has no way back into the group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FeatureLevel(pub u8);

impl FeatureLevel {
    /// What the first builds apply.
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
    /// Which kinds of commands all members can apply.
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
