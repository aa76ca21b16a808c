//! Rolls published weights out to replicas. Only the leader gives load orders.

use super::events::{ReportSource, RolloutEvent, WeightsEvent};
use super::loading_slots::Planner;
use super::orders::{ActionReport, FleetAction, OrderOutcome, ReplicaReport};
use super::protocol::{Availability, InstanceReport, InstanceStatus, LoadedModel};
use super::publications::Publications;
use super::target::{LoadTarget, OrderedBy, Phase};
use super::weights_record::{REPORT_LAG, ReportContext, WeightsRecord};
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_admission::{Pushback, PushbackRecords, PushbackSettings};
use topazmount_consensus::Term;
use topazmount_types::{Instance, InstanceId, Start, Time, incarnation_name};

/// Delay between an accepted order and the first query of the replica's state.
const FIRST_QUERY_DELAY: Duration = Duration::from_millis(800);
/// Interval between these queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(150);
/// Outdated replicas are excluded this long before the roll-out deadline, so that no request waits
/// there beyond it.
const EXCLUSION_MARGIN: Duration = Duration::from_millis(1_500);
/// An order without a response counts as lost after this time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A load that has not ended after this time is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// How long an incarnation may be unregistered after its first heartbeat.
const REGISTRATION_GRACE: Duration = Duration::from_secs(1);
/// Delay before a replica that failed an order is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(600);

/// Settings of the roll-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Time for which a new leader gives no orders, so that two leaders never give orders at once.
    pub lease: Duration,
    /// Time within which published weights must be loaded everywhere.
    pub deadline: Duration,
    /// Assumed duration of a load until one has been observed.
    pub initial_load_time: Duration,
    /// Share of a service's replicas that load at a time while that meets the deadline. More loads
    /// at a time slow down the weights store.
    pub usual_loading_share: f64,
    /// Share of a service's replicas that keep serving while others load. At the deadline all
    /// outdated replicas are excluded at once, so the share must not be large.
    pub min_serving_share: f64,
    /// Limits of what replicas may ask of the leader.
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
    /// Time after a publication at which outdated replicas are excluded.
    pub fn exclude_after(&self) -> Duration {
        self.deadline.saturating_sub(EXCLUSION_MARGIN)
    }

    /// Number of replicas that load at a time while that meets the deadline.
    pub(super) fn usual_concurrency(&self, replicas: usize) -> usize {
        (replicas as f64 * self.usual_loading_share).ceil() as usize
    }

    /// Maximum number of replicas that may be paused or loading; at least one.
    pub(super) fn max_unavailable(&self, replicas: usize) -> usize {
        let serving = (replicas as f64 * self.min_serving_share) as usize;
        replicas.saturating_sub(serving.max(1)).max(1)
    }
}

/// What the leader knows of one incarnation of a replica.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaRecord {
    pub(super) weights_record: WeightsRecord,
    pub(super) target: Option<LoadTarget>,
    /// Orders that the replica has taken, as reported since the last query.
    sequence: Option<u64>,
    created_at: Time,
    /// No order before `retry_at`; until `low_priority_until` the replica comes after all others.
    pub(super) retry_at: Time,
    pub(super) low_priority_until: Time,
    /// Failures since its last successful load.
    pub(super) failures: u32,
    /// Whether it has accepted orders from a leader with a higher fence; this leader gives it no
    /// more.
    pub(super) is_fenced: bool,
}

/// The leader's view of the roll-out. Invariants: orders are given only by a leader with a lease,
/// at least `lease` after its predecessor's last order; replicas go straight to the newest version;
/// a minimum share of a service's replicas keeps serving; nothing known of an incarnation is
/// applied to a later one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rollout {
    pub(super) settings: RolloutSettings,
    publications: Publications,
    pub(super) planner: Planner,
    pub(super) replicas: BTreeMap<InstanceId, ReplicaRecord>,
    /// Term in which this member leads.
    term: Term,
    /// Pushback that replicas sent to this member; it holds in later terms too.
    pub(super) pushbacks: PushbackRecords,
    /// Weights reports that differed from the record, not yet returned.
    events: Vec<WeightsEvent>,
}

impl Rollout {
    pub(crate) fn new(settings: RolloutSettings) -> Self {
        let mut pushbacks = PushbackRecords::default();
        pushbacks.set_settings(settings.pushback);
        Rollout { settings, pushbacks, ..Rollout::default() }
    }

