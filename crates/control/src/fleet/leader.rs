//! State of the fleet that only the leader keeps, in memory.

mod watching;

use super::batches::BatchLimiter;
use super::events::{RolloutEvent, WeightsEvent};
use super::gateways::GatewayList;
use super::notices::NoticeList;
use super::orders::{ActionReport, FleetAction};
use super::protocol::InstanceReport;
use super::rollout::{Rollout, RolloutSettings};
use super::shared_updates::{ListVersions, SharedUpdates};
use super::state::{FleetCommand, FleetState};
use super::statuses::StatusList;
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_types::{Instance, InstanceId, Time, parse_incarnation_name};
use watching::Watcher;

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

/// Time without a heartbeat after which a replica counts as gone.
pub fn replica_timeout(heartbeat_interval: Duration) -> Duration {
    heartbeat_interval * MAX_MISSED_INTERVALS + MAX_HEARTBEAT_DELAY
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
}
