//! Perfect knowledge of every cache and queue, as an upper bound for policies.

use crate::engine::EngineCore;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use topazmount_routing::{Oracle, RouteRequest};
use topazmount_types::ReplicaId;

/// All engines of a deployment.
pub struct EngineOracle {
    engines: HashMap<ReplicaId, Arc<Mutex<EngineCore>>>,
    block_tokens: u32,
}

impl EngineOracle {
    /// An oracle over these engines.
    pub fn new(engines: HashMap<ReplicaId, Arc<Mutex<EngineCore>>>, block_tokens: u32) -> Self {
        EngineOracle { engines, block_tokens }
    }
}

impl Oracle for EngineOracle {
    fn cached_tokens(&self, replica: ReplicaId, request: &RouteRequest<'_>) -> u32 {
        let Some(engine) = self.engines.get(&replica) else { return 0 };
        let engine = engine.lock().expect("the simulator has one thread");
        engine.cache().prefix_length(request.blocks) as u32 * self.block_tokens
    }

    fn waiting_tokens(&self, replica: ReplicaId) -> f64 {
        let Some(engine) = self.engines.get(&replica) else { return 0.0 };
        let engine = engine.lock().expect("the simulator has one thread");
        f64::from(engine.load().waiting_tokens)
    }
}