    /// Resets the state at the start of a term, since another member may have given orders
    /// meanwhile. Publication times, load times and pushback are kept.
    pub(crate) fn reset(&mut self, term: Term) {
        let publications = std::mem::take(&mut self.publications);
        let pushbacks = std::mem::take(&mut self.pushbacks);
        let planner = std::mem::take(&mut self.planner);
        *self = Rollout { term, publications, planner, pushbacks, ..Rollout::new(self.settings) };
    }

    /// Status of an incarnation for gateways; `None` while its weights are unknown, so that the
    /// status from an earlier leader stays in force.
    pub(crate) fn status(
        &self,
        now: Time,
        instance: &Instance,
        oldest: &BTreeMap<String, u32>,
    ) -> Option<InstanceStatus> {
        let replica = self.record_of(instance)?;
        let weights_record = &replica.weights_record;
        let is_overdue = weights_record.models().iter().any(|loaded| {
            let due = self.publications.outdated_since(&loaded.model, loaded.version);
            let is_due =
                due.is_some_and(|published_at| now >= published_at + self.settings.exclude_after());
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
            models: weights_record.models().to_vec(),
            start: weights_record.start(),
            correction: weights_record.correction(),
        })
    }

    /// Versions whose deadline has passed and that are newer than the oldest version in the log.
    pub(crate) fn versions_to_retire(
        &self,
        now: Time,
        oldest: &BTreeMap<String, u32>,
    ) -> Vec<(String, u32)> {
        let expired = self.publications.published_before(now - self.settings.exclude_after());
        let is_newer = |(model, version): &(&String, u32)| {
            oldest.get(*model).is_none_or(|oldest| oldest < version)
        };
        expired.filter(is_newer).map(|(model, version)| (model.clone(), version)).collect()
    }

    /// The record of a registered incarnation.
    pub(super) fn record_of(&self, instance: &Instance) -> Option<&ReplicaRecord> {
        let replica = self.replicas.get(&instance.id)?;
        (replica.weights_record.start() == instance.start).then_some(replica)
    }

    /// The record for a reported incarnation, reset if the incarnation is new; `None` if a later
    /// incarnation is known.
    fn record_for(&mut self, now: Time, id: &str, start: Start) -> Option<&mut ReplicaRecord> {
        let new = || ReplicaRecord {
            weights_record: WeightsRecord::new(start),
            created_at: now,
            ..ReplicaRecord::default()
        };
        let replica = self.replicas.entry(id.to_owned()).or_insert_with(new);
        if start < replica.weights_record.start() {
            return None;
        }
        if start > replica.weights_record.start() {
            *replica = new();
        }
        Some(replica)
    }

    /// Records the loaded weights from a heartbeat.
    pub(crate) fn on_heartbeat(&mut self, now: Time, report: &InstanceReport) {
        if report.models.is_empty() {
            return;
        }
        let Instance { id, start, .. } = &report.instance;
        let context = ReportContext {
            instance: id,
            start: *start,
            sequence: report.sequence,
            source: ReportSource::Heartbeat,
        };
        let Some(replica) = self.record_for(now, id, *start) else { return };
        let events = replica.weights_record.record_unconfirmed(now, context, &report.models);
        self.events.extend(events);
    }

    /// Returns the weights reports that differed from the record since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<WeightsEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the plans that changed since the last call.
    pub(crate) fn take_plans(&mut self) -> Vec<RolloutEvent> {
        std::mem::take(&mut self.planner.events)
    }

    /// Drops records of unknown replicas.
    pub(crate) fn retain_known(&mut self, is_known: impl Fn(&str) -> bool) {
        self.replicas.retain(|id, _| is_known(id));
    }

    /// Records the result of an action.
    pub(crate) fn on_action_report(&mut self, now: Time, report: ActionReport) {
        match report {
            ActionReport::Order(id, start, end) => self.on_order_outcome(now, &id, start, end),
            ActionReport::Query(id, Some(report)) => self.on_query_response(now, &id, report),
            ActionReport::Query(id, None) => self.on_query_failed(now, &id),
            ActionReport::Pushback(id, start, pushback) => {
                self.on_pushback(now, &id, start, pushback)
            }
        }
    }

