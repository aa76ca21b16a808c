//! Error kinds, and the response for each kind.
//!
//! `docs/ERRORS.md` documents the table for callers; a test compares the two.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a request ran at a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte was sent to a back end, or the back end reported that it did not accept the request.
    NotRun,
    /// A back end ran it completely or in part.
    Ran,
    /// It was sent to a back end, and the outcome is unknown.
    Unknown,
}

impl RunState {
    /// Name in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            RunState::NotRun => "not_run",
            RunState::Ran => "ran",
            RunState::Unknown => "unknown",
        }
    }
}

/// Response for an error kind.
struct ErrorResponse {
    name: &'static str,
    status: u16,
    run: RunState,
    retry_after_seconds: Option<u64>,
    exit_status: u8,
}

macro_rules! error_kinds {
    ($($(#[doc = $doc:literal])* $kind:ident => $name:literal, $status:literal, $run:ident, $retry:expr, $exit:literal;)*) => {
        /// Kinds of errors returned to callers and operators.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind { $($(#[doc = $doc])* $kind,)* }

        impl ErrorKind {
            /// All kinds, in table order.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            fn response(self) -> ErrorResponse {
                match self { $(ErrorKind::$kind => ErrorResponse {
                    name: $name,
                    status: $status,
                    run: RunState::$run,
                    retry_after_seconds: $retry,
                    exit_status: $exit,
                },)* }
            }

            /// Meaning, as in `docs/ERRORS.md`.
            pub fn meaning(self) -> &'static str {
                match self { $(ErrorKind::$kind => concat!($($doc),*).trim_ascii(),)* }
            }
        }
    };
}

error_kinds! {
    /// The request is malformed: bad JSON, wrong types, missing or absurd values.
    InvalidRequest => "invalid_request", 400, NotRun, None, 2;
    /// Replicas crashed under this request again and again; it is not sent to another one, and a further try
    /// is of no use.
    CrashesReplicas => "crashes_replicas", 400, NotRun, None, 1;
    /// The API key is missing or unknown.
    Unauthenticated => "unauthenticated", 401, NotRun, None, 2;
    /// A policy program refused the request.
    RefusedByPolicy => "refused_by_policy", 403, NotRun, None, 1;
    /// No such path, model, service or operation, or no record of the key.
    NotFound => "not_found", 404, NotRun, None, 2;
    /// The path does not take this method.
    MethodNotAllowed => "method_not_allowed", 405, NotRun, None, 2;
    /// The caller sent its header or body too slowly.
    CallerTooSlow => "caller_too_slow", 408, NotRun, None, 1;
    /// The idempotency key was used before with a different request.
    KeyReused => "key_reused", 409, NotRun, None, 1;
    /// The call with this key is still running; ask again later.
    InProgress => "in_progress", 409, Unknown, Some(1), 1;
    /// The configuration moved on since the revision that the change expected.
    RevisionConflict => "revision_conflict", 409, NotRun, None, 1;
    /// The call with this key ran, and its result is no longer kept.
    ResultExpired => "result_expired", 410, Ran, None, 1;
    /// The body or the prompt exceeds its bound.
    TooLarge => "too_large", 413, NotRun, None, 2;
    /// The tenant has used its share; other tenants are served.
    TenantLimit => "tenant_limit", 429, NotRun, Some(1), 1;
    /// The request header exceeds its bound.
    HeaderTooLarge => "header_too_large", 431, NotRun, None, 2;
    /// A fault of the router itself.
    Internal => "internal", 500, Unknown, None, 1;
    /// The call was handed over and its outcome can't be told; it won't be run again.
    OutcomeUnknown => "outcome_unknown", 502, Unknown, None, 1;
    /// The stream broke off and no other replica could complete it.
    AnswerIncomplete => "answer_incomplete", 502, Ran, Some(1), 1;
    /// The back end answered with an error.
    BackendFailed => "backend_failed", 502, Ran, Some(1), 1;
    /// More work is waiting than can be served in time.
    Overloaded => "overloaded", 503, NotRun, Some(2), 1;
    /// The process is stopping and takes no new work.
    Draining => "draining", 503, NotRun, Some(1), 1;
    /// No live replica can serve the request now.
    NoReplica => "no_replica", 503, NotRun, Some(1), 1;
    /// It is not known at which software version the stream began, so it can't be resumed.
    UnknownStream => "unknown_stream", 503, NotRun, None, 1;
    /// Replicas crashed under this request or a part of its prompt, which may not be the cause; single
    /// requests are let through until that is known.
    SuspectedOfCrashes => "suspected_of_crashes", 503, NotRun, Some(1), 1;
    /// No live replica runs the software version at which the stream began.
    SoftwareGone => "software_gone", 503, NotRun, Some(1), 1;
    /// The control group could not record the call in time.
    LedgerUnavailable => "ledger_unavailable", 503, NotRun, Some(1), 1;
    /// This process knows no configuration that it may rely on now.
    NoConfiguration => "no_configuration", 503, NotRun, Some(1), 1;
    /// The time of the request, or of the stopping process, ended while a replica may have been at work on it.
    OutcomeTimedOut => "outcome_timed_out", 504, Unknown, None, 1;
    /// The deadline passed before a replica accepted the request.
    DeadlineExceeded => "deadline_exceeded", 504, NotRun, Some(1), 1;
}

impl ErrorKind {
    /// Name in responses and metrics.
    pub fn name(self) -> &'static str {
        self.response().name
    }

    /// HTTP status.
    pub fn status(self) -> u16 {
        self.response().status
    }

    /// Default run state of the kind.
    pub fn run(self) -> RunState {
        self.response().run
    }

    /// Minimum time before a retry can succeed, if it can.
    pub fn retry_after(self) -> Option<Duration> {
        self.response().retry_after_seconds.map(Duration::from_secs)
    }

    /// Exit status of a command that ends with this error.
    pub fn exit_status(self) -> u8 {
        self.response().exit_status
    }
}

/// An error response to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{}: {message}", kind.name())]
pub struct Refusal {
    /// Kind, which determines the status.
    pub kind: ErrorKind,
    /// Message for the caller; never contains prompt text or keys.
    pub message: String,
    /// Whether the request ran.
    pub run: RunState,
    /// Time before a retry can succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal with the default run state and retry time of the kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Refusal { kind, message: message.into(), run: kind.run(), retry_after: kind.retry_after() }
    }

    /// Replaces the run state.
    pub fn with_run(mut self, run: RunState) -> Self {
        self.run = run;
        self
    }

    /// Replaces the retry time.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
