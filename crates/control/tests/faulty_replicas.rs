//! Replicas that ignore queries, report conflicts, hang or change their clock, and external
//! writers: they must not harm themselves or others for long.

mod fleet_world;

use fleet_world::{Behavior, DEADLINE, MODEL, STEP, World};
use std::time::Duration;
use topazmount_control::{
    ActionReport, Document, FleetCommand, FleetRequest, FleetResponse, FleetState, InstanceReport,
    LoadedModel, RegistrationStatus, ReplicaReport, Response,
};
use topazmount_types::{Instance, Start};

const LATER_START: u64 = 2_000_000;
const EARLIER_START: u64 = 1_000_000;

fn loaded(version: u32) -> Vec<LoadedModel> {
    vec![LoadedModel { model: MODEL.to_owned(), version }]
}

fn is_registered(world: &mut World, id: &str) -> bool {
    world.view().instances.iter().any(|entry| entry.id == id)
}

/// A replica restarts with an earlier start, just after its previous incarnation timed out. It must
/// get orders.
#[test]
fn an_earlier_start_right_after_a_timeout_gets_orders() {
    let mut world = World::new(0);
    (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), LATER_START));
    world.run_for(Duration::from_secs(10));
    world.publish(2);
    world.run_for(DEADLINE);
    assert!(world.replicas.values().all(|replica| replica.version == 2));
    world.replicas.get_mut("r03").unwrap().is_silent = true;
    let mut steps = 0;
    while is_registered(&mut world, "r03") {
        world.run_for(STEP);
        steps += 1;
        assert!(steps < 1_000);
    }
    world.restart("r03", EARLIER_START, 1);
    world.run_for(DEADLINE * 3);
    assert!(is_registered(&mut world, "r03"));
    assert_eq!(world.replicas["r03"].version, 2, "orders: {}", world.orders.len());
}

/// An external writer sends a heartbeat with a replica's identifier, an undeclared service and a
/// later start, before the replica's own first heartbeat.
#[test]
fn a_replica_whose_identifier_an_external_writer_used_first_gets_orders() {
    let mut world = World::new(0);
    (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), EARLIER_START));
    world.run_for(Duration::from_secs(10));
    let service = world.view().instances[0].service.clone();
    let document = Document {
        version: 1,
        bytes: vec![1],
        services: vec![service],
        routing: None,
        longest_stream: None,
    };
    let put = world.ask(FleetRequest::PutDocument(document));
    assert_eq!(put, Response::Fleet(FleetResponse::Done));
    world.add_started("r99", EARLIER_START);
    let mut external: InstanceReport = world.next_heartbeat("r99");
    external.instance.service = "undeclared".to_owned();
    external.instance.start = Start(LATER_START);
    world.send(FleetRequest::Heartbeat(external));
    world.run_for(Duration::from_secs(10));
    let registered = world.view().instances.into_iter().find(|entry| entry.id == "r99").unwrap();
    assert_eq!(registered.start, Start(EARLIER_START), "the replica's own report is registered");
    world.publish(2);
    world.run_for(DEADLINE * 3);
    assert_eq!(world.replicas["r00"].version, 2);
    let has_status = world.view().statuses.unwrap().1.iter().any(|status| status.id == "r99");
    assert!(has_status, "gateways receive its status");
    assert_eq!(world.replicas["r99"].version, 2);
}

/// A query response gives a later start once, from another process at the address or while
/// heartbeats have no start.
fn check_orders_after_a_report_of_a_later_start(own: u64) {
    let mut world = World::new(0);
    (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), own));
    world.run_for(Duration::from_secs(10));
    let report =
        ReplicaReport { models: loaded(1), is_busy: false, sequence: 0, start: Start(LATER_START) };
    world.send(FleetRequest::ActionEnded(ActionReport::Query("r03".to_owned(), Some(report))));
    world.run_for(Duration::from_secs(3));
    world.publish(2);
    world.run_for(DEADLINE * 3);
    assert_eq!(world.replicas["r02"].version, 2);
    assert_eq!(world.replicas["r03"].version, 2);
}

#[test]
fn a_report_with_a_later_start_does_not_hide_a_replica() {
    check_orders_after_a_report_of_a_later_start(EARLIER_START);
}

#[test]
fn a_start_given_only_in_reports_does_not_hide_a_replica() {
    check_orders_after_a_report_of_a_later_start(0);
}

/// Three of 12 replicas respond to no query, but send heartbeats.
#[test]
fn replicas_that_ignore_queries_do_not_delay_others() {
    let mut world = World::new(0);
    (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), EARLIER_START));
    world.run_for(Duration::from_secs(10));
    world.ignores_queries = ["r00", "r01", "r02"].into_iter().map(str::to_owned).collect();
    world.publish(2);
    world.run_for(DEADLINE);
    let late: Vec<_> = world
        .replicas
        .iter()
        .filter(|(id, replica)| replica.version < 2 && !world.ignores_queries.contains(*id))
        .map(|(id, _)| id.clone())
        .collect();
    assert_eq!(late, Vec::<String>::new(), "still on version 1 at the deadline");
}

