//! Messages, commands and snapshots keep the bytes that other builds read and write. Each line of
//! `recorded_bytes.tsv` holds the name of a sample and its encodings in hexadecimal.

use serde::{Serialize, de::DeserializeOwned};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Debug, Write};
use std::time::Duration;
use topazmount_admission::Pushback;
use topazmount_consensus::{
    Entry, Envelope, MemberId, MemberInfo, Membership, MembershipChange, MembershipStatus, Message,
    Payload, ProposeError,
};
use topazmount_control::{
    ActionReport, ActionResult, Availability, BlockedRequest, ChangeReason, ChangeReply,
    ChangeRequest, ClaimId, ClaimOutcome, Command, ConfigurationUpdate, ControlState, CrashRecord,
    CrashReport, Document, FeatureLevel, FleetAction, FleetCommand, FleetRequest, FleetResponse,
    FleetView, Frame, GatewayListUpdate, GatewayReport, HistoryRow, HostKey, IncomingLegacyFrame,
    InstanceReport, InstanceStatus, JoinResponse, LegacyLink, LoadMode, LoadedModel, LookupOutcome,
    MemberStatus, MembershipEvent, NodeReport, OrderOutcome, RecordChange, RegistrationConflict,
    RemovedInstance, ReplicaReport, Reply, ReportSource, Request, Response, RolloutEvent,
    RolloutPlan, SeenVersions, TimedCommand, WatchRequest, WeightsEvent, WeightsOrder,
};
use topazmount_settings::{FileDelta, SourceFiles};
use topazmount_types::{
    ActionKey, Digest, ErrorKind, Incarnation, Instance, NodeId, Refusal, ReplicaId, RequestDigest,
    Revision, Start, TenantId, Time,
};

const RECORDED: &str = include_str!("recorded_bytes.tsv");

struct Recorded {
    lines: BTreeMap<&'static str, Vec<&'static str>>,
    checked: BTreeSet<String>,
}

impl Recorded {
    fn read() -> Self {
        let lines = RECORDED.lines().map(|line| {
            let mut columns = line.split('\t');
            (columns.next().unwrap(), columns.collect())
        });
        Recorded { lines: lines.collect(), checked: BTreeSet::new() }
    }

    fn columns(&mut self, name: &str) -> Vec<&'static str> {
        assert!(self.checked.insert(name.to_owned()), "{name} is checked twice");
        self.lines.get(name).cloned().unwrap_or_else(|| panic!("{name} is not recorded"))
    }

    /// Checks both encodings of a value, with and without field names, and that the recorded bytes
    /// decode to it.
    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, value: T) {
        let encodings = [rmp_serde::to_vec_named(&value), rmp_serde::to_vec(&value)];
        let encodings = encodings.map(|bytes| bytes.unwrap());
        let recorded = self.columns(name);
        assert_eq!(recorded, encodings.map(|bytes| to_hex(&bytes)), "{name}");
        for column in recorded {
            assert_eq!(rmp_serde::from_slice::<T>(&from_hex(column)).unwrap(), value, "{name}");
        }
    }

    /// Checks the encoding of a frame for legacy builds, and the result of decoding the recorded
    /// bytes.
    fn check_first(&mut self, name: &str, frame: &Frame, read: Option<Frame>) {
        let mut link = LegacyLink::default();
        let written = link.outgoing(frame).map(|frame| rmp_serde::to_vec_named(&frame).unwrap());
        let column = self.columns(name)[0];
        assert_eq!(column, written.map_or("none".to_owned(), |bytes| to_hex(&bytes)), "{name}");
        if let Some(read) = read {
            let decoded: IncomingLegacyFrame = rmp_serde::from_slice(&from_hex(column)).unwrap();
            assert_eq!(LegacyLink::default().incoming(decoded), read, "{name}");
        }
    }

    fn check_text(&mut self, name: &str, text: impl ToString) {
        assert_eq!(self.columns(name), [text.to_string()], "{name}");
    }

    fn all_are_checked(&self, prefix: &str) {
        let recorded = self.lines.keys().filter(|name| name.starts_with(prefix));
        let unchecked: Vec<_> = recorded.filter(|name| !self.checked.contains(**name)).collect();
        assert!(unchecked.is_empty(), "{unchecked:?}");
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(digits).collect()
}

