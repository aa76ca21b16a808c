//! Replicated state of the fleet: versions only rise, and who left stays away.

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
    }
}

fn register(state: &mut FleetState, id: &str, address: &str) {
    state.apply(FleetCommand::Register(instance(id, address)));
}

fn ids(state: &FleetState) -> Vec<&str> {
    state.instances().keys().map(String::as_str).collect()
}

#[test]
fn the_highest_document_holds_and_equal_ones_change_nothing() {
    let mut state = FleetState::default();
    for (version, text) in [(3, "three"), (2, "two"), (3, "another three"), (5, "five"), (4, "4")] {
        let bytes = text.as_bytes().to_vec();
        state.apply(FleetCommand::PutDocument(Document { version, bytes, services: Vec::new() }));
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
fn a_draining_replica_never_counts_as_ready_again() {
    let mut state = FleetState::default();
    register(&mut state, "a", "1:1");
    let draining = Instance { is_draining: true, ..instance("a", "1:1") };
    state.apply(FleetCommand::Register(draining));
    // A heartbeat from before arrives late.
    assert!(!state.would_register(&instance("a", "1:1")));
    register(&mut state, "a", "1:1");
    assert!(state.instances()["a"].is_draining);
}

#[test]
fn who_left_never_comes_back_and_who_fell_silent_may() {
    let mut state = FleetState::default();
    register(&mut state, "left", "1:1");
    register(&mut state, "silent", "2:2");
    state.apply(FleetCommand::Depart("left".to_owned()));
    state.apply(FleetCommand::Expire("silent".to_owned()));
    assert!(ids(&state).is_empty());
    register(&mut state, "left", "1:1");
    register(&mut state, "silent", "2:2");
    assert_eq!(ids(&state), ["silent"]);
    // Before it was ever registered, too.
    state.apply(FleetCommand::Depart("never-seen".to_owned()));
    register(&mut state, "never-seen", "3:3");
    assert_eq!(ids(&state), ["silent"]);
}

#[test]
fn a_draining_replica_that_falls_silent_is_gone_for_good() {
    let mut state = FleetState::default();
    state.apply(FleetCommand::Register(Instance { is_draining: true, ..instance("a", "1:1") }));
    state.apply(FleetCommand::Expire("a".to_owned()));
    register(&mut state, "a", "1:1");
    assert!(ids(&state).is_empty());
}

#[test]
fn an_address_has_one_replica_and_late_heartbeats_of_the_old_one_count_nothing() {
    let mut state = FleetState::default();
    register(&mut state, "old", "1:1");
    register(&mut state, "new", "1:1");
    register(&mut state, "old", "1:1");
    assert_eq!(ids(&state), ["new"]);
}

/// What happens to a replica's old and new life at one address.
#[derive(Clone, Copy)]
enum Life {
    /// A heartbeat of the old life.
    Old,
    /// A heartbeat of the new life.
    New,
    /// The old life falls silent.
    OldExpires,
    /// The new life falls silent.
    NewExpires,
}

/// A heartbeat of the old life that a cut had delayed comes in last, whatever was known of it: it ends nothing.
macro_rules! late_heartbeats {
    ($($name:ident: $($life:ident),+ => $left:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut state = FleetState::default();
            for life in [$(Life::$life),+] {
                match life {
                    Life::Old => register(&mut state, "old", "1:1"),
                    Life::New => register(&mut state, "new", "1:1"),
                    Life::OldExpires => state.apply(FleetCommand::Expire("old".to_owned())),
                    Life::NewExpires => state.apply(FleetCommand::Expire("new".to_owned())),
                }
            }
            assert_eq!(ids(&state), $left);
        }
    )*};
}

late_heartbeats! {
    after_the_new_life_replaced_it: Old, New, Old => ["new"];
    after_it_expired_and_the_new_life_came: Old, OldExpires, New, Old => ["new"];
    again_and_again: Old, OldExpires, New, Old, Old, New => ["new"];
    before_the_new_life_came: Old, OldExpires, Old, New => ["new"];
    after_both_expired: Old, OldExpires, New, NewExpires, Old => [""; 0];
    the_new_life_comes_back: Old, OldExpires, New, NewExpires, Old, New => ["new"];
    without_a_new_life_it_comes_back: Old, OldExpires, Old => ["old"];
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
        known.retain(|one| removed.iter().all(|gone| gone.id != one.id));
        known.retain(|one| changed.iter().all(|other| other.id != one.id));
        known.extend(changed);
        known.sort_by(|left, right| left.id.cmp(&right.id));
        assert_eq!(known, expected, "from revision {revision}");
    }
}

