//! Rolls named weights out to replicas by orders that only one holder gives.

use super::belief::{Belief, REPORT_LAG, Word};
use super::events::{ReportSource, RolloutEvent, WeightsEvent};
use super::orders::{ActionReport, FleetAction, OrderOutcome, ReplicaReport};
use super::protocol::{Availability, InstanceReport, InstanceStatus, LoadedModel};
use super::schedule::Schedule;
use super::target::{OrderedBy, Phase, Target};
use super::turns::Pace;
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_admission::{Pushback, PushbackRecords, PushbackSettings};
use topazmount_consensus::Term;
use topazmount_types::{Instance, InstanceId, Start, Time, incarnation_name};

/// Time after an accepted order before the replica is first asked how it stands.
const FIRST_QUESTION: Duration = Duration::from_millis(800);
/// Time between two such questions.
const QUESTION_INTERVAL: Duration = Duration::from_millis(150);
/// Time before the end of its bound at which a replica with an older version gets no requests, so
/// that none waits there beyond it.
const OVERDUE_MARGIN: Duration = Duration::from_millis(1_500);
/// Time after which an order without an answer counts as lost.
const ORDER_LIMIT: Duration = Duration::from_millis(1_000);
/// Time after which a load that does not end is ordered again.
const LOAD_LIMIT: Duration = Duration::from_secs(6);
/// Time for which a start that was heard may lack its registration; a change of the log takes some milliseconds.
const REGISTRATION_TIME: Duration = Duration::from_secs(1);
/// Pause before a replica that failed an order is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Bounds of the roll-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Time for which a new holder gives no orders, so that two never take turns within it.
    pub lease: Duration,
    /// Time within which a named version must be everywhere.
    pub deadline: Duration,
    /// What a load is taken to need until one was seen to end.
    pub initial_load_time: Duration,
    /// Share of a service's replicas that load at a time where that is enough: requests that begin on older weights are worth less, and stores
    /// of weights are slower with more.
    pub usual_loading_share: f64,
    /// Share of a service's replicas that go on serving while others load. At the end of the bound all on older weights are barred, so that
    /// more kept back from loading would serve for seconds and then be missed at once.
    pub min_serving_share: f64,
    /// How long what replicas ask of the holder is believed.
    pub pushback: PushbackSettings,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        RolloutSettings {
            lease: Duration::from_secs(3),
            deadline: Duration::from_secs(8),
            initial_load_time: Duration::from_secs(1),
            usual_loading_share: 1.0 / 6.0,
            min_serving_share: 1.0 / 3.0,
            pushback: PushbackSettings::default(),
        }
    }
}

impl RolloutSettings {
    /// Time after a version was named from which on requests must not be sent to older weights.
    pub fn exclude_after(&self) -> Duration {
        self.deadline.saturating_sub(OVERDUE_MARGIN)
    }

    /// Replicas, of so many, that load at a time where that is enough.
    pub(super) fn usually_loading(&self, replicas: usize) -> usize {
        (replicas as f64 * self.usual_loading_share).ceil() as usize
    }

    /// Replicas, of so many that could serve, that may be paused or loading at a time; one always may.
    pub(super) fn most_away(&self, replicas: usize) -> usize {
        let serving = (replicas as f64 * self.min_serving_share) as usize;
        replicas.saturating_sub(serving.max(1)).max(1)
    }
}

/// What the holder knows of one incarnation of a replica; a later one begins with nothing of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Replica {
    pub(super) belief: Belief,
    pub(super) target: Option<Target>,
    /// Orders that it has taken, as it reported since the last question.
    sequence: Option<u64>,
    /// When the entry was made.
    known_since: Time,
    /// Until when it is left alone after a failure, and until when it comes after all others.
    pub(super) rests_until: Time,
    pub(super) yields_until: Time,
    /// How often it failed since it last loaded.
    pub(super) failures: u32,
    /// Whether it has seen a higher fence than this holder's, which orders nothing there again.
    pub(super) is_fenced: bool,
}

/// The roll-out as its one holder knows it. Invariants: it acts only for a leader with a lease
/// whose predecessor's last order is at least `lease` old; it goes straight to the newest version;
/// a bounded part of a service's replicas goes on serving while others load; what is known of an incarnation ends with it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rollout {
    pub(super) settings: RolloutSettings,
    schedule: Schedule,
    pub(super) pace: Pace,
    pub(super) replicas: BTreeMap<InstanceId, Replica>,
    /// Term in which this member holds the roll-out.
    term: Term,
    /// What incarnations asked of this member, which it owes them in later terms too.
    pub(super) pushbacks: PushbackRecords,
    /// Word of weights that differed from what was known, not yet told.
    events: Vec<WeightsEvent>,
}

