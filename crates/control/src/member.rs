//! One control member: log, disk, state machine and pending requests.

use crate::configuration::ConfigurationUpdate;
use crate::events::MembershipEvent;
use crate::fleet::{
    BlockEvent, FleetAction, FleetLeader, FleetResponse, ProposedCrashes, RolloutEvent,
    RolloutSettings, SoftwareHistory, WeightsEvent,
};
use crate::heartbeats::Heartbeats;
use crate::identity::{IDENTITY_FILE, initial_identity, initial_state, read_identity};
use crate::joining::Joining;
use crate::participation::ReportedMembership;
use crate::protocol::{ChangeReply, ChangeRequest, NodeReport, Request, Response};
use crate::state::{Command, ControlState, FeatureLevel, Reply, TimedCommand};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;
use topazmount_consensus::{
    Config, Disk, DiskError, Entry, Envelope, Index, MemberId, MemberInfo, MembershipChange,
    Payload, ProposeError, RaftMember, Role, Term, Wal, WalError,
};
use topazmount_settings::{Declarations, SourceFiles};
use topazmount_types::{ErrorKind, NodeId, Refusal, RequestDigest, Time};

/// Applied entries between two snapshots.
const ENTRIES_PER_SNAPSHOT: u64 = 4_000;
/// Applied bytes between two snapshots.
const BYTES_PER_SNAPSHOT: u64 = 4 * 1024 * 1024;

/// Identifies a request; chosen by the caller of [`Member::step`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Name and address.
    pub info: MemberInfo,
    /// Timing of the log.
    pub consensus: Config,
    /// Seed of timeouts, and of the identity on an empty disk.
    pub seed: u64,
    /// Settings of the roll-out of weights.
    pub rollout: RolloutSettings,
    /// Interval at which replicas send heartbeats.
    pub heartbeat_interval: Duration,
    /// Addresses of members that a process outside the group asks to join.
    pub seeds: Vec<String>,
}

/// Initial members and state of a new group; the same for every founding member.
#[derive(Clone, Debug)]
pub struct Founding {
    /// All founding members.
    pub members: Vec<MemberInfo>,
    /// Configuration of revision 1.
    pub source: SourceFiles,
}

/// A fatal error of a member.
#[derive(Debug, Error)]
pub enum MemberError {
    /// The write-ahead log failed.
    #[error(transparent)]
    Wal(#[from] WalError),
    /// The disk failed.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// A snapshot or entry can't be decoded.
    #[error("replicated state can't be decoded: {0}")]
    Decode(String),
}

/// An input to a member.
#[derive(Clone, Debug)]
pub enum MemberInput {
    /// Time passed.
    Tick,
    /// A peer's message, with the peer's listening address.
    Peer(String, Envelope),
    /// A request that needs a response.
    Request(Token, Request),
    /// The requester disconnected.
    Disconnected(Token),
    /// A member's response to a request to join; `None` if there was none.
    JoinResponse(String, Option<Response>),
    /// The seeds in the settings changed.
    SeedsChanged(Vec<String>),
    /// Transfer leadership before a planned stop.
    TransferLeadership,
}

/// An output of a member, to be performed by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberOutput {
    /// Send a message to the member at this address.
    Send(String, Envelope),
    /// Respond to a request.
    Respond(Token, Response),
    /// Send an order or query to a replica, and report the result with
    /// [`crate::FleetRequest::ActionEnded`].
    Perform(FleetAction),
    /// Send a request to the member at this address; no response is needed.
    Notify(String, Request),
    /// Send a request to the member at this address, and return the response as
    /// [`MemberInput::JoinResponse`].
    RequestJoin(String, Request),
    /// Log and count a membership event.
    Membership(MembershipEvent),
    /// As leader: a weights report differed from the record.
    Weights(WeightsEvent),
    /// As leader: the roll-out plan of a service changed.
    Rollout(RolloutEvent),
    /// A request or prompt part was blocked or unblocked, as this member has applied it.
    Block(BlockEvent),
}

struct PendingRequest {
    token: Token,
    term: Term,
}