#[test]
fn changes_in_pieces_lead_to_the_same_list() {
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
    for most in [1, 2, 5, 1_000] {
        let (mut known, mut revision): (Vec<Instance>, u64) = Default::default();
        while revision < state.revision() {
            let piece = state.earliest_changes(revision, most);
            assert!(piece.changed.len() + piece.removed.len() <= most, "more than {most}");
            assert!(piece.revision > revision, "no progress at {revision}");
            known.retain(|one| piece.removed.iter().all(|gone| gone.id != one.id));
            known.retain(|one| piece.changed.iter().all(|other| other.id != one.id));
            known.extend(piece.changed);
            revision = piece.revision;
        }
        known.sort_by(|left, right| left.id.cmp(&right.id));
        assert_eq!(known, expected, "in pieces of {most}");
    }
}

/// 4,096 removals are remembered; whoever has not heard of older ones is told the whole list, in pieces too.
#[test]
fn a_whole_list_comes_to_an_end_in_pieces() {
    let mut state = FleetState::default();
    for number in 0..4_200u32 {
        register(&mut state, &format!("i{number}"), "9:1");
    }
    for number in 0..20u32 {
        register(&mut state, &format!("late{number}"), &format!("{number}:2"));
    }
    let (mut revision, mut told, mut pieces) = (1, Vec::new(), 0);
    while revision < state.revision() {
        let piece = state.earliest_changes(revision, 5);
        if piece.is_full {
            assert_eq!(pieces, 0, "the list begins once");
        }
        told.extend(piece.changed.into_iter().map(|one| one.id));
        (revision, pieces) = (piece.revision, pieces + 1);
    }
    told.sort();
    let expected: Vec<String> = state.instances().keys().cloned().collect();
    assert_eq!(told, expected);
}

/// Whoever sees a replica go must know whether that was planned.
#[test]
fn a_removal_says_whether_it_was_announced() {
    let removed_by = |last: &dyn Fn(&mut FleetState)| {
        let mut state = FleetState::default();
        register(&mut state, "old", "9:1");
        let before = state.revision();
        last(&mut state);
        let (_, removed, _) = state.changes_since(before);
        removed.iter().find(|gone| gone.id == "old").map(|gone| gone.was_announced)
    };
    let depart = |state: &mut FleetState| state.apply(FleetCommand::Depart("old".to_owned()));
    let expire = |state: &mut FleetState| state.apply(FleetCommand::Expire("old".to_owned()));
    let replace = |state: &mut FleetState| register(state, "new", "9:1");
    assert_eq!(removed_by(&depart), Some(true));
    assert_eq!(removed_by(&expire), Some(false));
    assert_eq!(removed_by(&replace), Some(false));
}

/// What is said of one identifier, by incarnations that started one after the other.
#[derive(Clone, Copy)]
enum Said {
    /// An incarnation's heartbeat.
    Ready(u64),
    /// An incarnation drains.
    Draining(u64),
    /// An incarnation leaves.
    Left(u64),
    /// An incarnation fell silent.
    Silent(u64),
    /// A departure that names no incarnation.
    LeftUnnamed,
    /// Another writer's heartbeat: a service that nobody declared.
    Undeclared(u64),
    /// Another writer's heartbeat: the incarnation, at another address.
    Elsewhere(u64),
}