fn info() -> MemberInfo {
    MemberInfo { name: "m1".to_owned(), address: "10.0.0.1:70".to_owned() }
}

fn membership() -> Membership {
    Membership {
        voters: BTreeMap::from([(MemberId(1), info())]),
        learners: BTreeMap::from([(MemberId(2), info())]),
        target_size: 3,
    }
}

fn envelope() -> Envelope {
    let entries =
        [Payload::Empty, Payload::Command(vec![1, 2, 3]), Payload::Membership(membership())];
    let entries = entries.into_iter().enumerate();
    let entries = entries.map(|(n, payload)| Entry { index: 5 + n as u64, term: 2, payload });
    let message = Message::Append {
        previous_index: 4,
        previous_term: 1,
        entries: entries.collect(),
        commit: 3,
        sent_at: Time(17),
        echoed: None,
    };
    Envelope { from: MemberId(1), to: MemberId(2), term: 2, message }
}

fn instance(number: u64) -> Instance {
    Instance {
        id: format!("r{number}"),
        service: "chat".to_owned(),
        address: format!("10.0.1.{number}:80"),
        zone: "a".to_owned(),
        slots: 4,
        is_draining: number == 2,
        changed_at: number,
        start: Start(1_000 + number),
        software: String::new(),
    }
}

fn models() -> Vec<LoadedModel> {
    vec![LoadedModel { model: "m".to_owned(), version: 7 }]
}

fn report() -> InstanceReport {
    InstanceReport { instance: instance(1), models: models(), sequence: 9 }
}

fn gateway(number: u64) -> GatewayReport {
    GatewayReport {
        address: format!("10.0.2.{number}:90"),
        zone: "a".to_owned(),
        region: "eu".to_owned(),
        is_ready: true,
        is_legacy: false,
    }
}

fn document() -> Document {
    Document {
        version: 3,
        bytes: b"text".to_vec(),
        services: vec!["chat".to_owned()],
        routing: None,
        longest_stream: None,
    }
}

fn crash_note(request: u64, replica: u64, age: u64) -> CrashRecord {
    CrashRecord {
        request: RequestDigest(request),
        replica: ReplicaId(replica),
        ran_for: Duration::from_millis(40),
        age: Duration::from_millis(age),
        host: HostKey::default(),
    }
}

fn crash_notes() -> CrashReport {
    CrashReport { crashes: vec![crash_note(11, 21, 5)], completed: vec![RequestDigest(12)] }
}

fn seen() -> SeenVersions {
    SeenVersions {
        document: 1,
        revision: 2,
        statuses: (3, 4),
        gateways: (5, 6),
        blocked: 7,
        ..SeenVersions::default()
    }
}

fn watch(gateway: Option<GatewayReport>) -> WatchRequest {
    WatchRequest {
        gateway,
        seen: seen(),
        accepts_packed: false,
        wants_gateways: true,
        wait: Duration::from_millis(250),
        crashes: crash_notes(),
        notices: Vec::new(),
    }
}

fn status(availability: Availability) -> InstanceStatus {
    InstanceStatus {
        id: "r1".to_owned(),
        availability,
        models: models(),
        start: Start(1_001),
        correction: (2, 1),
    }
}

fn gateway_news(is_full: bool) -> GatewayListUpdate {
    GatewayListUpdate {
        count: (5, 8),
        is_full,
        changed: vec![gateway(1), gateway(2)],
        removed: vec!["10.0.2.3:90".to_owned()],
    }
}

