//! How a member answers about the fleet.

use crate::fleet::{CrashReport, FleetCommand, FleetRequest, FleetResponse, FleetView};
use crate::member::{Member, MemberOutput, Token};
use crate::protocol::Response;
use crate::state::{Command, FeatureLevel};
use std::time::Duration;
use topazmount_consensus::{Disk, Role};
use topazmount_types::{Instance, Time};

impl<D: Disk> Member<D> {
    pub(crate) fn on_fleet(&mut self, now: Time, token: Token, request: FleetRequest) {
        match request {
            FleetRequest::Watch(watch) => {
                self.note_crashes(now, &watch.crashes);
                self.fleet.watch(now, token, watch);
            }
            FleetRequest::ActionEnded(report) => {
                self.fleet.order_ended(now, report);
                self.respond(token, Response::Fleet(FleetResponse::Done));
            }
            FleetRequest::Heartbeat(report) => self.on_heartbeat(now, token, report),
            FleetRequest::ForwardedHeartbeats(reports) => {
                self.on_heartbeats_heard(now, token, &reports);
            }
            FleetRequest::Depart(id, start) => {
                let is_known = !self.state.fleet.would_deregister(&id, start);
                self.change(now, token, FleetCommand::DeregisterIncarnation(id, start), is_known);
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

    /// Commits what a gateway saw of crashes: it must outlast a loss of all power, since the caller tries
    /// again after it too. A member that does not lead takes nothing; the gateway tells the next one.
    fn note_crashes(&mut self, now: Time, notes: &CrashReport) {
        let notes = self.state.fleet.crashes().new_in(notes);
        if self.replica.role() == Role::Leader && !notes.is_empty() {
            self.propose_unasked(
                now,
                Command::Fleet(FleetCommand::RecordCrashes { at: now, report: notes }),
            );
        }
    }

    pub(crate) fn register(&mut self, now: Time, token: Token, instance: Instance, is_known: bool) {
        self.change(now, token, FleetCommand::Register(instance), is_known);
    }

    /// Commits a change, unless it is known to hold already: then a lease is enough to say so.
    fn change(&mut self, now: Time, token: Token, command: FleetCommand, holds_already: bool) {
        if !holds_already {
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
                self.tell_heartbeats(now);
                if self.replica.is_up_to_date(now) {
                    self.fleet.note_weights(now, self.state.fleet.weights());
                }
            }
            return;
        }
        // A leader that has just started has committed its log and not applied it: its state is empty.
        if !self.replica.can_serve_reads(now) {
            return;
        }
        self.fleet.note_weights(now, self.state.fleet.weights());
        let term = self.replica.term();
        let (commands, actions) = self.fleet.lead(now, term, &self.state.fleet);
        let may_retire = self.level() >= FeatureLevel::INCARNATIONS;
        for command in commands {
            // Where a member can't apply it, the leader counts the bound by itself, and proposes it later.
            if matches!(command, FleetCommand::RetireWeights { .. }) && !may_retire {
                continue;
            }
            self.propose_unasked(now, Command::Fleet(command));
        }
        self.outputs.extend(actions.into_iter().map(MemberOutput::Perform));
    }

    pub(crate) fn answer_watchers(&mut self, now: Time) {
        let base = FleetView {
            staleness: self.staleness(now),
            leader: self.leader_address(now),
            members: self.known_addresses(now),
            ..FleetView::default()
        };
        for (token, view) in self.fleet.due(now, &self.state.fleet, &base) {
            self.respond(token, Response::Fleet(FleetResponse::View(Box::new(view))));
        }
    }

    fn leader_address(&self, now: Time) -> Option<String> {
        let own = self.replica.role() == Role::Leader;
        let leader = if own { Some(self.identity().1.clone()) } else { self.known_leader(now) };
        leader.map(|info| info.address)
    }

    /// How old the applied state may be. A follower that is current has what was acknowledged an election timeout
    /// before its returned reply, and that reply is less than two old.
    fn staleness(&self, now: Time) -> Option<Duration> {
        if self.replica.has_lease(now) {
            return Some(Duration::ZERO);
        }
        let timeout = self.election_timeout();
        self.replica.is_up_to_date(now).then_some(timeout * 3)
    }
}
