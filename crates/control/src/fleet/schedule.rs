//! When replicas must begin to load, so that each version is everywhere in time.

use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_types::Time;

/// Replicas of a service for each one that may load at the same time. Stores of weights are slower
/// with more.
const REPLICAS_PER_LOAD: usize = 6;
/// Time that one replica takes from its order until it serves again.
const LOAD_TIME: Duration = Duration::from_millis(1_000);
/// Time for which gateways pass a replica over before its order, so that most of its runs end: a
/// load holds up the streams that still run.
const LONG_PAUSE: Duration = Duration::from_millis(1_200);
/// The same for a replica whose bound is near.
const SHORT_PAUSE: Duration = Duration::from_millis(300);
/// Time kept back of the bound.
const MARGIN: Duration = Duration::from_millis(2_000);

/// When versions were named, and when replicas load. Requests that begin on older weights are worth
/// less, so that loads begin at once; they go straight to the newest version.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    named: BTreeMap<String, Vec<(u32, Time)>>,
}

impl Schedule {
    /// Notes versions that are newly named. Those that a member finds as it starts count from then: the bound counts while
    /// the group is calm, which a start of its leader ends. Taken for four seconds old, replicas were barred before they
    /// could be ordered: on a day that loses all power right after a version was named, 0.63 and 0.64 of the worth
    /// in place of 0.74 to 0.76.
    pub(crate) fn note(&mut self, now: Time, weights: &BTreeMap<String, u32>) {
        for (model, version) in weights {
            let named = self.named.entry(model.clone()).or_default();
            if named.last().is_none_or(|(last, _)| last < version) {
                named.push((*version, now));
            }
        }
    }

    /// When the first version above this one was named.
    pub(crate) fn due(&self, model: &str, version: u32) -> Option<Time> {
        let named = self.named.get(model)?;
        named.iter().find(|(one, _)| *one > version).map(|(_, at)| *at)
    }

    /// The newest version of each model that was named before a moment.
    pub(crate) fn named_before(&self, moment: Time) -> impl Iterator<Item = (&String, u32)> {
        self.named.iter().filter_map(move |(model, named)| {
            let before = named.iter().rev().find(|(_, at)| *at <= moment);
            Some((model, before?.0))
        })
    }

    /// Replicas of a service, of so many, that may load at the same time.
    pub(crate) fn at_once(replicas: usize) -> usize {
        replicas.div_ceil(REPLICAS_PER_LOAD)
    }

    /// How many more replicas of a service, of so many, may be passed over now; `under_way` are
    /// already. Those that load next are paused while others load.
    pub(crate) fn starting(replicas: usize, under_way: usize) -> usize {
        (Self::at_once(replicas) * 2).saturating_sub(under_way)
    }

    /// Whether a replica that has been passed over since a moment may be ordered to load.
    pub(crate) fn is_pause_over(now: Time, since: Time, deadline: Time) -> bool {
        let is_near = now + LOAD_TIME + MARGIN >= deadline;
        now >= since + if is_near { SHORT_PAUSE } else { LONG_PAUSE }
    }
}