fn view() -> FleetView {
    FleetView {
        staleness: Some(Duration::from_millis(900)),
        leader: Some("10.0.0.1:70".to_owned()),
        members: vec!["10.0.0.1:70".to_owned(), "10.0.0.2:70".to_owned()],
        document: Some(document()),
        revision: 12,
        is_full: true,
        instances: vec![instance(1), instance(2)],
        removed: vec![RemovedInstance {
            id: "r3".to_owned(),
            was_announced: false,
            start: Start(1_003),
        }],
        statuses: Some(((3, 9), vec![status(Availability::Available)])),
        gateways: Some(gateway_news(true)),
        gateway_count: 2,
        blocked: Some((1, vec![blocked()])),
        weights: models(),
        oldest_weights: models(),
        has_more: true,
        notices: None,
        packed: Default::default(),
    }
}

fn blocked() -> BlockedRequest {
    BlockedRequest {
        request: RequestDigest(11),
        crash_span: Duration::from_millis(120),
        is_explained: false,
        further_crashes: 0,
    }
}

/// The same view as a legacy build sends it.
fn first_view() -> FleetView {
    let removed =
        RemovedInstance { id: "r3".to_owned(), was_announced: true, start: Start::UNKNOWN };
    let gateways = GatewayListUpdate::full((5, 8), vec![gateway(1), gateway(2)]);
    FleetView {
        removed: vec![removed],
        gateways: Some(gateways),
        weights: Vec::new(),
        oldest_weights: Vec::new(),
        has_more: false,
        ..view()
    }
}

fn key(number: u128) -> ActionKey {
    ActionKey { tenant: TenantId(31), key: Digest(number) }
}

fn claim(sequence: u64) -> ClaimId {
    ClaimId { node: NodeId(41), incarnation: Incarnation(42), sequence }
}

fn result() -> ActionResult {
    ActionResult { status: 200, body: "done".to_owned() }
}

fn source() -> SourceFiles {
    SourceFiles(BTreeMap::from([("tenants.toml".to_owned(), "a = 1\n".to_owned())]))
}

fn delta() -> FileDelta {
    FileDelta {
        name: "tenants.toml".to_owned(),
        prefix_bytes: 4,
        suffix_bytes: 1,
        replacement: Some("2".to_owned()),
    }
}

fn order(mode: LoadMode) -> WeightsOrder {
    WeightsOrder {
        instance: "r1".to_owned(),
        address: "10.0.1.1:80".to_owned(),
        model: "m".to_owned(),
        version: 8,
        mode,
        fence: 2,
        expected_sequence: 6,
        start: Start(1_001),
    }
}

fn replica_report() -> ReplicaReport {
    ReplicaReport { models: models(), is_busy: true, sequence: 6, start: Start(1_001) }
}

fn order_reports() -> Vec<(&'static str, ActionReport)> {
    let order = |end| ActionReport::Order("r1".to_owned(), Start(1_001), end);
    let pushback = Pushback {
        backoff: Some(Duration::from_millis(300)),
        is_leaving: true,
        ..Pushback::default()
    };
    vec![
        ("accepted", order(OrderOutcome::Accepted)),
        ("holds", order(OrderOutcome::AlreadyLoaded)),
        ("conflict", order(OrderOutcome::Conflict)),
        ("fenced", order(OrderOutcome::Fenced)),
        ("refused", order(OrderOutcome::Refused)),
        ("unknown", order(OrderOutcome::Unknown)),
        ("report", ActionReport::Query("r1".to_owned(), Some(replica_report()))),
        ("no_report", ActionReport::Query("r1".to_owned(), None)),
        ("pushback", ActionReport::Pushback("r1".to_owned(), Start(1_001), pushback)),
    ]
}

