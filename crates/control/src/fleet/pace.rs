//! How many replicas of a service load at a time: from what is left to do, the time that is left, and what loads take here.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use topazmount_types::Time;

/// Times for which gateways pass a replica over before its order, while most of its runs end: a load holds up the streams that still
/// run. The longest that time allows with the fewest loads at a time.
const LONG_PAUSES: [Duration; 2] = [Duration::from_millis(1_200), Duration::from_millis(900)];
/// The same where no number of loads leaves time for these.
const SHORT_PAUSES: [Duration; 2] = [Duration::from_millis(600), SHORTEST_PAUSE];
/// Time after which most gateways have heard that a replica is passed over.
const SHORTEST_PAUSE: Duration = Duration::from_millis(300);
/// Time before the end of a bound at which loads should have ended: a late answer of a replica.
const SLACK: Duration = Duration::from_millis(500);
/// The same of the usual number of loads at a time.
const USUAL_SLACK: Duration = Duration::from_millis(250);
/// The same where that can't be had any more. A plan is kept to in steps of a look, which use up some of its slack.
const LEAST_SLACK: Duration = Duration::from_millis(100);
/// Loads of a width that are remembered: enough for the quantile, and few enough to follow a store that slows down.
const MOST_KEPT: usize = 16;
/// Widths that are remembered; a service loads at a few of them.
const MOST_WIDTHS: usize = 32;
/// Part of the loads that take no longer than what the plan gives one. The median would leave slow replicas for the end.
const QUANTILE: f64 = 0.75;
/// A load that takes longer than so many times what others took counts as hung: loads of one service differ by a share, not by a factor.
const HUNG_FACTOR: u32 = 2;

/// What loads of a service took.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadTimes {
    /// By how many loaded at the same time, the newest last.
    by_width: BTreeMap<usize, VecDeque<Duration>>,
}

impl LoadTimes {
    /// Notes a load that ended, from its turn to the report that shows it.
    pub(super) fn note(&mut self, width: usize, took: Duration) {
        if !self.by_width.contains_key(&width) && self.by_width.len() >= MOST_WIDTHS {
            return;
        }
        let kept = self.by_width.entry(width).or_default();
        kept.push_back(took);
        if kept.len() > MOST_KEPT {
            kept.pop_front();
        }
    }

    /// What a load takes where so many load: as seen at that width, else at the next smaller one, else at the next greater one.
    fn at(&self, width: usize) -> Option<Duration> {
        let mut below = self.by_width.range(..=width);
        let kept = below.next_back().or_else(|| self.by_width.range(width..).next());
        let mut sorted: Vec<Duration> = kept?.1.iter().copied().collect();
        sorted.sort();
        let rank = (sorted.len() as f64 * QUANTILE).ceil() as usize;
        sorted.get(rank.saturating_sub(1)).copied()
    }

    /// Time after which a load of so many counts as hung, and gives its place away: before any has ended, one and a half
    /// times what it is given at first.
    pub(super) fn hung_after(&self, width: usize, first: Duration) -> Duration {
        self.at(width).map_or(first * 3 / 2, |took| took * HUNG_FACTOR)
    }

    /// For how long a load has its place on average, where so many of those seen so far hang.
    fn place_time(&self, load: Duration, hung: usize) -> Duration {
        let ended: usize = self.by_width.values().map(VecDeque::len).sum();
        let share = hung as f64 / (hung + ended).max(1) as f64;
        load.mul_f64(1.0 + share * f64::from(HUNG_FACTOR - 1))
    }

    /// Whether any load has ended, so that what hangs can be told from what is slow.
    pub(super) fn has_any(&self) -> bool {
        !self.by_width.is_empty()
    }
}

/// What a service has to load.
#[derive(Clone, Debug, Default)]
pub(super) struct Work {
    /// When the first order may be given, apart from a pause.
    pub(super) orders_from: Time,
    /// Since when those that come next are paused, in their order.
    pub(super) paused: Vec<Time>,
    /// For how long those that take a place have had it.
    pub(super) running: Vec<Duration>,
    /// The longest time for which one loads that is not known to hang.
    pub(super) longest: Duration,
    /// Replicas whose loads count as hung.
    pub(super) hung: usize,
    /// Ends of the bounds of those that have no place yet, in their order.
    pub(super) waiting: Vec<Time>,
    /// Replicas that may be away at a time: paused or loading.
    pub(super) most_away: usize,
    /// Replicas that load at a time where there is time enough.
    pub(super) usual: usize,
}

/// How a service's replicas load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutPlan {
    /// Replicas that load at a time.
    pub concurrency: usize,
    /// Replicas that are paused meanwhile, as the next ones.
    pub paused_ahead: usize,
    /// For how long each is paused before its order.
    pub pause: Duration,
    /// What a load is taken to need.
    pub load_time: Duration,
    /// Replicas that will be late by this.
    pub late: usize,
    /// Replicas that may be paused or loading at a time, of those that are not.
    pub max_unavailable: usize,
}

