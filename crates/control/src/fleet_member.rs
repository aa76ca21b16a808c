//! Handling of fleet requests by a member.

use crate::fleet::{
    BeforeCommand, CrashReport, FleetCommand, FleetRequest, FleetResponse, FleetView,
};
use crate::member::{Member, MemberOutput, Token};
use crate::protocol::Response;
use crate::state::{Command, FeatureLevel, Reply, TimedCommand};
use std::time::Duration;
use topazmount_consensus::{Disk, Role};
use topazmount_types::{Instance, Time};

impl<D: Disk> Member<D> {
    pub(crate) fn on_fleet_request(&mut self, now: Time, token: Token, request: FleetRequest) {
        match request {
            FleetRequest::Watch(watch) => {
                self.record_crashes(now, &watch.crashes);
                self.fleet.watch(now, token, watch);
            }
            FleetRequest::ActionEnded(report) => {
                self.fleet.on_action_report(now, report);
                self.respond(token, Response::Fleet(FleetResponse::Done));
            }
            FleetRequest::Heartbeat(report) => self.on_heartbeat(now, token, report),
            FleetRequest::ForwardedHeartbeats(reports) => {
                self.on_forwarded_heartbeats(now, token, &reports);
            }
            FleetRequest::Depart(id, start) => {
                let is_unchanged = !self.state.fleet.would_deregister(&id, start);
                self.change(
                    now,
                    token,
                    FleetCommand::DeregisterIncarnation(id, start),
                    is_unchanged,
                );
            }
            FleetRequest::PutDocument(document) => {
                let is_old = document.version <= self.state.fleet.document_version();
                self.change(now, token, FleetCommand::PutDocument(document), is_old);
            }
            FleetRequest::PublishWeights { model, version } => {
                let known = self.state.fleet.weights().get(&model).copied().unwrap_or(0);
                let command = FleetCommand::PublishWeights { model, version };
                self.change(now, token, command, version <= known);
            }
            FleetRequest::OnlySoftware(service) => {
                let response = if self.replica.can_serve_reads(now) {
                    let history = &mut self.software_history;
                    let software = history.only_software(&self.state.fleet, &service, now);
                    Response::Fleet(FleetResponse::OnlySoftware(software))
                } else {
                    self.not_leader(now)
                };
                self.respond(token, response);
            }
            FleetRequest::ReadDocument => {
                let response = if self.replica.can_serve_reads(now) {
                    let document = self.state.fleet.document().cloned();
                    Response::Fleet(FleetResponse::Document(document))
                } else {
                    self.not_leader(now)
                };
                self.respond(token, response);
            }
        }
    }

    /// Proposes crashes seen by a gateway; they are committed so that they survive a power loss,
    /// after which callers retry. Gateways repeat their reports, so a member that is not the leader
    /// ignores them.
    fn record_crashes(&mut self, now: Time, report: &CrashReport) {
        if self.replica.role() != Role::Leader {
            return;
        }
        let mut report = self.state.fleet.crashes().worth_recording(now, report);
        self.proposed_crashes.retain_new(now, self.replica.term(), &mut report);
        if !report.is_empty() {
            self.propose_internal(
                now,
                Command::Fleet(FleetCommand::RecordCrashes { at: now, report }),
            );
        }
    }

    /// Emits an event for each request that was blocked or unblocked since the last call.
    pub(crate) fn emit_block_changes(&mut self, now: Time) {
        let ledger = self.state.fleet.crashes();
        let (revision, before) = &self.emitted_blocks;
        if *revision == ledger.blocked_revision() {
            return;
        }
        let blocked = ledger.blocked_digests();
        let changed = blocked.symmetric_difference(before);
        let events = changed.map(|request| MemberOutput::Block(ledger.block_event(*request, now)));
        self.outputs.extend(events);
        self.emitted_blocks = (ledger.blocked_revision(), blocked);
    }

    /// Applies a command and observes which replicas and routes of streams it ends or changes.
    pub(crate) fn apply_observed(&mut self, now: Time, timed: TimedCommand) -> Reply {
        let command = match &timed.command {
            Command::Fleet(command) => Some(command),
            _ => None,
        };
        let before = BeforeCommand::new(&self.state.fleet, command);
        let reply = self.state.apply(timed);
        self.software_history.on_applied(before, &self.state.fleet, now);
        reply
    }

    pub(crate) fn register(
        &mut self,
        now: Time,
        token: Token,
        instance: Instance,
        is_unchanged: bool,
    ) {
        self.change(now, token, FleetCommand::Register(instance), is_unchanged);
    }

    /// Commits a change. If it is already in effect, a lease is enough to respond.
    fn change(&mut self, now: Time, token: Token, command: FleetCommand, is_unchanged: bool) {
        if !is_unchanged {
            return self.propose(now, token, Command::Fleet(command));
        }
        let response = if self.replica.can_serve_reads(now) {
            Response::Fleet(FleetResponse::Done)
        } else {
            self.not_leader(now)
        };
        self.respond(token, response);
    }

    pub(crate) fn respond(&mut self, token: Token, response: Response) {
        self.outputs.push(MemberOutput::Respond(token, response));
    }

    pub(crate) fn tick_fleet(&mut self, now: Time) {
        if !self.replica.has_lease(now) {
            if self.replica.role() != Role::Leader {
                self.fleet.follow(now);
                self.forward_heartbeats(now);
                if self.replica.is_up_to_date(now) {
                    self.fleet.record_publications(now, self.state.fleet.weights());
                }
            }
            return;
        }
        // A new leader has committed its log but may not have applied it yet.
        if !self.replica.can_serve_reads(now) {
            return;
        }
        self.fleet.record_publications(now, self.state.fleet.weights());
        let term = self.replica.term();
        let (commands, actions) = self.fleet.lead(now, term, &self.state.fleet);
        let may_retire = self.level() >= FeatureLevel::INCARNATIONS;
        for command in commands {
            // If some members can't apply it, the leader tracks the deadline itself and proposes it
            // later.
            if matches!(command, FleetCommand::RetireWeights { .. }) && !may_retire {
                continue;
            }
            self.propose_internal(now, Command::Fleet(command));
        }
        self.outputs.extend(actions.into_iter().map(MemberOutput::Perform));
    }

    pub(crate) fn respond_to_watchers(&mut self, now: Time) {
        let base = FleetView {
            staleness: self.staleness(now),
            leader: self.leader_address(now),
            members: self.known_addresses(now),
            ..FleetView::default()
        };
        for (token, view) in self.fleet.take_due_responses(now, &self.state.fleet, &base) {
            self.respond(token, Response::Fleet(FleetResponse::View(Box::new(view))));
        }
    }

    fn leader_address(&self, now: Time) -> Option<String> {
        let own = self.replica.role() == Role::Leader;
        let leader = if own { Some(self.identity().1.clone()) } else { self.known_leader(now) };
        leader.map(|info| info.address)
    }

    /// Maximum age of the applied state. A current follower has everything acknowledged up to one
    /// election timeout before its returned reply, and that reply is less than two timeouts old.
    fn staleness(&self, now: Time) -> Option<Duration> {
        if self.replica.has_lease(now) {
            return Some(Duration::ZERO);
        }
        let timeout = self.election_timeout();
        self.replica.is_up_to_date(now).then_some(timeout * 3)
    }
}
