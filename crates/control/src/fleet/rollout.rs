//! Rolls named weights out to replicas by orders that only one holder gives.

use super::events::{BeliefChange, WeightsEvent, WordSource};
use super::orders::{FleetAction, LoadMode, OrderEnd, OrderReport, ReplicaReport, WeightsOrder};
use super::protocol::{Availability, InstanceReport, InstanceStatus, LoadedModel};
use super::schedule::Schedule;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_types::{Instance, InstanceId, Start, Time};

/// Time after an accepted order before the replica is first asked how it stands.
const FIRST_QUESTION: Duration = Duration::from_millis(800);
/// Time between two such questions.
const QUESTION_INTERVAL: Duration = Duration::from_millis(150);
/// Age up to which a report may miss an order that was accepted.
const REPORT_LAG: Duration = Duration::from_millis(1_300);
/// Time before the end of its bound at which a replica with an older version gets no requests, so
/// that none waits there beyond it.
const OVERDUE_MARGIN: Duration = Duration::from_millis(1_500);
/// Time after which an order without an answer counts as lost.
const ORDER_LIMIT: Duration = Duration::from_millis(1_000);
/// Time after which a load that does not end is ordered again.
const LOAD_LIMIT: Duration = Duration::from_secs(6);
/// Pause before a replica that failed an order is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Bounds of the roll-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Time for which a new holder gives no orders, so that two never take turns within it.
    pub lease: Duration,
    /// Time within which a named version must be everywhere.
    pub spread: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        RolloutSettings { lease: Duration::from_secs(3), spread: Duration::from_secs(8) }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Gateways are told to pass it over; its version must be there by the deadline.
    Pausing { since: Time, deadline: Time },
    /// Its order may be given.
    Granted,
    /// A question is under way before the order.
    Asking { since: Time },
    /// An order is under way.
    Ordering { since: Time },
    /// It loads.
    Loading { since: Time, ask_at: Time },
    /// Something failed; it is tried again.
    Resting { until: Time },
}

#[derive(Clone, Debug)]
struct Target {
    phase: Phase,
    model: String,
    version: u32,
}

/// The roll-out as its one holder knows it. Invariants: it acts only for a leader with a lease
/// whose predecessor's last order is at least `lease` old; it goes straight to the newest version;
/// at most a bounded part of a service's replicas loads at once.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rollout {
    settings: RolloutSettings,
    schedule: Schedule,
    targets: BTreeMap<InstanceId, Target>,
    loaded: BTreeMap<InstanceId, Vec<LoadedModel>>,
    sequences: BTreeMap<InstanceId, u64>,
    /// Replicas that have seen a higher fence than this holder's; it orders nothing there again.
    fenced: BTreeSet<InstanceId>,
    /// Word of weights that differed from what was known, not yet told.
    events: Vec<WeightsEvent>,
}

/// Who says something of a replica's weights.
#[derive(Clone, Copy)]
struct Word<'a> {
    instance: &'a str,
    start: Start,
    count: u64,
    source: WordSource,
}

impl Rollout {
    pub(crate) fn new(settings: RolloutSettings) -> Self {
        Rollout { settings, ..Rollout::default() }
    }

    /// Forgets everything: another member may have given orders meanwhile.
    pub(crate) fn reset(&mut self) {
        *self = Rollout::new(self.settings);
    }

    /// What gateways need to know of a replica.
    pub(crate) fn status(&self, now: Time, id: &str) -> InstanceStatus {
        let models = self.loaded.get(id).cloned().unwrap_or_default();
        let is_overdue = models.iter().any(|loaded| {
            let due = self.schedule.due(&loaded.model, loaded.version);
            due.is_some_and(|named| now >= named + self.settings.spread - OVERDUE_MARGIN)
        });
        let is_loading = self.targets.get(id).is_some_and(|target| target.is_paused());
        let availability = match (is_overdue, is_loading) {
            (true, _) => Availability::Barred,
            (false, true) => Availability::Paused,
            (false, false) => Availability::Open,
        };
        InstanceStatus {
            id: id.to_owned(),
            availability,
            models,
            start: Start::UNSAID,
            correction: (0, 0),
        }
    }