impl Rollout {
    pub(crate) fn new(settings: RolloutSettings) -> Self {
        let mut pushbacks = PushbackRecords::default();
        pushbacks.set_settings(settings.pushback);
        Rollout { settings, pushbacks, ..Rollout::default() }
    }

    /// Forgets everything but when versions were named, what loads took and what replicas asked as a term begins: another
    /// member may have given orders meanwhile.
    pub(crate) fn reset(&mut self, term: Term) {
        let schedule = std::mem::take(&mut self.schedule);
        let pushbacks = std::mem::take(&mut self.pushbacks);
        let pace = std::mem::take(&mut self.pace);
        *self = Rollout { term, schedule, pace, pushbacks, ..Rollout::new(self.settings) };
    }

    /// What gateways need to know of an incarnation; `None` where nothing was heard of its weights, so that what an
    /// earlier holder said of it stays in force.
    pub(crate) fn status(
        &self,
        now: Time,
        instance: &Instance,
        oldest: &BTreeMap<String, u32>,
    ) -> Option<InstanceStatus> {
        let replica = self.replica_of(instance)?;
        let belief = &replica.belief;
        let is_overdue = belief.models().iter().any(|loaded| {
            let due = self.schedule.due(&loaded.model, loaded.version);
            let is_due = due.is_some_and(|named| now >= named + self.settings.exclude_after());
            is_due || oldest.get(&loaded.model).is_some_and(|oldest| loaded.version < *oldest)
        });
        let is_loading = replica.target.is_some();
        let availability = match (is_overdue, is_loading) {
            (true, _) => Availability::Excluded,
            (false, true) => Availability::Paused,
            (false, false) => Availability::Available,
        };
        Some(InstanceStatus {
            id: instance.id.clone(),
            availability,
            models: belief.models().to_vec(),
            start: belief.start(),
            correction: belief.correction(),
        })
    }

    /// Versions whose bound is over while what the log says of the oldest ones lags behind that.
    pub(crate) fn to_retire(
        &self,
        now: Time,
        oldest: &BTreeMap<String, u32>,
    ) -> Vec<(String, u32)> {
        let over = self.schedule.named_before(now - self.settings.exclude_after());
        let is_news = |(model, version): &(&String, u32)| {
            oldest.get(*model).is_none_or(|oldest| oldest < version)
        };
        over.filter(is_news).map(|(model, version)| (model.clone(), version)).collect()
    }

    /// What is known of a registered incarnation.
    pub(super) fn replica_of(&self, instance: &Instance) -> Option<&Replica> {
        let replica = self.replicas.get(&instance.id)?;
        (replica.belief.start() == instance.start).then_some(replica)
    }

    /// The replica that word is about, with nothing of an earlier incarnation; `None` where the word itself is of an
    /// earlier one.
    fn replica_for(&mut self, now: Time, id: &str, start: Start) -> Option<&mut Replica> {
        let new = || Replica { belief: Belief::new(start), known_since: now, ..Replica::default() };
        let replica = self.replicas.entry(id.to_owned()).or_insert_with(new);
        if start < replica.belief.start() {
            return None;
        }
        if start > replica.belief.start() {
            *replica = new();
        }
        Some(replica)
    }

    /// Takes what a heartbeat says of loaded weights.
    pub(crate) fn heard(&mut self, now: Time, report: &InstanceReport) {
        if report.models.is_empty() {
            return;
        }
        let Instance { id, start, .. } = &report.instance;
        let word = Word {
            instance: id,
            start: *start,
            count: report.sequence,
            source: ReportSource::Heartbeat,
        };
        let Some(replica) = self.replica_for(now, id, *start) else { return };
        let events = replica.belief.heard(now, word, &report.models);
        self.events.extend(events);
    }

    /// Word of weights that differed from what was known, since this was asked last.
    pub(crate) fn take_events(&mut self) -> Vec<WeightsEvent> {
        std::mem::take(&mut self.events)
    }

    /// Plans that changed since this was asked last.
    pub(crate) fn take_plans(&mut self) -> Vec<RolloutEvent> {
        std::mem::take(&mut self.pace.events)
    }

