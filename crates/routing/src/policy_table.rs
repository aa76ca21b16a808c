//! Which policy decides a request, and how each one does.

use crate::built_in;
use crate::candidate::{Candidate, RouteRequest};
use crate::home::rendezvous_weight;
use crate::program::{PolicyFailure, PolicyProgram};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use topazmount_types::ReplicaId;

/// Name of the policy compiled into the node.
pub const BUILT_IN: &str = "built-in";

/// A policy's share of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareSettings {
    /// Policy.
    pub policy: String,
    /// Fraction of requests, 0 to 1.
    pub share: f64,
}

/// What a policy did on this node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyCounters {
    /// Requests that it decided.
    pub decided: u64,
    /// Requests that it refused.
    pub refused: u64,
    /// Decisions cut off, by failure.
    pub failures: BTreeMap<String, u64>,
    /// As a shadow: decisions compared with the obeyed ones.
    pub shadowed: u64,
    /// As a shadow: decisions that agreed.
    pub agreed: u64,
    /// Prompt tokens of the requests that it decided and that ended.
    pub prompt_tokens: u64,
    /// Of those, tokens found in cache.
    pub cached_tokens: u64,
    /// Sum of times to the first token in milliseconds.
    pub first_token_ms_sum: f64,
    /// Sum of their squares, for confidence intervals.
    pub first_token_ms_squares: f64,
    /// Number of first tokens.
    pub first_tokens: u64,
}

struct Entry {
    name: String,
    program: Option<PolicyProgram>,
    counters: PolicyCounters,
}

/// Policies in force, with their shares.
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
    /// Replaces programs and shares while traffic flows; counters of names that stay are kept. A
    /// share or shadow of an unknown name is left out: the settings check refuses it before.
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

    /// Name of a policy by its number.
    pub fn name(&self, policy: usize) -> &str {
        self.entries.get(policy).map_or(BUILT_IN, |entry| entry.name.as_str())
    }

    fn find(&self, name: &str) -> Option<usize> {
        self.entries.iter().position(|entry| entry.name == name)
    }

    /// The policy that decides this request; the same for all requests of a session, or of a
    /// prefix where there is no session.
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

    /// Whether the policy lets the request run. A program that fails lets it run.
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

    /// Place of the request among those that wait. A program that fails gives 0.
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

    /// The policy's choice; the built-in one decides when a program fails. Shadows are evaluated
    /// and compared.
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
            let would = evaluate(entry, request, candidates);
            entry.counters.shadowed += 1;
            entry.counters.agreed += u64::from(would == Some(chosen));
        }
        Some(chosen)
    }

    /// Counts a first token after `wait_ms`.
    pub fn on_first_token(&mut self, policy: usize, wait_ms: f64) {
        if let Some(entry) = self.entries.get_mut(policy) {
            entry.counters.first_tokens += 1;
            entry.counters.first_token_ms_sum += wait_ms;
            entry.counters.first_token_ms_squares += wait_ms * wait_ms;
        }
    }

    /// Counts the tokens of an ended request.
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
