//! The table from a request's state to the run state of its refusal.

use topazmount_types::RunState;

/// How far a completion request has come, over all its attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// An attempt was handed to an engine that has not said that it did not accept it.
    pub handed_over: bool,
    /// An engine accepted an attempt.
    pub accepted: bool,
    /// Tokens came.
    pub has_tokens: bool,
}

/// Run state of a refusal.
pub(crate) fn run_state(progress: Progress) -> RunState {
    match progress {
        Progress { has_tokens: true, .. } | Progress { accepted: true, .. } => RunState::Ran,
        Progress { handed_over: true, .. } => RunState::Unknown,
        _ => RunState::NotRun,
    }
}
