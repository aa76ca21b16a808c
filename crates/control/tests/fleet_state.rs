//! Replicated state of the fleet: versions only rise, and departed replicas stay away.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;
use topazmount_control::{
    Document, FleetCommand, FleetState, RegistrationConflict, RegistrationStatus,
};
use topazmount_types::{Instance, Start};

fn instance(id: &str, address: &str) -> Instance {
    Instance {
        id: id.to_owned(),
        service: "pool".to_owned(),
        address: address.to_owned(),
        zone: "north".to_owned(),
        slots: 4,
        is_draining: false,
        changed_at: 0,
        start: Start::UNKNOWN,
        software: String::new(),
    }
}

fn register(state: &mut FleetState, id: &str, address: &str) {
    state.apply(FleetCommand::Register(instance(id, address)));
}

fn ids(state: &FleetState) -> Vec<&str> {
    state.instances().keys().map(String::as_str).collect()
}

#[test]
fn the_highest_document_version_is_kept() {
    let mut state = FleetState::default();
    for (version, text) in [(3, "three"), (2, "two"), (3, "another three"), (5, "five"), (4, "4")] {
        let bytes = text.as_bytes().to_vec();
        state.apply(FleetCommand::PutDocument(Document {
            version,
            bytes,
            services: Vec::new(),
            routing: None,
            longest_stream: None,
        }));
    }
    let document = state.document().unwrap();
    assert_eq!((document.version, document.bytes.as_slice()), (5, b"five".as_slice()));
}

#[test]
fn versions_of_weights_only_rise() {
    let mut state = FleetState::default();
    for version in [2, 4, 3] {
        state.apply(FleetCommand::PublishWeights { model: "m".to_owned(), version });
    }
    assert_eq!(state.weights()["m"], 4);
}

#[test]
fn a_draining_replica_stays_draining() {
    let mut state = FleetState::default();
    register(&mut state, "a", "1:1");
    let draining = Instance { is_draining: true, ..instance("a", "1:1") };
    state.apply(FleetCommand::Register(draining));
    // A delayed heartbeat arrives.
    assert!(!state.would_register(&instance("a", "1:1")));
    register(&mut state, "a", "1:1");
    assert!(state.instances()["a"].is_draining);
}

#[test]
fn departed_replicas_stay_away_and_timed_out_ones_may_return() {
    let mut state = FleetState::default();
    register(&mut state, "left", "1:1");
    register(&mut state, "silent", "2:2");
    state.apply(FleetCommand::Depart("left".to_owned()));
    state.apply(FleetCommand::Expire("silent".to_owned()));
    assert!(ids(&state).is_empty());
    register(&mut state, "left", "1:1");
    register(&mut state, "silent", "2:2");
    assert_eq!(ids(&state), ["silent"]);
    // Also if it was never registered.
    state.apply(FleetCommand::Depart("never-seen".to_owned()));
    register(&mut state, "never-seen", "3:3");
    assert_eq!(ids(&state), ["silent"]);
}

#[test]
fn a_draining_replica_that_times_out_stays_away() {
    let mut state = FleetState::default();
    state.apply(FleetCommand::Register(Instance { is_draining: true, ..instance("a", "1:1") }));
    state.apply(FleetCommand::Expire("a".to_owned()));
    register(&mut state, "a", "1:1");
    assert!(ids(&state).is_empty());
}

#[test]
fn a_replaced_replica_at_an_address_stays_away() {
    let mut state = FleetState::default();
    register(&mut state, "old", "1:1");
    register(&mut state, "new", "1:1");
    register(&mut state, "old", "1:1");
    assert_eq!(ids(&state), ["new"]);
}

/// Events of an old and a new replica at one address.
#[derive(Clone, Copy)]
enum AddressEvent {
    /// A heartbeat of the old replica.
    Old,
    /// A heartbeat of the new replica.
    New,
    /// The old replica times out.
    OldTimesOut,
    /// The new replica times out.
    NewTimesOut,
}

