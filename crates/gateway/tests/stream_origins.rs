//! Records of the software versions that streams began at, and the gateways that hold them.

mod common;

use common::{catalog, choice_request, instance, prompt, route};
use rustix::time::{ClockId, clock_gettime};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use topazmount_control::{FleetView, GatewayListUpdate, GatewayReport, RemovedInstance};
use topazmount_gateway::{
    Catalog, GatewaySettings, GatewayState, MEMBER_ORIGIN_HOLDERS, ORIGIN_HOLDERS, ORIGIN_QUERIES,
    ORIGIN_RETENTION, Route, RouteKind, SplitPart, StreamKey, StreamOrigins, member_holders,
};
use topazmount_types::{Instance, SoftwareId, Start, Time};

const NOW: Time = Time::from_secs(1_000);
const PORT: u16 = 7_000;
const V1: SoftwareId = SoftwareId(1);
const V2: SoftwareId = SoftwareId(2);

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], PORT))
}

fn replica(number: u64, service: &str, software: &str) -> Instance {
    let software = software.to_owned();
    Instance { software, ..instance(&format!("i-{number}"), service, "north") }
}

fn view(revision: u64, instances: Vec<Instance>, removed: &[&str]) -> FleetView {
    let removed = removed.iter().map(|id| RemovedInstance {
        id: (*id).to_owned(),
        was_announced: true,
        start: Start::UNKNOWN,
    });
    FleetView { revision, instances, removed: removed.collect(), ..FleetView::default() }
}

/// State of one of `gateways` gateways, all of which are listed.
fn gateway(number: usize, gateways: usize) -> GatewayState {
    let mut state = GatewayState::new("north", GatewaySettings::default(), number as u64);
    state.set_own_address(address(number));
    let report = |other| GatewayReport {
        address: format!("{}:90", address(other).ip()),
        zone: "north".to_owned(),
        region: "here".to_owned(),
        is_ready: true,
        is_legacy: false,
    };
    let listed = (0..gateways).map(report).collect();
    let view = FleetView {
        gateways: Some(GatewayListUpdate::full((1, 1), listed)),
        gateway_count: gateways as u32,
        staleness: Some(Duration::ZERO),
        ..FleetView::default()
    };
    state.apply(&view, Some(catalog(1)), NOW);
    state
}

fn stream_route(services: &[&str]) -> Route {
    let part = |service: &&str| SplitPart { service: (*service).to_owned(), weight: 1 };
    Route {
        kind: RouteKind::Streaming,
        is_resumable: true,
        split: services.iter().map(part).collect(),
        ..route("r", "h", "/r/", "pool")
    }
}

/// Whether a stream that a replica of the service `pool` with a version began has to be recorded at
/// control members.
fn needs_record(state: &mut GatewayState, software: &str, now: Time) -> bool {
    let software = SoftwareId::of(&replica(0, "pool", software));
    state.needs_member_record(&stream_route(&["pool"]), software, now)
}

#[test]
fn a_record_is_forgotten_before_its_stream_ends() {
    let (key, mut origins) = (StreamKey(7), StreamOrigins::default());
    origins.record(key, V1, NOW);
    let almost = NOW + ORIGIN_RETENTION - Duration::from_millis(1);
    assert_eq!(origins.software(key, almost), Some(V1));
    origins.record(key, V1, almost);
    origins.record(StreamKey(8), V2, NOW + ORIGIN_RETENTION);
    assert_eq!(origins.software(key, NOW + ORIGIN_RETENTION), Some(V1), "it was renewed");
    let later = almost + ORIGIN_RETENTION;
    assert_eq!(origins.software(key, later), None);
    origins.record(StreamKey(9), V2, later);
    assert_eq!(origins.count(), 2, "the old record takes no more memory");
}

#[test]
fn records_grow_without_bound() {
    let mut origins = StreamOrigins::default();
    (0..200_000).for_each(|number| origins.record(StreamKey(number), V1, NOW));
    assert!(origins.count() <= 65_536, "{} records", origins.count());
    assert_eq!(origins.software(StreamKey(199_999), NOW), Some(V1));
}

#[test]
fn a_tenant_resumes_the_stream_of_another_tenant() {
    assert_ne!(StreamKey::new("a", "1"), StreamKey::new("b", "1"));
    assert_ne!(StreamKey::new("a", "1"), StreamKey::new("a1", ""));
}

/// A thousand gateways: whichever began a stream, whichever resumes it asks one that was told.
#[test]
fn gateways_ask_others_than_those_that_were_told() {
    const GATEWAYS: usize = 1_000;
    let states: Vec<GatewayState> =
        [0, 1, 499, 998, 999].map(|number| gateway(number, GATEWAYS)).into();
    let mut told = BTreeSet::new();
    for key in (0..200u64).map(|number| StreamKey::new("tenant", &format!("{number:016x}"))) {
        for first in &states {
            let holders: BTreeSet<SocketAddr> =
                first.origin_holders(key, NOW).into_iter().collect();
            assert_eq!(holders.len(), ORIGIN_HOLDERS);
            told.extend(holders.iter().copied());
            for next in &states {
                let asked: BTreeSet<SocketAddr> =
                    next.origin_candidates(key, NOW).into_iter().collect();
                assert_eq!(asked.len(), ORIGIN_QUERIES);
                assert!(holders.intersection(&asked).count() >= ORIGIN_HOLDERS - 1);
            }
        }
    }
    assert!(told.len() > 400, "records gather at {} gateways", told.len());
}

