//! One control member: log, disk, state machine and the requests that wait for them.

use crate::configuration::ConfigurationUpdate;
use crate::events::MembershipEvent;
use crate::fleet::{
    FleetAction, FleetLeader, FleetResponse, RolloutEvent, RolloutSettings, WeightsEvent,
};
use crate::heartbeats::Heartbeats;
use crate::identity::{IDENTITY_FILE, first_identity, first_state, read_identity};
use crate::joining::Joining;
use crate::protocol::{ChangeReply, ChangeRequest, NodeReport, Request, Response};
use crate::standing::Noted;
use crate::state::{Command, ControlState, FeatureLevel, Reply, TimedCommand};
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;
use topazmount_consensus::{
    Config, Disk, DiskError, Entry, Envelope, Index, MemberId, MemberInfo, MembershipChange,
    Payload, ProposeError, RaftMember, Role, Term, Wal, WalError,
};
use topazmount_settings::{Declarations, SourceFiles};
use topazmount_types::{ErrorKind, NodeId, Refusal, Time};

/// Applied entries between two snapshots.
const ENTRIES_PER_SNAPSHOT: u64 = 4_000;
/// Applied bytes between two snapshots.
const BYTES_PER_SNAPSHOT: u64 = 4 * 1024 * 1024;

/// Names the requester of an answer; chosen by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Who this member is and how it behaves.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Name and address.
    pub info: MemberInfo,
    /// Timing of the log.
    pub consensus: Config,
    /// Seed of timeouts, and of the identity when the disk is empty.
    pub seed: u64,
    /// Bounds of the roll-out of weights.
    pub rollout: RolloutSettings,
    /// Addresses of members that a process outside the group asks to take it in.
    pub seeds: Vec<String>,
}

/// What forms a new group; every founding member must be given the same.
#[derive(Clone, Debug)]
pub struct Founding {
    /// All founding members.
    pub members: Vec<MemberInfo>,
    /// Configuration of revision 1.
    pub source: SourceFiles,
}

/// Why a member can't go on.
#[derive(Debug, Error)]
pub enum MemberError {
    /// Its durable state failed.
    #[error(transparent)]
    Wal(#[from] WalError),
    /// Its disk failed.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// A snapshot or entry can't be read.
    #[error("replicated state can't be decoded: {0}")]
    Decode(String),
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum MemberInput {
    /// Time passed.
    Tick,
    /// A peer's message and the address that the peer listens at.
    Peer(String, Envelope),
    /// A request that wants an answer.
    Request(Token, Request),
    /// The requester is gone.
    Disconnected(Token),
    /// A member that was asked to take this process in answered, or did not.
    JoinResponse(String, Option<Response>),
    /// The settings name other seeds now.
    SeedsChanged(Vec<String>),
    /// Hand over leadership before a planned stop.
    TransferLeadership,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberOutput {
    /// Send a message to a member at this address.
    Send(String, Envelope),
    /// Answer a request.
    Respond(Token, Response),
    /// Send something to a replica, and tell with [`crate::FleetRequest::ActionEnded`] how it ended.
    Perform(FleetAction),
    /// Send a request to the member at this address; nobody waits for the answer.
    Notify(String, Request),
    /// Ask the member at this address, and tell with [`MemberInput::JoinResponse`] what it said.
    RequestJoin(String, Request),
    /// Log and count what was decided about the membership.
    Membership(MembershipEvent),
    /// As leader: a replica said something of its weights that was not known.
    Weights(WeightsEvent),
    /// As leader: how many replicas of a service load at a time changed, or whether all will be in time.
    Rollout(RolloutEvent),
}

struct Waiting {
    token: Token,
    term: Term,
}

/// A control member.
pub struct Member<D> {
    pub(crate) settings: MemberSettings,
    pub(crate) replica: RaftMember,
    wal: Wal<D>,
    pub(crate) state: ControlState,
    waiting: BTreeMap<Index, Waiting>,
    pub(crate) nodes: BTreeMap<NodeId, NodeReport>,
    pub(crate) fleet: FleetLeader,
    /// Where peers were last heard from: a joining member does not know the membership yet.
    peer_addresses: BTreeMap<MemberId, String>,
    pub(crate) noted: Noted,
    pub(crate) heartbeats: Heartbeats,
    /// Leader: since when all voters have answered without a break.
    pub(crate) complete_since: Option<Time>,
    /// Leader: the change of the membership that could not be proposed last, and why.
    pub(crate) hindered: Option<(MembershipChange, ProposeError)>,
    pub(crate) joining: Joining,
    snapshot_at: Index,
    bytes_since_snapshot: u64,
    pub(crate) outputs: Vec<MemberOutput>,
}

impl<D: Disk> Member<D> {
    /// Opens the disk. An empty one starts a founding member when `founding` is given, else a
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
                let id = first_identity(&settings, founding);
                recovered = first_state(founding);
                wal.initialize(&recovered)?;
                // Last, so that an interrupted start begins anew.
                wal.disk_mut().replace(IDENTITY_FILE, &id.0.to_le_bytes())?;
                id
            }
        };
        let snapshot_at = recovered.snapshot.meta.index;
        let seed = settings.seed;
        let replica = RaftMember::new(id, settings.consensus.clone(), recovered, seed, now);
        let fleet = FleetLeader::new(settings.rollout);
        let joining = Joining::new(settings.seeds.clone());
        let mut member = Member {
            settings,
            replica,
            wal,
            state: ControlState::default(),
            waiting: BTreeMap::new(),
            nodes: BTreeMap::new(),
            fleet,
            peer_addresses: BTreeMap::new(),
            noted: Noted::new(now),
            heartbeats: Heartbeats::default(),
            complete_since: None,
            hindered: None,
            joining,
            snapshot_at,
            bytes_since_snapshot: 0,
            outputs: Vec::new(),
        };
        member.drain_ready(now)?;
        Ok(member)
    }