fn say(state: &mut FleetState, said: Said) {
    let of = |start| Instance { start: Start(start), ..instance("r", "1:1") };
    let command = match said {
        Said::Ready(start) => FleetCommand::Register(of(start)),
        Said::Draining(start) => {
            FleetCommand::Register(Instance { is_draining: true, ..of(start) })
        }
        Said::Left(start) => FleetCommand::DeregisterIncarnation("r".to_owned(), Start(start)),
        Said::Silent(start) => FleetCommand::ExpireIncarnation("r".to_owned(), Start(start)),
        Said::LeftUnnamed => FleetCommand::Depart("r".to_owned()),
        Said::Undeclared(start) => {
            FleetCommand::Register(Instance { service: "nobody".to_owned(), ..of(start) })
        }
        Said::Elsewhere(start) => {
            FleetCommand::Register(Instance { address: "9:9".to_owned(), ..of(start) })
        }
    };
    state.apply(command);
}

fn declared(services: &[&str]) -> FleetState {
    let mut state = FleetState::default();
    let services = services.iter().map(|name| (*name).to_owned()).collect();
    state.apply(FleetCommand::PutDocument(Document { version: 1, services, bytes: Vec::new() }));
    state
}

/// Whatever the order in which word of a replica's incarnations comes in, what belongs to an earlier one counts nothing
/// for a later one: the last column is the incarnation that is left, and whether it drains.
macro_rules! orders_of_arrival {
    ($($name:ident: $($said:ident $(($start:literal))?),+ => $left:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut state = declared(&["pool"]);
            for said in [$(Said::$said $(($start))?),+] {
                say(&mut state, said);
            }
            let left = state.instances().get("r");
            assert_eq!(left.map(|one| (one.start.0, one.is_draining)), $left);
            assert!(left.is_none_or(|one| one.service == "pool" && one.address == "1:1"));
        }
    )*};
}

orders_of_arrival! {
    a_later_start_replaces_the_earlier_one: Ready(1), Ready(2) => Some((2, false));
    a_late_heartbeat_of_the_earlier_start: Ready(1), Ready(2), Ready(1) => Some((2, false));
    the_earlier_start_is_heard_first_after_the_later_one: Ready(2), Ready(1) => Some((2, false));
    draining_ends_with_the_incarnation: Draining(1), Ready(2) => Some((2, false));
    a_late_draining_of_the_earlier_start: Ready(2), Draining(1) => Some((2, false));
    a_late_departure_of_the_earlier_start: Ready(1), Ready(2), Left(1) => Some((2, false));
    a_departure_before_the_next_start: Ready(1), Left(1), Ready(2) => Some((2, false));
    a_departed_start_stays_away: Ready(1), Left(1), Ready(1) => None;
    a_departure_is_heard_before_the_heartbeat: Left(2), Ready(2) => None;
    an_earlier_departure_is_heard_first: Left(1), Ready(2) => Some((2, false));
    a_departure_ends_all_earlier_starts: Ready(2), Left(2), Ready(1) => None;
    a_later_departure_ends_the_earlier_start: Ready(1), Left(2) => None;
    an_unnamed_departure_ends_whom_it_finds: Ready(1), Ready(2), LeftUnnamed, Ready(2) => None;
    an_unnamed_departure_spares_the_next_start: Ready(1), LeftUnnamed, Ready(2) => Some((2, false));
    silence_of_the_earlier_start: Ready(1), Ready(2), Silent(1) => Some((2, false));
    silence_and_back: Ready(2), Silent(2), Ready(2) => Some((2, false));
    silence_and_the_next_start: Ready(1), Silent(1), Ready(2) => Some((2, false));
    silence_of_a_draining_start: Draining(1), Silent(1), Ready(1) => None;
    after_silence_a_start_that_a_stepped_clock_dates_back: Ready(2), Silent(2), Ready(1) => Some((1, false));
    without_a_start_nothing_of_a_started_one_changes: Ready(2), Draining(0), Ready(0) => Some((2, false));
    a_start_is_learned_later: Ready(0), Ready(2) => Some((2, false));
    another_writer_names_an_undeclared_service: Ready(1), Undeclared(1) => Some((1, false));
    another_writer_invents_a_later_start: Ready(1), Undeclared(7), Ready(1) => Some((1, false));
    another_writer_comes_first: Undeclared(1), Ready(1) => Some((1, false));
    another_writer_comes_first_with_a_start_that_never_was: Undeclared(7), Silent(7), Ready(1) => Some((1, false));
    another_writer_goes_on_with_a_start_that_never_was: Undeclared(7), Ready(1), Undeclared(7) => Some((1, false));
    another_writer_names_another_address: Ready(1), Elsewhere(1) => Some((1, false));
}