fn fleet_requests() -> Vec<(String, FleetRequest)> {
    let mut requests = vec![
        ("heartbeat", FleetRequest::Heartbeat(report())),
        ("heartbeats_heard", FleetRequest::ForwardedHeartbeats(vec![report()])),
        ("depart", FleetRequest::Depart("r1".to_owned(), Start(1_001))),
        ("put_document", FleetRequest::PutDocument(document())),
        ("read_document", FleetRequest::ReadDocument),
        ("name_weights", FleetRequest::PublishWeights { model: "m".to_owned(), version: 8 }),
        ("watch", FleetRequest::Watch(watch(Some(gateway(1))))),
        ("watch_of_a_client", FleetRequest::Watch(watch(None))),
    ];
    requests.extend(
        order_reports().into_iter().map(|(name, report)| (name, FleetRequest::ActionEnded(report))),
    );
    requests.into_iter().map(|(name, request)| (format!("fleet_{name}"), request)).collect()
}

fn requests() -> Vec<(String, Request)> {
    let within = Duration::from_secs(2);
    let claim = Command::Claim { key: key(51), claim: claim(1), digest: Digest(61), within };
    let change = ChangeRequest { expected: Revision(1), request: Digest(62), source: source() };
    let fetch = Request::Fetch {
        node: NodeId(41),
        name: "n".to_owned(),
        zone: "a".to_owned(),
        have: Revision(1),
    };
    let requests = [
        ("ledger", Request::Ledger(claim)),
        ("change", Request::Change(change)),
        ("lookup", Request::Lookup(key(51))),
        ("fetch", fetch),
        ("source", Request::Source),
        ("history", Request::History),
        ("status", Request::Status),
        ("join", Request::Join(MemberId(2), info())),
    ];
    let requests = requests.map(|(name, request)| (name.to_owned(), request));
    let fleet = fleet_requests().into_iter().map(|(name, one)| (name, Request::Fleet(one)));
    requests.into_iter().chain(fleet).collect()
}

fn member_status(standing: MembershipStatus) -> MemberStatus {
    let node = NodeReport {
        name: "n".to_owned(),
        zone: "a".to_owned(),
        revision: Revision(1),
        received_at: Time(70),
    };
    MemberStatus {
        id: MemberId(1),
        name: "m1".to_owned(),
        is_leader: true,
        term: 2,
        applied: 8,
        membership: membership(),
        revision: Revision(1),
        ledger_keys: 3,
        nodes: vec![node],
        now: Time(90),
        standing,
        standing_for: Duration::from_secs(4),
        responding: vec![MemberId(1)],
    }
}

fn replies() -> Vec<(&'static str, Reply)> {
    let claims = [
        ("claim_granted", ClaimOutcome::Granted),
        ("claim_in_progress", ClaimOutcome::InProgress),
        ("claim_finished", ClaimOutcome::Finished(result())),
        ("claim_unknown", ClaimOutcome::Unknown),
        ("claim_expired", ClaimOutcome::Expired),
        ("claim_key_reused", ClaimOutcome::KeyReused),
        ("claim_released", ClaimOutcome::Released),
    ];
    let others = [
        ("configured", Reply::Configured(Revision(2))),
        ("conflict", Reply::Conflict(Revision(2))),
        ("finished", Reply::Finished(true)),
        ("released", Reply::Released),
        ("fleet_changed", Reply::FleetChanged),
    ];
    let claims = claims.map(|(name, outcome)| (name, Reply::Claim(outcome)));
    claims.into_iter().chain(others).collect()
}

fn join_answers() -> Vec<(&'static str, JoinResponse)> {
    let elsewhere =
        JoinResponse::Redirect { leader: Some(info()), members: vec!["10.0.0.2:70".to_owned()] };
    vec![
        ("proposed", JoinResponse::Proposed),
        ("replaces_learner", JoinResponse::ReplacesLearner),
        ("busy", JoinResponse::Busy),
        ("learner", JoinResponse::Learner),
        ("voter", JoinResponse::Voter),
        ("elsewhere", elsewhere),
        ("elsewhere_unknown", JoinResponse::Redirect { leader: None, members: Vec::new() }),
    ]
}