    /// Records a replica's pushback. If it has not begun to load, its slot goes to others.
    fn on_pushback(&mut self, now: Time, id: &str, start: Start, pushback: Pushback) {
        // If the next incarnation sent this, it sends it again with its next response.
        if self.pushbacks.record(&incarnation_name(id, start), pushback, now).is_none() {
            return;
        }
        let spread = self.settings.deadline;
        let replica =
            self.replicas.get_mut(id).filter(|record| record.weights_record.start() == start);
        let is_waiting = |target: &LoadTarget| !matches!(target.phase, Phase::Loading { .. });
        if let Some(replica) =
            replica.filter(|record| record.target.as_ref().is_some_and(is_waiting))
        {
            replica.abandon_target(now, spread);
        }
    }

    fn on_order_outcome(&mut self, now: Time, id: &str, start: Start, end: OrderOutcome) {
        let Some(replica) = self.replicas.get_mut(id) else { return };
        // The order went to an earlier incarnation.
        if replica.weights_record.start() != start {
            return;
        }
        let Some(target) = &mut replica.target else { return };
        match end {
            OrderOutcome::Accepted => {
                let ordered_by = OrderedBy::ThisLeader;
                target.phase =
                    Phase::Loading { since: now, query_at: now + FIRST_QUERY_DELAY, ordered_by };
            }
            OrderOutcome::AlreadyLoaded => {
                let loaded = LoadedModel { model: target.model.clone(), version: target.version };
                let context =
                    ReportContext { instance: id, start, sequence: 0, source: ReportSource::Order };
                replica.target = None;
                let events = replica.weights_record.record_unconfirmed(now, context, &[loaded]);
                self.events.extend(events);
            }
            OrderOutcome::Fenced => {
                replica.target = None;
                replica.is_fenced = true;
            }
            // An unacknowledged order may still be carried out later. Repeated with the same
            // sequence, at most one of the two is.
            OrderOutcome::Refused | OrderOutcome::Unknown | OrderOutcome::Conflict => {
                replica.abandon_target(now, self.settings.deadline);
            }
        }
    }

    fn on_query_response(&mut self, now: Time, id: &str, report: ReplicaReport) {
        let term = self.term;
        let Some(record) = self.replicas.get(id) else { return };
        // The starts are compared only if both are specified.
        let start = record.weights_record.start();
        let is_other_incarnation =
            ![start, Start::UNKNOWN].contains(&report.start) && start != Start::UNKNOWN;
        if is_other_incarnation {
            // The next heartbeat shows which incarnation is running.
            return self.on_query_failed(now, id);
        }
        let sequence = report.sequence;
        let context = ReportContext { instance: id, start, sequence, source: ReportSource::Query };
        let spread = self.settings.deadline;
        let Some(replica) = self.record_for(now, id, start) else { return };
        replica.sequence = Some(sequence);
        let events = replica.weights_record.record_query(now, term, context, &report.models);
        let finished = replica.continue_load(now, spread, report.is_busy);
        self.events.extend(events);
        if let Some(target) = finished
            && let Some(load_time) = target.load_duration(now)
        {
            self.planner
                .times
                .entry(target.service)
                .or_default()
                .record(target.concurrency, load_time);
        }
    }

    /// Handles a query without a usable response.
    fn on_query_failed(&mut self, now: Time, id: &str) {
        let spread = self.settings.deadline;
        if let Some(replica) = self.replicas.get_mut(id).filter(|record| record.target.is_some()) {
            replica.abandon_target(now, spread);
        }
    }

    /// Records when versions were first seen as published.
    pub(crate) fn record_publications(
        &mut self,
        published_at: Time,
        weights: &BTreeMap<String, u32>,
    ) {
        self.publications.record(published_at, weights);
    }

    /// Advances the roll-out. No order is given before `orders_from`.
    pub(crate) fn step(
        &mut self,
        now: Time,
        orders_from: Time,
        fence: Term,
        instances: &BTreeMap<InstanceId, Instance>,
        weights: &BTreeMap<String, u32>,
    ) -> Vec<FleetAction> {
        // The registry decides which incarnation is running. A clock that stepped back or an
        // external writer may have left a later start here, which would hide all further
        // heartbeats.
        self.replicas.retain(|id, replica| {
            let is_ahead = |instance: &Instance| instance.start < replica.weights_record.start();
            !instances.get(id).is_some_and(is_ahead)
                || now < replica.created_at + REGISTRATION_GRACE
        });
        for (id, replica) in &mut self.replicas {
            let instance = instances
                .get(id)
                .filter(|instance| instance.start == replica.weights_record.start());
            if instance.is_none_or(|instance| instance.is_draining) {
                replica.target = None;
            }
        }
        self.schedule_loads(now, orders_from, instances, weights);
        if now < orders_from {
            return Vec::new();
        }
        let registered = instances.values();
        registered.filter_map(|instance| self.next_action(now, fence, instance, weights)).collect()
    }

