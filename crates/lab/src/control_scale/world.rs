//! The modelled fleet: events on a virtual clock.

use super::Size;
use super::calls::CALL_TIMEOUT;
use super::costs::{FrameCosts, GatewayCosts, gateway_costs};
use super::events::{Event, Events};
use super::gateway::{Gateway, RESPONSE_TIMEOUT, RETRY_DELAY};
use super::machine::{
    GATEWAY_BASE, GATEWAY_LINK, GATEWAY_RESPONSE, GATEWAY_SHARE, LATENCY, MEMBER_LINK,
    MEMBER_MEMORY, MEMBER_SHARE, link_time,
};
use super::member::{Arrival, Content, Machine, Outgoing, Requester};
use super::report::Phase;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;
use topazmount_consensus::MemberInfo;
use topazmount_control::{
    Document, FleetRequest, FleetResponse, FleetView, Founding, Frame, Request, Response,
};
use topazmount_settings::SourceFiles;
use topazmount_types::Time;

/// Members that form the group; the others join it.
const FOUNDERS: usize = 3;
/// Time over which the processes of a fleet start.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Time after which a member that passed its memory starts again.
const RESTART: Duration = Duration::from_millis(1_200);
/// Size of the operator's document, in bytes.
const DOCUMENT_BYTES: usize = 60_000;
/// Interval at which the operator sends the document until it is in force.
const DOCUMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the leader's registry is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Simulated time zero; times before it are needed for ages.
const EPOCH: Time = Time::from_secs(1_000);

/// What decides which calls a replica makes.
#[derive(Default)]
pub(super) struct Replica {
    pub(super) has_crashed: bool,
    /// Number of its newest call.
    pub(super) sequence: u64,
    /// Whether that call waits for a response.
    pub(super) waits: bool,
    was_listed: bool,
}

/// A fleet.
pub struct World {
    pub(super) size: Size,
    pub(super) now: Time,
    events: Events,
    pub(super) machines: Vec<Machine>,
    pub(super) by_address: HashMap<String, usize>,
    gateways: Vec<Gateway>,
    pub(super) replicas: Vec<Replica>,
    frame_costs: FrameCosts,
    gateway_costs: GatewayCosts,
    watch_bytes: usize,
    has_formed: bool,
    leader: Option<usize>,
    pub(super) rng: ChaCha8Rng,
    members_lost: u32,
    leader_changes: u32,
    failed_heartbeats: u64,
    failed_watches: u64,
}

impl World {
    /// A fleet whose processes all start now.
    pub fn new(size: Size) -> Self {
        let addresses: Vec<String> =
            (0..size.members).map(|number| format!("10.9.0.{}:7320", number + 1)).collect();
        let mut world = World {
            size,
            now: EPOCH,
            events: Events::default(),
            by_address: addresses.iter().cloned().zip(0..).collect(),
            machines: addresses.into_iter().map(Machine::new).collect(),
            gateways: (0..size.gateways).map(Gateway::new).collect(),
            replicas: (0..size.replicas).map(|_| Replica::default()).collect(),
            frame_costs: FrameCosts::new(),
            gateway_costs: gateway_costs(size.replicas),
            watch_bytes: 0,
            has_formed: false,
            leader: None,
            rng: ChaCha8Rng::seed_from_u64(1),
            members_lost: 0,
            leader_changes: 0,
            failed_heartbeats: 0,
            failed_watches: 0,
        };
        let mut sample = Gateway::new(0);
        sample.start(vec![0]);
        let (_, request) = sample.next_request(EPOCH);
        let request = Request::Fleet(FleetRequest::Watch(request));
        world.watch_bytes = world.frame_costs.of_request(request).2.bytes;
        world.start_all(Duration::ZERO);
        for replica in 0..size.replicas {
            let at = EPOCH + size.heartbeat.mul_f64(world.rng.random());
            world.schedule(at, Event::Heartbeat { replica });
        }
        world.schedule(EPOCH + DOCUMENT_INTERVAL, Event::SendDocument);
        world
    }

