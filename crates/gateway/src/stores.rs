//! Contents of shared stores of prompt parts, as reported by their events.
//!
//! Replicas evict parts within seconds; a store keeps more of them, but over a slower link. Parts
//! are identified by the salt under which they are shared and their own identifier.

use crate::catalog::StoreParameters;
use crate::prompt::Prompt;
use crate::shards::Shard;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use topazmount_routing::rendezvous_weight;
use topazmount_types::{ReplicaId, Start, Time};

/// Maximum number of gateways that follow one store, as it accepts few connections.
pub const MAX_STORE_READERS: usize = 10;
/// Minimum number of shared tokens of a prompt that is saved.
const MIN_SAVED_TOKENS: u32 = 1_000;
/// Time for which a prompt that is being saved is not saved again.
const SAVE_TIME: Duration = Duration::from_secs(3);
/// Tokens that may be missing at the end of a part, as caches store whole blocks.
const BLOCK_SLACK: u32 = 16;

/// Salt under which parts of a prompt are shared.
pub fn cache_salt(version: u32, wall: Option<&str>) -> String {
    format!("v{version}/{}", wall.unwrap_or_default())
}

/// A change of a store's contents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreChange {
    /// Salt of the part.
    pub salt: String,
    /// Hash of the part's identifier.
    pub part: u64,
    /// Tokens of the part that the store holds now.
    pub tokens: u32,
}

/// A page of a store's events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreEvents {
    /// Epoch of the store, which changes when a restart empties it.
    pub epoch: u64,
    /// Start of the store's incarnation, which begins empty; unspecified if the store does not
    /// report it.
    pub start: Start,
    /// Position of the next page.
    pub next: u64,
    /// Whether events between the previous page and this one are lost.
    pub has_gap: bool,
    /// Changes in order.
    pub changes: Vec<StoreChange>,
}

/// What a store holds of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredPrompt {
    /// Address of the store.
    pub address: String,
    /// Number of leading shared parts that it holds.
    pub parts: usize,
    /// Bandwidth of its link, in megabits per second.
    pub link_mbps: f64,
}

#[derive(Clone, Debug)]
struct Store {
    cfg: StoreParameters,
    is_up: bool,
    epoch: u64,
    start: Start,
    next: u64,
    parts: HashMap<(u64, u64), u32>,
    saving: HashMap<(u64, u64), Time>,
}

/// Key of a store within this process; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreKey(u32);

/// The stores of a catalog. A store that is no longer in the catalog leaves an empty slot.
#[derive(Clone, Debug, Default)]
pub struct Stores {
    slots: Vec<Option<Store>>,
}

impl Stores {
    /// Sets the stores of a catalog; the state of those that stay is kept.
    pub fn set(&mut self, configured: impl Iterator<Item = StoreParameters>) {
        let configured: Vec<StoreParameters> = configured.collect();
        for slot in &mut self.slots {
            let is_configured =
                |store: &mut Store| configured.iter().any(|cfg| cfg.address == store.cfg.address);
            slot.take_if(|store| !is_configured(store));
        }
        for cfg in configured {
            let mut stores = self.slots.iter_mut().flatten();
            let known = stores.find(|store| store.cfg.address == cfg.address);
            if let Some(known) = known {
                known.cfg = cfg;
            } else {
                self.slots.push(Some(Store::new(cfg)));
            }
        }
    }

    /// Keys of all stores, with their addresses.
    pub fn keys(&self) -> impl Iterator<Item = (StoreKey, &str)> {
        let stores = self.slots.iter().zip(0..);
        stores
            .filter_map(|(store, key)| Some((StoreKey(key), store.as_ref()?.cfg.address.as_str())))
    }

    /// Position of the next page of a store's events; `None` if there is no such store.
    pub fn position(&self, key: StoreKey) -> Option<u64> {
        self.slots.get(key.0 as usize)?.as_ref().map(|store| store.next)
    }