    /// The log's state machine.
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

    /// Identity, name and address.
    pub fn identity(&self) -> (MemberId, &MemberInfo) {
        (self.replica.id(), &self.settings.info)
    }

    pub(crate) fn election_timeout(&self) -> Duration {
        self.settings.consensus.election_timeout
    }

    /// Next moment at which [`MemberInput::Tick`] has something to do.
    pub fn next_wakeup(&self) -> Time {
        let joining = self.joining.next_at().unwrap_or(Time::NEVER);
        self.replica.next_wakeup().min(joining)
    }

    /// Takes a batch of inputs with one sync, and says what to do.
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
                        self.joining.note(now, &address);
                    }
                    self.peer_addresses.insert(envelope.from, address);
                    self.replica.step(now, envelope);
                }
                MemberInput::Request(token, request) => self.on_request(now, token, request),
                MemberInput::Disconnected(token) => {
                    self.waiting.retain(|_, w| w.token != token);
                    self.fleet.gone(token);
                }
                MemberInput::JoinResponse(address, answer) => {
                    self.on_join_answer(now, address, answer);
                }
                MemberInput::SeedsChanged(seeds) => self.set_seeds(seeds),
                MemberInput::TransferLeadership => {
                    self.replica.transfer_leadership(now);
                }
            }
        }
        self.replica.flush_proposals();
        self.drain_ready(now)?;
        self.refuse_if_deposed(now);
        self.answer_watchers(now);
        self.note_membership(now);
        let heard = self.fleet.take_events();
        self.outputs.extend(heard.into_iter().map(MemberOutput::Weights));
        let plans = self.fleet.take_plans();
        self.outputs.extend(plans.into_iter().map(MemberOutput::Rollout));
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
            Request::Lookup(key) => self.as_leader(now, |state| {
                Response::Lookup(state.ledger.lookup(now.max(state.time), key))
            }),
            Request::Source => self.as_leader(now, |state| {
                let configuration = &state.configuration;
                Response::Source(configuration.revision(), configuration.source().clone())
            }),
            Request::Fetch { node, name, zone, have } => {
                let report = NodeReport { name, zone, revision: have, received_at: now };
                self.nodes.insert(node, report);
                let update = self.state.configuration.update_since(have);
                let has_news = update != ConfigurationUpdate::Current;
                // What was committed may always be passed on; that there is nothing newer can't be
                // told by a member that is cut off, and may lag for as long as the cut lasts.
                if has_news || self.replica.has_confirmed_leader(now) {
                    Response::Update(update)
                } else {
                    Response::NotLeader(None)
                }
            }
            Request::History => Response::History(self.state.configuration.history()),
            Request::Status => Response::Status(Box::new(self.status(now))),
            Request::Join(id, info) => self.on_join(now, id, info),
            Request::Fleet(request) => return self.on_fleet(now, token, request),
        };
        self.outputs.push(MemberOutput::Respond(token, response));
    }

    /// Answers from the applied state if this member may vouch for it.
    fn as_leader(&self, now: Time, answer: impl Fn(&ControlState) -> Response) -> Response {
        if self.replica.can_serve_reads(now) { answer(&self.state) } else { self.not_leader(now) }
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

    /// Proposes a command that nobody waits for.
    pub(crate) fn propose_unasked(&mut self, now: Time, command: Command) {
        // One that can't be taken now is proposed again by a later tick.
        let _ = self.replica.propose(self.encode(now, command));
    }

    /// Which kinds of commands this leader may propose. It is agreed on in the log, so that it holds while a member is
    /// down.
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
                self.waiting.insert(index, Waiting { token, term });
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
                self.restore(&snapshot.data)?;
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

    fn restore(&mut self, data: &[u8]) -> Result<(), MemberError> {
        if data.is_empty() {
            self.state = ControlState::default();
            return Ok(());
        }
        self.state =
            rmp_serde::from_slice(data).map_err(|error| MemberError::Decode(error.to_string()))?;
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
        let reply = self.state.apply(timed);
        if self.state.level > before {
            self.note(MembershipEvent::LevelRaised(self.state.level));
        }
        if let Some(waiting) = self.waiting.remove(&entry.index) {
            let response =
                if waiting.term == entry.term { response_of(reply) } else { self.not_leader(now) };
            self.outputs.push(MemberOutput::Respond(waiting.token, response));
        }
        Ok(())
    }

    /// Requests that wait on a member that no longer leads are answered at once; their commands
    /// are safe to send again to the next leader.
    fn refuse_if_deposed(&mut self, now: Time) {
        if self.replica.role() == Role::Leader || self.waiting.is_empty() {
            return;
        }
        for waiting in std::mem::take(&mut self.waiting).into_values() {
            let response = self.not_leader(now);
            self.outputs.push(MemberOutput::Respond(waiting.token, response));
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
