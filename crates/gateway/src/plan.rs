//! Decides after each attempt of a request whether to retry or which response to send.

use topazmount_types::{ErrorKind, RunState, SoftwareId};

/// How an attempt at a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection could be opened; no byte was sent.
    Unreachable,
    /// The replica reported that it did not run the request.
    NotRun,
    /// The replica reported that it did not run the request, and asked for backoff.
    PushedBack,
    /// The replica pushed back, left or ended after it was chosen; no byte was sent.
    NotSent,
    /// Another replica uses the address, and reported that.
    WrongInstance,
    /// The replica has another version than required and did not run the request; it is retried
    /// with the version that is recorded now.
    VersionMismatch,
    /// The replica has older weights than required and did not run the request.
    OutdatedWeights,
    /// The connection broke, or no valid response came, after bytes were sent.
    Broken,
    /// A complete response that reports a failure.
    Failed,
    /// A complete response that does not continue the stream that the client has a part of.
    NotContinued,
    /// No response came in time, and the budget allows a retry at another replica.
    Unresponsive,
    /// No response came and the replica is excluded by now, but no retry is allowed.
    Abandoned,
    /// The request timed out.
    TimedOut,
}

impl AttemptEnd {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AttemptEnd::Unreachable => "Unreachable",
            AttemptEnd::NotRun => "NotRun",
            AttemptEnd::PushedBack => "TurnedAway",
            AttemptEnd::NotSent => "HeldBack",
            AttemptEnd::WrongInstance => "WrongInstance",
            AttemptEnd::VersionMismatch => "OtherWeights",
            AttemptEnd::OutdatedWeights => "OldWeights",
            AttemptEnd::Broken => "Broken",
            AttemptEnd::Failed => "Failed",
            AttemptEnd::NotContinued => "NotContinued",
            AttemptEnd::Unresponsive => "Silent",
            AttemptEnd::Abandoned => "Abandoned",
            AttemptEnd::TimedOut => "TimedOut",
        }
    }
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another replica, or send the fallback response.
    Retry {
        /// Response if there is no further attempt.
        fallback: ErrorKind,
        /// Whether the retry budget must allow it, as an earlier attempt reached a replica.
        needs_budget: bool,
    },
    /// Forward the replica's failure unless the budget allows a retry.
    RetryOrForward,
    /// Forward the replica's failure.
    Forward,
    /// Send this response.
    Respond(ErrorKind),
}

/// Attempts of one request. Invariant: a request that is not retryable is never sent again once a
/// replica may have started it, and a response promises "not run" only if every replica that
/// received the request reported so.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    is_retryable: bool,
    attempts_left: u32,
    may_have_run: bool,
    /// Whether an attempt has begun and not ended.
    is_attempt_open: bool,
    has_reached_replica: bool,
    /// Names of the incarnations tried.
    tried: Vec<String>,
    /// Name of the only incarnation that may be sent the request next.
    pinned_to: Option<String>,
    /// Whether the last incarnation was already retried; a second version mismatch goes to another
    /// one.
    was_retried: bool,
    /// Whether the client has received a part of the response.
    is_response_begun: bool,
    /// Software version that the replica must run, once the client has a part of the stream.
    software: Option<SoftwareId>,
}

impl RequestPlan {
    /// Creates the plan of a request that may be sent to `attempts` replicas.
    pub fn new(is_retryable: bool, attempts: u32) -> Self {
        let attempts_left = attempts.max(1);
        RequestPlan {
            is_retryable,
            attempts_left,
            may_have_run: false,
            is_attempt_open: false,
            has_reached_replica: false,
            tried: Vec::new(),
            pinned_to: None,
            was_retried: false,
            is_response_begun: false,
            software: None,
        }
    }

    /// Names of the incarnations tried so far.
    pub fn tried(&self) -> &[String] {
        &self.tried
    }

    /// Name of the incarnation that the request is pinned to, if any.
    pub fn pinned_to(&self) -> Option<&String> {
        self.pinned_to.as_ref()
    }

