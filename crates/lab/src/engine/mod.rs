//! Model of an inference engine: continuous batching, a bounded block cache, priorities, cancel,
//! resume and a lagging load report. The stand-in process and the simulator share it.
//!
//! docs/MODEL.md names the source of each parameter and what the model leaves out.

mod answer;
mod block_cache;
mod core;
mod parameters;

pub use answer::{answer_length, answer_text, token_text};
pub use block_cache::BlockCache;
pub use core::{EngineCore, EngineEvent, EngineRefusal, Job, JobId};
pub use parameters::EngineParameters;
