//! Plans how many replicas of a service load at a time, from the remaining work, the deadline and
//! the observed load times.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use topazmount_types::Time;

/// Pauses before an order, during which gateways avoid the replica and most of its requests finish.
/// A load interrupts the streams that still run.
const LONG_PAUSES: [Duration; 2] = [Duration::from_millis(1_200), Duration::from_millis(900)];
/// Pauses used if no concurrency leaves time for the long ones.
const SHORT_PAUSES: [Duration; 2] = [Duration::from_millis(600), MIN_PAUSE];
/// Time after which most gateways know of the pause.
pub(super) const MIN_PAUSE: Duration = Duration::from_millis(300);
/// Preferred time between the last load and the deadline; covers a late response of a replica.
const PREFERRED_SLACK: Duration = Duration::from_millis(500);
/// The same at the usual concurrency.
const USUAL_SLACK: Duration = Duration::from_millis(250);
/// Load times kept per concurrency; few, so that estimates follow a store that slows down.
const MAX_SAMPLES: usize = 16;
/// Concurrencies for which load times are kept.
const MAX_CONCURRENCIES: usize = 32;
/// Quantile of the load times used as the estimate.
const QUANTILE: f64 = 0.75;
/// A load counts as hung after this multiple of the estimated time.
const HUNG_FACTOR: u32 = 2;

/// Observed load times of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadTimes {
    /// Load times by concurrency, newest last.
    by_concurrency: BTreeMap<usize, VecDeque<Duration>>,
}

impl LoadTimes {
    /// Records a load, from the granted slot to the report that shows it.
    pub(super) fn record(&mut self, concurrency: usize, took: Duration) {
        if !self.by_concurrency.contains_key(&concurrency)
            && self.by_concurrency.len() >= MAX_CONCURRENCIES
        {
            return;
        }
        let kept = self.by_concurrency.entry(concurrency).or_default();
        kept.push_back(took);
        if kept.len() > MAX_SAMPLES {
            kept.pop_front();
        }
    }

    /// Estimated load time at a concurrency, from the nearest lower concurrency with data, else the
    /// nearest higher one.
    fn estimate(&self, concurrency: usize) -> Option<Duration> {
        let mut below = self.by_concurrency.range(..=concurrency);
        let kept = below.next_back().or_else(|| self.by_concurrency.range(concurrency..).next());
        let mut sorted: Vec<Duration> = kept?.1.iter().copied().collect();
        sorted.sort();
        let rank = (sorted.len() as f64 * QUANTILE).ceil() as usize;
        sorted.get(rank.saturating_sub(1)).copied()
    }

    /// Time after which a load counts as hung and loses its slot.
    pub(super) fn hung_timeout(&self, concurrency: usize, first: Duration) -> Duration {
        self.estimate(concurrency).map_or(first * 3 / 2, |took| took * HUNG_FACTOR)
    }

    /// Average time for which a load occupies a slot, given the number of hung loads.
    fn slot_time(&self, load: Duration, hung: usize) -> Duration {
        let ended: usize = self.by_concurrency.values().map(VecDeque::len).sum();
        let share = hung as f64 / (hung + ended).max(1) as f64;
        load.mul_f64(1.0 + share * f64::from(HUNG_FACTOR - 1))
    }

    /// Whether any load has ended; before that, hung and slow loads can't be told apart.
    pub(super) fn has_any(&self) -> bool {
        !self.by_concurrency.is_empty()
    }
}

/// Remaining loads of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct Workload {
    /// Earliest time of the first order, without its pause.
    pub(super) orders_from: Time,
    /// Start times of the current pauses, in order.
    pub(super) paused: Vec<Time>,
    /// How long each load in a slot has run.
    pub(super) running: Vec<Duration>,
    /// Longest time for which a load not known to be hung has run.
    pub(super) longest: Duration,
    /// Number of hung loads.
    pub(super) hung: usize,
    /// Deadlines of replicas without a slot, in order.
    pub(super) waiting: Vec<Time>,
    /// Maximum number of replicas paused or loading.
    pub(super) max_unavailable: usize,
    /// Concurrency used if it meets the deadline.
    pub(super) usual: usize,
}

/// How a service's replicas load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutPlan {
    /// Replicas that load at a time.
    pub concurrency: usize,
    /// Replicas that are paused meanwhile, to load next.
    pub paused_ahead: usize,
    /// Pause of each replica before its order.
    pub pause: Duration,
    /// Estimated load time.
    pub load_time: Duration,
    /// Replicas expected to miss the deadline.
    pub late: usize,
    /// Maximum number of replicas paused or loading, besides hung ones.
    pub max_unavailable: usize,
}

impl RolloutPlan {
    /// Maximum number of replicas that are paused or loading under this plan.
    pub(super) fn unavailable(&self) -> usize {
        (self.concurrency + self.paused_ahead).min(self.max_unavailable)
    }
}