/// A replica refuses one order while newer versions are published continuously.
#[test]
fn one_refusal_does_not_starve_a_replica() {
    let mut world = World::new(0);
    (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), EARLIER_START));
    world.run_for(Duration::from_secs(10));
    world.replicas.get_mut("r00").unwrap().behavior = Behavior::Refuses;
    world.publish(2);
    while !world.orders.iter().any(|(_, order)| order.instance == "r00") {
        world.run_for(STEP);
    }
    world.run_for(STEP);
    world.replicas.get_mut("r00").unwrap().behavior = Behavior::Normal;
    for version in 3..23 {
        world.run_for(Duration::from_secs(3));
        world.publish(version);
    }
    let orders = |id: &str| world.orders.iter().filter(|(_, order)| order.instance == id).count();
    let (own, other) = (orders("r00"), orders("r05"));
    let versions: Vec<u32> = world.replicas.values().map(|replica| replica.version).collect();
    assert!(world.replicas["r00"].version > 1, "orders {own}, of another {other}; {versions:?}");
}

fn instance(start: u64, address: &str) -> Instance {
    Instance {
        id: "a".to_owned(),
        service: "pool".to_owned(),
        address: address.to_owned(),
        zone: "north".to_owned(),
        slots: 4,
        is_draining: false,
        changed_at: 0,
        start: Start(start),
        software: String::new(),
    }
}

/// The clock steps back while another replica takes the address of the crashed one.
#[test]
fn an_earlier_start_registers_after_its_old_address_was_taken() {
    let mut state = FleetState::default();
    state.apply(FleetCommand::Register(instance(LATER_START, "x:1")));
    let other = Instance { id: "b".to_owned(), ..instance(LATER_START, "x:1") };
    state.apply(FleetCommand::Register(other));
    assert_eq!(state.registration_status(&instance(EARLIER_START, "y:1")), RegistrationStatus::New);
}

/// An external writer sends a departure with a start in the far future.
#[test]
fn an_external_departure_does_not_retire_an_identifier() {
    let mut state = FleetState::default();
    state.apply(FleetCommand::Register(instance(EARLIER_START, "x:1")));
    state.apply(FleetCommand::DeregisterIncarnation("a".to_owned(), Start(u64::MAX)));
    assert!(
        state.instances().contains_key("a")
            || state.registration_status(&instance(LATER_START, "x:1")) == RegistrationStatus::New
    );
}

/// A delayed heartbeat reports older weights, and the replica ignores queries.
#[test]
fn queries_about_older_versions_are_bounded() {
    let mut world = World::new(0);
    (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), EARLIER_START));
    world.run_for(Duration::from_secs(10));
    world.publish(2);
    world.run_for(DEADLINE);
    let mut heartbeat = world.next_heartbeat("r03");
    heartbeat.models = loaded(1);
    world.ignores_queries.insert("r03".to_owned());
    world.send(FleetRequest::Heartbeat(heartbeat));
    let before = world.queries;
    world.run_for(Duration::from_secs(60));
    let query_count = world.queries - before;
    assert!(
        query_count <= 20,
        "{query_count} queries in 60 s, although its heartbeats report version 2 again"
    );
}

/// Guards against a replica that is lost for good when it restarts with an earlier start shortly after
/// it timed out.
#[test]
fn a_replica_that_restarts_with_an_earlier_start_after_a_timeout_is_not_lost() {
    for delay in [0, 10, 20, 30, 50, 100, 300, 1_000] {
        let mut world = World::new(0);
        (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), LATER_START));
        world.run_for(Duration::from_secs(10));
        world.publish(2);
        world.run_for(DEADLINE);
        world.replicas.get_mut("r03").unwrap().is_silent = true;
        while is_registered(&mut world, "r03") {
            world.run_for(STEP);
        }
        world.run_for(Duration::from_millis(delay));
        world.restart("r03", EARLIER_START, 1);
        world.run_for(DEADLINE * 8);
        let status = world.view().statuses.unwrap().1.into_iter().find(|entry| entry.id == "r03");
        println!(
            "delay {delay} ms: version {} after 64 s, status {:?}",
            world.replicas["r03"].version,
            status.as_ref().map(|entry| entry.start)
        );
        assert_eq!(world.replicas["r03"].version, 2, "delay {delay} ms");
        let start = status.map(|entry| entry.start);
        assert_eq!(start, Some(Start(EARLIER_START)), "delay {delay} ms");
    }
}