/// A delayed heartbeat of the old replica removes nothing.
macro_rules! late_heartbeats {
    ($($name:ident: $($event:ident),+ => $left:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut state = FleetState::default();
            for event in [$(AddressEvent::$event),+] {
                match event {
                    AddressEvent::Old => register(&mut state, "old", "1:1"),
                    AddressEvent::New => register(&mut state, "new", "1:1"),
                    AddressEvent::OldTimesOut => state.apply(FleetCommand::Expire("old".to_owned())),
                    AddressEvent::NewTimesOut => state.apply(FleetCommand::Expire("new".to_owned())),
                }
            }
            assert_eq!(ids(&state), $left);
        }
    )*};
}

late_heartbeats! {
    after_replacement: Old, New, Old => ["new"];
    after_timeout_and_replacement: Old, OldTimesOut, New, Old => ["new"];
    repeatedly: Old, OldTimesOut, New, Old, Old, New => ["new"];
    before_replacement: Old, OldTimesOut, Old, New => ["new"];
    after_both_timed_out: Old, OldTimesOut, New, NewTimesOut, Old => [""; 0];
    the_new_replica_returns: Old, OldTimesOut, New, NewTimesOut, Old, New => ["new"];
    the_old_replica_returns_without_replacement: Old, OldTimesOut, Old => ["old"];
}

#[test]
fn changes_since_any_revision_lead_to_the_same_list() {
    let mut state = FleetState::default();
    let mut seen: Vec<(u64, Vec<Instance>)> = vec![(0, Vec::new())];
    for step in 0..60u32 {
        let id = format!("i{}", step % 7);
        match step % 5 {
            3 => state.apply(FleetCommand::Expire(id)),
            4 => state.apply(FleetCommand::Depart(format!("i{}", 100 + step))),
            _ => register(&mut state, &format!("{id}-{step}"), &format!("{}:1", step % 9)),
        }
        seen.push((state.revision(), state.instances().values().cloned().collect()));
    }
    let expected: Vec<Instance> = state.instances().values().cloned().collect();
    for (revision, mut known) in seen {
        let (changed, removed, is_full) = state.changes_since(revision);
        if is_full {
            known.clear();
        }
        known.retain(|instance| removed.iter().all(|removal| removal.id != instance.id));
        known.retain(|instance| changed.iter().all(|other| other.id != instance.id));
        known.extend(changed);
        known.sort_by(|left, right| left.id.cmp(&right.id));
        assert_eq!(known, expected, "from revision {revision}");
    }
}

#[test]
fn changes_in_batches_lead_to_the_same_list() {
    let mut state = FleetState::default();
    for step in 0..60u32 {
        let id = format!("i{}", step % 7);
        match step % 5 {
            3 => state.apply(FleetCommand::Expire(id)),
            4 => state.apply(FleetCommand::Depart(format!("i{}", 100 + step))),
            _ => register(&mut state, &format!("{id}-{step}"), &format!("{}:1", step % 9)),
        }
    }
    let expected: Vec<Instance> = state.instances().values().cloned().collect();
    for max in [1, 2, 5, 1_000] {
        let (mut known, mut revision): (Vec<Instance>, u64) = Default::default();
        while revision < state.revision() {
            let batch = state.earliest_changes(revision, max);
            assert!(batch.changed.len() + batch.removed.len() <= max, "more than {max}");
            assert!(batch.revision > revision, "no progress at {revision}");
            known.retain(|instance| batch.removed.iter().all(|removal| removal.id != instance.id));
            known.retain(|instance| batch.changed.iter().all(|other| other.id != instance.id));
            known.extend(batch.changed);
            revision = batch.revision;
        }
        known.sort_by(|left, right| left.id.cmp(&right.id));
        assert_eq!(known, expected, "in batches of {max}");
    }
}