    /// Whether the request may run more than once.
    pub fn is_retryable(&self) -> bool {
        self.is_retryable
    }

    /// Whether the request may be sent to another replica while one has it.
    pub fn may_resend(&self) -> bool {
        self.is_retryable && self.attempts_left > 0
    }

    /// Whether a replica may have started the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Restricts further attempts to a software version, as the client has a part of a stream of it.
    pub fn require_software(&mut self, software: SoftwareId) {
        self.software = Some(software);
    }

    /// Software version that further attempts are restricted to.
    pub fn software(&self) -> Option<SoftwareId> {
        self.software
    }

    /// Records that the client has received a part of the response.
    pub fn begin_response(&mut self) {
        self.is_response_begun = true;
    }

    /// What a response may state about the request.
    pub fn run_state(&self) -> RunState {
        match self.may_have_run || self.is_attempt_open || self.is_response_begun {
            true => RunState::Unknown,
            false => RunState::NotRun,
        }
    }

    /// Records the start of an attempt at an incarnation.
    pub fn begin(&mut self, incarnation: String) {
        self.is_attempt_open = true;
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.was_retried = self.pinned_to.as_ref() == Some(&incarnation);
        self.tried.push(incarnation);
        self.pinned_to = None;
    }

    /// Unpins the request from an incarnation that has ended. Returns whether another replica may
    /// be tried.
    pub fn unpin(&mut self) -> bool {
        let Some(incarnation) = self.pinned_to.take() else { return false };
        self.tried.push(incarnation);
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.attempts_left > 0
    }

    /// Records the end of an attempt and decides what to do next.
    pub fn end(&mut self, end: AttemptEnd) -> NextStep {
        let may_be_running = matches!(
            end,
            AttemptEnd::Broken
                | AttemptEnd::Failed
                | AttemptEnd::NotContinued
                | AttemptEnd::Unresponsive
                | AttemptEnd::Abandoned
                | AttemptEnd::TimedOut
        );
        self.may_have_run |= may_be_running;
        self.is_attempt_open = false;
        match end {
            // Nothing was sent, so the attempt does not count.
            AttemptEnd::Unreachable | AttemptEnd::NotSent => self.attempts_left += 1,
            // The request did not run, so the attempt does not count; the budget limits retries.
            AttemptEnd::PushedBack => {
                self.attempts_left += 1;
                self.has_reached_replica = true;
            }
            // A refusal must not end a response that the client has a part of, so the attempt does not
            // count; the budget limits retries.
            AttemptEnd::NotRun if self.is_response_begun => {
                self.attempts_left += 1;
                self.has_reached_replica = true;
            }
            // The same replica is retried, so the attempt does not count.
            AttemptEnd::VersionMismatch if !self.was_retried => {
                self.attempts_left += 1;
                self.pinned_to = self.tried.pop();
                self.has_reached_replica = true;
            }
            _ => self.has_reached_replica = true,
        }
        let may_retry = self.attempts_left > 0 && (self.is_retryable || !self.may_have_run);
        let fallback = self.refusal();
        match end {
            AttemptEnd::TimedOut => NextStep::Respond(ErrorKind::OutcomeTimedOut),
            AttemptEnd::Failed if may_retry => NextStep::RetryOrForward,
            AttemptEnd::Failed => NextStep::Forward,
            AttemptEnd::Abandoned => NextStep::Respond(fallback),
            // The budget was asked before the attempt ended.
            AttemptEnd::Unresponsive if may_retry => {
                NextStep::Retry { fallback, needs_budget: false }
            }
            _ if may_retry => NextStep::Retry { fallback, needs_budget: self.has_reached_replica },
            _ => NextStep::Respond(fallback),
        }
    }

    /// Response to a request without further attempts.
    pub fn refusal(&self) -> ErrorKind {
        if self.may_have_run { ErrorKind::OutcomeUnknown } else { ErrorKind::NoReplica }
    }
}