    /// Forgets replicas that are neither registered nor about to be.
    pub(crate) fn forget(&mut self, is_known: impl Fn(&str) -> bool) {
        self.replicas.retain(|id, _| is_known(id));
    }

    /// Takes the shell's word on an action.
    pub(crate) fn ended(&mut self, now: Time, report: ActionReport) {
        match report {
            ActionReport::Order(id, start, end) => self.order_ended(now, &id, start, end),
            ActionReport::Query(id, Some(report)) => self.reported(now, &id, report),
            ActionReport::Query(id, None) => self.unanswered(now, &id),
            ActionReport::Pushback(id, start, said) => self.pushed_back(now, &id, start, said),
        }
    }

    /// A replica asks for rest, or says that it leaves. One that has not begun to load gives its place to others.
    fn pushed_back(&mut self, now: Time, id: &str, start: Start, said: Pushback) {
        // Only the incarnation that was asked may have answered; where the next one did, it says so again to the next call.
        if self.pushbacks.record(&incarnation_name(id, start), said, now).is_none() {
            return;
        }
        let spread = self.settings.deadline;
        let replica = self.replicas.get_mut(id).filter(|one| one.belief.start() == start);
        let is_waiting = |target: &Target| !matches!(target.phase, Phase::Loading { .. });
        if let Some(replica) = replica.filter(|one| one.target.as_ref().is_some_and(is_waiting)) {
            replica.failed(now, spread);
        }
    }

    fn order_ended(&mut self, now: Time, id: &str, start: Start, end: OrderOutcome) {
        let Some(replica) = self.replicas.get_mut(id) else { return };
        // What became of an order to an earlier incarnation says nothing of this one.
        if replica.belief.start() != start {
            return;
        }
        let Some(target) = &mut replica.target else { return };
        match end {
            OrderOutcome::Accepted => {
                let by = OrderedBy::ThisHolder;
                target.phase = Phase::Loading { since: now, ask_at: now + FIRST_QUESTION, by };
            }
            OrderOutcome::AlreadyLoaded => {
                let loaded = LoadedModel { model: target.model.clone(), version: target.version };
                let word = Word { instance: id, start, count: 0, source: ReportSource::Order };
                replica.target = None;
                let events = replica.belief.heard(now, word, &[loaded]);
                self.events.extend(events);
            }
            OrderOutcome::Fenced => {
                replica.target = None;
                replica.is_fenced = true;
            }
            // An order that got no answer may be carried out seconds later. Given again with the same sequence, at
            // most one of the two is carried out.
            OrderOutcome::Refused | OrderOutcome::Unknown | OrderOutcome::Conflict => {
                replica.failed(now, self.settings.deadline);
            }
        }
    }

    fn reported(&mut self, now: Time, id: &str, report: ReplicaReport) {
        let term = self.term;
        let Some(known) = self.replicas.get(id) else { return };
        // A start that only its reports, or only its heartbeats say tells nothing apart.
        let start = known.belief.start();
        let is_other = ![start, Start::UNKNOWN].contains(&report.start) && start != Start::UNKNOWN;
        if is_other {
            // Its next heartbeat tells which incarnation is there.
            return self.unanswered(now, id);
        }
        let count = report.sequence;
        let word = Word { instance: id, start, count, source: ReportSource::Query };
        let spread = self.settings.deadline;
        let Some(replica) = self.replica_for(now, id, start) else { return };
        replica.sequence = Some(count);
        let events = replica.belief.reported(now, term, word, &report.models);
        let loaded = replica.question_ended(now, spread, report.is_busy);
        self.events.extend(events);
        if let Some(target) = loaded
            && let Some(took) = target.took(now)
        {
            self.pace.times.entry(target.service).or_default().note(target.width, took);
        }
    }

    /// A question to a replica got no answer that can be used.
    fn unanswered(&mut self, now: Time, id: &str) {
        let spread = self.settings.deadline;
        if let Some(replica) = self.replicas.get_mut(id).filter(|one| one.target.is_some()) {
            replica.failed(now, spread);
        }
    }

    /// Notes when versions were first seen named.
    pub(crate) fn note_weights(&mut self, named_at: Time, weights: &BTreeMap<String, u32>) {
        self.schedule.note(named_at, weights);
    }