/// A control member.
pub struct Member<D> {
    pub(crate) settings: MemberSettings,
    pub(crate) replica: RaftMember,
    wal: Wal<D>,
    pub(crate) state: ControlState,
    pending: BTreeMap<Index, PendingRequest>,
    pub(crate) nodes: BTreeMap<NodeId, NodeReport>,
    pub(crate) fleet: FleetLeader,
    pub(crate) software_history: SoftwareHistory,
    /// As leader: crashes proposed lately.
    pub(crate) proposed_crashes: ProposedCrashes,
    /// Blocked requests at the last [`MemberOutput::Block`], and their revision.
    pub(crate) emitted_blocks: (u64, BTreeSet<RequestDigest>),
    /// Last known addresses of peers; a joining member does not know the membership yet.
    peer_addresses: BTreeMap<MemberId, String>,
    pub(crate) reported_membership: ReportedMembership,
    pub(crate) heartbeats: Heartbeats,
    /// As leader: since when all voters have been responding.
    pub(crate) complete_since: Option<Time>,
    /// As leader: the last membership change that could not be proposed, and why.
    pub(crate) failed_change: Option<(MembershipChange, ProposeError)>,
    pub(crate) joining: Joining,
    snapshot_at: Index,
    bytes_since_snapshot: u64,
    pub(crate) outputs: Vec<MemberOutput>,
}

impl<D: Disk> Member<D> {
    /// Opens the disk. An empty disk starts a founding member if `founding` is given, otherwise a
    /// process that must ask to join.
    ///
    /// # Errors
    /// [`MemberError`] when the durable state can't be used.
    pub fn open(
        disk: D,
        settings: MemberSettings,
        founding: Option<&Founding>,
        now: Time,
    ) -> Result<Self, MemberError> {
        let (mut wal, mut recovered) = Wal::open(disk)?;
        let id = match read_identity(wal.disk())? {
            Some(id) => id,
            None => {
                let id = initial_identity(&settings, founding);
                recovered = initial_state(founding);
                wal.initialize(&recovered)?;
                // Written last, so that an interrupted start is repeated.
                wal.disk_mut().replace(IDENTITY_FILE, &id.0.to_le_bytes())?;
                id
            }
        };
        let snapshot_at = recovered.snapshot.meta.index;
        let seed = settings.seed;
        let replica = RaftMember::new(id, settings.consensus.clone(), recovered, seed, now);
        let fleet = FleetLeader::new(settings.rollout, settings.heartbeat_interval);
        let joining = Joining::new(settings.seeds.clone());
        let mut member = Member {
            settings,
            replica,
            wal,
            state: ControlState::default(),
            pending: BTreeMap::new(),
            nodes: BTreeMap::new(),
            fleet,
            software_history: SoftwareHistory::default(),
            proposed_crashes: ProposedCrashes::default(),
            emitted_blocks: Default::default(),
            peer_addresses: BTreeMap::new(),
            reported_membership: ReportedMembership::new(now),
            heartbeats: Heartbeats::default(),
            complete_since: None,
            failed_change: None,
            joining,
            snapshot_at,
            bytes_since_snapshot: 0,
            outputs: Vec::new(),
        };
        member.drain_ready(now)?;
        Ok(member)
    }

    /// The consensus replica.
    pub fn replica(&self) -> &RaftMember {
        &self.replica
    }

    /// Replicated state as applied here.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The disk.
    pub fn disk(&self) -> &D {
        self.wal.disk()
    }

    /// The disk, for a driver that interrupts it.
    pub fn disk_mut(&mut self) -> &mut D {
        self.wal.disk_mut()
    }

    /// Identity, name and address.
    pub fn identity(&self) -> (MemberId, &MemberInfo) {
        (self.replica.id(), &self.settings.info)
    }

    pub(crate) fn election_timeout(&self) -> Duration {
        self.settings.consensus.election_timeout
    }

    /// Next time at which [`MemberInput::Tick`] has something to do.
    pub fn next_wakeup(&self) -> Time {
        let joining = self.joining.next_at().unwrap_or(Time::NEVER);
        self.replica.next_wakeup().min(joining)
    }

