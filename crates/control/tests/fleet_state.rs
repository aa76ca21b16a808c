//! Replicated state of the fleet: versions only rise, and who left stays away.

use topazmount_control::{Document, FleetCommand, FleetState};
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
        start: Start::UNSAID,
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
        state.apply(FleetCommand::NameWeights { model: "m".to_owned(), version });
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
    assert!(!state.is_news(&instance("a", "1:1")));
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