/// Requesters that are behind the remembered removals get the full list, also in batches.
#[test]
fn a_full_list_is_completed_in_batches() {
    let mut state = FleetState::default();
    for number in 0..4_200u32 {
        register(&mut state, &format!("i{number}"), "9:1");
    }
    for number in 0..20u32 {
        register(&mut state, &format!("late{number}"), &format!("{number}:2"));
    }
    let (mut revision, mut received, mut batches) = (1, Vec::new(), 0);
    while revision < state.revision() {
        let batch = state.earliest_changes(revision, 5);
        if batch.is_full {
            assert_eq!(batches, 0, "the list begins once");
        }
        received.extend(batch.changed.into_iter().map(|instance| instance.id));
        (revision, batches) = (batch.revision, batches + 1);
    }
    received.sort();
    let expected: Vec<String> = state.instances().keys().cloned().collect();
    assert_eq!(received, expected);
}

/// Gateways must know whether a removal was planned.
#[test]
fn removals_record_whether_the_departure_was_announced() {
    let removed_by = |last: &dyn Fn(&mut FleetState)| {
        let mut state = FleetState::default();
        register(&mut state, "old", "9:1");
        let before = state.revision();
        last(&mut state);
        let (_, removed, _) = state.changes_since(before);
        removed.iter().find(|removal| removal.id == "old").map(|removal| removal.was_announced)
    };
    let depart = |state: &mut FleetState| state.apply(FleetCommand::Depart("old".to_owned()));
    let expire = |state: &mut FleetState| state.apply(FleetCommand::Expire("old".to_owned()));
    let replace = |state: &mut FleetState| register(state, "new", "9:1");
    assert_eq!(removed_by(&depart), Some(true));
    assert_eq!(removed_by(&expire), Some(false));
    assert_eq!(removed_by(&replace), Some(false));
}

/// Reports about one identifier, with the start of the incarnation.
#[derive(Clone, Copy)]
enum Report {
    /// A heartbeat.
    Ready(u64),
    /// A draining heartbeat.
    Draining(u64),
    /// A departure.
    Departed(u64),
    /// A timeout.
    TimedOut(u64),
    /// A departure without a start.
    DepartedWithoutStart,
    /// An external writer's heartbeat, with an undeclared service.
    Undeclared(u64),
    /// An external writer's heartbeat, with another address.
    Elsewhere(u64),
}

fn apply_report(state: &mut FleetState, report: Report) {
    let of = |start| Instance { start: Start(start), ..instance("r", "1:1") };
    let command = match report {
        Report::Ready(start) => FleetCommand::Register(of(start)),
        Report::Draining(start) => {
            FleetCommand::Register(Instance { is_draining: true, ..of(start) })
        }
        Report::Departed(start) => {
            FleetCommand::DeregisterIncarnation("r".to_owned(), Start(start))
        }
        Report::TimedOut(start) => FleetCommand::ExpireIncarnation("r".to_owned(), Start(start)),
        Report::DepartedWithoutStart => FleetCommand::Depart("r".to_owned()),
        Report::Undeclared(start) => {
            FleetCommand::Register(Instance { service: "nobody".to_owned(), ..of(start) })
        }
        Report::Elsewhere(start) => {
            FleetCommand::Register(Instance { address: "9:9".to_owned(), ..of(start) })
        }
    };
    state.apply(command);
}

fn declared(services: &[&str]) -> FleetState {
    let mut state = FleetState::default();
    let services = services.iter().map(|name| (*name).to_owned()).collect();
    state.apply(FleetCommand::PutDocument(Document {
        version: 1,
        services,
        bytes: Vec::new(),
        routing: None,
        longest_stream: None,
    }));
    state
}

/// Reports of an earlier incarnation don't affect a later one, in any order. The result is the
/// registered incarnation, and whether it drains.
macro_rules! orders_of_arrival {
    ($($name:ident: $($report:ident $(($start:literal))?),+ => $left:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut state = declared(&["pool"]);
            for report in [$(Report::$report $(($start))?),+] {
                apply_report(&mut state, report);
            }
            let left = state.instances().get("r");
            assert_eq!(left.map(|instance| (instance.start.0, instance.is_draining)), $left);
            assert!(left.is_none_or(|instance| instance.service == "pool" && instance.address == "1:1"));
        }
    )*};
}