    /// Processes a batch of inputs with one sync, and returns the outputs.
    ///
    /// # Errors
    /// [`MemberError`] when the disk failed; the process must stop.
    pub fn step(
        &mut self,
        now: Time,
        inputs: impl IntoIterator<Item = MemberInput>,
    ) -> Result<Vec<MemberOutput>, MemberError> {
        for input in inputs {
            match input {
                MemberInput::Tick => self.tick(now),
                MemberInput::Peer(address, envelope) => {
                    if self.is_outside() {
                        self.joining.record_address(now, &address);
                    }
                    self.peer_addresses.insert(envelope.from, address);
                    self.replica.step(now, envelope);
                }
                MemberInput::Request(token, request) => self.on_request(now, token, request),
                MemberInput::Disconnected(token) => {
                    self.pending.retain(|_, pending| pending.token != token);
                    self.fleet.on_disconnect(token);
                }
                MemberInput::JoinResponse(address, response) => {
                    self.on_join_response(now, address, response);
                }
                MemberInput::SeedsChanged(seeds) => self.set_seeds(seeds),
                MemberInput::TransferLeadership => {
                    self.replica.transfer_leadership(now);
                }
            }
        }
        self.replica.flush_proposals();
        self.drain_ready(now)?;
        self.reject_pending_if_not_leader(now);
        self.respond_to_watchers(now);
        self.emit_membership_change(now);
        let weights_events = self.fleet.take_events();
        self.outputs.extend(weights_events.into_iter().map(MemberOutput::Weights));
        let plans = self.fleet.take_plans();
        self.outputs.extend(plans.into_iter().map(MemberOutput::Rollout));
        self.emit_block_changes(now);
        Ok(std::mem::take(&mut self.outputs))
    }

    fn tick(&mut self, now: Time) {
        self.replica.tick(now);
        if self.replica.has_lease(now) {
            self.repair_membership(now);
        } else {
            self.complete_since = None;
        }
        self.tick_fleet(now);
        self.tick_joining(now);
    }

    fn on_request(&mut self, now: Time, token: Token, request: Request) {
        let response = match request {
            Request::Ledger(command) => return self.propose(now, token, command),
            Request::Change(change) => return self.propose_change(now, token, change),
            Request::Lookup(key) => self.respond_from_state(now, |state| {
                Response::Lookup(state.ledger.lookup(now.max(state.time), key))
            }),
            Request::Source => self.respond_from_state(now, |state| {
                let configuration = &state.configuration;
                Response::Source(configuration.revision(), configuration.source().clone())
            }),
            Request::Fetch { node, name, zone, have } => {
                let report = NodeReport { name, zone, revision: have, received_at: now };
                self.nodes.insert(node, report);
                let update = self.state.configuration.update_since(have);
                let is_newer = update != ConfigurationUpdate::Current;
                // Committed data may always be returned. Only a member in contact with the leader
                // can tell that there is nothing newer.
                if is_newer || self.replica.has_confirmed_leader(now) {
                    Response::Update(update)
                } else {
                    Response::NotLeader(None)
                }
            }
            Request::History => Response::History(self.state.configuration.history()),
            Request::Status => Response::Status(Box::new(self.status(now))),
            Request::Join(id, info) => self.on_join(now, id, info),
            Request::Fleet(request) => return self.on_fleet_request(now, token, request),
        };
        self.outputs.push(MemberOutput::Respond(token, response));
    }

    /// Responds from the applied state if this member may serve reads.
    fn respond_from_state(
        &self,
        now: Time,
        respond: impl Fn(&ControlState) -> Response,
    ) -> Response {
        if self.replica.can_serve_reads(now) { respond(&self.state) } else { self.not_leader(now) }
    }

    pub(crate) fn not_leader(&self, now: Time) -> Response {
        Response::NotLeader(self.known_leader(now))
    }

    fn propose_change(&mut self, now: Time, token: Token, change: ChangeRequest) {
        if let Err(problems) = Declarations::parse(&change.source) {
            let refusal = Refusal::new(ErrorKind::InvalidRequest, problems.to_string());
            self.outputs.push(MemberOutput::Respond(token, Response::Refused(refusal)));
            return;
        }
        let ChangeRequest { expected, request, source } = change;
        let deltas = self.state.configuration.deltas_for(expected, &source);
        self.propose(now, token, Command::Configure { expected, request, deltas });
    }

    /// Proposes a command without a requester.
    pub(crate) fn propose_internal(&mut self, now: Time, command: Command) {
        // If it fails, a later tick proposes it again.
        let _ = self.replica.propose(self.encode(now, command));
    }

    /// The commands that this leader may propose. The level is agreed on in the log, so it holds
    /// while a member is down.
    pub(crate) fn level(&self) -> FeatureLevel {
        match self.replica.do_all_replies_have_timestamps() {
            true => FeatureLevel::INCARNATIONS.max(self.state.level),
            false => self.state.level,
        }
    }