    /// A model whose weights are outdated: the model, the newest version, and when the first newer
    /// version was published.
    pub(super) fn outdated_model(
        &self,
        weights_record: &WeightsRecord,
        weights: &BTreeMap<String, u32>,
    ) -> Option<(String, u32, Time)> {
        weights_record.models().iter().find_map(|loaded| {
            let newest = weights.get(&loaded.model).copied()?;
            let published_at = self.publications.outdated_since(&loaded.model, loaded.version)?;
            (newest > loaded.version).then(|| (loaded.model.clone(), newest, published_at))
        })
    }

    fn next_action(
        &mut self,
        now: Time,
        fence: Term,
        instance: &Instance,
        weights: &BTreeMap<String, u32>,
    ) -> Option<FleetAction> {
        let may_call = self.pushbacks.is_available(&instance.incarnation_name(), now);
        let replica = self.replicas.get_mut(&instance.id)?;
        if replica.weights_record.start() != instance.start || !may_call {
            return None;
        }
        let query = FleetAction::Query {
            instance: instance.id.clone(),
            start: instance.start,
            address: instance.address.clone(),
        };
        let Some(target) = &mut replica.target else {
            return replica.weights_record.take_due_query(now).then_some(query);
        };
        match target.phase {
            Phase::Granted => {
                target.phase = Phase::Querying { since: now };
                replica.sequence = None;
                Some(query)
            }
            // The sequence includes this order; the next order queries it again.
            Phase::Querying { since } => match replica.sequence.take() {
                Some(expected_sequence) => {
                    target.phase = Phase::Ordering { since: now };
                    target.version = weights.get(&target.model).copied()?.max(target.version);
                    Some(FleetAction::Order(target.order(instance, fence, expected_sequence)))
                }
                None if now >= since + RESPONSE_TIMEOUT => {
                    replica.abandon_target(now, self.settings.deadline);
                    None
                }
                None => None,
            },
            Phase::Ordering { since } if now >= since + RESPONSE_TIMEOUT => {
                replica.abandon_target(now, self.settings.deadline);
                None
            }
            Phase::Loading { since, .. } if now >= since + LOAD_TIMEOUT => {
                replica.abandon_target(now, self.settings.deadline);
                None
            }
            Phase::Loading { since, query_at, ordered_by } if now >= query_at => {
                target.phase =
                    Phase::Loading { since, query_at: now + RESPONSE_TIMEOUT, ordered_by };
                Some(query)
            }
            _ => None,
        }
    }
}

impl ReplicaRecord {
    /// Abandons the load after a failed order or query. The slot is freed, and the replica comes
    /// after all others until the deadline has passed, so that failing replicas don't delay the
    /// others.
    fn abandon_target(&mut self, now: Time, spread: Duration) {
        self.target = None;
        self.retry_at = now + RETRY_DELAY;
        self.low_priority_until = now + spread;
        self.failures += 1;
    }

    /// Advances the load after a report. Returns the target when the load has finished.
    fn continue_load(&mut self, now: Time, spread: Duration, is_busy: bool) -> Option<LoadTarget> {
        let target = self.target.as_mut()?;
        if self.weights_record.version(&target.model) >= Some(target.version) && !is_busy {
            self.failures = 0;
            return self.target.take();
        }
        let query_at = now + QUERY_INTERVAL;
        match target.phase {
            // The report may predate the accepted order.
            Phase::Loading { since, ordered_by, .. } if is_busy || now < since + REPORT_LAG => {
                target.phase = Phase::Loading { since, query_at, ordered_by };
            }
            Phase::Loading { .. } => self.abandon_target(now, spread),
            Phase::Querying { .. } if is_busy => {
                target.phase =
                    Phase::Loading { since: now, query_at, ordered_by: OrderedBy::OtherLeader };
            }
            _ => {}
        }
        None
    }
}