    /// Takes what a heartbeat says of loaded weights. A heartbeat may be seconds old, so it never
    /// takes a version back.
    pub(crate) fn heard(&mut self, report: &InstanceReport) {
        let word = Word {
            instance: &report.instance.id,
            start: report.instance.start,
            count: report.count,
            source: WordSource::Heartbeat,
        };
        self.take_word(word, &report.models);
    }

    fn take_word(&mut self, word: Word<'_>, models: &[LoadedModel]) {
        if models.is_empty() {
            return;
        }
        let known = self.loaded.entry(word.instance.to_owned()).or_default();
        for model in models {
            let before = known.iter().find(|one| one.model == model.model).map(|one| one.version);
            let change = match before {
                Some(version) if version == model.version => continue,
                Some(version) if version > model.version => BeliefChange::Kept,
                _ => BeliefChange::Taken,
            };
            match known.iter_mut().find(|one| one.model == model.model) {
                Some(one) => one.version = one.version.max(model.version),
                None => known.push(model.clone()),
            }
            self.events.push(word.event(model, before, change));
        }
    }

    /// Word of weights that differed from what was known, since this was asked last.
    pub(crate) fn take_events(&mut self) -> Vec<WeightsEvent> {
        std::mem::take(&mut self.events)
    }

    /// Forgets replicas that are neither registered nor about to be.
    pub(crate) fn forget(&mut self, is_known: impl Fn(&str) -> bool) {
        self.loaded.retain(|id, _| is_known(id));
    }

    /// Takes the shell's word on an action.
    pub(crate) fn ended(&mut self, now: Time, report: OrderReport) {
        match report {
            OrderReport::Order(id, end) => self.order_ended(now, &id, end),
            OrderReport::Question(id, report) => self.question_ended(now, &id, report),
        }
    }

    fn order_ended(&mut self, now: Time, id: &str, end: OrderEnd) {
        let Some(target) = self.targets.get_mut(id) else { return };
        match end {
            OrderEnd::Accepted => {
                target.phase = Phase::Loading { since: now, ask_at: now + FIRST_QUESTION };
            }
            OrderEnd::Holds => {
                let loaded = LoadedModel { model: target.model.clone(), version: target.version };
                self.targets.remove(id);
                let word = Word {
                    instance: id,
                    start: Start::UNSAID,
                    count: 0,
                    source: WordSource::Order,
                };
                self.take_word(word, &[loaded]);
            }
            // An order that got no answer may be carried out seconds later. Given again with the
            // same sequence, at most one of the two is carried out.
            OrderEnd::Unknown | OrderEnd::Conflict => target.phase = Phase::Granted,
            OrderEnd::Fenced => {
                self.targets.remove(id);
                self.fenced.insert(id.to_owned());
            }
            OrderEnd::Refused => {
                target.phase = Phase::Resting { until: now + RETRY_PAUSE };
            }
        }
    }

    fn question_ended(&mut self, now: Time, id: &str, report: Option<ReplicaReport>) {
        let Some(report) = report else {
            if let Some(target) = self.targets.get_mut(id) {
                target.phase = Phase::Resting { until: now + RETRY_PAUSE };
            }
            return;
        };
        self.sequences.insert(id.to_owned(), report.sequence);
        let (start, count) = (report.start, report.sequence);
        let word = Word { instance: id, start, count, source: WordSource::Report };
        self.take_word(word, &report.models);
        let Some(target) = self.targets.get(id) else { return };
        let holds = self.version_of(id, &target.model) >= Some(target.version);
        if holds && !report.is_busy {
            self.targets.remove(id);
            return;
        }
        let Some(target) = self.targets.get_mut(id) else { return };
        let ask_at = now + QUESTION_INTERVAL;
        match target.phase {
            // A report lags: what was accepted lately may not show yet.
            Phase::Loading { since, .. } if report.is_busy || now < since + REPORT_LAG => {
                target.phase = Phase::Loading { since, ask_at };
            }
            Phase::Loading { .. } => target.phase = Phase::Resting { until: now + RETRY_PAUSE },
            Phase::Asking { .. } if report.is_busy => {
                target.phase = Phase::Loading { since: now, ask_at };
            }
            _ => {}
        }
    }

