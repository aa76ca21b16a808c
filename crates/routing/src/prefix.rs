//! Hashes of prompt blocks.
//!
//! A block's hash covers the prompt up to its end, and the tenant, model and weights version that
//! its cached state depends on. Two prompts share a hash only if the engine can share the cached
//! block.

use topazmount_types::{ModelId, TenantId, WeightsVersion};

/// Hashes a prompt block by block.
pub struct BlockHasher {
    chain: [u8; 32],
}

impl BlockHasher {
    /// Starts a hash chain.
    pub fn new(tenant: TenantId, model: ModelId, weights: WeightsVersion) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&tenant.0.to_le_bytes());
        hasher.update(&model.0.to_le_bytes());
        hasher.update(&weights.0.to_le_bytes());
        BlockHasher { chain: *hasher.finalize().as_bytes() }
    }

    /// Hash of the next complete block.
    pub fn next(&mut self, block: &[u8]) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.chain);
        hasher.update(block);
        self.chain = *hasher.finalize().as_bytes();
        u64::from_le_bytes(self.chain[..8].try_into().expect("a hash has 32 bytes"))
    }
}

/// Hashes of all complete blocks of `block_bytes` bytes. An incomplete last block is never cached.
pub fn block_hashes(
    tenant: TenantId,
    model: ModelId,
    weights: WeightsVersion,
    prompt: &[u8],
    block_bytes: usize,
) -> Vec<u64> {
    let mut hasher = BlockHasher::new(tenant, model, weights);
    prompt.chunks_exact(block_bytes).map(|block| hasher.next(block)).collect()
}