    fn start_all(&mut self, delay: Duration) {
        for member in 0..self.size.members {
            self.schedule(self.now + delay, Event::StartMember { member });
        }
        for gateway in 0..self.size.gateways {
            self.start_gateway_after(delay, gateway);
        }
    }

    fn start_gateway_after(&mut self, delay: Duration, gateway: usize) {
        let at = self.now + delay + START_SPREAD.mul_f64(self.rng.random());
        self.schedule(at, Event::StartGateway { gateway });
    }

    pub(super) fn schedule(&mut self, at: Time, event: Event) {
        self.events.schedule(at, event);
    }

    /// Runs a phase and returns what it showed.
    pub fn phase(&mut self, name: &'static str, length: Duration) -> Phase {
        let began = self.now;
        let until = began + length;
        let bytes_before: u64 = self.gateways.iter().map(|gateway| gateway.bytes).sum();
        self.machines.iter_mut().for_each(Machine::reset);
        let mut dropped = 0;
        let mut check_at = began;
        while let Some((at, event)) = self.events.next_before(until) {
            self.now = self.now.max(at);
            self.handle(event);
            if self.now >= check_at {
                check_at = self.now + CHECK_INTERVAL;
                dropped += self.check_registry();
            }
        }
        self.now = until;
        let bytes: u64 = self.gateways.iter().map(|gateway| gateway.bytes).sum();
        self.report(name, began, length, bytes - bytes_before, dropped)
    }

    /// Notes who leads and which sound replicas left its list; returns their number.
    fn check_registry(&mut self) -> u64 {
        let leads = |machine: &Machine| {
            machine.member.as_ref().is_some_and(|member| member.replica().has_lease(self.now))
        };
        let leader = self.machines.iter().position(leads);
        let Some(leader) = leader else { return 0 };
        if self.leader.replace(leader) != Some(leader) {
            self.leader_changes += 1;
        }
        let Some(member) = &self.machines[leader].member else { return 0 };
        if !member.replica().can_serve_reads(self.now) {
            return 0;
        }
        let instances = member.state().fleet.instances();
        let mut dropped = 0;
        for (number, known) in self.replicas.iter_mut().enumerate() {
            let is_listed = instances.contains_key(&super::costs::replica_id(number));
            dropped += u64::from(known.was_listed && !is_listed && !known.has_crashed);
            known.was_listed = is_listed;
        }
        dropped
    }

    fn report(
        &mut self,
        name: &'static str,
        began: Time,
        length: Duration,
        gateway_bytes: u64,
        dropped: u64,
    ) -> Phase {
        let seconds = length.as_secs_f64();
        let after = |times: Vec<Option<Time>>| -> Option<u64> {
            let times: Option<Vec<Time>> = times.into_iter().collect();
            let last = times?.into_iter().max()?;
            Some(last.since(began).as_millis() as u64)
        };
        let running = || self.gateways.iter().filter(|gateway| gateway.is_up);
        let busiest = self.machines.iter().max_by_key(|machine| machine.busy);
        let max =
            |figure: &dyn Fn(&Machine) -> f64| self.machines.iter().map(figure).fold(0.0, f64::max);
        let crashed = self.replicas.iter().filter(|known| known.has_crashed && known.was_listed);
        Phase {
            name,
            all_served_after_ms: after(running().map(|gateway| gateway.served_at).collect()),
            all_complete_after_ms: after(running().map(|gateway| gateway.complete_at).collect()),
            busiest_member_cpu_percent: max(&|machine| {
                100.0 * machine.busy.as_secs_f64() / seconds / MEMBER_SHARE
            }),
            busiest_member_peak_mb: max(&|machine| machine.peak / 1e6),
            busiest_member_kb_per_s: max(&|machine| machine.bytes as f64 / 1_000.0 / seconds),
            gateway_kb_per_s: gateway_bytes as f64 / 1_000.0 / seconds / self.size.gateways as f64,
            members_lost: std::mem::take(&mut self.members_lost),
            leader_changes: std::mem::take(&mut self.leader_changes),
            sound_replicas_dropped: dropped,
            crashed_replicas_listed: crashed.count() as u64,
            failed_heartbeats: std::mem::take(&mut self.failed_heartbeats),
            failed_watches: std::mem::take(&mut self.failed_watches),
            busiest_member: busiest.map(|machine| machine.traffic.clone()).unwrap_or_default(),
        }
    }

