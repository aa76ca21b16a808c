//! State of the fleet that only the leader keeps, in memory.

use super::batches::{BatchCost, BatchLimiter, MAX_PER_RESPONSE};
use super::events::{RolloutEvent, WeightsEvent};
use super::gateways::GatewayList;
use super::notices::NoticeList;
use super::orders::{ActionReport, FleetAction};
use super::packed::{Packed, ReplicaLists};
use super::protocol::{FleetView, InstanceReport, LoadedModel, SeenVersions, WatchRequest};
use super::rollout::{Rollout, RolloutSettings};
use super::shared_updates::{ListVersions, ReplicaUpdate, ReplicaVersions, SharedUpdates};
use super::state::{FleetCommand, FleetState};
use super::statuses::StatusList;
use crate::member::Token;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_types::{Instance, InstanceId, Time, parse_incarnation_name};

/// Interval at which replicas send heartbeats where no other one is set.
pub const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// How late a heartbeat may be: on its way, at a busy member, and in a follower's batch.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(2_600);
/// Intervals without a heartbeat after which a replica counts as gone: one heartbeat may be lost.
const MAX_MISSED_INTERVALS: u32 = 2;
/// Minimum time between two checks of all replicas.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The same per registered replica, which bounds the cost in a large fleet: a check takes 0.4 us per
/// replica, and 3,000 replicas checked each 20 ms took 6.3% of a core.
const CHECK_INTERVAL_PER_REPLICA: Duration = Duration::from_micros(50);
/// Interval at which retired weights are proposed again; a new leader may truncate the log entry.
const RETIRE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which departures are proposed again; a new leader may truncate the log entry.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which notices of replicas that have ended are removed.
const NOTICE_CLEANUP_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum time between two looks at all watch requests, for each one beyond a hundred: bounds the
/// cost where many wait.
const WATCH_CHECK_INTERVAL_PER_REQUEST: Duration = Duration::from_micros(5);
/// Number of watch requests that are looked at in each step.
const MAX_ALWAYS_CHECKED: usize = 100;
/// Maximum time for which a watch request is held.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Time without a heartbeat after which a replica counts as gone.
pub fn replica_timeout(heartbeat_interval: Duration) -> Duration {
    heartbeat_interval * MAX_MISSED_INTERVALS + MAX_HEARTBEAT_DELAY
}

struct Watcher {
    token: Token,
    request: WatchRequest,
    /// A response with updates is sent at this time or later.
    update_from: Time,
    until: Time,
}

/// In-memory state of a member. The parts about replicas are valid only while it leads.
#[derive(Default)]
pub(crate) struct FleetLeader {
    settings: RolloutSettings,
    /// A replica without a heartbeat for this time counts as gone.
    replica_timeout: Duration,
    term: Option<(Term, Time)>,
    last_heartbeat: BTreeMap<InstanceId, Time>,
    gateways: GatewayList,
    notices: NoticeList,
    /// When notices of ended replicas were last removed.
    notices_cleaned_at: Time,
    checked_at: Time,
    statuses: StatusList,
    /// Registry revision of the last refresh of the statuses.
    statuses_revision: u64,
    rollout: Rollout,
    /// When retired weights were last proposed.
    retired_at: Time,
    /// When departures of replicas were last proposed.
    departures_proposed_at: Time,
    watchers: Vec<Watcher>,
    watchers_checked_at: Time,
    /// Versions of the lists that requesters are told. Between two publications requesters are at one
    /// of a few versions, so that they share updates.
    published: ListVersions,
    published_at: Time,
    batch_limiter: BatchLimiter,
    shared_updates: SharedUpdates,
}

impl FleetLeader {
    pub(crate) fn new(settings: RolloutSettings, heartbeat_interval: Duration) -> Self {
        FleetLeader {
            settings,
            replica_timeout: replica_timeout(heartbeat_interval),
            rollout: Rollout::new(settings),
            ..FleetLeader::default()
        }
    }