fn responses() -> Vec<(String, Response)> {
    let deltas =
        ConfigurationUpdate::Deltas { to: Revision(2), deltas: vec![delta()], digest: Digest(63) };
    let full = ConfigurationUpdate::Full { revision: Revision(2), source: source() };
    let row = HistoryRow { revision: Revision(2), at: Time(80), files: vec!["f".to_owned()] };
    let refusal = Refusal::new(ErrorKind::InvalidRequest, "bad");
    let status_of = |standing| Response::Status(Box::new(member_status(standing)));
    let statuses =
        [Availability::Available, Availability::Paused, Availability::Excluded].map(status);
    let delta_view = FleetView {
        is_full: false,
        statuses: Some(((3, 9), statuses.to_vec())),
        gateways: Some(gateway_news(false)),
        ..view()
    };
    let fleet = |response| Response::Fleet(response);
    let mut responses = vec![
        ("change_accepted", Response::Change(ChangeReply::Accepted(Revision(2)))),
        ("change_conflict", Response::Change(ChangeReply::Conflict(Revision(2)))),
        ("lookup_absent", Response::Lookup(LookupOutcome::Absent)),
        ("lookup_in_progress", Response::Lookup(LookupOutcome::InProgress)),
        ("lookup_finished", Response::Lookup(LookupOutcome::Finished(result()))),
        ("lookup_unknown", Response::Lookup(LookupOutcome::Unknown)),
        ("lookup_expired", Response::Lookup(LookupOutcome::Expired)),
        ("update_current", Response::Update(ConfigurationUpdate::Current)),
        ("update_deltas", Response::Update(deltas)),
        ("update_full", Response::Update(full)),
        ("source", Response::Source(Revision(2), source())),
        ("history", Response::History(vec![row])),
        ("status_outside", status_of(MembershipStatus::Outside)),
        ("status_learner", status_of(MembershipStatus::Learner)),
        ("status_voter", status_of(MembershipStatus::Voter)),
        ("not_leader", Response::NotLeader(Some(info()))),
        ("not_leader_unknown", Response::NotLeader(None)),
        ("refused", Response::Refused(refusal)),
        ("fleet_done", fleet(FleetResponse::Done)),
        ("fleet_superseded", fleet(FleetResponse::Superseded)),
        (
            "fleet_foreign_undeclared",
            fleet(FleetResponse::Conflict(RegistrationConflict::UndeclaredService)),
        ),
        ("fleet_foreign_other", fleet(FleetResponse::Conflict(RegistrationConflict::MovedAddress))),
        ("fleet_document", fleet(FleetResponse::Document(Some(document())))),
        ("fleet_no_document", fleet(FleetResponse::Document(None))),
        ("fleet_view_empty", fleet(FleetResponse::View(Box::default()))),
        ("fleet_view_delta", fleet(FleetResponse::View(Box::new(delta_view)))),
        ("fleet_view_full", fleet(FleetResponse::View(Box::new(view())))),
    ];
    responses.extend(replies().into_iter().map(|(name, reply)| (name, Response::Ledger(reply))));
    let responses = responses.into_iter().map(|(name, response)| (name.to_owned(), response));
    let joining = join_answers().into_iter();
    let joining =
        joining.map(|(name, answer)| (format!("joining_{name}"), Response::Joining(answer)));
    responses.chain(joining).collect()
}

fn fleet_commands() -> Vec<(&'static str, FleetCommand)> {
    let version = 8;
    let model = || "m".to_owned();
    vec![
        ("put_document", FleetCommand::PutDocument(document())),
        ("register", FleetCommand::Register(instance(1))),
        ("depart", FleetCommand::Depart("r1".to_owned())),
        ("expire", FleetCommand::Expire("r1".to_owned())),
        ("leave", FleetCommand::DeregisterIncarnation("r1".to_owned(), Start(1_001))),
        ("fall_silent", FleetCommand::ExpireIncarnation("r1".to_owned(), Start(1_001))),
        ("name_weights", FleetCommand::PublishWeights { model: model(), version }),
        ("retire_weights", FleetCommand::RetireWeights { model: model(), version }),
        ("note_crashes", FleetCommand::RecordCrashes { at: Time(100), report: crash_notes() }),
        ("forget_crashes", FleetCommand::ExpireCrashes { at: Time(100) }),
    ]
}

