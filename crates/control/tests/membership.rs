//! Membership of a group whose members join, leave, and lose their disks, on a virtual clock.

mod common;

use common::World;
use std::time::Duration;

/// Time within which a new member, or one with an empty disk, must be a voter (`catch_up_s` of the
/// deployments).
const CATCH_UP: Duration = Duration::from_secs(4);

/// Time after the last fault within which the group must be as intended (`recover_s` of the
/// deployments).
const RECOVERY: Duration = Duration::from_secs(12);

/// Time after which the size of a group is confirmed.
const SIZE_CONFIRMED: Duration = Duration::from_secs(15);

/// Five members, of which the last one lost its disk, asked to join, and is replaced by a sixth one
/// that is not started yet.
fn with_replaced_learner(seed: u64) -> World {
    let mut world = World::with_founders(&[1, 2, 3], &[1, 2, 3, 4, 5], seed);
    world.run(SIZE_CONFIRMED);
    world.wipe(5);
    world.start(5);
    world.run_until("it is a learner", CATCH_UP, |world| world.learners() == 1);
    world.remove(5);
    world.set_seeds(6, &[1, 2]);
    world
}

/// A running group of five founders.
fn five_members() -> World {
    let mut world = World::new(&[1, 2, 3, 4, 5]);
    world.run(CATCH_UP);
    world
}

