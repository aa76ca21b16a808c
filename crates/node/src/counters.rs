//! What a node counts. Names in `/metrics` are these fields with the prefix `topazmount_`.

use std::collections::BTreeMap;
use topazmount_types::ErrorKind;

/// Counts since the process started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Completion requests that arrived.
    pub chats: u64,
    /// At-most-once calls that arrived.
    pub actions: u64,
    /// Requests answered in full.
    pub answered: u64,
    /// Requests refused, by kind.
    pub refused: BTreeMap<ErrorKind, u64>,
    /// Requests whose caller went away.
    pub callers_gone: u64,
    /// Attempts made at engines.
    pub attempts: u64,
    /// Attempts that failed.
    pub failed_attempts: u64,
    /// Answers that went on at another engine.
    pub resumed: u64,
    /// Replies of attempts that were no longer current, dropped.
    pub late_replies: u64,
    /// Attempts given up because a token was missing.
    pub gaps: u64,
    /// Attempts given up because nothing came for too long.
    pub stalls: u64,
    /// Prompt tokens of answered requests.
    pub prompt_tokens: u64,
    /// Of those, tokens found in cache.
    pub cached_tokens: u64,
    /// Generated tokens relayed.
    pub relayed_tokens: u64,
    /// Claims given back.
    pub claims_released: u64,
    /// Configurations put in force.
    pub configured: u64,
    /// Updates that could not be used.
    pub bad_updates: u64,
}

impl Counters {
    /// Counts a refusal.
    pub fn refuse(&mut self, kind: ErrorKind) {
        *self.refused.entry(kind).or_default() += 1;
    }

    /// All refusals.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Names and values of the plain counters.
    pub fn rows(&self) -> Vec<(&'static str, u64)> {
        vec![
            ("chats", self.chats),
            ("actions", self.actions),
            ("answered", self.answered),
            ("callers_gone", self.callers_gone),
            ("attempts", self.attempts),
            ("failed_attempts", self.failed_attempts),
            ("resumed", self.resumed),
            ("late_replies", self.late_replies),
            ("gaps", self.gaps),
            ("stalls", self.stalls),
            ("prompt_tokens", self.prompt_tokens),
            ("cached_tokens", self.cached_tokens),
            ("relayed_tokens", self.relayed_tokens),
            ("claims_released", self.claims_released),
            ("configured", self.configured),
            ("bad_updates", self.bad_updates),
        ]
    }
}
