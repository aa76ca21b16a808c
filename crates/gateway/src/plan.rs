//! What follows an attempt: another one, or which answer.

use topazmount_types::{ErrorKind, RunState};

/// How an attempt at a replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection came up; no byte was handed over.
    Unreachable,
    /// The replica said that it did not run the request.
    NotRun,
    /// The same, and it asked for rest.
    PushedBack,
    /// It asked for rest, said that it leaves, or ended after it was chosen: no byte of this attempt was handed over.
    NotSent,
    /// Another replica has the address, and said so.
    WrongInstance,
    /// The replica did not run the request, since it holds other weights than that named; it is asked again, with what is
    /// believed of it now.
    VersionMismatch,
    /// The replica did not run the request, since it holds older weights than that named.
    OutdatedWeights,
    /// The connection ended, or something that is no answer came, after bytes were handed over.
    Broken,
    /// A whole answer that reports a failure came.
    Failed,
    /// Nothing came for so long that another replica is tried; the budget has allowed that.
    Unresponsive,
    /// Nothing came, and the replica must not begin any more, but nothing may be repeated either.
    Abandoned,
    /// The time of the request is over.
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
            AttemptEnd::Unresponsive => "Silent",
            AttemptEnd::Abandoned => "Abandoned",
            AttemptEnd::TimedOut => "TimedOut",
        }
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another replica; else give this answer.
    Retry {
        /// Answer when it can't be sent again.
        fallback: ErrorKind,
        /// Whether the budget must allow it, since an earlier attempt arrived at a replica.
        needs_budget: bool,
    },
    /// Pass the replica's failure on as it is, unless the budget allows another attempt.
    RetryOrForward,
    /// Pass the replica's failure on as it is.
    Forward,
    /// Give this answer.
    Respond(ErrorKind),
}

/// One request's attempts. Invariant: a request that may not be repeated is never sent again once
/// a replica may have begun work on it, and an answer that promises "not run" is given only where
/// every replica that was sent the request said so, or no byte reached one.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    is_retryable: bool,
    attempts_left: u32,
    may_have_run: bool,
    has_arrived: bool,
    /// Names of the incarnations tried: what reached an earlier one may run there or have run, and says nothing of the next.
    tried: Vec<String>,
    /// Name of the one incarnation that may be sent the request next.
    pinned_to: Option<String>,
    /// Whether the incarnation tried last was asked again already, so that weights that change all the time hold nobody.
    was_asked_again: bool,
}

impl RequestPlan {
    /// A request that may be sent to `attempts` replicas.
    pub fn new(is_repeatable: bool, attempts: u32) -> Self {
        let attempts_left = attempts.max(1);
        RequestPlan {
            is_retryable: is_repeatable,
            attempts_left,
            may_have_run: false,
            has_arrived: false,
            tried: Vec::new(),
            pinned_to: None,
            was_asked_again: false,
        }
    }

    /// Names of the incarnations tried so far.
    pub fn tried(&self) -> &[String] {
        &self.tried
    }

    /// Name of the incarnation that must be sent the request next, if not any other may be.
    pub fn pinned_to(&self) -> Option<&String> {
        self.pinned_to.as_ref()
    }

    /// Whether the request may run more than once.
    pub fn is_retryable(&self) -> bool {
        self.is_retryable
    }

    /// Whether another replica may be sent the request although one has it.
    pub fn may_resend(&self) -> bool {
        self.is_retryable && self.attempts_left > 0
    }

    /// Whether a replica may have begun work on the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// What an answer may say about the request.
    pub fn run_state(&self) -> RunState {
        if self.may_have_run { RunState::Unknown } else { RunState::NotRun }
    }

    /// Notes that an attempt begins at an incarnation of a replica, by its name.
    pub fn begin(&mut self, incarnation: String) {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.was_asked_again = self.pinned_to.as_ref() == Some(&incarnation);
        self.tried.push(incarnation);
        self.pinned_to = None;
    }

    /// Lets go of the incarnation that the request was held to, which is there no more. Returns whether another replica may
    /// be sent it.
    pub fn unpin(&mut self) -> bool {
        let Some(held_to) = self.pinned_to.take() else { return false };
        self.tried.push(held_to);
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.attempts_left > 0
    }

    /// Decides what follows an attempt.
    pub fn end(&mut self, end: AttemptEnd) -> NextStep {
        let may_be_at_work = matches!(
            end,
            AttemptEnd::Broken
                | AttemptEnd::Failed
                | AttemptEnd::Unresponsive
                | AttemptEnd::Abandoned
                | AttemptEnd::TimedOut
        );
        self.may_have_run |= may_be_at_work;
        match end {
            // Nothing was sent, so the replica does not count among those that were sent it.
            AttemptEnd::Unreachable | AttemptEnd::NotSent => self.attempts_left += 1,
            // Nothing runs there; the budget bounds how many are asked.
            AttemptEnd::PushedBack => {
                self.attempts_left += 1;
                self.has_arrived = true;
            }
            // The same replica is asked again, so that no further one counts.
            AttemptEnd::VersionMismatch if !self.was_asked_again => {
                self.attempts_left += 1;
                self.pinned_to = self.tried.pop();
                self.has_arrived = true;
            }
            _ => self.has_arrived = true,
        }
        let may_retry = self.attempts_left > 0 && (self.is_retryable || !self.may_have_run);
        let otherwise = self.refusal();
        match end {
            AttemptEnd::TimedOut => NextStep::Respond(ErrorKind::OutcomeTimedOut),
            AttemptEnd::Failed if may_retry => NextStep::RetryOrForward,
            AttemptEnd::Failed => NextStep::Forward,
            AttemptEnd::Abandoned => NextStep::Respond(otherwise),
            // Allowed before the replica was let go.
            AttemptEnd::Unresponsive if may_retry => {
                NextStep::Retry { fallback: otherwise, needs_budget: false }
            }
            _ if may_retry => {
                NextStep::Retry { fallback: otherwise, needs_budget: self.has_arrived }
            }
            _ => NextStep::Respond(otherwise),
        }
    }

    /// Answer for a request whose time or attempts are over.
    pub fn refusal(&self) -> ErrorKind {
        if self.may_have_run { ErrorKind::OutcomeUnknown } else { ErrorKind::NoReplica }
    }
}