orders_of_arrival! {
    a_later_start_replaces_the_earlier_one: Ready(1), Ready(2) => Some((2, false));
    a_late_heartbeat_of_the_earlier_start: Ready(1), Ready(2), Ready(1) => Some((2, false));
    an_earlier_start_arrives_after_the_later_one: Ready(2), Ready(1) => Some((2, false));
    draining_ends_with_the_incarnation: Draining(1), Ready(2) => Some((2, false));
    a_late_draining_of_the_earlier_start: Ready(2), Draining(1) => Some((2, false));
    a_late_departure_of_the_earlier_start: Ready(1), Ready(2), Departed(1) => Some((2, false));
    a_departure_before_the_next_start: Ready(1), Departed(1), Ready(2) => Some((2, false));
    a_departed_start_stays_away: Ready(1), Departed(1), Ready(1) => None;
    a_departure_arrives_before_the_heartbeat: Departed(2), Ready(2) => None;
    an_earlier_departure_arrives_first: Departed(1), Ready(2) => Some((2, false));
    a_departure_removes_all_earlier_starts: Ready(2), Departed(2), Ready(1) => None;
    a_later_departure_removes_the_earlier_start: Ready(1), Departed(2) => None;
    a_departure_without_a_start_removes_the_known_one: Ready(1), Ready(2), DepartedWithoutStart, Ready(2) => None;
    a_departure_without_a_start_allows_the_next_one: Ready(1), DepartedWithoutStart, Ready(2) => Some((2, false));
    timeout_of_the_earlier_start: Ready(1), Ready(2), TimedOut(1) => Some((2, false));
    timeout_and_return: Ready(2), TimedOut(2), Ready(2) => Some((2, false));
    timeout_and_the_next_start: Ready(1), TimedOut(1), Ready(2) => Some((2, false));
    timeout_of_a_draining_start: Draining(1), TimedOut(1), Ready(1) => None;
    an_earlier_start_after_a_timeout: Ready(2), TimedOut(2), Ready(1) => Some((1, false));
    reports_without_a_start_do_not_change_a_known_one: Ready(2), Draining(0), Ready(0) => Some((2, false));
    a_start_is_learned_later: Ready(0), Ready(2) => Some((2, false));
    an_external_writer_uses_an_undeclared_service: Ready(1), Undeclared(1) => Some((1, false));
    an_external_writer_uses_a_later_start: Ready(1), Undeclared(7), Ready(1) => Some((1, false));
    an_external_writer_comes_first: Undeclared(1), Ready(1) => Some((1, false));
    an_external_writer_comes_first_with_a_false_start: Undeclared(7), TimedOut(7), Ready(1) => Some((1, false));
    an_external_writer_continues_with_a_false_start: Undeclared(7), Ready(1), Undeclared(7) => Some((1, false));
    an_external_writer_uses_another_address: Ready(1), Elsewhere(1) => Some((1, false));
}

/// An external writer must not remove a live replica at the same address.
#[test]
fn a_replica_of_an_undeclared_service_takes_no_address_of_a_declared_one() {
    let mut state = declared(&["pool"]);
    register(&mut state, "r", "1:1");
    let other = Instance { service: "nobody".to_owned(), ..instance("x", "1:1") };
    let cause = RegistrationConflict::UndeclaredService;
    assert_eq!(state.registration_status(&other), RegistrationStatus::Conflict(cause));
    state.apply(FleetCommand::Register(other.clone()));
    assert_eq!(ids(&state), ["r"]);
    // Once the replica is gone, its address is free.
    state.apply(FleetCommand::Expire("r".to_owned()));
    assert_eq!(state.registration_status(&other), RegistrationStatus::New);
}

/// Replicas may register before the document declares their service.
#[test]
fn a_replica_of_an_undeclared_service_is_registered_at_a_free_address() {
    let mut state = declared(&["pool"]);
    let early = Instance { service: "next".to_owned(), ..instance("n", "2:2") };
    state.apply(FleetCommand::Register(early.clone()));
    assert_eq!(state.registration_status(&early), RegistrationStatus::Unchanged);
}