    /// Largest memory of a gateway, in MB.
    pub fn gateway_peak_mb(&self) -> f64 {
        let largest = self.gateways.iter().map(|gateway| gateway.largest_response).max();
        let replicas = self.gateway_costs.bytes_per_replica * self.size.replicas as f64;
        (GATEWAY_BASE + replicas + largest.unwrap_or(0) as f64) / 1e6
    }

    /// Kills the leader, which starts again later.
    pub fn kill_leader(&mut self, down: Duration) {
        if let Some(leader) = self.leader {
            self.kill_member(leader, down);
        }
    }

    fn kill_member(&mut self, member: usize, down: Duration) {
        self.machines[member].kill();
        self.schedule(self.now + down, Event::StartMember { member });
    }

    /// Kills a share of the gateways, which start again later.
    pub fn kill_gateways(&mut self, share: f64, down: Duration) {
        let count = (self.size.gateways as f64 * share) as usize;
        for gateway in 0..count {
            self.kill_gateway(gateway, down);
        }
    }

    fn kill_gateway(&mut self, gateway: usize, down: Duration) {
        self.gateways[gateway].is_up = false;
        self.machines.iter_mut().for_each(|machine| {
            machine.connections.remove(&gateway);
        });
        self.start_gateway_after(down, gateway);
    }

    /// Crashes a share of the replicas for good.
    pub fn crash_replicas(&mut self, share: f64) {
        let count = (self.size.replicas as f64 * share) as usize;
        self.replicas.iter_mut().take(count).for_each(|known| known.has_crashed = true);
    }

