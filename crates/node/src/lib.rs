//! One request's life as a pure state machine: admit, route, dispatch, relay, resume, answer.
//!
//! [`Node`] takes [`NodeInput`]s with the time and returns [`NodeOutput`]s. It opens no socket and
//! reads no clock, so the real process and the simulator drive the same code.

mod action;
mod answer;
mod chat;
mod configuration;
mod control_link;
mod counters;
mod io;
mod membership;
mod node;
mod tenant_limits;
mod timers;

pub use configuration::{InForce, check_source};
pub use counters::Counters;
pub use io::{
    ActionFailure, AttemptFailure, ControlFailure, Dispatch, FinishReason, MachineEntry, NodeInput,
    NodeOutput, RefusalCause, Resume,
};
pub use node::{Node, NodeSettingsCore};
