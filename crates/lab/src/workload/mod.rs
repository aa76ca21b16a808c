//! Seeded traffic of the two deployments.
//!
//! A prompt is a path in a tree of shared text: what all requests of a tenant begin with, then a
//! topic (a playbook, a catalogue section), then a subject (a shopper, a drawing), then turns of a
//! conversation. Topics and subjects are drawn with Zipf-like heat, which may shift.

mod classes;
mod prompt;
mod trace;
mod traffic;

pub use classes::{Class, ClassShape, Mix};
pub use prompt::{Prompt, PromptPath};
pub use trace::{Trace, read_trace};
pub use traffic::{Arrival, Traffic, TrafficSettings, Work};
