//! Assignment of requests to policies, and counters per policy.

use crate::built_in;
use crate::candidate::{Candidate, RouteRequest};
use crate::home::rendezvous_weight;
use crate::program::{PolicyFailure, PolicyProgram};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use topazmount_types::ReplicaId;

/// Name of the policy compiled into the node.
pub const BUILT_IN: &str = "built-in";

/// Share of the traffic that a policy decides.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareSettings {
    /// Policy name.
    pub policy: String,
    /// Fraction of requests, 0 to 1.
    pub share: f64,
}

/// Counters of a policy on this node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyCounters {
    /// Requests decided.
    pub decided: u64,
    /// Requests refused.
    pub refused: u64,
    /// Failed decisions, by failure.
    pub failures: BTreeMap<String, u64>,
    /// Shadow decisions compared with the effective ones.
    pub shadowed: u64,
    /// Shadow decisions that agreed.
    pub agreed: u64,
    /// Prompt tokens of finished requests.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Sum of times to the first token in milliseconds.
    pub first_token_ms_sum: f64,
    /// Sum of their squares.
    pub first_token_ms_squares: f64,
    /// Number of first tokens.
    pub first_tokens: u64,
}

struct Entry {
    name: String,
    program: Option<PolicyProgram>,
    counters: PolicyCounters,
}

/// Active policies and their traffic shares.
pub struct PolicyTable {
    entries: Vec<Entry>,
    shares: Vec<(usize, f64)>,
    shadows: Vec<usize>,
}

impl Default for PolicyTable {
    fn default() -> Self {
        PolicyTable {
            entries: vec![Entry {
                name: BUILT_IN.to_owned(),
                program: None,
                counters: PolicyCounters::default(),
            }],
            shares: Vec::new(),
            shadows: Vec::new(),
        }
    }
}

impl PolicyTable {
    /// Replaces programs and shares; counters of remaining names are kept. Shares and shadows of
    /// unknown names are ignored: the settings check rejects them.
    pub fn replace(
        &mut self,
        programs: Vec<(String, PolicyProgram)>,
        shares: &[ShareSettings],
        shadows: &[String],
    ) {
        let mut entries = Vec::with_capacity(programs.len() + 1);
        let built_in = (BUILT_IN.to_owned(), None);
        let named = programs.into_iter().map(|(name, program)| (name, Some(program)));
        for (name, program) in std::iter::once(built_in).chain(named) {
            let counters = self.counters(&name).cloned().unwrap_or_default();
            entries.push(Entry { name, program, counters });
        }
        self.entries = entries;
        let known =
            shares.iter().filter_map(|share| Some((self.find(&share.policy)?, share.share)));
        self.shares = known.collect();
        self.shadows = shadows.iter().filter_map(|name| self.find(name)).collect();
    }

    /// Names and counters of all policies.
    pub fn report(&self) -> impl Iterator<Item = (&str, &PolicyCounters)> {
        self.entries.iter().map(|entry| (entry.name.as_str(), &entry.counters))
    }

    /// Counters of one policy.
    pub fn counters(&self, name: &str) -> Option<&PolicyCounters> {
        self.find(name).map(|index| &self.entries[index].counters)
    }

    /// Name of the policy at an index.
    pub fn name(&self, policy: usize) -> &str {
        self.entries.get(policy).map_or(BUILT_IN, |entry| entry.name.as_str())
    }

    fn find(&self, name: &str) -> Option<usize> {
        self.entries.iter().position(|entry| entry.name == name)
    }

    /// Index of the policy that decides a request: the same for all requests of a session, or of a
    /// prefix without a session.
    pub fn assign(&self, request: &RouteRequest<'_>) -> usize {
        const SALT: ReplicaId = ReplicaId(0x706f_6c69_6379);
        let prefix = request.blocks.last().copied().unwrap_or(request.sequence);
        let key = if request.session != 0 { request.session } else { prefix };
        let fraction = rendezvous_weight(key, SALT) as f64 / u64::MAX as f64;
        let mut upper = 0.0;
        for (policy, share) in &self.shares {
            upper += share;
            if fraction < upper {
                return *policy;
            }
        }
        0
    }

    /// Whether the policy admits the request. A program that fails admits it.
    pub fn admit(&mut self, policy: usize, request: &RouteRequest<'_>) -> bool {
        let Some(entry) = self.entries.get_mut(policy) else {
            return true;
        };
        let Some(program) = &entry.program else {
            return true;
        };
        match program.admit(request, 0) {
            Ok(true) => true,
            Ok(false) => {
                entry.counters.refused += 1;
                false
            }
            Err(failure) => {
                count_failure(&mut entry.counters, failure);
                true
            }
        }
    }

    /// Sort key of the request in the queue; 0 if the program fails.
    pub fn order(&mut self, policy: usize, request: &RouteRequest<'_>) -> f64 {
        let Some(entry) = self.entries.get_mut(policy) else {
            return 0.0;
        };
        let Some(program) = &entry.program else {
            return 0.0;
        };
        program.order(request, 0).unwrap_or_else(|failure| {
            count_failure(&mut entry.counters, failure);
            0.0
        })
    }

    /// Index of the candidate that the policy chooses; the built-in policy decides if the program
    /// fails. Shadow policies are evaluated and compared.
    pub fn choose(
        &mut self,
        policy: usize,
        request: &RouteRequest<'_>,
        candidates: &[Candidate],
    ) -> Option<usize> {
        let policy = if policy < self.entries.len() { policy } else { 0 };
        let chosen = evaluate(&mut self.entries[policy], request, candidates)?;
        self.entries[policy].counters.decided += 1;
        for shadow in self.shadows.clone() {
            let entry = &mut self.entries[shadow];
            let shadow_choice = evaluate(entry, request, candidates);
            entry.counters.shadowed += 1;
            entry.counters.agreed += u64::from(shadow_choice == Some(chosen));
        }
        Some(chosen)
    }

    /// Records a time to the first token.
    pub fn on_first_token(&mut self, policy: usize, wait_ms: f64) {
        if let Some(entry) = self.entries.get_mut(policy) {
            entry.counters.first_tokens += 1;
            entry.counters.first_token_ms_sum += wait_ms;
            entry.counters.first_token_ms_squares += wait_ms * wait_ms;
        }
    }

    /// Records the token counts of a finished request.
    pub fn on_finished(&mut self, policy: usize, prompt_tokens: u32, cached_tokens: u32) {
        if let Some(entry) = self.entries.get_mut(policy) {
            entry.counters.prompt_tokens += u64::from(prompt_tokens);
            entry.counters.cached_tokens += u64::from(cached_tokens);
        }
    }
}

fn evaluate(
    entry: &mut Entry,
    request: &RouteRequest<'_>,
    candidates: &[Candidate],
) -> Option<usize> {
    let program = entry.program.as_ref().filter(|program| program.has_score());
    let Some(program) = program else {
        return built_in::choose(candidates);
    };
    match program.choose(request, candidates) {
        Ok(position) => Some(position),
        Err(failure) => {
            count_failure(&mut entry.counters, failure);
            built_in::choose(candidates)
        }
    }
}

fn count_failure(counters: &mut PolicyCounters, failure: PolicyFailure) {
    *counters.failures.entry(failure.to_string()).or_default() += 1;
}