/// What a stream costs its gateway must not grow with their number: 100 µs at a thousand is 0.4%
/// of a core at 43 streams a second.
#[test]
fn recording_a_stream_takes_long_in_a_large_fleet() {
    const STREAMS: u32 = 1_000;
    let mut state = gateway(0, 1_000);
    let cpu_time = || {
        let time = clock_gettime(ClockId::ProcessCPUTime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    };
    let began = cpu_time();
    for number in 0..STREAMS {
        let key = StreamKey::new("tenant", &format!("{number:016x}"));
        state.stream_origins().record(key, V1, NOW);
        assert_eq!(state.origin_holders(key, NOW).len(), ORIGIN_HOLDERS);
    }
    let each = (cpu_time() - began) / STREAMS;
    println!("{each:.1?} a stream at 1,000 gateways");
    assert!(each < Duration::from_micros(100), "{each:?}");
}

#[test]
fn a_resumed_stream_is_sent_to_another_software_version() {
    let mut state = gateway(0, 1);
    let replicas: Vec<Instance> =
        (1..=6).map(|n| replica(n, "pool", if n == 4 { "v2" } else { "v1" })).collect();
    let v2 = SoftwareId::of(&replicas[3]);
    state.apply(&view(1, replicas, &[]), None, NOW);
    let prompt = prompt(&[(1, 100)]);
    let request =
        topazmount_gateway::ChoiceRequest { software: Some(v2), ..choice_request(&prompt, None) };
    for _ in 0..20 {
        let choice = state.choose(&request, NOW).expect("a replica of the version is there");
        assert_eq!(choice.instance.id, "i-4");
    }
    let gone = topazmount_gateway::ChoiceRequest { software: Some(V2), ..request };
    assert_eq!(state.choose(&gone, NOW), None);
}

#[test]
fn a_stream_goes_on_at_another_service() {
    let mut state = gateway(0, 1);
    let (first, second) = (replica(1, "pool", "v1"), replica(2, "other", "v1"));
    let (in_pool, in_other) = (SoftwareId::of(&first), SoftwareId::of(&second));
    assert_ne!(in_pool, in_other);
    state.apply(&view(1, vec![first, second], &[]), None, NOW);
    let route = stream_route(&["pool", "other"]);
    assert_eq!(state.service_with(&route, in_other).as_deref(), Some("other"));
    assert_eq!(state.service_with(&stream_route(&["pool"]), in_other), None);
    assert_eq!(route.only_service(), None, "either service may have begun it");
    assert_eq!(stream_route(&["pool"]).only_service(), Some("pool"));
}

/// While the registry's history can't tell a stream's version, only its record can.
#[test]
fn a_stream_is_recorded_at_gateways_only_while_its_service_has_several_versions() {
    let mut state = gateway(0, 1);
    let (old, new) = (replica(1, "pool", "v1"), replica(2, "pool", "v2"));
    state.apply(&view(1, vec![new.clone()], &[]), None, NOW);
    assert!(needs_record(&mut state, "v2", NOW), "this gateway has just started");
    let calm = NOW + ORIGIN_RETENTION;
    assert!(!needs_record(&mut state, "v2", calm));
    state.apply(&view(2, vec![old], &[]), None, calm);
    assert!(needs_record(&mut state, "v2", calm));
    state.apply(&view(3, Vec::new(), &["i-1"]), None, calm);
    let almost = calm + ORIGIN_RETENTION - Duration::from_millis(1);
    assert!(needs_record(&mut state, "v2", almost), "the other version has ended lately");
    assert!(!needs_record(&mut state, "v2", calm + ORIGIN_RETENTION));
}

/// Guards against streams of split routes that are lost after all gateways were killed.
#[test]
fn a_stream_of_a_split_route_is_recorded_at_gateways_only() {
    let mut state = gateway(0, 1);
    let replicas = vec![replica(1, "pool", "v1"), replica(2, "other", "v1")];
    let software = SoftwareId::of(&replicas[0]);
    state.apply(&view(1, replicas, &[]), None, NOW);
    let calm = NOW + ORIGIN_RETENTION;
    assert!(state.needs_member_record(&stream_route(&["pool", "other"]), software, calm));
    assert!(!state.needs_member_record(&stream_route(&["pool"]), software, calm));
}

/// Guards against streams that are joined from two versions, or lost, as they outlast the replicas of theirs.
#[test]
fn a_stream_that_outlasts_its_version_is_recorded_at_gateways_only() {
    let mut state = gateway(0, 1);
    state.apply(&view(1, vec![replica(1, "pool", "v1"), replica(2, "pool", "v2")], &[]), None, NOW);
    state.apply(&view(2, Vec::new(), &["i-1"]), None, NOW);
    assert!(needs_record(&mut state, "v1", NOW + ORIGIN_RETENTION));
    assert!(!needs_record(&mut state, "v2", NOW + ORIGIN_RETENTION));
}

/// Guards against streams that the leader can't tell the version of, a while after another one has ended.
#[test]
fn a_stream_is_recorded_at_gateways_only_while_earlier_ones_may_be_under_way() {
    const LONGEST_STREAM: Duration = Duration::from_secs(30);
    let mut state = gateway(0, 1);
    let mut parts = common::parts(2);
    parts.routes.push(Route { timeout: LONGEST_STREAM, ..stream_route(&["first"]) });
    state.apply(&FleetView::default(), Some(Catalog::new(parts).unwrap()), NOW);
    state.apply(&view(1, vec![replica(1, "pool", "v1"), replica(2, "pool", "v2")], &[]), None, NOW);
    let calm = NOW + ORIGIN_RETENTION + LONGEST_STREAM;
    state.apply(&view(2, Vec::new(), &["i-1"]), None, calm);
    let resumable_until = calm + ORIGIN_RETENTION + LONGEST_STREAM;
    let almost = resumable_until - Duration::from_millis(1);
    assert!(needs_record(&mut state, "v2", almost), "streams of the other version may be resumed");
    assert!(!needs_record(&mut state, "v2", resumable_until));
}

/// A route may lead to another service in the next catalog.
#[test]
fn a_stream_is_recorded_at_gateways_only_after_a_change_of_routes() {
    let mut state = gateway(0, 1);
    state.apply(&view(1, vec![replica(1, "pool", "v1")], &[]), None, NOW);
    let calm = NOW + ORIGIN_RETENTION;
    assert!(!needs_record(&mut state, "v1", calm));
    state.apply(&FleetView::default(), Some(catalog(2)), calm);
    assert!(!needs_record(&mut state, "v1", calm), "no stream goes elsewhere");
    let mut parts = common::parts(3);
    parts.routes.push(Route { path_prefix: "/s/".to_owned(), ..stream_route(&["first"]) });
    state.apply(&FleetView::default(), Some(Catalog::new(parts.clone()).unwrap()), calm);
    assert!(!needs_record(&mut state, "v1", calm), "no stream went anywhere before");
    (parts.version, parts.routes.last_mut().unwrap().split) = (4, stream_route(&["second"]).split);
    state.apply(&FleetView::default(), Some(Catalog::new(parts).unwrap()), calm);
    assert!(needs_record(&mut state, "v1", calm));
}

#[test]
fn members_are_told_of_more_streams_than_others() {
    let members: Vec<SocketAddr> = (0..5).map(address).collect();
    let mut streams = BTreeMap::new();
    for number in 0..5_000u64 {
        let key = StreamKey::new("tenant", &number.to_string());
        let holders = member_holders(key, &members);
        assert_eq!(holders.len(), MEMBER_ORIGIN_HOLDERS);
        holders.iter().for_each(|holder| *streams.entry(*holder).or_insert(0) += 1);
    }
    assert!(streams.values().all(|streams| (1_800..2_200).contains(streams)), "{streams:?}");
}

/// At 28,000 streams a second, five members and two holders, for as long as a client may come back.
#[test]
fn a_member_forgets_streams_that_can_be_resumed() {
    let mut origins = StreamOrigins::of_member();
    let (each_second, seconds) = (28_000 * 2 / 5, 15);
    for second in 0..=seconds {
        let now = NOW + Duration::from_secs(second);
        (0..each_second).for_each(|n| origins.record(StreamKey(second * each_second + n), V1, now));
    }
    let now = NOW + Duration::from_secs(seconds);
    assert!((0..each_second).all(|key| origins.software(StreamKey(key), now) == Some(V1)));
    (0..1_000_000).for_each(|key| origins.record(StreamKey(key), V1, now));
    assert!(origins.count() <= 262_144, "{} records", origins.count());
}

/// A replica that is back under its identifier, or reports another version of the same incarnation.
#[test]
fn a_stream_goes_on_at_a_replica_that_came_back_with_another_version() {
    let mut state = gateway(0, 1);
    let old = replica(1, "pool", "v1");
    let v1 = SoftwareId::of(&old);
    let prompt = prompt(&[(1, 100)]);
    let request =
        topazmount_gateway::ChoiceRequest { software: Some(v1), ..choice_request(&prompt, None) };
    let next = Instance { start: Start(2_000), software: "v2".to_owned(), ..old.clone() };
    for (revision, start) in [(1, Start(1_000)), (3, Start(2_000))] {
        let before = Instance { start, ..old.clone() };
        state.apply(&view(revision, vec![before], &[]), None, NOW);
        assert!(state.choose(&request, NOW).is_some());
        state.apply(&view(revision + 1, vec![next.clone()], &[]), None, NOW);
        assert_eq!(state.choose(&request, NOW), None, "from {start}");
    }
    assert!(needs_record(&mut state, "v2", NOW + ORIGIN_RETENTION - Duration::from_millis(1)));
}