/// Chooses the lowest concurrency, at least the usual one, that meets all reachable deadlines with
/// enough slack, with a long pause if possible; otherwise the one with the fewest late replicas and,
/// among those, the most slack.
pub(super) fn make_plan(
    now: Time,
    workload: &Workload,
    times: &LoadTimes,
    first: Duration,
) -> RolloutPlan {
    let max_concurrency =
        workload.max_unavailable.min(workload.waiting.len() + workload.running.len()).max(1);
    let concurrencies = workload.usual.clamp(1, max_concurrency)..=max_concurrency;
    let evaluate_at = |concurrency| {
        move |pause: &Duration| evaluate(now, workload, times, first, *pause, concurrency)
    };
    let evaluate_all = |pauses: [Duration; 2]| {
        let concurrencies_to_try = concurrencies.clone();
        concurrencies_to_try.flat_map(move |concurrency| {
            pauses.iter().map(evaluate_at(concurrency)).collect::<Vec<_>>()
        })
    };
    let is_in_time =
        |slack: Duration| move |evaluated: &EvaluatedPlan| evaluated.min_slack >= Some(slack);
    // The usual concurrency is not raised just for more slack.
    let pauses = LONG_PAUSES.iter().chain(&SHORT_PAUSES);
    let usual = pauses.map(evaluate_at(*concurrencies.start())).find(is_in_time(USUAL_SLACK));
    let long = || evaluate_all(LONG_PAUSES).find(is_in_time(PREFERRED_SLACK));
    let short = || evaluate_all(SHORT_PAUSES).find(is_in_time(PREFERRED_SLACK));
    let fitting = usual.or_else(long).or_else(short);
    // With less slack, any delay makes a replica late.
    let lateness = |evaluated: &EvaluatedPlan| (evaluated.plan.late, Reverse(evaluated.min_slack));
    let least_late = || evaluate_all(SHORT_PAUSES).min_by_key(lateness);
    fitting.or_else(least_late).map(|evaluated| evaluated.plan).unwrap_or_default()
}

/// Expected load time, given the longest running load. If that load is much slower than the
/// estimate, all loads may be slow now; until it counts as hung, twice its running time is assumed.
fn expected_load_time(expected: Duration, longest: Duration) -> Duration {
    if longest > expected * 5 / 4 { longest * 2 } else { expected }
}

/// A plan and its expected result.
struct EvaluatedPlan {
    plan: RolloutPlan,
    /// Shortest time between the end of a load and its deadline, over the reachable deadlines;
    /// `None` if one of these is missed.
    min_slack: Option<Duration>,
}

/// Simulates the loads over `concurrency` slots. A replica is paused as soon as enough others are
/// available, and loads in the next slot that is free after its pause.
fn evaluate(
    now: Time,
    workload: &Workload,
    times: &LoadTimes,
    first: Duration,
    pause: Duration,
    concurrency: usize,
) -> EvaluatedPlan {
    let load = expected_load_time(times.estimate(concurrency).unwrap_or(first), workload.longest);
    let ahead = (pause.as_secs_f64() * concurrency as f64 / load.as_secs_f64()).ceil() as usize;
    // At the usual concurrency, no more replicas are paused than load.
    let is_usual = concurrency <= workload.usual;
    let ahead = if is_usual { ahead.min(concurrency) } else { ahead };
    let ahead = ahead.min(workload.max_unavailable.saturating_sub(concurrency));
    let slot_time = times.slot_time(load, workload.hung);
    let mut free_slots = slots_free_at(now, workload, load, concurrency);
    let mut next_pauses = pauses_possible_at(now, workload, load, concurrency + ahead);
    let mut paused = workload.paused.iter();
    let mut late = 0;
    let mut min_slack = Some(Duration::MAX);
    // Deadlines that can't be met at any concurrency must not raise it.
    let soonest = workload.orders_from.max(now + MIN_PAUSE) + load;
    for deadline in &workload.waiting {
        let paused_at = paused.next().copied().or_else(|| next_pauses.pop_front());
        let end = paused_at.and_then(|paused_at| {
            let begins = free_slots.pop_front()?.max(paused_at + pause).max(workload.orders_from);
            free_slots.push_back(begins + slot_time);
            next_pauses.push_back(begins + slot_time);
            Some(begins + load)
        });
        let slack = end.filter(|end| end <= deadline).map(|end| deadline.since(end));
        late += usize::from(slack.is_none());
        if soonest <= *deadline {
            min_slack = min_slack.min(slack);
        }
    }
    let plan = RolloutPlan {
        concurrency,
        paused_ahead: ahead,
        pause,
        load_time: load,
        late,
        max_unavailable: workload.max_unavailable,
    };
    EvaluatedPlan { plan, min_slack }
}

/// When each of `concurrency` slots becomes free, in order.
fn slots_free_at(
    now: Time,
    workload: &Workload,
    load: Duration,
    concurrency: usize,
) -> VecDeque<Time> {
    free_at(now, ends_of_running(now, workload, load), concurrency)
}

/// When further replicas may be paused, in order, if at most `unavailable` are paused or load.
fn pauses_possible_at(
    now: Time,
    workload: &Workload,
    load: Duration,
    unavailable: usize,
) -> VecDeque<Time> {
    let ends = ends_of_running(now, workload, load);
    let unpaused = unavailable.saturating_sub(workload.paused.len());
    free_at(now, ends, unpaused)
}

/// Expected ends of the running loads, in order.
fn ends_of_running(now: Time, workload: &Workload, load: Duration) -> Vec<Time> {
    let ends = workload.running.iter().map(|age| now + load.saturating_sub(*age));
    let mut ends: Vec<Time> = ends.collect();
    ends.sort();
    ends
}

/// When each of `count` places becomes free, in order. If more are occupied, the first loads that
/// end free none.
fn free_at(now: Time, ends: Vec<Time>, count: usize) -> VecDeque<Time> {
    let surplus = ends.len().saturating_sub(count);
    let unoccupied = count.saturating_sub(ends.len());
    let ends = ends.into_iter().skip(surplus);
    std::iter::repeat_n(now, unoccupied).chain(ends).collect()
}