fn commands() -> Vec<(&'static str, Command)> {
    let (key, claim, digest) = (key(51), claim(1), Digest(61));
    let within = Duration::from_secs(2);
    let retention = Duration::from_secs(60);
    let (expected, request) = (Revision(1), Digest(62));
    let finish = |result| Command::Finish { key, claim, result, retention };
    let mut commands = vec![
        ("configure", Command::Configure { expected, request, deltas: vec![delta()] }),
        ("claim", Command::Claim { key, claim, digest, within }),
        ("finish", finish(Some(result()))),
        ("finish_unknown", finish(None)),
        ("release", Command::Release { key, claim, digest }),
    ];
    commands
        .extend(fleet_commands().into_iter().map(|(name, change)| (name, Command::Fleet(change))));
    commands
}

/// A state with a key in each ledger state, replicas, removals, and a blocked and a suspected
/// request.
fn state() -> ControlState {
    let mut state = ControlState::founding(source());
    let mut apply = |at: u64, command: Command| {
        state.apply(TimedCommand {
            at: Time::from_millis(at),
            command,
            level: FeatureLevel::INCARNATIONS,
        })
    };
    let within = Duration::from_secs(2);
    let digest = Digest(61);
    for number in 1..=5 {
        apply(0, Command::Claim { key: key(number), claim: claim(number as u64), digest, within });
    }
    let finish = |number: u128, result, retention| {
        let claim = claim(number as u64);
        Command::Finish { key: key(number), claim, result, retention }
    };
    apply(10, finish(1, Some(result()), Duration::from_secs(60)));
    apply(20, finish(2, None, Duration::from_secs(60)));
    apply(30, finish(3, Some(result()), Duration::from_millis(1)));
    apply(40, Command::Release { key: key(4), claim: claim(4), digest });
    let (expected, request) = (Revision(1), Digest(62));
    apply(50, Command::Configure { expected, request, deltas: vec![delta()] });
    let mut change = |command| drop(apply(60, Command::Fleet(command)));
    change(FleetCommand::PutDocument(document()));
    for number in 1..=4 {
        change(FleetCommand::Register(instance(number)));
    }
    change(FleetCommand::DeregisterIncarnation("r3".to_owned(), Start(1_003)));
    change(FleetCommand::ExpireIncarnation("r4".to_owned(), Start(1_004)));
    change(FleetCommand::PublishWeights { model: "m".to_owned(), version: 8 });
    change(FleetCommand::RetireWeights { model: "m".to_owned(), version: 7 });
    let crashes = vec![
        crash_note(11, 21, 900),
        crash_note(11, 22, 600),
        crash_note(11, 23, 300),
        crash_note(12, 24, 200),
        crash_note(13, 24, 200),
    ];
    let at = Time::from_millis(5_000);
    let notes = CrashReport { crashes, completed: Vec::new() };
    change(FleetCommand::RecordCrashes { at, report: notes });
    let notes = CrashReport { crashes: Vec::new(), completed: vec![RequestDigest(13)] };
    change(FleetCommand::RecordCrashes { at, report: notes });
    assert!(state.fleet.crashes().is_blocked(RequestDigest(11)));
    state
}

#[test]
fn frames_keep_their_bytes() {
    let mut recorded = Recorded::read();
    recorded.check("frame_peer", Frame::Peer("10.0.0.1:70".to_owned(), envelope()));
    recorded.check("frame_heard", Frame::Ack);
    for (name, request) in requests() {
        recorded.check(&format!("frame_request_{name}"), Frame::Request(7, request));
    }
    for (name, response) in responses() {
        recorded.check(&format!("frame_response_{name}"), Frame::Response(7, response));
    }
    recorded.all_are_checked("frame_");
}

