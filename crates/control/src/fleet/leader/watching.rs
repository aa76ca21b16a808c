//! Responds to watch requests, which are held until there are updates or their time is over.

use super::FleetLeader;
use crate::fleet::batches::{BatchCost, MAX_PER_RESPONSE};
use crate::fleet::packed::{Packed, ReplicaLists};
use crate::fleet::protocol::{FleetView, LoadedModel, SeenVersions, WatchRequest};
use crate::fleet::shared_updates::{ReplicaUpdate, ReplicaVersions};
use crate::fleet::state::FleetState;
use crate::member::Token;
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_types::{Instance, Time};

/// Minimum time between two checks of all watch requests, for each one beyond
/// [`MAX_ALWAYS_CHECKED`]: bounds the cost where many wait.
const WATCH_CHECK_INTERVAL_PER_REQUEST: Duration = Duration::from_micros(5);
/// Number of watch requests that are checked in each step.
const MAX_ALWAYS_CHECKED: usize = 100;
/// Maximum time for which a watch request is held.
const MAX_WAIT: Duration = Duration::from_secs(2);

pub(super) struct Watcher {
    token: Token,
    request: WatchRequest,
    /// A response with updates is sent at this time or later.
    update_from: Time,
    until: Time,
}

impl FleetLeader {
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
            let may_send = is_due && (!is_behind || self.may_send_batch(now, &watcher.request));
            if !may_send {
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

    /// Whether a response to a requester that is behind may be sent now; if so, counts it.
    fn may_send_batch(&mut self, now: Time, request: &WatchRequest) -> bool {
        let seen = self.replica_versions(&request.seen);
        let is_kept = || self.shared_updates.has_replicas(now, &seen, self.published);
        let is_shared = request.accepts_packed && is_kept();
        let cost = if is_shared { BatchCost::Shared } else { BatchCost::Built };
        self.batch_limiter.try_acquire(now, cost)
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