    /// Applies a page of events. Returns whether the known contents had to be dropped.
    pub fn apply(&mut self, key: StoreKey, page: StoreEvents) -> bool {
        let Some(store) = self.get_mut(key) else { return false };
        let is_reset = page.has_gap || page.epoch != store.epoch || page.start != store.start;
        if is_reset {
            store.parts.clear();
            store.saving.clear();
        }
        store.is_up = true;
        store.epoch = page.epoch;
        store.start = page.start;
        store.next = page.next;
        for change in page.changes {
            let part = (hash_of(&change.salt), change.part);
            match change.tokens {
                0 => store.parts.remove(&part),
                tokens => store.parts.insert(part, tokens),
            };
        }
        is_reset
    }

    /// Records that a store is unreachable; it is not used until it responds. Returns whether it
    /// was reachable before.
    pub fn on_unreachable(&mut self, key: StoreKey) -> bool {
        self.get_mut(key).is_some_and(|store| std::mem::replace(&mut store.is_up, false))
    }

    /// What the prompt's store holds of its shared parts under a salt.
    pub fn find(&self, prompt: &Prompt, shard: Option<Shard>, salt: &str) -> Option<StoredPrompt> {
        let store = self.slots.get(self.key_for(prompt, shard)?.0 as usize)?.as_ref()?;
        let parts = store.depth(prompt, hash_of(salt));
        let StoreParameters { address, link_mbps } = store.cfg.clone();
        Some(StoredPrompt { address, parts, link_mbps })
    }

    /// The store that a replica should save a prompt's parts to; `None` if it is not worthwhile,
    /// the store has all parts, or a save is in progress.
    pub fn select_for_save(
        &mut self,
        prompt: &Prompt,
        shard: Option<Shard>,
        salt: &str,
        now: Time,
    ) -> Option<String> {
        if prompt.shared_tokens() < MIN_SAVED_TOKENS {
            return None;
        }
        let salt = hash_of(salt);
        let store = self.get_mut(self.key_for(prompt, shard)?)?;
        let shared = prompt.parts.len().saturating_sub(1);
        let deepest = (salt, prompt.parts.get(shared.checked_sub(1)?)?.id);
        store.saving.retain(|_, since| now < *since + SAVE_TIME);
        let is_unneeded =
            store.depth(prompt, salt) >= shared || store.saving.contains_key(&deepest);
        if is_unneeded {
            return None;
        }
        store.saving.insert(deepest, now);
        Some(store.cfg.address.clone())
    }

    fn get_mut(&mut self, key: StoreKey) -> Option<&mut Store> {
        self.slots.get_mut(key.0 as usize)?.as_mut()
    }

    /// The store for the shared parts of a shard's prompts, by rendezvous hashing.
    pub fn for_shard(&self, shard: Shard) -> Option<&str> {
        let key = shard.store_key();
        let weight = |address: &&str| rendezvous_weight(key, ReplicaId::from_name(address));
        self.keys().map(|(_, address)| address).max_by_key(weight)
    }

    /// The store for a prompt. All gateways select the same one for prompts that start with the
    /// same part, and all coordinators of a shard for all prompts placed there.
    fn key_for(&self, prompt: &Prompt, shard: Option<Shard>) -> Option<StoreKey> {
        let first = match shard {
            Some(shard) => shard.store_key(),
            None => prompt.parts.first()?.id,
        };
        let is_up =
            |key: &StoreKey| self.slots[key.0 as usize].as_ref().is_some_and(|store| store.is_up);
        let up = self.keys().filter(|(key, _)| is_up(key));
        let by_weight = |(_, address): &(StoreKey, &str)| {
            rendezvous_weight(first, ReplicaId::from_name(address))
        };
        up.max_by_key(by_weight).map(|(key, _)| key)
    }
}

impl Store {
    fn new(cfg: StoreParameters) -> Self {
        Store {
            cfg,
            is_up: false,
            epoch: 0,
            start: Start::UNKNOWN,
            next: 0,
            parts: HashMap::new(),
            saving: HashMap::new(),
        }
    }

    /// Number of leading shared parts of a prompt that it holds completely.
    fn depth(&self, prompt: &Prompt, salt: u64) -> usize {
        let shared = prompt.parts.len().saturating_sub(1);
        let is_held = |part: &crate::PromptPart| {
            let held_tokens = self.parts.get(&(salt, part.id)).copied().unwrap_or(0);
            held_tokens > 0 && held_tokens + BLOCK_SLACK >= part.tokens
        };
        prompt.parts[..shared].iter().take_while(|part| is_held(part)).count()
    }
}

fn hash_of(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