/// A replica crashes before its first heartbeat arrives. The delayed heartbeat must not remove its
/// successor at the same address.
#[test]
fn a_delayed_first_heartbeat_of_an_unknown_replica_takes_no_address() {
    let mut state = FleetState::default();
    let started = |id: &str, start: u64| Instance { start: Start(start), ..instance(id, "1:1") };
    state.apply(FleetCommand::Register(started("successor", 2_000)));
    let late = started("crashed", 1_000);
    assert_eq!(state.registration_status(&late), RegistrationStatus::Superseded);
    state.apply(FleetCommand::Register(late.clone()));
    assert_eq!(ids(&state), ["successor"]);
    // At another address it is registered, and so is a later start at the same address.
    let elsewhere = Instance { address: "2:2".to_owned(), ..late };
    assert_eq!(state.registration_status(&elsewhere), RegistrationStatus::New);
    state.apply(FleetCommand::Register(started("next", 3_000)));
    assert_eq!(ids(&state), ["next"]);
    // Without a start, the latest heartbeat counts.
    register(&mut state, "startless", "1:1");
    assert_eq!(ids(&state), ["startless"]);
}

/// A replica with a slow clock gives an earlier start than its predecessor.
#[test]
fn a_new_replica_with_a_slow_clock_registers_after_its_predecessor_times_out() {
    let mut state = FleetState::default();
    let started = |id: &str, start: u64| Instance { start: Start(start), ..instance(id, "1:1") };
    state.apply(FleetCommand::Register(started("before", 2_000)));
    let new_replica = started("newcomer", 1_000);
    assert_eq!(state.registration_status(&new_replica), RegistrationStatus::Superseded);
    state.apply(FleetCommand::ExpireIncarnation("before".to_owned(), Start(2_000)));
    assert_eq!(state.registration_status(&new_replica), RegistrationStatus::New);
    state.apply(FleetCommand::Register(new_replica));
    assert_eq!(ids(&state), ["newcomer"]);
}

/// Processor time of registering replicas in an empty fleet, for each of them.
fn time_per_registration(replicas: usize) -> Duration {
    let mut state = FleetState::default();
    state.apply(FleetCommand::PutDocument(Document {
        version: 1,
        bytes: Vec::new(),
        services: vec!["pool".to_owned()],
        routing: None,
        longest_stream: None,
    }));
    let began = clock_gettime(ClockId::ThreadCPUTime);
    for number in 0..replicas {
        let reported = Instance { start: Start(1), ..instance(&format!("r{number}"), "") };
        let reported = Instance { address: format!("10.0.0.1:{number}"), ..reported };
        assert!(state.would_register(&reported));
        state.apply(FleetCommand::Register(reported));
    }
    let ended = clock_gettime(ClockId::ThreadCPUTime);
    let nanos = (ended.tv_sec - began.tv_sec) * 1_000_000_000 + ended.tv_nsec - began.tv_nsec;
    Duration::from_nanos(nanos as u64) / replicas as u32
}

/// Guards against a registration that looks at all other replicas: 10,000 that start together would
/// keep each member busy for seconds.
#[test]
fn the_cost_of_a_registration_does_not_grow_with_the_fleet() {
    let few = (0..3).map(|_| time_per_registration(1_000)).min().unwrap();
    let many = (0..3).map(|_| time_per_registration(8_000)).min().unwrap();
    // A tree lookup among eight times as many replicas takes less than twice as long.
    assert!(many < few * 2, "{few:?} with 1,000 replicas, {many:?} with 8,000");
}

/// Guards against a member that forgets who is at an address when it restores a snapshot.
#[test]
fn a_decoded_state_knows_who_is_at_an_address() {
    let mut state = declared(&["pool"]);
    register(&mut state, "a", "1:1");
    let bytes = rmp_serde::to_vec_named(&state).unwrap();
    let mut decoded: FleetState = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(decoded, state);
    register(&mut decoded, "b", "1:1");
    assert_eq!(ids(&decoded), ["b"]);
    register(&mut decoded, "b", "2:2");
    register(&mut decoded, "c", "1:1");
    assert_eq!(ids(&decoded), ["b", "c"]);
}