#[test]
fn frames_for_the_first_builds_keep_their_bytes() {
    let mut recorded = Recorded::read();
    let peer = Frame::Peer("10.0.0.1:70".to_owned(), envelope());
    for (name, frame) in [("first_peer", peer), ("first_heard", Frame::Ack)] {
        recorded.check_first(name, &frame, Some(frame.clone()));
    }
    for (name, request) in requests() {
        let frame = Frame::Request(7, request.clone());
        let read = match request {
            Request::Fleet(FleetRequest::ForwardedHeartbeats(_) | FleetRequest::ActionEnded(_)) => {
                None
            }
            Request::Fleet(FleetRequest::Depart(id, _)) => {
                Some(Request::Fleet(FleetRequest::Depart(id, Start::UNKNOWN)))
            }
            Request::Fleet(FleetRequest::Watch(mut watch)) => {
                watch.seen.gateways = (0, 0);
                // Gateways of the first builds are marked as such.
                if let Some(gateway) = &mut watch.gateway {
                    gateway.is_legacy = true;
                }
                Some(Request::Fleet(FleetRequest::Watch(watch)))
            }
            same => Some(same),
        };
        let read = read.map(|request| Frame::Request(7, request));
        recorded.check_first(&format!("first_request_{name}"), &frame, read);
    }
    for (name, response) in responses() {
        let frame = Frame::Response(7, response.clone());
        let read = match (name.as_str(), response) {
            (_, Response::Fleet(FleetResponse::Conflict(_))) => {
                Response::Fleet(FleetResponse::Superseded)
            }
            ("fleet_view_full", _) => Response::Fleet(FleetResponse::View(Box::new(first_view()))),
            ("fleet_view_delta", _) => {
                let statuses =
                    [Availability::Available, Availability::Paused, Availability::Excluded]
                        .map(status);
                Response::Fleet(FleetResponse::View(Box::new(FleetView {
                    is_full: false,
                    statuses: Some(((3, 9), statuses.to_vec())),
                    ..first_view()
                })))
            }
            (_, same) => same,
        };
        let read = Some(Frame::Response(7, read));
        recorded.check_first(&format!("first_response_{name}"), &frame, read);
    }
    recorded.all_are_checked("first_");
}

#[test]
fn commands_keep_their_bytes() {
    let mut recorded = Recorded::read();
    for (name, command) in commands() {
        let timed = TimedCommand { at: Time(100), command, level: FeatureLevel::INCARNATIONS };
        recorded.check(&format!("command_{name}"), timed);
    }
    recorded.all_are_checked("command_");
}

#[test]
fn snapshots_keep_their_bytes() {
    let mut recorded = Recorded::read();
    recorded.check("state_empty", ControlState::default());
    recorded.check("state", state());
    recorded.all_are_checked("state");
}

#[test]
fn actions_of_the_leader_keep_their_bytes() {
    let mut recorded = Recorded::read();
    recorded.check("action_keep_runs", FleetAction::Order(order(LoadMode::KeepRuns)));
    recorded.check("action_finish_runs", FleetAction::Order(order(LoadMode::FinishRuns)));
    let question = FleetAction::Query {
        instance: "r1".to_owned(),
        start: Start(1_001),
        address: "10.0.1.1:80".to_owned(),
    };
    recorded.check("action_question", question);
    recorded.all_are_checked("action_");
}

