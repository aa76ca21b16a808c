//! Heartbeats of replicas: calls to any member, which asks the leader where it must.

use super::costs::replica as replica_instance;
use super::events::Event;
use super::machine::LATENCY;
use super::member::{Content, Requester};
use super::world::World;
use rand::Rng;
use std::time::Duration;
use topazmount_control::{FleetRequest, InstanceReport, LoadedModel, Request, Response};
use topazmount_types::Time;

/// Time after which a replica's call has failed.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay after which a member tries a replica's call again.
const CALL_RETRY: Duration = Duration::from_millis(40);
/// Bytes of a replica's call.
const CALL_BYTES: usize = 420;

impl World {
    pub(super) fn heartbeat(&mut self, replica: usize) {
        if self.replicas[replica].has_crashed {
            return;
        }
        let known = &mut self.replicas[replica];
        known.sequence += 1;
        known.waits = true;
        let call = known.sequence;
        let member = self.rng.random_range(0..self.size.members);
        let timeout = self.now + CALL_TIMEOUT;
        self.schedule(timeout, Event::CallTimeout { replica, call });
        self.schedule(self.now, Event::Call { replica, call, member, target: member });
    }

    /// Brings a replica's call to a member, or from there to the leader.
    pub(super) fn call(&mut self, replica: usize, call: u64, member: usize, target: usize) {
        let known = &self.replicas[replica];
        if !known.waits || known.sequence != call || self.machines[target].member.is_none() {
            return;
        }
        let report = InstanceReport {
            instance: replica_instance(replica),
            models: vec![LoadedModel { model: "m0".to_owned(), version: 1 }],
            sequence: call,
        };
        let requester = match member == target {
            true => Requester::Replica { replica, call },
            false => Requester::Forwarded { member, replica, call },
        };
        let request = Request::Fleet(FleetRequest::Heartbeat(report));
        let content = Content::Request(requester, request);
        self.deliver(self.now + LATENCY, target, CALL_BYTES, content);
    }

    pub(super) fn on_call_response(
        &mut self,
        at: Time,
        replica: usize,
        call: u64,
        member: usize,
        response: Response,
    ) {
        let known = &mut self.replicas[replica];
        if !known.waits || known.sequence != call {
            return;
        }
        match response {
            Response::NotLeader(info) => {
                let leader = info.and_then(|info| self.by_address.get(&info.address).copied());
                let (delay, target) = match leader {
                    Some(leader) => (Duration::ZERO, leader),
                    None => (CALL_RETRY, member),
                };
                self.schedule(at + delay, Event::Call { replica, call, member, target });
            }
            _ => {
                known.waits = false;
                self.schedule(at + self.size.heartbeat, Event::Heartbeat { replica });
            }
        }
    }
}
