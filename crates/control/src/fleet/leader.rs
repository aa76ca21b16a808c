//! What only the leading member keeps of the fleet, in memory.

use super::events::{RolloutEvent, WeightsEvent};
use super::gateways::GatewayList;
use super::orders::{ActionReport, FleetAction};
use super::pieces::{MOST_TOLD, PieceRate};
use super::protocol::{FleetView, InstanceReport, LoadedModel, SeenVersions, WatchRequest};
use super::rollout::{Rollout, RolloutSettings};
use super::state::{FleetCommand, FleetState};
use super::statuses::StatusList;
use crate::member::Token;
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_types::{InstanceId, Time};

/// Silence after which a replica counts as gone: several heartbeats, which may be seconds late.
const REPLICA_SILENCE: Duration = Duration::from_secs(5);
/// Least time between two looks at all replicas: their times are counted in tenths of a second.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// The same for each replica that there is. A look takes 0.4 us a replica: 3,000 of them took 6.3% of a core at a look each
/// 20 ms and 0.9% with this (release build, 3 s of a group in memory).
const LOOK_TIME_FOR_EACH: Duration = Duration::from_micros(50);
/// Pause before what was proposed of weights is proposed again: time for the log, which a lost leader may cut.
const RETIRE_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which an answer is held.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

struct Watcher {
    token: Token,
    request: WatchRequest,
    /// From when on it is answered if there is news.
    news_from: Time,
    until: Time,
}

/// Soft state of the member; the parts about replicas count only while it leads.
#[derive(Default)]
pub(crate) struct FleetLeader {
    settings: RolloutSettings,
    term: Option<(Term, Time)>,
    heard: BTreeMap<InstanceId, Time>,
    gateways: GatewayList,
    looked_at: Time,
    statuses: StatusList,
    /// Registry revision at which the statuses were refreshed last.
    statuses_revision: u64,
    rollout: Rollout,
    /// When it was proposed last that older weights are over.
    retired_at: Time,
    watchers: Vec<Watcher>,
    pieces: PieceRate,
}

impl FleetLeader {
    pub(crate) fn new(settings: RolloutSettings) -> Self {
        FleetLeader { settings, rollout: Rollout::new(settings), ..FleetLeader::default() }
    }

    /// Takes a heartbeat of a replica.
    pub(crate) fn heartbeat(&mut self, now: Time, report: &InstanceReport) {
        self.heard.insert(report.instance.id.clone(), now);
        self.rollout.heard(now, report);
    }

    /// Word of weights that differed from what was known, since this was asked last.
    pub(crate) fn take_events(&mut self) -> Vec<WeightsEvent> {
        self.rollout.take_events()
    }

    /// Plans of roll-outs that changed since this was asked last.
    pub(crate) fn take_plans(&mut self) -> Vec<RolloutEvent> {
        self.rollout.take_plans()
    }

    pub(crate) fn order_ended(&mut self, now: Time, report: ActionReport) {
        self.rollout.ended(now, report);
    }

    /// Lets time pass in a term that this member leads with a lease. Returns replicas that fell
    /// silent and what is forgotten, as commands, and actions for the shell.
    pub(crate) fn lead(
        &mut self,
        now: Time,
        term: Term,
        state: &FleetState,
    ) -> (Vec<FleetCommand>, Vec<FleetAction>) {
        if self.term.is_none_or(|(known, _)| known != term) {
            self.term = Some((term, now));
            self.heard.clear();
            self.rollout.reset(term);
            self.statuses.clear();
            self.looked_at = Time::ZERO;
        }
        let Some((_, since)) = self.term else { return Default::default() };
        let replicas = state.instances().len() as u32;
        if now < self.looked_at + LOOK_INTERVAL.max(LOOK_TIME_FOR_EACH * replicas) {
            return Default::default();
        }
        self.looked_at = now;
        let mut expired = Vec::new();
        for (id, instance) in state.instances() {
            let heard = *self.heard.entry(id.clone()).or_insert(now);
            if now >= heard.max(since) + REPLICA_SILENCE {
                expired.push(FleetCommand::ExpireIncarnation(id.clone(), instance.start));
            }
        }
        // A replica that was just heard of is registered a moment later.
        let is_known = |id: &str, heard: Time| {
            state.instances().contains_key(id) || now < heard + REPLICA_SILENCE
        };
        self.heard.retain(|id, heard| is_known(id, *heard));
        let heard = &self.heard;
        self.rollout.forget(|id| heard.contains_key(id));
        self.gateways.forget(now);
        let orders_from = since + self.settings.lease;
        let (instances, weights) = (state.instances(), state.weights());
        let actions = self.rollout.step(now, orders_from, term, instances, weights);
        self.refresh_statuses(now, state);
        self.statuses_revision = state.revision();
        let mut commands = expired;
        commands.extend(self.retire_weights(now, state));
        if state.crashes().has_expired(now) {
            commands.push(FleetCommand::ExpireCrashes { at: now });
        }
        (commands, actions)
    }

    fn refresh_statuses(&mut self, now: Time, state: &FleetState) {
        self.statuses
            .refresh(state, |instance| self.rollout.status(now, instance, state.oldest_weights()));
    }

    /// That a bound is over goes into the log: the next leader may have started since, and counts a bound from there.
    fn retire_weights(&mut self, now: Time, state: &FleetState) -> Vec<FleetCommand> {
        if now < self.retired_at + RETIRE_PAUSE {
            return Vec::new();
        }
        let over = self.rollout.to_retire(now, state.oldest_weights());
        if !over.is_empty() {
            self.retired_at = now;
        }
        let retire = |(model, version)| FleetCommand::RetireWeights { model, version };
        over.into_iter().map(retire).collect()
    }

