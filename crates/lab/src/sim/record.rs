//! What became of each request, for reports.

use crate::workload::Class;
use std::time::Duration;
use topazmount_types::{ErrorKind, Time};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered in full.
    Answered,
    /// Refused with this kind.
    Refused(ErrorKind),
    /// The connection to the node broke.
    Broken,
}

/// One completion request as its caller saw it.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// Class.
    pub class: Class,
    /// Number of the tenant.
    pub tenant: usize,
    /// When it was sent.
    pub sent_at: Time,
    /// Wait for the first token.
    pub first_token: Option<Duration>,
    /// Longest pause between two tokens.
    pub longest_pause: Duration,
    /// Wait for the end.
    pub took: Duration,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Of those, found in cache.
    pub cached_tokens: u32,
    /// How it ended.
    pub outcome: Outcome,
}