impl RolloutPlan {
    /// Replicas that may be passed over in all.
    pub(super) fn away(&self) -> usize {
        (self.concurrency + self.paused_ahead).min(self.max_unavailable)
    }
}

/// The plan with the fewest replicas that load at a time, as many as usual or more, by which all are in time that can be, with a long pause
/// where any has one; else the narrowest by which the fewest are late.
pub(super) fn plan(now: Time, work: &Work, times: &LoadTimes, first: Duration) -> RolloutPlan {
    let most = work.most_away.min(work.waiting.len() + work.running.len()).max(1);
    let widths = work.usual.clamp(1, most)..=most;
    let of_width = |width| move |pause: &Duration| reckon(now, work, times, first, *pause, width);
    let with = |pauses: [Duration; 2]| {
        let of_widths = widths.clone();
        of_widths.flat_map(move |width| pauses.iter().map(of_width(width)).collect::<Vec<_>>())
    };
    let is_in_time = |slack: Duration| move |one: &Reckoned| one.least_slack >= Some(slack);
    // What fits with the usual number is not widened for the sake of slack.
    let pauses = LONG_PAUSES.iter().chain(&SHORT_PAUSES);
    let usual = pauses.map(of_width(*widths.start())).find(is_in_time(USUAL_SLACK));
    let fits = |slack: Duration| {
        let long = with(LONG_PAUSES).find(is_in_time(slack));
        long.or_else(|| with(SHORT_PAUSES).find(is_in_time(slack)))
    };
    let fitting = usual.or_else(|| fits(SLACK)).or_else(|| fits(LEAST_SLACK));
    let fewest_late = || with(SHORT_PAUSES).min_by_key(|one| one.plan.late);
    fitting.or_else(fewest_late).map(|one| one.plan).unwrap_or_default()
}

/// What a load is taken to need, where the loads that run say otherwise than those that ended: one well past these may hang, or all may be
/// slower now, and until it counts as hung the next ones are taken to be as slow, at twice the time that it has run: that time says
/// nothing of its end.
fn taken_to_need(expected: Duration, longest: Duration) -> Duration {
    if longest > expected * 5 / 4 { longest * 2 } else { expected }
}

/// A plan, and what comes of it.
struct Reckoned {
    plan: RolloutPlan,
    /// The shortest time between the end of a load and that of its bound, of those that can be in time; `None` where one of
    /// these is late.
    least_slack: Option<Duration>,
}

/// Lists the loads over so many places, each at the one that is free first.
fn reckon(
    now: Time,
    work: &Work,
    times: &LoadTimes,
    first: Duration,
    pause: Duration,
    width: usize,
) -> Reckoned {
    let load = taken_to_need(times.at(width).unwrap_or(first), work.longest);
    let ahead = (pause.as_secs_f64() * width as f64 / load.as_secs_f64()).ceil() as usize;
    // With the usual number no more are kept from serving than take turns with those that load.
    let is_usual = width <= work.usual;
    let ahead = if is_usual { ahead.min(width) } else { ahead };
    let ahead = ahead.min(work.most_away.saturating_sub(width));
    // Where fewer are paused than the places ask for, a place waits for the next one's pause.
    let cycle = match ahead {
        0 => load + pause,
        _ => load.max(pause.mul_f64(width as f64 / ahead as f64)),
    };
    let place_time = cycle.max(times.place_time(load, work.hung));
    let mut free = free_from(now, work, load, width);
    let ready = work.paused.iter().map(|since| *since + pause);
    let ready = ready.chain(std::iter::repeat(now + pause));
    let mut late = 0;
    let mut least_slack = Some(Duration::MAX);
    // Those that are late however many load must not widen it.
    let soonest = work.orders_from.max(now + SHORTEST_PAUSE) + load;
    for (number, (deadline, ready)) in work.waiting.iter().zip(ready).enumerate() {
        let place = &mut free[number % width];
        let begins = ready.max(*place).max(work.orders_from);
        let end = begins + load;
        *place = begins + place_time;
        late += usize::from(end > *deadline);
        if soonest <= *deadline {
            let slack = (end <= *deadline).then(|| deadline.since(end));
            least_slack = least_slack.min(slack);
        }
    }
    let plan = RolloutPlan {
        concurrency: width,
        paused_ahead: ahead,
        pause,
        load_time: load,
        late,
        max_unavailable: work.most_away,
    };
    Reckoned { plan, least_slack }
}

/// When each of so many places is free, by what those that have one still need.
fn free_from(now: Time, work: &Work, load: Duration, width: usize) -> Vec<Time> {
    let ends = work.running.iter().map(|age| now + load.saturating_sub(*age));
    let mut free: Vec<Time> = ends.collect();
    free.sort();
    let surplus = free.len().saturating_sub(width);
    free.drain(..surplus);
    let mut all = vec![now; width - free.len()];
    all.append(&mut free);
    all
}
