//! Parameters of the engine model.

use std::time::Duration;

/// Speed and sizes of one replica. Defaults stand for a 70-billion-parameter model on eight
/// accelerators, see docs/MODEL.md.
#[derive(Clone, Debug)]
pub struct EngineParameters {
    /// Prompt tokens computed in one iteration at most (chunked prefill).
    pub iteration_tokens: u32,
    /// Time of an iteration that does nothing.
    pub iteration_base: Duration,
    /// Time for one prompt token in an iteration.
    pub prefill_token: Duration,
    /// Time for one running answer in an iteration.
    pub decode_sequence: Duration,
    /// Time for a thousand tokens of context of running answers in an iteration.
    pub decode_context: Duration,
    /// Blocks of KV memory.
    pub memory_blocks: usize,
    /// Tokens in a block.
    pub block_tokens: u32,
    /// Answers in the batch at most.
    pub max_running: usize,
    /// Requests that wait for a place in it at most.
    pub max_waiting: usize,
    /// Age of the load that is reported.
    pub load_lag: Duration,
}

impl Default for EngineParameters {
    fn default() -> Self {
        EngineParameters {
            iteration_tokens: 1_024,
            iteration_base: Duration::from_micros(10_000),
            prefill_token: Duration::from_micros(40),
            decode_sequence: Duration::from_micros(100),
            decode_context: Duration::from_micros(5),
            memory_blocks: 400,
            block_tokens: 1_000,
            max_running: 64,
            max_waiting: 128,
            load_lag: Duration::from_millis(200),
        }
    }
}