    fn version_of(&self, id: &str, model: &str) -> Option<u32> {
        let models = self.loaded.get(id)?;
        models.iter().find(|one| one.model == model).map(|one| one.version)
    }

    /// Notes when versions were first seen named.
    pub(crate) fn note_weights(&mut self, named_at: Time, weights: &BTreeMap<String, u32>) {
        self.schedule.note(named_at, weights);
    }

    /// Takes the next steps of a holder that may give orders.
    pub(crate) fn step(
        &mut self,
        now: Time,
        fence: Term,
        instances: &BTreeMap<InstanceId, Instance>,
        weights: &BTreeMap<String, u32>,
    ) -> Vec<FleetAction> {
        self.targets.retain(|id, _| instances.get(id).is_some_and(|one| !one.is_draining));
        self.sequences.retain(|id, _| instances.contains_key(id));
        self.fenced.retain(|id| instances.contains_key(id));
        self.admit(now, instances, weights);
        self.grant_orders(now, instances);
        let ids: Vec<InstanceId> = self.targets.keys().cloned().collect();
        let steps = ids.iter().filter_map(|id| self.advance(now, fence, &instances[id], weights));
        steps.collect()
    }

    /// Has gateways pass over those that load next.
    fn admit(
        &mut self,
        now: Time,
        instances: &BTreeMap<InstanceId, Instance>,
        weights: &BTreeMap<String, u32>,
    ) {
        let mut services: BTreeMap<&str, Vec<&Instance>> = BTreeMap::new();
        for instance in instances.values().filter(|one| !one.is_draining) {
            services.entry(&instance.service).or_default().push(instance);
        }
        for replicas in services.values() {
            let under_way =
                replicas.iter().filter(|one| self.targets.contains_key(&one.id)).count();
            let may_be_ordered = |one: &&&Instance| {
                !self.targets.contains_key(&one.id) && !self.fenced.contains(&one.id)
            };
            let lacking = replicas.iter().filter(may_be_ordered);
            let lacking = lacking.filter_map(|one| {
                let (model, newest, named) = self.lacking(&one.id, weights)?;
                Some((named + self.settings.spread, one.id.clone(), model, newest))
            });
            let mut lacking: Vec<_> = lacking.collect();
            lacking.sort();
            let starting = Schedule::starting(replicas.len(), under_way);
            for (deadline, id, model, version) in lacking.into_iter().take(starting) {
                let phase = Phase::Pausing { since: now, deadline };
                self.targets.insert(id, Target { phase, model, version });
            }
        }
    }

    /// Lets replicas that have been paused long enough go on to their order, those of the oldest
    /// deadline first, as far as their service's bound on loads allows.
    fn grant_orders(&mut self, now: Time, instances: &BTreeMap<InstanceId, Instance>) {
        let mut room: BTreeMap<&str, usize> = BTreeMap::new();
        for instance in instances.values().filter(|one| !one.is_draining) {
            *room.entry(&instance.service).or_default() += 1;
        }
        room.values_mut().for_each(|count| *count = Schedule::at_once(*count));
        for (id, target) in &self.targets {
            if target.is_loading()
                && let Some(free) = room.get_mut(instances[id].service.as_str())
            {
                *free = free.saturating_sub(1);
            }
        }
        let mut waiting: Vec<(Time, InstanceId)> = Vec::new();
        for (id, target) in &self.targets {
            if let Phase::Pausing { since, deadline } = target.phase
                && Schedule::is_pause_over(now, since, deadline)
            {
                waiting.push((since, id.clone()));
            }
        }
        waiting.sort();
        for (_, id) in waiting {
            let free = room.get_mut(instances[&id].service.as_str());
            let (Some(free), Some(target)) = (free, self.targets.get_mut(&id)) else { continue };
            if *free > 0 {
                *free -= 1;
                target.phase = Phase::Granted;
            }
        }
    }

