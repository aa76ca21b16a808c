//! The three measures of one run.

use crate::experiment::statistics::quantile;
use crate::sim::{Outcome, Record, World};
use std::collections::BTreeMap;

/// Length of a step of the series over time, in seconds.
pub const SERIES_STEP_S: f64 = 2.0;

/// What one run of one policy gave, without its warm-up.
#[derive(Clone, Debug, Default)]
pub struct Measures {
    /// Completions that ended.
    pub requests: u64,
    /// Of those, refused or broken.
    pub refused: u64,
    /// Prompt tokens from cache over prompt tokens.
    pub hit_rate: f64,
    /// Times to the first token of short classes in milliseconds, sorted.
    pub short_first_ms: Vec<f64>,
    /// Of all classes, sorted.
    pub first_ms: Vec<f64>,
    /// By class, sorted.
    pub first_ms_by_class: BTreeMap<&'static str, Vec<f64>>,
    /// Longest pauses between two tokens in milliseconds, sorted.
    pub pauses_ms: Vec<f64>,
    /// Tokens computed although a live replica held them.
    pub recomputed: u64,
    /// Tokens computed for attempts thrown away.
    pub discarded: u64,
    /// Prompt tokens computed.
    pub computed: u64,
    /// Cached and all prompt tokens for each step of time.
    pub hits_over_time: Vec<(u64, u64)>,
    /// Prompt tokens computed by each engine.
    pub by_engine: Vec<u64>,
}

impl Measures {
    /// Wasted tokens: recomputed and discarded.
    pub fn wasted(&self) -> u64 {
        self.recomputed + self.discarded
    }

    /// Wasted tokens over computed ones.
    pub fn wasted_share(&self) -> f64 {
        self.wasted() as f64 / (self.computed as f64).max(1.0)
    }

    /// A quantile of the time to the first token of short classes.
    pub fn short_quantile(&self, share: f64) -> f64 {
        quantile(&self.short_first_ms, share)
    }

    /// A quantile of the time to the first token of all classes.
    pub fn quantile(&self, share: f64) -> f64 {
        quantile(&self.first_ms, share)
    }
}

/// Reads the measures off a finished world.
pub fn measure(world: &World) -> Measures {
    let warm_up = world.settings.warm_up;
    let mut measures = Measures::default();
    let (mut prompt, mut cached) = (0u64, 0u64);
    for record in world.records.iter().filter(|record| record.sent_at >= warm_up) {
        measures.requests += 1;
        take_first_token(&mut measures, record);
        if record.outcome == Outcome::Answered {
            prompt += u64::from(record.prompt_tokens);
            cached += u64::from(record.cached_tokens);
        } else {
            measures.refused += 1;
        }
    }
    for record in world.records.iter().filter(|record| record.outcome == Outcome::Answered) {
        let step = (record.sent_at.0 as f64 / 1e6 / SERIES_STEP_S) as usize;
        if measures.hits_over_time.len() <= step {
            measures.hits_over_time.resize(step + 1, (0, 0));
        }
        measures.hits_over_time[step].0 += u64::from(record.cached_tokens);
        measures.hits_over_time[step].1 += u64::from(record.prompt_tokens);
    }
    measures.hit_rate = cached as f64 / (prompt as f64).max(1.0);
    let (end, start) = (world.totals_now(), world.totals_at_warm_up);
    measures.recomputed = end.recomputed_tokens - start.recomputed_tokens;
    measures.discarded = end.discarded_tokens - start.discarded_tokens;
    measures.computed = end.computed_tokens - start.computed_tokens;
    measures.by_engine = world.computed_by_engine();
    sort_all(&mut measures);
    measures
}

fn take_first_token(measures: &mut Measures, record: &Record) {
    let Some(first_token) = record.first_token else { return };
    let first_ms = first_token.as_secs_f64() * 1_000.0;
    measures.first_ms.push(first_ms);
    if record.class.is_short() {
        measures.short_first_ms.push(first_ms);
    }
    measures.first_ms_by_class.entry(record.class.as_str()).or_default().push(first_ms);
    measures.pauses_ms.push(record.longest_pause.as_secs_f64() * 1_000.0);
}

fn sort_all(measures: &mut Measures) {
    let by_class = measures.first_ms_by_class.values_mut();
    let lists = [&mut measures.first_ms, &mut measures.short_first_ms, &mut measures.pauses_ms];
    for list in lists.into_iter().chain(by_class) {
        list.sort_unstable_by(f64::total_cmp);
    }
}