fn membership_events() -> Vec<MembershipEvent> {
    let reasons = [
        ChangeReason::JoinRequested,
        ChangeReason::LearnerReplaced,
        ChangeReason::CaughtUp,
        ChangeReason::VoterReplaced,
        ChangeReason::SuccessorReady,
        ChangeReason::SurplusVoter,
        ChangeReason::LearnerTimedOut,
        ChangeReason::AllVotersResponding,
    ];
    let changes = [
        MembershipChange::AddLearner(MemberId(2), info()),
        MembershipChange::Promote(MemberId(2)),
        MembershipChange::Remove(MemberId(2)),
        MembershipChange::SetTargetSize,
    ];
    let hindrances = [
        None,
        Some(ProposeError::NotLeader(Some(MemberId(3)))),
        Some(ProposeError::NotLeader(None)),
        Some(ProposeError::ChangePending),
        Some(ProposeError::BadChange),
    ];
    let mut events = vec![MembershipEvent::LevelRaised(FeatureLevel::INCARNATIONS)];
    for standing in [MembershipStatus::Outside, MembershipStatus::Learner, MembershipStatus::Voter]
    {
        events.push(MembershipEvent::Changed { membership: membership(), standing });
    }
    let empty = Membership::default();
    events
        .push(MembershipEvent::Changed { membership: empty, standing: MembershipStatus::Outside });
    for (_, answer) in join_answers() {
        let (id, info) = (MemberId(2), info());
        events.push(MembershipEvent::JoinRequested { id, info, response: answer.clone() });
        let member = "10.0.0.1:70".to_owned();
        events.push(MembershipEvent::JoinResponse { member, response: Some(answer) });
    }
    events.push(MembershipEvent::JoinResponse { member: "10.0.0.1:70".to_owned(), response: None });
    let change = &changes[0];
    for reason in reasons {
        let change = change.clone();
        events.push(MembershipEvent::ChangeProposed { change, reason, error: None });
    }
    for change in changes {
        let reason = ChangeReason::CaughtUp;
        events.push(MembershipEvent::ChangeProposed { change, reason, error: None });
    }
    for hindrance in hindrances {
        let (change, reason) = (MembershipChange::SetTargetSize, ChangeReason::AllVotersResponding);
        events.push(MembershipEvent::ChangeProposed { change, reason, error: hindrance });
    }
    events
}

#[test]
fn logged_events_and_names_keep_their_texts() {
    let mut recorded = Recorded::read();
    for (number, event) in membership_events().into_iter().enumerate() {
        recorded.check_text(&format!("text_membership_{number}"), &event);
        recorded.check_text(&format!("text_membership_name_{number}"), event.name());
    }
    let sources = [ReportSource::Heartbeat, ReportSource::Query, ReportSource::Order];
    let changes = [RecordChange::Updated, RecordChange::Reverted, RecordChange::Kept];
    for (number, (source, change)) in sources.into_iter().zip(changes).enumerate() {
        let event = WeightsEvent {
            instance: "r1".to_owned(),
            start: Start(1_001 * number as u64),
            sequence: 9,
            source,
            model: "m".to_owned(),
            before: (number > 0).then_some(6),
            reported: 7,
            change,
        };
        recorded.check_text(&format!("text_weights_{number}"), event);
    }
    let plan = RolloutPlan {
        concurrency: 2,
        paused_ahead: 1,
        pause: Duration::from_millis(600),
        load_time: Duration::from_millis(1_500),
        late: 3,
        max_unavailable: 4,
    };
    let event = RolloutEvent { service: "chat".to_owned(), plan, remaining: 5 };
    recorded.check_text("text_rollout", event);
    for cause in [RegistrationConflict::UndeclaredService, RegistrationConflict::MovedAddress] {
        recorded.check_text(&format!("text_{}", cause.name()), cause.name());
    }
    for (name, request) in requests() {
        recorded.check_text(&format!("text_kind_request_{name}"), request.kind());
    }
    for (name, response) in responses() {
        recorded.check_text(&format!("text_kind_response_{name}"), response.kind());
    }
    recorded.check_text("text_kind_heard", Frame::Ack.kind());
    recorded.all_are_checked("text_");
}
