//! Judges of what must always hold, outside the code under test.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use topazmount_types::{Digest, Revision, Time};

/// Time after which a leaving engine must get no new work.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Time within which an accepted configuration is in force on every node that can be reached.
pub const CONFIGURATION_LIMIT: Duration = Duration::from_secs(8);
/// Time beyond a deadline by which the caller must have its answer.
pub const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Most violations that a run keeps.
const MAX_KEPT: usize = 20;

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// No reuse of a cached block of a dead engine, another tenant or older weights.
    CacheTruth,
    /// Streams are complete and in order.
    WholeStreams,
    /// Each caller gets the answer to its own request.
    OwnAnswer,
    /// Every request gets one terminal answer by its deadline.
    OneAnswer,
    /// `not_run` means that nothing ran.
    TrueNotRun,
    /// A call runs at most once.
    AtMostOnce,
    /// A leaving engine gets no new work after a few seconds.
    NoWorkForLeaving,
    /// A planned stop cuts no request.
    CleanStop,
    /// Configurations are in force in time.
    ConfigurationInForce,
    /// Configurations never go back, and equal revisions are equal texts.
    ConfigurationForward,
    /// Of two changes with the same expected revision one is accepted.
    OneWinner,
    /// An accepted change, a recorded claim or result stays.
    Durability,
    /// At most one member holds the lease.
    OneLeader,
}

impl Invariant {
    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Invariant::CacheTruth => "cache-truth",
            Invariant::WholeStreams => "whole-streams",
            Invariant::OwnAnswer => "own-answer",
            Invariant::OneAnswer => "one-answer",
            Invariant::TrueNotRun => "true-not-run",
            Invariant::AtMostOnce => "at-most-once",
            Invariant::NoWorkForLeaving => "no-work-for-leaving",
            Invariant::CleanStop => "clean-stop",
            Invariant::ConfigurationInForce => "configuration-in-force",
            Invariant::ConfigurationForward => "configuration-forward",
            Invariant::OneWinner => "one-winner",
            Invariant::Durability => "durability",
            Invariant::OneLeader => "one-leader",
        }
    }
}

/// A broken invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// When.
    pub at: Time,
    /// Which.
    pub invariant: Invariant,
    /// What happened.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.at.0 as f64 / 1e6;
        write!(formatter, "{seconds:.3} s: {}: {}", self.invariant.as_str(), self.detail)
    }
}

/// Violations found so far, and what judges remember of the past.
#[derive(Debug, Default)]
pub struct Checks {
    /// The first ones.
    pub kept: Vec<Violation>,
    /// All, by invariant.
    pub counts: BTreeMap<Invariant, u64>,
    digests: BTreeMap<Revision, Digest>,
    winners: BTreeMap<Revision, Digest>,
    newest_accepted: Revision,
}

impl Checks {
    /// Notes a violation.
    pub fn violated(&mut self, at: Time, invariant: Invariant, detail: String) {
        *self.counts.entry(invariant).or_default() += 1;
        if self.kept.len() < MAX_KEPT {
            self.kept.push(Violation { at, invariant, detail });
        }
    }

    /// Number of violations.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// A place has a configuration in force.
    pub fn saw_configuration(&mut self, at: Time, revision: Revision, digest: Digest) {
        let known = *self.digests.entry(revision).or_insert(digest);
        if known != digest {
            let detail = format!("revision {revision} stands for two texts");
            self.violated(at, Invariant::ConfigurationForward, detail);
        }
    }

    /// A change was accepted against `expected`, as `accepted`.
    pub fn accepted(&mut self, at: Time, expected: Revision, accepted: Revision, request: Digest) {
        let winner = *self.winners.entry(expected).or_insert(request);
        if winner != request {
            let detail = format!("two changes against revision {expected} were accepted");
            self.violated(at, Invariant::OneWinner, detail);
        }
        self.newest_accepted = self.newest_accepted.max(accepted);
    }

    /// Newest revision that an operator was told of.
    pub fn newest_accepted(&self) -> Revision {
        self.newest_accepted
    }
}