    /// Notes when versions of weights were named, as a member whose state is current: whoever leads next then bars
    /// replicas in time, neither as late as a bound after its own start nor seconds early.
    pub(crate) fn note_weights(&mut self, now: Time, weights: &BTreeMap<String, u32>) {
        self.rollout.note_weights(now, weights);
    }

    /// Notes that this member does not lead.
    pub(crate) fn follow(&mut self, now: Time) {
        if self.term.take().is_some() {
            self.rollout.reset(Term::default());
            self.statuses.clear();
        }
        self.gateways.forget(now);
    }

    /// Keeps a request for news; answered by [`FleetLeader::due`].
    pub(crate) fn watch(&mut self, now: Time, token: Token, request: WatchRequest) {
        if let Some(report) = &request.gateway {
            self.gateways.heard(now, report);
        }
        let until = now + request.wait.min(LONGEST_WAIT);
        let news_from = self.gateways.news_from(&request);
        self.watchers.push(Watcher { token, request, news_from, until });
    }

    /// Forgets a requester that is gone.
    pub(crate) fn gone(&mut self, token: Token) {
        self.watchers.retain(|watcher| watcher.token != token);
    }

    /// Answers those for whom there is news or whose time is over.
    pub(crate) fn due(
        &mut self,
        now: Time,
        state: &FleetState,
        base: &FleetView,
    ) -> Vec<(Token, FleetView)> {
        let is_due: Vec<bool> =
            self.watchers.iter().map(|watcher| self.is_due(now, state, base, watcher)).collect();
        if !is_due.contains(&true) {
            return Vec::new();
        }
        if self.term.is_some() && self.statuses_revision != state.revision() {
            // A replica must not be told of without its status.
            self.refresh_statuses(now, state);
            self.statuses_revision = state.revision();
        }
        let mut answers = Vec::new();
        for (watcher, is_due) in std::mem::take(&mut self.watchers).into_iter().zip(is_due) {
            let is_vouched = base.staleness.is_some();
            let is_behind = is_due && is_vouched && self.is_behind(state, &watcher.request);
            if !is_due || (is_behind && !self.pieces.take(now)) {
                self.watchers.push(watcher);
                continue;
            }
            self.gateways.answered(&watcher.request, now);
            answers.push((watcher.token, self.view(state, base, &watcher.request)));
        }
        answers
    }

    fn is_due(&self, now: Time, state: &FleetState, base: &FleetView, watcher: &Watcher) -> bool {
        // A member that can't vouch for what it knows answers at once, so that another is asked.
        let is_over = now >= watcher.until || base.staleness.is_none();
        // What a requester lacks that is behind has come long ago: there is nothing to gather.
        let has_gathered = || now >= watcher.news_from || self.is_behind(state, &watcher.request);
        is_over || (self.has_news(state, &watcher.request) && has_gathered())
    }

    /// Whether a requester lacks about as much as one answer has, or more.
    fn is_behind(&self, state: &FleetState, request: &WatchRequest) -> bool {
        let seen = &request.seen;
        let has_other_term = self.term.is_some_and(|(term, _)| seen.statuses.0 < term);
        let lacks_many = state.revision().saturating_sub(seen.revision) >= MOST_TOLD as u64;
        lacks_many || (has_other_term && self.statuses.count() > 0)
    }

    /// Whether there is something that a requester should hear at once. Changes of the list of gateways wait for its next
    /// answer where it is a gateway itself: a new one is not needed sooner, and one that is gone is passed over.
    fn has_news(&self, state: &FleetState, request: &WatchRequest) -> bool {
        let seen = &request.seen;
        let has_replicas = state.revision() > seen.revision
            || state.document_version() > seen.document
            || state.crashes().blocked_revision() > seen.blocked;
        let Some((term, _)) = self.term else { return has_replicas };
        let has_statuses = wants_statuses(seen) && seen.statuses != (term, self.statuses.count());
        let is_directory = request.gateway.is_none() && request.wants_gateways;
        let has_gateways = is_directory && seen.gateways != (term, self.gateways.count());
        has_replicas || has_statuses || has_gateways
    }

    fn view(&self, state: &FleetState, base: &FleetView, request: &WatchRequest) -> FleetView {
        let seen = &request.seen;
        let mut view = base.clone();
        let weights = state.weights().iter();
        let named = |(model, version): (&String, &u32)| LoadedModel {
            model: model.clone(),
            version: *version,
        };
        view.weights = weights.map(named).collect();
        view.oldest_weights = state.oldest_weights().iter().map(named).collect();
        view.revision = state.revision();
        // A member that lags has nothing to tell those who are ahead of it.
        if state.revision() > seen.revision {
            let changes = state.earliest_changes(seen.revision, MOST_TOLD);
            (view.instances, view.removed) = (changes.changed, changes.removed);
            (view.is_full, view.revision) = (changes.is_full, changes.revision);
            view.has_more = changes.revision < state.revision();
        }
        view.document = state.document().filter(|one| one.version > seen.document).cloned();
        let crashes = state.crashes();
        if crashes.blocked_revision() > seen.blocked {
            view.blocked = Some((crashes.blocked_revision(), crashes.blocked()));
        }
        let Some((term, _)) = self.term else { return view };
        view.gateway_count = self.gateways.len() as u32;
        if wants_statuses(seen) {
            view.statuses = self.statuses.news(term, seen, state, &view.instances);
        }
        if request.wants_gateways {
            view.gateways = self.gateways.news(term, seen.gateways);
        }
        view
    }
}

fn wants_statuses(seen: &SeenVersions) -> bool {
    seen.statuses != (Term::MAX, u64::MAX)
}