cases! {
    /// The group keeps sending to the address of the lost member, which is enough to find it.
    a_member_with_a_lost_disk_rejoins_without_seeds => {
        let mut world = five_members();
        world.set_seeds(4, &[21, 22]);
        world.wipe(4);
        world.start(4);
        world.run(CATCH_UP);
        assert!(world.is_voter(4), "{}", world.trace());
    }

    /// A seed outside the group reports the members that it knows.
    a_process_outside_the_group_reports_known_members => {
        let mut world = five_members();
        world.wipe(5);
        world.set_seeds(5, &[1]);
        world.start(5);
        world.cut(5, 1);
        world.set_seeds(6, &[5]);
        world.start(6);
        world.run(CATCH_UP);
        assert!(world.is_voter(6), "{}", world.trace());
    }

    /// A process outside the group redirects calls as soon as it knows the leader.
    a_process_outside_the_group_reports_the_leader => {
        let mut world = five_members();
        let leader = world.leader().unwrap();
        world.refuse_joins();
        let new_member = 6;
        world.set_seeds(new_member, &[leader % 5 + 1]);
        world.start(new_member);
        world.run(Duration::from_millis(300));
        assert!(!world.is_voter(new_member));
        assert_eq!(world.reported_leader(new_member), Some(leader));
    }

    /// Seeds set later in the settings are used.
    changed_seeds_are_used => {
        let mut world = five_members();
        world.set_seeds(6, &[21, 22]);
        world.start(6);
        world.run(CATCH_UP);
        assert!(!world.is_voter(6));
        world.set_seeds(6, &[2]);
        world.run(CATCH_UP);
        assert!(world.is_voter(6), "{}", world.trace());
    }

    /// Removed machines don't stay voters, also if two are replaced at once.
    machines_replaced_at_the_same_time_count_once => {
        let mut world = World::with_founders(&[1, 2, 3], &[1, 2, 3, 4, 5], 0);
        world.run(SIZE_CONFIRMED);
        assert_eq!(world.voters(), 5, "{}", world.trace());
        for removed in [1, 2] {
            world.remove(removed);
        }
        for successor in [6, 7] {
            world.set_seeds(successor, &[3, 4]);
            world.start(successor);
        }
        world.run(CATCH_UP);
        assert!(world.is_voter(6) && world.is_voter(7), "{}", world.trace());
        assert_eq!(world.voters(), 5, "{}", world.trace());
    }

    /// Two stopped members with disks are kept, since committed entries may be needed from them.
    stopped_members_without_successors_are_kept => {
        let mut world = World::with_founders(&[1, 2, 3], &[1, 2, 3, 4, 5], 0);
        world.run(SIZE_CONFIRMED);
        world.kill(1);
        world.kill(4);
        world.run(SIZE_CONFIRMED);
        assert_eq!(world.voters(), 5, "{}", world.trace());
        world.start(1);
        world.start(4);
        world.run(CATCH_UP);
        assert!(world.is_voter(1) && world.is_voter(4), "{}", world.trace());
        assert_eq!(world.voters(), 5, "{}", world.trace());
    }

    /// A learner that stops before it becomes a voter is removed.
    a_silent_learner_is_removed => {
        let mut world = five_members();
        let leader = world.leader().unwrap();
        let new_member = 6;
        world.set_seeds(new_member, &[leader]);
        world.start(new_member);
        // It stops right after it was added.
        world.run_until("it is a learner", CATCH_UP, |world| world.learners() == 1);
        world.remove(new_member);
        world.run(CATCH_UP * 4);
        assert_eq!((world.voters(), world.learners()), (5, 0), "{}", world.trace());
    }

    /// Guards against a learner that counts although its machine lost its disk, asked to join, and was
    /// replaced before it became a voter. Silence is counted anew by each leader.
    a_learner_that_was_replaced_is_removed_in_time => {
        for seed in 0..32 {
            let mut world = with_replaced_learner(seed);
            world.start(6);
            world.run(CATCH_UP);
            // Suspended rather than killed, so that the others have to notice it.
            let leader = world.leader().unwrap();
            world.freeze(leader);
            world.run(Duration::from_millis(100 * seed));
            world.thaw(leader);
            world.run(RECOVERY);
            let counted = (world.voters(), world.learners());
            assert_eq!(counted, (5, 0), "seed {seed}: {}", world.trace());
        }
    }

    /// Guards against control-group-seed-324: the same where all members were killed last, so that the
    /// leader that removes the learner is elected late.
    a_learner_that_was_replaced_is_removed_in_time_after_all_were_killed => {
        let late: Vec<String> = (0..400).filter_map(|seed| {
            let mut world = with_replaced_learner(seed);
            let wiped = if seed % 2 == 0 { 4 } else { world.leader().unwrap() };
            let hosts = world.hosts();
            hosts.iter().for_each(|host| world.kill(*host));
            world.wipe(wiped);
            for host in hosts.into_iter().chain([6]) {
                world.run(Duration::from_millis(37 * (seed % 23)));
                world.start(host);
            }
            world.run(RECOVERY);
            let counted = (world.voters(), world.learners());
            (counted != (5, 0)).then(|| format!("{seed}: {counted:?}"))
        }).collect();
        assert!(late.is_empty(), "seeds {late:?}");
    }

    /// A leader must not take a new learner for silent before it could respond.
    a_new_learner_has_time_to_respond => {
        let mut world = World::with_founders(&[1, 2, 3], &[1, 2, 3, 4, 5], 0);
        world.run(SIZE_CONFIRMED);
        world.set_seeds(6, &[1, 2, 3]);
        world.start(6);
        world.run_until("it is a learner", CATCH_UP, |world| world.learners() == 1);
        world.freeze(6);
        world.run(Duration::from_millis(500));
        assert_eq!(world.learners(), 1, "{}", world.trace());
        world.thaw(6);
        world.run(Duration::from_millis(300));
        assert!(world.is_voter(6), "{}", world.trace());
    }

    /// Machines replaced as planned run beside their successors, which must not enlarge the group.
    planned_concurrent_replacements_count_once => {
        let mut world = World::with_founders(&[1, 2, 3], &[1, 2, 3, 4, 5], 0);
        world.run(SIZE_CONFIRMED);
        for successor in [6, 7] {
            world.set_seeds(successor, &[3, 4]);
            world.start(successor);
            world.run(Duration::from_secs(1));
        }
        assert_eq!(world.voters(), 7, "{}", world.trace());
        world.run(CATCH_UP);
        for removed in [1, 2] {
            world.remove(removed);
            world.run(Duration::from_secs(1));
        }
        world.run(CATCH_UP);
        assert_eq!(world.voters(), 5, "{}", world.trace());
    }
}