    fn encode(&self, now: Time, command: Command) -> Vec<u8> {
        let at = now.max(self.state.time);
        let level = self.level();
        let command = command.at_level(level);
        let timed = TimedCommand { at, command, level };
        rmp_serde::to_vec_named(&timed).expect("a command is plain data")
    }

    pub(crate) fn propose(&mut self, now: Time, token: Token, command: Command) {
        match self.replica.propose(self.encode(now, command)) {
            Ok(index) => {
                let term = self.replica.term();
                self.pending.insert(index, PendingRequest { token, term });
            }
            Err(_) => {
                let response = self.not_leader(now);
                self.outputs.push(MemberOutput::Respond(token, response));
            }
        }
    }

    fn drain_ready(&mut self, now: Time) -> Result<(), MemberError> {
        while let Some(ready) = self.replica.ready() {
            self.wal.persist(&ready)?;
            for envelope in &ready.messages {
                self.send(envelope.clone());
            }
            if let Some(snapshot) = &ready.restore {
                self.restore(now, &snapshot.data)?;
                self.snapshot_at = snapshot.meta.index;
            }
            for entry in &ready.committed {
                self.apply(now, entry)?;
            }
            self.replica.advance(&ready);
        }
        self.snapshot_if_due()
    }

    fn send(&mut self, envelope: Envelope) {
        let declared = self.replica.membership().info(envelope.to).map(|info| &info.address);
        let address = declared.or_else(|| self.peer_addresses.get(&envelope.to));
        if let Some(address) = address {
            self.outputs.push(MemberOutput::Send(address.clone(), envelope));
        }
    }

    fn restore(&mut self, now: Time, data: &[u8]) -> Result<(), MemberError> {
        self.state = match data.is_empty() {
            true => ControlState::default(),
            false => rmp_serde::from_slice(data)
                .map_err(|error| MemberError::Decode(error.to_string()))?,
        };
        self.software_history = SoftwareHistory::begin(&self.state.fleet, now);
        Ok(())
    }

    fn apply(&mut self, now: Time, entry: &Entry) -> Result<(), MemberError> {
        let Payload::Command(bytes) = &entry.payload else {
            return Ok(());
        };
        self.bytes_since_snapshot += bytes.len() as u64;
        let timed: TimedCommand =
            rmp_serde::from_slice(bytes).map_err(|error| MemberError::Decode(error.to_string()))?;
        let before = self.state.level;
        let reply = self.apply_observed(now, timed);
        if self.state.level > before {
            self.emit(MembershipEvent::LevelRaised(self.state.level));
        }
        if let Some(pending) = self.pending.remove(&entry.index) {
            let response =
                if pending.term == entry.term { response_of(reply) } else { self.not_leader(now) };
            self.outputs.push(MemberOutput::Respond(pending.token, response));
        }
        Ok(())
    }

    /// Rejects pending requests on a member that is no longer the leader. Their commands may safely
    /// be sent again.
    fn reject_pending_if_not_leader(&mut self, now: Time) {
        if self.replica.role() == Role::Leader || self.pending.is_empty() {
            return;
        }
        for pending in std::mem::take(&mut self.pending).into_values() {
            let response = self.not_leader(now);
            self.outputs.push(MemberOutput::Respond(pending.token, response));
        }
    }

    fn snapshot_if_due(&mut self) -> Result<(), MemberError> {
        let applied = self.replica.applied();
        let is_due = applied >= self.snapshot_at + ENTRIES_PER_SNAPSHOT
            || self.bytes_since_snapshot >= BYTES_PER_SNAPSHOT;
        if !is_due {
            return Ok(());
        }
        self.bytes_since_snapshot = 0;
        let data = rmp_serde::to_vec_named(&self.state).expect("the state is plain data");
        let snapshot = self.replica.compact(data);
        let after = self.replica.entries_after(applied);
        self.wal.save_snapshot(&snapshot, &after)?;
        self.snapshot_at = applied;
        Ok(())
    }
}

fn response_of(reply: Reply) -> Response {
    match reply {
        Reply::Configured(revision) => Response::Change(ChangeReply::Accepted(revision)),
        Reply::Conflict(revision) => Response::Change(ChangeReply::Conflict(revision)),
        Reply::FleetChanged => Response::Fleet(FleetResponse::Done),
        other => Response::Ledger(other),
    }
}