    /// Records a heartbeat of a replica.
    pub(crate) fn on_heartbeat(&mut self, now: Time, report: &InstanceReport) {
        self.last_heartbeat.insert(report.instance.id.clone(), now);
        self.rollout.on_heartbeat(now, report);
    }

    /// Returns the weights reports that differed from the record since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<WeightsEvent> {
        self.rollout.take_events()
    }

    /// Returns the roll-out plans that changed since the last call.
    pub(crate) fn take_plans(&mut self) -> Vec<RolloutEvent> {
        self.rollout.take_plans()
    }

    pub(crate) fn on_action_report(&mut self, now: Time, report: ActionReport) {
        self.rollout.on_action_report(now, report);
    }

    /// Does the periodic work of a leader with a lease. Returns commands to propose, for silent
    /// replicas, retired weights and expired crashes, and actions for the caller to perform.
    pub(crate) fn lead(
        &mut self,
        now: Time,
        term: Term,
        state: &FleetState,
    ) -> (Vec<FleetCommand>, Vec<FleetAction>) {
        if self.term.is_none_or(|(known, _)| known != term) {
            self.term = Some((term, now));
            self.last_heartbeat.clear();
            self.rollout.reset(term);
            self.statuses.clear();
            self.checked_at = Time::ZERO;
        }
        let Some((_, since)) = self.term else { return Default::default() };
        let replicas = state.instances().len() as u32;
        if now < self.checked_at + MIN_CHECK_INTERVAL.max(CHECK_INTERVAL_PER_REPLICA * replicas) {
            return Default::default();
        }
        self.checked_at = now;
        let mut expired = Vec::new();
        for (id, instance) in state.instances() {
            let last_heartbeat = *self.last_heartbeat.entry(id.clone()).or_insert(now);
            if now >= last_heartbeat.max(since) + self.replica_timeout {
                expired.push(FleetCommand::ExpireIncarnation(id.clone(), instance.start));
            }
        }
        let replica_timeout = self.replica_timeout;
        // A replica is registered shortly after its first heartbeat.
        let is_known = |id: &str, last_heartbeat: Time| {
            state.instances().contains_key(id) || now < last_heartbeat + replica_timeout
        };
        self.last_heartbeat.retain(|id, last_heartbeat| is_known(id, *last_heartbeat));
        let last_heartbeat = &self.last_heartbeat;
        self.rollout.retain_known(|id| last_heartbeat.contains_key(id));
        self.gateways.expire(now);
        self.clean_up_notices(now, state);
        let orders_from = since + self.settings.lease;
        let (instances, weights) = (state.instances(), state.weights());
        let actions = self.rollout.step(now, orders_from, term, instances, weights);
        self.refresh_statuses(now, state);
        self.statuses_revision = state.revision();
        let mut commands = expired;
        commands.extend(self.retire_weights(now, state));
        commands.extend(self.record_departures(now, state));
        if state.crashes().has_expired(now) {
            commands.push(FleetCommand::ExpireCrashes { at: now });
        }
        (commands, actions)
    }

    fn clean_up_notices(&mut self, now: Time, state: &FleetState) {
        if self.notices.is_empty() || now < self.notices_cleaned_at + NOTICE_CLEANUP_INTERVAL {
            return;
        }
        self.notices_cleaned_at = now;
        let registered: HashSet<String> =
            state.instances().values().map(|instance| instance.incarnation_name()).collect();
        self.notices.retain_registered(now, &registered);
    }

    fn refresh_statuses(&mut self, now: Time, state: &FleetState) {
        self.statuses
            .refresh(state, |instance| self.rollout.status(now, instance, state.oldest_weights()));
    }

    /// Marks replicas as draining that told gateways that they are leaving. Notices are kept in memory
    /// only, so a leader that has just started, and a gateway that asks it, would lack them.
    ///
    /// A replica without a start time is left out: a draining replica stays so, and its next
    /// incarnation could not be told from this one.
    fn record_departures(&mut self, now: Time, state: &FleetState) -> Vec<FleetCommand> {
        if now < self.departures_proposed_at + DEPARTURE_INTERVAL {
            return Vec::new();
        }
        let leaving = self.notices.leaving().filter_map(|incarnation| {
            let (id, start) = parse_incarnation_name(incarnation)?;
            state.instances().get(id).filter(|instance| instance.start == start)
        });
        let commands: Vec<FleetCommand> = leaving
            .filter(|instance| !instance.is_draining)
            .map(|instance| Instance { is_draining: true, ..instance.clone() })
            .map(FleetCommand::Register)
            .collect();
        if !commands.is_empty() {
            self.departures_proposed_at = now;
        }
        commands
    }

    /// Retires versions in the log, since a later leader counts their deadline from its own start.
    fn retire_weights(&mut self, now: Time, state: &FleetState) -> Vec<FleetCommand> {
        if now < self.retired_at + RETIRE_INTERVAL {
            return Vec::new();
        }
        let expired = self.rollout.versions_to_retire(now, state.oldest_weights());
        if !expired.is_empty() {
            self.retired_at = now;
        }
        let retire = |(model, version)| FleetCommand::RetireWeights { model, version };
        expired.into_iter().map(retire).collect()
    }

    /// Records publication times on a member with current state, so that it excludes replicas on
    /// time if it becomes the leader.
    pub(crate) fn record_publications(&mut self, now: Time, weights: &BTreeMap<String, u32>) {
        self.rollout.record_publications(now, weights);
    }

    /// Resets the leader's state on a member that does not lead.
    pub(crate) fn follow(&mut self, now: Time) {
        if self.term.take().is_some() {
            self.rollout.reset(Term::default());
            self.statuses.clear();
        }
        self.gateways.expire(now);
    }

    /// Holds a watch request until [`FleetLeader::take_due_responses`] responds to it.
    pub(crate) fn watch(&mut self, now: Time, token: Token, request: WatchRequest) {
        if let Some(report) = &request.gateway {
            self.gateways.on_report(now, report);
        }
        // Also by a member that does not lead, so that it knows them if it becomes the leader.
        self.notices.on_report(now, &request.notices);
        let until = now + request.wait.min(MAX_WAIT);
        let update_from = self.gateways.update_from(&request);
        self.watchers.push(Watcher { token, request, update_from, until });
    }

    /// Drops the watch requests of a disconnected client.
    pub(crate) fn on_disconnect(&mut self, token: Token) {
        self.watchers.retain(|watcher| watcher.token != token);
    }

    /// Returns responses for requesters with updates or expired wait times.
    pub(crate) fn take_due_responses(
        &mut self,
        now: Time,
        state: &FleetState,
        base: &FleetView,
    ) -> Vec<(Token, FleetView)> {
        let many = self.watchers.len().saturating_sub(MAX_ALWAYS_CHECKED) as u32;
        if now < self.watchers_checked_at + WATCH_CHECK_INTERVAL_PER_REQUEST * many {
            return Vec::new();
        }
        self.watchers_checked_at = now;
        self.publish(now, state);
        let is_due: Vec<bool> =
            self.watchers.iter().map(|watcher| self.is_due(now, state, base, watcher)).collect();
        if !is_due.contains(&true) {
            return Vec::new();
        }
        if self.term.is_some() && self.statuses_revision != state.revision() {
            // A replica must not be sent without its status.
            let (rollout, oldest) = (&self.rollout, state.oldest_weights());
            let status = |instance: &Instance| rollout.status(now, instance, oldest);
            self.statuses.refresh_changed(state, self.statuses_revision, status);
            self.statuses_revision = state.revision();
        }
        let mut responses = Vec::new();
        for (watcher, is_due) in std::mem::take(&mut self.watchers).into_iter().zip(is_due) {
            let can_vouch = base.staleness.is_some();
            let is_behind = is_due && can_vouch && self.is_behind(state, &watcher.request);
            let cost = self.batch_cost(now, &watcher.request);
            if !is_due || (is_behind && !self.batch_limiter.try_acquire(now, cost)) {
                self.watchers.push(watcher);
                continue;
            }
            self.gateways.on_response_sent(&watcher.request, now);
            responses.push((watcher.token, self.view(now, state, base, &watcher.request)));
        }
        responses
    }

    fn is_due(&self, now: Time, state: &FleetState, base: &FleetView, watcher: &Watcher) -> bool {
        // A member with unknown staleness responds at once, so that the requester asks another one.
        let is_over = now >= watcher.until || base.staleness.is_none();
        // A requester that is behind does not wait for updates to gather.
        let has_gathered = || now >= watcher.update_from || self.is_behind(state, &watcher.request);
        is_over || (self.has_update(state, &watcher.request) && has_gathered())
    }

    /// Publishes changes that have gathered for long enough.
    fn publish(&mut self, now: Time, state: &FleetState) {
        self.gateways.publish(now);
        let versions = (state.revision(), self.statuses.count());
        if self.published != versions && now >= self.published_at + self.gateways.gathering_time() {
            self.published = versions;
            self.published_at = now;
        }
    }

    fn batch_cost(&self, now: Time, request: &WatchRequest) -> BatchCost {
        let seen = self.replica_versions(&request.seen);
        let is_kept = || self.shared_updates.has_replicas(now, &seen, self.published);
        if request.accepts_packed && is_kept() { BatchCost::Shared } else { BatchCost::Built }
    }

    /// Whether a requester lacks at least about one full response of changes.
    fn is_behind(&self, state: &FleetState, request: &WatchRequest) -> bool {
        let seen = &request.seen;
        let has_other_term = self.term.is_some_and(|(term, _)| seen.statuses.0 < term);
        let lacks_many = state.revision().saturating_sub(seen.revision) >= MAX_PER_RESPONSE as u64;
        lacks_many || (has_other_term && self.statuses.count() > 0)
    }

    /// Whether a requester should be updated now. A gateway gets changes of the gateway list only
    /// with its next response.
    fn has_update(&self, state: &FleetState, request: &WatchRequest) -> bool {
        let seen = &request.seen;
        let has_replicas = self.published.0 > seen.revision
            || state.document_version() > seen.document
            || state.crashes().blocked_revision() > seen.blocked;
        let Some((term, _)) = self.term else { return has_replicas };
        let has_statuses = wants_statuses(seen) && seen.statuses < (term, self.published.1);
        let is_directory = request.gateway.is_none() && request.wants_gateways;
        let has_gateways = is_directory && seen.gateways != (term, self.gateways.published());
        has_replicas || has_statuses || has_gateways
    }

    fn view(
        &mut self,
        now: Time,
        state: &FleetState,
        base: &FleetView,
        request: &WatchRequest,
    ) -> FleetView {
        let seen = &request.seen;
        let mut view = base.clone();
        let weights = state.weights().iter();
        let loaded_model = |(model, version): (&String, &u32)| LoadedModel {
            model: model.clone(),
            version: *version,
        };
        view.weights = weights.map(loaded_model).collect();
        view.oldest_weights = state.oldest_weights().iter().map(loaded_model).collect();
        let crashes = state.crashes();
        if crashes.blocked_revision() > seen.blocked {
            view.blocked = Some((crashes.blocked_revision(), crashes.blocked()));
        }
        if request.gateway.is_some() {
            let term = self.term.map(|(term, _)| term).unwrap_or_default();
            view.notices = self.notices.update_since(now, term, seen.notices);
        }
        if self.term.is_some() {
            view.gateway_count = self.gateways.len() as u32;
        }
        match request.accepts_packed {
            true => self.add_packed_lists(&mut view, now, state, request),
            false => self.add_lists(&mut view, state, request),
        }
        view
    }

    /// Adds the lists and the document to a view for a requester of an earlier build.
    fn add_lists(&self, view: &mut FleetView, state: &FleetState, request: &WatchRequest) {
        let seen = &request.seen;
        let (update, lists) = self.replica_update(state, seen);
        (view.revision, view.is_full, view.has_more) =
            (update.revision, update.is_full, update.has_more);
        (view.instances, view.removed) = (lists.instances, lists.removed);
        view.statuses = update.statuses.map(|count| (count, lists.statuses));
        view.document =
            state.document().filter(|document| document.version > seen.document).cloned();
        if let Some((term, _)) = self.term.filter(|_| request.wants_gateways) {
            view.gateways = self.gateways.update_since(term, seen.gateways);
        }
    }

    fn add_packed_lists(
        &mut self,
        view: &mut FleetView,
        now: Time,
        state: &FleetState,
        request: &WatchRequest,
    ) {
        let seen = &request.seen;
        let mut shared_updates = std::mem::take(&mut self.shared_updates);
        let build = || {
            let (update, lists) = self.replica_update(state, seen);
            let lists = (!lists.is_empty()).then(|| Packed::new(&lists));
            ReplicaUpdate { lists, ..update }
        };
        let update =
            shared_updates.replicas(now, self.replica_versions(seen), self.published, build);
        (view.revision, view.is_full, view.has_more) =
            (update.revision, update.is_full, update.has_more);
        view.statuses = update.statuses.map(|count| (count, Vec::new()));
        view.packed.replicas = update.lists;
        let document = state.document().filter(|document| document.version > seen.document);
        view.packed.document = document.map(|document| shared_updates.document(document));
        if let Some((term, _)) = self.term.filter(|_| request.wants_gateways) {
            let update = shared_updates.gateways(&self.gateways, term, seen.gateways);
            (view.gateways, view.packed.gateways) = update.unzip();
        }
        self.shared_updates = shared_updates;
    }

    /// Versions of a requester as far as the update about replicas depends on them.
    fn replica_versions(&self, seen: &SeenVersions) -> ReplicaVersions {
        let term = self.term.map(|(term, _)| term);
        // A requester that has seen another leader's statuses needs all of them.
        let since = |term| if seen.statuses.0 == term { seen.statuses } else { (term, 0) };
        let statuses = term.filter(|_| wants_statuses(seen)).map(since);
        ReplicaVersions { term, revision: seen.revision, statuses }
    }

    /// The next update about replicas for a requester, without and with its lists.
    fn replica_update(
        &self,
        state: &FleetState,
        seen: &SeenVersions,
    ) -> (ReplicaUpdate, ReplicaLists) {
        let mut update = ReplicaUpdate {
            lists: None,
            revision: state.revision(),
            is_full: false,
            has_more: false,
            statuses: None,
        };
        let mut lists = ReplicaLists::default();
        // A requester may be ahead of a member that lags.
        if state.revision() > seen.revision {
            let changes = state.earliest_changes(seen.revision, MAX_PER_RESPONSE);
            (lists.instances, lists.removed) = (changes.changed, changes.removed);
            (update.is_full, update.revision) = (changes.is_full, changes.revision);
            update.has_more = changes.revision < state.revision();
        }
        if let Some((term, _)) = self.term.filter(|_| wants_statuses(seen)) {
            let statuses = self.statuses.update_since(term, seen, state, &lists.instances);
            if let Some((count, changed)) = statuses {
                (update.statuses, lists.statuses) = (Some(count), changed);
            }
        }
        (update, lists)
    }
}

fn wants_statuses(seen: &SeenVersions) -> bool {
    seen.statuses != (Term::MAX, u64::MAX)
}
