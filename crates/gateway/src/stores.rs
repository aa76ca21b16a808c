//! What shared stores of prompt parts hold, as their own events tell.
//!
//! Replicas forget parts within seconds; a store keeps more of them, at a slower link. Parts are
//! named by the salt under which they are shared and by their identifier.

use crate::catalog::StoreParameters;
use crate::prompt::Prompt;
use crate::shards::Shard;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;
use topazmount_routing::rendezvous_weight;
use topazmount_types::{ReplicaId, Start, Time};

/// Most gateways that follow one store: it holds few calls at a time.
pub const MAX_STORE_READERS: usize = 10;
/// Fewest shared tokens of a prompt that is saved.
const LEAST_SAVED_TOKENS: u32 = 1_000;
/// Time for which a prompt that is being saved is not saved again.
const SAVING: Duration = Duration::from_secs(3);
/// Tokens of a part that may be missing at its end: memory goes by blocks.
const BLOCK_SLACK: u32 = 16;

/// Name under which parts of a prompt are shared.
pub fn cache_salt(version: u32, wall: Option<&str>) -> String {
    format!("v{version}/{}", wall.unwrap_or_default())
}

/// A change of what a store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreChange {
    /// Salt of the part.
    pub salt: String,
    /// Hash of the part's identifier.
    pub part: u64,
    /// Tokens of it that the store holds now.
    pub tokens: u32,
}

/// A page of a store's events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreEvents {
    /// Names the life of the store: a restart empties it.
    pub epoch: u64,
    /// Incarnation of the store, where it says so: it begins empty.
    pub start: Start,
    /// Where the next page begins.
    pub next: u64,
    /// Whether events between the last page and this one are lost.
    pub has_gap: bool,
    /// Changes in order.
    pub changes: Vec<StoreChange>,
}

/// What a store holds of a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredPrompt {
    /// Address of the store.
    pub address: String,
    /// Leading shared parts that it holds.
    pub parts: usize,
    /// Its link, in megabits a second.
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

/// Names a store of this process; never given to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreKey(u32);

/// The stores of a catalog. Those that a catalog no longer names leave an empty place.
#[derive(Clone, Debug, Default)]
pub struct Stores {
    arena: Vec<Option<Store>>,
}

impl Stores {
    /// Takes over the stores of a catalog; what is known of those that stay is kept.
    pub fn set(&mut self, named: impl Iterator<Item = StoreParameters>) {
        let named: Vec<StoreParameters> = named.collect();
        for place in &mut self.arena {
            let is_named =
                |store: &mut Store| named.iter().any(|cfg| cfg.address == store.cfg.address);
            place.take_if(|store| !is_named(store));
        }
        for cfg in named {
            let mut stores = self.arena.iter_mut().flatten();
            let known = stores.find(|store| store.cfg.address == cfg.address);
            if let Some(known) = known {
                known.cfg = cfg;
            } else {
                self.arena.push(Some(Store::new(cfg)));
            }
        }
    }

    /// Keys of all stores, with their addresses.
    pub fn keys(&self) -> impl Iterator<Item = (StoreKey, &str)> {
        let stores = self.arena.iter().zip(0..);
        stores
            .filter_map(|(store, key)| Some((StoreKey(key), store.as_ref()?.cfg.address.as_str())))
    }

    /// Where the next page of a store's events begins; `None` when there is no such store.
    pub fn position(&self, key: StoreKey) -> Option<u64> {
        self.arena.get(key.0 as usize)?.as_ref().map(|store| store.next)
    }

    /// Takes a page of events. Returns whether the store's contents had to be forgotten.
    pub fn apply(&mut self, key: StoreKey, page: StoreEvents) -> bool {
        let Some(store) = self.get_mut(key) else { return false };
        let is_new = page.has_gap || page.epoch != store.epoch || page.start != store.start;
        if is_new {
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
        is_new
    }

    /// Notes that a store does not answer: nothing is taken from it until it does. Returns whether
    /// that is news.
    pub fn on_unreachable(&mut self, key: StoreKey) -> bool {
        self.get_mut(key).is_some_and(|store| std::mem::replace(&mut store.is_up, false))
    }

    /// What the prompt's store holds of its shared parts under a salt.
    pub fn find(&self, prompt: &Prompt, shard: Option<Shard>, salt: &str) -> Option<StoredPrompt> {
        let store = self.arena.get(self.key_of(prompt, shard)?.0 as usize)?.as_ref()?;
        let parts = store.depth(prompt, hash_of(salt));
        let StoreParameters { address, link_mbps } = store.cfg.clone();
        Some(StoredPrompt { address, parts, link_mbps })
    }

    /// The store to which a replica should send a prompt's parts, if that is worth it: the store
    /// lacks some of them, and this gateway had none sent a moment ago.
    pub fn select_for_save(
        &mut self,
        prompt: &Prompt,
        shard: Option<Shard>,
        salt: &str,
        now: Time,
    ) -> Option<String> {
        if prompt.shared_tokens() < LEAST_SAVED_TOKENS {
            return None;
        }
        let salt = hash_of(salt);
        let store = self.get_mut(self.key_of(prompt, shard)?)?;
        let shared = prompt.parts.len().saturating_sub(1);
        let deepest = (salt, prompt.parts.get(shared.checked_sub(1)?)?.id);
        store.saving.retain(|_, since| now < *since + SAVING);
        let is_useless = store.depth(prompt, salt) >= shared || store.saving.contains_key(&deepest);
        if is_useless {
            return None;
        }
        store.saving.insert(deepest, now);
        Some(store.cfg.address.clone())
    }

    fn get_mut(&mut self, key: StoreKey) -> Option<&mut Store> {
        self.arena.get_mut(key.0 as usize)?.as_mut()
    }

    /// The store that holds what the prompts of a shard share, by the names of all stores.
    pub fn for_shard(&self, shard: Shard) -> Option<&str> {
        let key = shard.store_key();
        let weight = |address: &&str| rendezvous_weight(key, ReplicaId::from_name(address));
        self.keys().map(|(_, address)| address).max_by_key(weight)
    }

    /// All gateways find the same store for prompts that begin alike, and all coordinators of a shard
    /// for all prompts that are placed there.
    fn key_of(&self, prompt: &Prompt, shard: Option<Shard>) -> Option<StoreKey> {
        let first = match shard {
            Some(shard) => shard.store_key(),
            None => prompt.parts.first()?.id,
        };
        let is_up =
            |key: &StoreKey| self.arena[key.0 as usize].as_ref().is_some_and(|store| store.is_up);
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
            start: Start::UNSAID,
            next: 0,
            parts: HashMap::new(),
            saving: HashMap::new(),
        }
    }

    /// Leading shared parts of a prompt that it holds whole.
    fn depth(&self, prompt: &Prompt, salt: u64) -> usize {
        let shared = prompt.parts.len().saturating_sub(1);
        let is_held = |part: &crate::PromptPart| {
            let held = self.parts.get(&(salt, part.id)).copied().unwrap_or(0);
            held > 0 && held + BLOCK_SLACK >= part.tokens
        };
        prompt.parts[..shared].iter().take_while(|part| is_held(part)).count()
    }
}

fn hash_of(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