/// Control: the same scenarios without faults.
#[test]
fn scenarios_without_faults_hold() {
    let mut world = World::new(0);
    (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), EARLIER_START));
    world.run_for(Duration::from_secs(10));
    world.publish(2);
    world.run_for(DEADLINE);
    assert!(world.replicas.values().all(|replica| replica.version == 2));
    for version in 3..23 {
        world.run_for(Duration::from_secs(3));
        world.publish(version);
    }
    let oldest = world.replicas.values().map(|replica| replica.version).min().unwrap();
    println!("oldest version {oldest} of 22, one published each 3 s");
    world.add_started("r99", EARLIER_START);
    world.run_for(DEADLINE * 2);
    assert_eq!(world.replicas["r99"].version, 22);
}

/// Guards against replicas that keep others from loading in time because they ignore queries.
#[test]
fn up_to_a_third_that_ignore_queries_do_not_delay_others() {
    for faulty_count in [0, 1, 2, 3, 4] {
        let mut world = World::new(0);
        (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), EARLIER_START));
        world.run_for(Duration::from_secs(10));
        world.ignores_queries = (0..faulty_count).map(|number| format!("r{number:02}")).collect();
        world.publish(2);
        let mut late_counts = Vec::new();
        for _ in 0..5 {
            world.run_for(DEADLINE);
            let others =
                world.replicas.iter().filter(|(id, _)| !world.ignores_queries.contains(*id));
            late_counts.push(others.filter(|(_, replica)| replica.version < 2).count());
        }
        println!(
            "{faulty_count} ignore queries: others on version 1 after 8, 16, 24, 32, 40 s: {late_counts:?}; queries {}",
            world.queries
        );
        assert_eq!(late_counts, [0; 5], "{faulty_count} ignore queries");
    }
}

/// Replicas that ignore queries are last by identifier and have older weights than the others.
#[test]
fn replicas_that_ignore_queries_do_not_delay_others_whatever_their_identifiers() {
    let mut world = World::new(0);
    (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), EARLIER_START));
    world.run_for(Duration::from_secs(10));
    world.ignores_queries = (8..12).map(|number| format!("r{number:02}")).collect();
    let mut late_counts = Vec::new();
    for version in 2..6 {
        world.publish(version);
        world.run_for(DEADLINE * 2);
        let others = world.replicas.iter().filter(|(id, _)| !world.ignores_queries.contains(*id));
        late_counts.push(others.filter(|(_, replica)| replica.version < version).count());
    }
    println!("of 8 others not on the version, 16 s after each publication: {late_counts:?}");
    assert_eq!(late_counts, [0; 4]);
}

/// Replicas report conflicts forever or never finish a load.
fn check_others_are_not_delayed_by(behavior: Behavior) {
    for faulty_count in [1, 2, 3, 4] {
        let mut world = World::new(0);
        (0..12).for_each(|number| world.add_started(&format!("r{number:02}"), EARLIER_START));
        world.run_for(Duration::from_secs(10));
        let faulty: Vec<String> = (0..faulty_count).map(|number| format!("r{number:02}")).collect();
        faulty.iter().for_each(|id| world.replicas.get_mut(id).unwrap().behavior = behavior);
        world.publish(2);
        let mut late_counts = Vec::new();
        for _ in 0..5 {
            world.run_for(DEADLINE);
            let others = world.replicas.iter().filter(|(id, _)| !faulty.contains(*id));
            late_counts.push(others.filter(|(_, replica)| replica.version < 2).count());
        }
        println!(
            "{faulty_count}: others on version 1 after 8, 16, 24, 32, 40 s: {late_counts:?}; orders {}",
            world.orders.len()
        );
        assert!(
            faulty_count > 3 || late_counts[0] == 0,
            "{faulty_count} delay {} others beyond the deadline",
            late_counts[0]
        );
    }
}

#[test]
fn replicas_that_respond_with_conflicts_do_not_delay_others() {
    check_others_are_not_delayed_by(Behavior::Conflicts);
}

#[test]
fn replicas_with_hung_loads_do_not_delay_others() {
    check_others_are_not_delayed_by(Behavior::Hangs);
}

/// A replica times out; meanwhile an external writer sends a heartbeat with its address and an
/// undeclared service.
#[test]
fn an_external_writer_at_the_address_of_a_timed_out_replica_does_not_remove_it() {
    let mut state = FleetState::default();
    let services = vec!["pool".to_owned()];
    state.apply(FleetCommand::PutDocument(Document {
        version: 1,
        bytes: vec![1],
        services,
        routing: None,
        longest_stream: None,
    }));
    state.apply(FleetCommand::Register(instance(EARLIER_START, "x:1")));
    state.apply(FleetCommand::ExpireIncarnation("a".to_owned(), Start(EARLIER_START)));
    assert_eq!(
        state.registration_status(&instance(EARLIER_START, "x:1")),
        RegistrationStatus::New,
        "control"
    );
    let external = Instance {
        id: "z".to_owned(),
        service: "undeclared".to_owned(),
        ..instance(EARLIER_START, "x:1")
    };
    state.apply(FleetCommand::Register(external));
    assert_eq!(state.registration_status(&instance(EARLIER_START, "x:1")), RegistrationStatus::New);
}
