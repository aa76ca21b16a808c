//! Splits the replicas of a service between long and short prompts.
//!
//! A replica reads prompts in pieces between the tokens of other requests: next to long prompts,
//! the streams of short ones stall. Routes are told apart by the mean length of their prompts, and
//! each kind gets replicas by the work that it makes. All nodes see about the same mix and rank
//! the replicas alike, so that they come to about the same split without asking each other.

use std::collections::HashMap;
use std::time::Duration;
use topazmount_types::Time;

/// Mean prompt length, in tokens, above which a route's prompts count as long.
const LONG_PROMPT: f64 = 2_000.0;
/// Time in which what was counted of a route fades to a third.
const FADE: Duration = Duration::from_secs(8);
/// Requests that must have been counted before there is a split.
const FEWEST_REQUESTS: f64 = 20.0;
/// Change of the share that is followed; smaller ones would only move homes.
const SHARE_STEP: f64 = 0.12;
/// Tokens of a long prompt that are read, of all its tokens; the others are found kept.
const READ_SHARE: f64 = 0.6;
/// Work of a token that is generated, in tokens that are read.
const OUTPUT_WEIGHT: f64 = 2.0;

/// What was counted of a route, fading.
#[derive(Clone, Debug, Default)]
struct RouteCount {
    requests: f64,
    prompt_tokens: f64,
    output_tokens: f64,
    counted_at: Time,
}

impl RouteCount {
    fn fade(&mut self, now: Time) {
        let age = now.since(self.counted_at).as_secs_f64() / FADE.as_secs_f64();
        let kept = (-age).exp();
        self.requests *= kept;
        self.prompt_tokens *= kept;
        self.output_tokens *= kept;
        self.counted_at = now;
    }

    fn is_long(&self) -> bool {
        self.prompt_tokens > LONG_PROMPT * self.requests
    }

    fn work(&self) -> f64 {
        let read = if self.is_long() { READ_SHARE } else { 1.0 };
        read * self.prompt_tokens + OUTPUT_WEIGHT * self.output_tokens
    }
}

/// The split of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromptPools {
    routes: HashMap<String, RouteCount>,
    /// Share of the replicas that long prompts get; none while there is one kind only.
    long_share: Option<f64>,
}

/// Which replicas a request should go to, by their rank in the order that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Pool {
    /// First rank.
    pub(crate) from: usize,
    /// Rank after the last one.
    pub(crate) to: usize,
}

impl Pool {
    /// Whether a replica of this rank belongs to it.
    pub(crate) fn contains(self, rank: usize) -> bool {
        (self.from..self.to).contains(&rank)
    }
}

impl PromptPools {
    /// Counts a request and refreshes the split.
    pub(crate) fn count(&mut self, route: &str, prompt: u32, output: u32, now: Time) {
        let count = self.routes.entry(route.to_owned()).or_default();
        count.fade(now);
        count.requests += 1.0;
        count.prompt_tokens += f64::from(prompt);
        count.output_tokens += f64::from(output);
        self.refresh(now);
    }

    fn refresh(&mut self, now: Time) {
        self.routes.values_mut().for_each(|count| count.fade(now));
        self.routes.retain(|_, count| count.requests > 0.01);
        let requests: f64 = self.routes.values().map(|count| count.requests).sum();
        if requests < FEWEST_REQUESTS {
            return;
        }
        let work = |is_long: bool| -> f64 {
            let counts = self.routes.values().filter(|count| count.is_long() == is_long);
            counts.map(RouteCount::work).sum()
        };
        let (long, short) = (work(true), work(false));
        if long == 0.0 || short == 0.0 {
            self.long_share = None;
            return;
        }
        let share = long / (long + short);
        if self.long_share.is_none_or(|known| (known - share).abs() > SHARE_STEP) {
            self.long_share = Some(share);
        }
    }

    /// Ranks of the replicas, of so many, that a route's requests should go to.
    pub(crate) fn pool(&self, route: &str, replicas: usize) -> Pool {
        let all = Pool { from: 0, to: replicas };
        let (Some(share), Some(count)) = (self.long_share, self.routes.get(route)) else {
            return all;
        };
        if replicas < 3 {
            return all;
        }
        let long = ((share * replicas as f64).round() as usize).clamp(1, replicas - 1);
        if count.is_long() { Pool { from: 0, to: long } } else { Pool { from: long, to: replicas } }
    }
}