    /// A model of which a replica lacks the newest version: the model, that version, and when the
    /// first version that it lacks was named.
    fn lacking(&self, id: &str, weights: &BTreeMap<String, u32>) -> Option<(String, u32, Time)> {
        let models = self.loaded.get(id)?;
        models.iter().find_map(|loaded| {
            let newest = weights.get(&loaded.model).copied()?;
            let named = self.schedule.due(&loaded.model, loaded.version)?;
            (newest > loaded.version).then(|| (loaded.model.clone(), newest, named))
        })
    }

    fn advance(
        &mut self,
        now: Time,
        fence: Term,
        instance: &Instance,
        weights: &BTreeMap<String, u32>,
    ) -> Option<FleetAction> {
        let known_sequence = self.sequences.get(&instance.id).copied();
        let target = self.targets.get_mut(&instance.id)?;
        let question = FleetAction::Question {
            instance: instance.id.clone(),
            address: instance.address.clone(),
        };
        match target.phase {
            Phase::Granted => {
                target.phase = Phase::Asking { since: now };
                self.sequences.remove(&instance.id);
                Some(question)
            }
            Phase::Asking { since } => match known_sequence {
                Some(expected_sequence) => {
                    target.phase = Phase::Ordering { since: now };
                    target.version = weights.get(&target.model).copied()?.max(target.version);
                    let order = target.order(instance, fence, expected_sequence);
                    // The sequence counts this order; the next one asks anew.
                    self.sequences.remove(&instance.id);
                    Some(FleetAction::Order(order))
                }
                None if now >= since + ORDER_LIMIT => {
                    target.phase = Phase::Resting { until: now + RETRY_PAUSE };
                    None
                }
                None => None,
            },
            Phase::Ordering { since } if now >= since + ORDER_LIMIT => {
                target.phase = Phase::Granted;
                None
            }
            Phase::Loading { since, .. } if now >= since + LOAD_LIMIT => {
                target.phase = Phase::Resting { until: now + RETRY_PAUSE };
                None
            }
            Phase::Loading { since, ask_at } if now >= ask_at => {
                target.phase = Phase::Loading { since, ask_at: now + ORDER_LIMIT };
                Some(question)
            }
            Phase::Resting { until } if now >= until => {
                self.targets.remove(&instance.id);
                None
            }
            _ => None,
        }
    }
}

impl Word<'_> {
    fn event(self, said: &LoadedModel, before: Option<u32>, change: BeliefChange) -> WeightsEvent {
        WeightsEvent {
            instance: self.instance.to_owned(),
            start: self.start,
            count: self.count,
            source: self.source,
            model: said.model.clone(),
            before,
            said: said.version,
            change,
        }
    }
}

impl Target {
    fn is_loading(&self) -> bool {
        !matches!(self.phase, Phase::Pausing { .. } | Phase::Resting { .. })
    }

    fn is_paused(&self) -> bool {
        !matches!(self.phase, Phase::Resting { .. })
    }

    fn order(&self, instance: &Instance, fence: Term, expected_sequence: u64) -> WeightsOrder {
        WeightsOrder {
            instance: instance.id.clone(),
            address: instance.address.clone(),
            model: self.model.clone(),
            version: self.version,
            mode: LoadMode::KeepRuns,
            fence,
            expected_sequence,
            start: instance.start,
        }
    }
}