    /// Takes the next steps of a holder that may give orders from a moment on.
    pub(crate) fn step(
        &mut self,
        now: Time,
        orders_from: Time,
        fence: Term,
        instances: &BTreeMap<InstanceId, Instance>,
        weights: &BTreeMap<String, u32>,
    ) -> Vec<FleetAction> {
        // The registry decides which incarnation is there: a clock that stepped back, or another writer's word, may have
        // left a later start here, under which nothing would be heard any more.
        self.replicas.retain(|id, replica| {
            let is_ahead = |one: &Instance| one.start < replica.belief.start();
            !instances.get(id).is_some_and(is_ahead)
                || now < replica.known_since + REGISTRATION_TIME
        });
        for (id, replica) in &mut self.replicas {
            let instance = instances.get(id).filter(|one| one.start == replica.belief.start());
            if instance.is_none_or(|one| one.is_draining) {
                replica.target = None;
            }
        }
        self.take_turns(now, orders_from, instances, weights);
        if now < orders_from {
            return Vec::new();
        }
        let registered = instances.values();
        registered.filter_map(|one| self.advance(now, fence, one, weights)).collect()
    }

    /// A model of which a replica lacks the newest version: the model, that version, and when the
    /// first version that it lacks was named.
    pub(super) fn lacking(
        &self,
        belief: &Belief,
        weights: &BTreeMap<String, u32>,
    ) -> Option<(String, u32, Time)> {
        belief.models().iter().find_map(|loaded| {
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
        let may_call = self.pushbacks.is_available(&instance.incarnation_name(), now);
        let replica = self.replicas.get_mut(&instance.id)?;
        if replica.belief.start() != instance.start || !may_call {
            return None;
        }
        let question = FleetAction::Query {
            instance: instance.id.clone(),
            start: instance.start,
            address: instance.address.clone(),
        };
        let Some(target) = &mut replica.target else {
            return replica.belief.asks(now).then_some(question);
        };
        match target.phase {
            Phase::Granted => {
                target.phase = Phase::Asking { since: now };
                replica.sequence = None;
                Some(question)
            }
            // The sequence counts this order; the next one asks anew.
            Phase::Asking { since } => match replica.sequence.take() {
                Some(expected_sequence) => {
                    target.phase = Phase::Ordering { since: now };
                    target.version = weights.get(&target.model).copied()?.max(target.version);
                    Some(FleetAction::Order(target.order(instance, fence, expected_sequence)))
                }
                None if now >= since + ORDER_LIMIT => {
                    replica.failed(now, self.settings.deadline);
                    None
                }
                None => None,
            },
            Phase::Ordering { since } if now >= since + ORDER_LIMIT => {
                replica.failed(now, self.settings.deadline);
                None
            }
            Phase::Loading { since, .. } if now >= since + LOAD_LIMIT => {
                replica.failed(now, self.settings.deadline);
                None
            }
            Phase::Loading { since, ask_at, by } if now >= ask_at => {
                target.phase = Phase::Loading { since, ask_at: now + ORDER_LIMIT, by };
                Some(question)
            }
            _ => None,
        }
    }
}

impl Replica {
    /// Gives up what was to load: an order or a question failed. Its place goes to others, and it comes after them
    /// for the time of a bound; then it is the first again, by its deadline. Where it kept its place or its turn, one to four of
    /// 12 replicas that refuse, leave orders or questions unanswered or never end a load held up two to all of the others
    /// for the bound of 8 s (members and replicas on a virtual clock).
    fn failed(&mut self, now: Time, spread: Duration) {
        self.target = None;
        self.rests_until = now + RETRY_PAUSE;
        self.yields_until = now + spread;
        self.failures += 1;
    }

    /// Goes on after a report. Returns the target where what was to load is there.
    fn question_ended(&mut self, now: Time, spread: Duration, is_busy: bool) -> Option<Target> {
        let target = self.target.as_mut()?;
        if self.belief.version(&target.model) >= Some(target.version) && !is_busy {
            self.failures = 0;
            return self.target.take();
        }
        let ask_at = now + QUESTION_INTERVAL;
        match target.phase {
            // A report lags: what was accepted lately may not show yet.
            Phase::Loading { since, by, .. } if is_busy || now < since + REPORT_LAG => {
                target.phase = Phase::Loading { since, ask_at, by };
            }
            Phase::Loading { .. } => self.failed(now, spread),
            Phase::Asking { .. } if is_busy => {
                target.phase = Phase::Loading { since: now, ask_at, by: OrderedBy::Another };
            }
            _ => {}
        }
        None
    }
}