    /// Kills all members and gateways, which start again later.
    pub fn kill_everything(&mut self, down: Duration) {
        (0..self.size.members).for_each(|member| self.kill_member(member, down));
        (0..self.size.gateways).for_each(|gateway| self.kill_gateway(gateway, down));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { member, run, arrival } => {
                let machine = &mut self.machines[member];
                if machine.member.is_some() && machine.run == run {
                    machine.receive(*arrival);
                    self.wake(member);
                }
            }
            Event::Work { member } => self.work(member),
            Event::StartMember { member } => self.start_member(member),
            Event::StartGateway { gateway } => {
                let seeds = (0..FOUNDERS.min(self.size.members)).collect();
                self.gateways[gateway].start(seeds);
                self.watch(gateway);
            }
            Event::View { gateway, run, request, member, view } => {
                self.on_view(gateway, run, request, member, &view);
            }
            Event::Watch { gateway, run } => {
                if self.gateways[gateway].is_up && self.gateways[gateway].run == run {
                    self.watch(gateway);
                }
            }
            Event::WatchTimeout { gateway, request } => {
                let known = &self.gateways[gateway];
                if known.is_up
                    && known.request == request
                    && let Some(member) = known.waits_for
                {
                    self.failed_watches += 1;
                    self.machines[member].connections.remove(&gateway);
                    self.on_watch_failed(gateway, member);
                }
            }
            Event::Heartbeat { replica } => self.heartbeat(replica),
            Event::Call { replica, call, member, target } => {
                self.call(replica, call, member, target);
            }
            Event::CallTimeout { replica, call } => {
                let known = &mut self.replicas[replica];
                if known.waits && known.sequence == call {
                    known.waits = false;
                    self.failed_heartbeats += 1;
                    self.heartbeat(replica);
                }
            }
            Event::SendDocument => self.send_document(),
        }
    }

    fn start_member(&mut self, member: usize) {
        let founders = FOUNDERS.min(self.size.members);
        let seeds: Vec<String> =
            self.machines[..founders].iter().map(|machine| machine.address.clone()).collect();
        let info =
            |address: &String| MemberInfo { name: address.clone(), address: address.clone() };
        let founding =
            Founding { members: seeds.iter().map(info).collect(), source: SourceFiles::default() };
        let is_founder = member < founders && !self.has_formed;
        let founding = is_founder.then_some(&founding);
        self.machines[member].start(self.now, self.size.heartbeat, seeds, founding);
        self.has_formed |= member + 1 == founders;
        self.schedule(self.now, Event::Work { member });
    }

    /// Makes a member work as soon as its processor is free.
    fn wake(&mut self, member: usize) {
        let machine = &mut self.machines[member];
        let at = machine.free_at().max(self.now);
        if at < machine.works_at {
            machine.works_at = at;
            self.schedule(at, Event::Work { member });
        }
    }

    fn work(&mut self, member: usize) {
        let machine = &mut self.machines[member];
        // An earlier event for the same work came first.
        if machine.member.is_none() || machine.works_at > self.now {
            return;
        }
        let sent = machine.work(self.now, &mut self.frame_costs);
        let (works_at, memory) = (machine.works_at, machine.memory());
        self.schedule(works_at, Event::Work { member });
        for (leaves, bytes, outgoing) in sent {
            self.send(member, leaves, bytes, outgoing);
        }
        if memory > MEMBER_MEMORY {
            self.members_lost += 1;
            self.kill_member(member, RESTART);
        }
    }

    /// When bytes from a member that leave at a time have left its link.
    fn left_link(&mut self, member: usize, leaves: Time, bytes: usize) -> Time {
        self.machines[member].link.take(leaves, link_time(bytes, MEMBER_LINK)) + LATENCY
    }

    pub(super) fn deliver(&mut self, at: Time, member: usize, bytes: usize, content: Content) {
        let run = self.machines[member].run;
        let arrival = Box::new(Arrival { bytes, content });
        self.schedule(at, Event::Arrive { member, run, arrival });
    }

    fn send(&mut self, from: usize, leaves: Time, bytes: usize, outgoing: Outgoing) {
        let at = self.left_link(from, leaves, bytes);
        match outgoing {
            Outgoing::Peer(to, Frame::Peer(address, envelope)) => {
                if let Some(to) = self.by_address.get(&to).copied() {
                    self.deliver(at, to, bytes, Content::Peer(address, envelope));
                }
            }
            Outgoing::Peer(..) => {}
            Outgoing::Notify(to, request) => {
                if let Some(to) = self.by_address.get(&to).copied() {
                    self.deliver(at, to, bytes, Content::Request(Requester::Nobody, request));
                }
            }
            Outgoing::Join(to, request) => {
                let target = self.by_address.get(&to).copied();
                match target.filter(|target| self.machines[*target].member.is_some()) {
                    Some(target) => {
                        let requester = Requester::Joining { member: from };
                        self.deliver(at, target, bytes, Content::Request(requester, request));
                    }
                    None => {
                        self.deliver(at + CALL_TIMEOUT, from, 0, Content::Joined(to, None));
                    }
                }
            }
            Outgoing::Response(requester, response) => {
                self.respond(from, at, bytes, requester, response);
            }
        }
    }

    fn respond(
        &mut self,
        from: usize,
        at: Time,
        bytes: usize,
        requester: Requester,
        response: Response,
    ) {
        match requester {
            Requester::Gateway { gateway, request } => {
                let Response::Fleet(FleetResponse::View(view)) = response else { return };
                let entries = self.frame_costs.entries(&view);
                let known = &mut self.gateways[gateway];
                known.bytes += bytes as u64;
                let arrived = known.link.take(at, link_time(bytes, GATEWAY_LINK));
                let busy = GATEWAY_RESPONSE + self.gateway_costs.busy_per_entry * entries as u32;
                let done = known.processor.take(arrived, busy.div_f64(GATEWAY_SHARE));
                let held = bytes + entries * super::machine::ENTRY_BYTES;
                known.largest_response = known.largest_response.max(held);
                let run = known.run;
                self.schedule(done, Event::View { gateway, run, request, member: from, view });
            }
            Requester::Replica { replica, call } => {
                self.on_call_response(at, replica, call, from, response)
            }
            Requester::Forwarded { member, replica, call } => {
                self.on_call_response(at, replica, call, member, response);
            }
            Requester::Joining { member } => {
                let address = self.machines[from].address.clone();
                self.deliver(at, member, bytes, Content::Joined(address, Some(response)));
            }
            Requester::Nobody => {}
        }
    }

    fn watch(&mut self, gateway: usize) {
        let (member, watch) = self.gateways[gateway].next_request(self.now);
        let request = self.gateways[gateway].request;
        let bytes = self.watch_bytes;
        self.gateways[gateway].bytes += bytes as u64;
        if self.machines[member].member.is_some() {
            self.machines[member].connections.insert(gateway);
            let requester = Requester::Gateway { gateway, request };
            let watch = Request::Fleet(FleetRequest::Watch(watch));
            self.deliver(self.now + LATENCY, member, bytes, Content::Request(requester, watch));
            self.schedule(self.now + RESPONSE_TIMEOUT, Event::WatchTimeout { gateway, request });
        } else {
            // The machine rejects the connection.
            self.on_watch_failed(gateway, member);
        }
    }

    fn on_watch_failed(&mut self, gateway: usize, member: usize) {
        self.gateways[gateway].on_failure(member, self.now);
        let delay = RETRY_DELAY.mul_f64(0.5 + self.rng.random::<f64>());
        let run = self.gateways[gateway].run;
        self.schedule(self.now + delay, Event::Watch { gateway, run });
    }

    fn on_view(&mut self, gateway: usize, run: u64, request: u64, member: usize, view: &FleetView) {
        let known = &mut self.gateways[gateway];
        if !known.is_up || known.run != run || known.request != request || known.waits_for.is_none()
        {
            return;
        }
        let by_address = &self.by_address;
        let is_current =
            known.on_view(view, member, self.now, |address| by_address.get(address).copied());
        match is_current {
            true => self.watch(gateway),
            false => self.on_watch_failed(gateway, member),
        }
    }

    fn send_document(&mut self) {
        let document = Document {
            version: 1,
            bytes: (0..DOCUMENT_BYTES).map(|_| self.rng.random_range(b'a'..b'q')).collect(),
            services: vec!["lm-pool".to_owned()],
            routing: None,
            longest_stream: None,
        };
        let leads = |machine: &Machine| {
            let member = machine.member.as_ref();
            member.is_some_and(|member| member.replica().can_serve_reads(self.now))
        };
        let leader = self.machines.iter().position(leads);
        let Some(leader) = leader else {
            return self.schedule(self.now + DOCUMENT_INTERVAL, Event::SendDocument);
        };
        let is_in_force = self.machines[leader]
            .member
            .as_ref()
            .is_some_and(|member| member.state().fleet.document_version() > 0);
        if !is_in_force {
            let request = Request::Fleet(FleetRequest::PutDocument(document));
            let content = Content::Request(Requester::Nobody, request);
            self.deliver(self.now + LATENCY, leader, DOCUMENT_BYTES, content);
            self.schedule(self.now + DOCUMENT_INTERVAL, Event::SendDocument);
        }
    }
}