/// Another writer's word at the address of a live replica must not end that one for good.
#[test]
fn an_undeclared_service_takes_no_address_of_a_declared_one() {
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

/// Replicas may be heard of before the document that declares their service.
#[test]
fn an_undeclared_service_is_registered_where_it_ends_nobody() {
    let mut state = declared(&["pool"]);
    let early = Instance { service: "next".to_owned(), ..instance("n", "2:2") };
    state.apply(FleetCommand::Register(early.clone()));
    assert_eq!(state.registration_status(&early), RegistrationStatus::Unchanged);
}

/// A replica starts, crashes before its first heartbeat arrives, and its successor registers at the same address. Then the first heartbeat
/// arrives, which a cut had delayed. Nothing was known of its sender, so that it was taken for a newcomer, and took the address: the
/// successor was gone for good, and requests went to an identifier that nobody answers to. Both say when they started, and at one address
/// the one that started later is there.
#[test]
fn a_late_first_heartbeat_of_a_life_that_was_never_known_takes_no_address() {
    let mut state = FleetState::default();
    let started = |id: &str, start: u64| Instance { start: Start(start), ..instance(id, "1:1") };
    state.apply(FleetCommand::Register(started("successor", 2_000)));
    let late = started("crashed", 1_000);
    assert_eq!(state.registration_status(&late), RegistrationStatus::Superseded);
    state.apply(FleetCommand::Register(late.clone()));
    assert_eq!(ids(&state), ["successor"]);
    // Elsewhere it is a replica like any other, and so is one that started later.
    let elsewhere = Instance { address: "2:2".to_owned(), ..late };
    assert_eq!(state.registration_status(&elsewhere), RegistrationStatus::New);
    state.apply(FleetCommand::Register(started("next", 3_000)));
    assert_eq!(ids(&state), ["next"]);
    // Who says no start is told apart by nothing.
    register(&mut state, "startless", "1:1");
    assert_eq!(ids(&state), ["startless"]);
}

/// The clock of a machine was set back: a replica that starts there anew names an earlier start than the one before it. It
/// comes in as soon as that one has fallen silent.
#[test]
fn a_newcomer_whose_clock_stepped_back_comes_in_once_the_one_before_is_silent() {
    let mut state = FleetState::default();
    let started = |id: &str, start: u64| Instance { start: Start(start), ..instance(id, "1:1") };
    state.apply(FleetCommand::Register(started("before", 2_000)));
    let newcomer = started("newcomer", 1_000);
    assert_eq!(state.registration_status(&newcomer), RegistrationStatus::Superseded);
    state.apply(FleetCommand::ExpireIncarnation("before".to_owned(), Start(2_000)));
    assert_eq!(state.registration_status(&newcomer), RegistrationStatus::New);
    state.apply(FleetCommand::Register(newcomer));
    assert_eq!(ids(&state), ["newcomer"]);
}
