//! Who takes part in a group whose members come, go, and lose their disks, on a virtual clock.

mod common;

use common::World;
use std::time::Duration;

/// Time within which a new member, or one with an empty disk, must be made up for (`catch_up_s` of the
/// deployments).
const CATCH_UP: Duration = Duration::from_secs(4);

/// Time after which a group has settled: the core's own, and some for what comes before.
const SETTLED: Duration = Duration::from_secs(15);

/// Five founding members that settled down.
fn five() -> World {
    let mut world = World::found(&[1, 2, 3, 4, 5]);
    world.run(CATCH_UP);
    world
}

cases! {
    /// The group sends to the address of a member whose disk was lost: that is enough to find it.
    a_lost_disk_is_made_up_for_without_any_seed => {
        let mut world = five();
        world.name_seeds(4, &[21, 22]);
        world.wipe(4);
        world.start(4);
        world.run(CATCH_UP);
        assert!(world.is_voter(4), "{}", world.told());
    }

    /// A seed that is outside the group too, or does not know who leads, names whom it knows.
    whoever_is_asked_names_those_that_it_knows => {
        let mut world = five();
        world.wipe(5);
        world.name_seeds(5, &[1]);
        world.start(5);
        world.cut(5, 1);
        world.name_seeds(6, &[5]);
        world.start(6);
        world.run(CATCH_UP);
        assert!(world.is_voter(6), "{}", world.told());
    }

    /// Calls at a process outside the group are passed on as soon as it knows who leads.
    a_process_outside_the_group_names_the_leader => {
        let mut world = five();
        let leader = world.leader().unwrap();
        world.freeze_changes();
        let newcomer = 6;
        world.name_seeds(newcomer, &[leader % 5 + 1]);
        world.start(newcomer);
        world.run(Duration::from_millis(300));
        assert!(!world.is_voter(newcomer));
        assert_eq!(world.named_leader(newcomer), Some(leader));
    }

    /// Seeds that the settings name later are asked.
    seeds_that_change_are_asked => {
        let mut world = five();
        world.name_seeds(6, &[21, 22]);
        world.start(6);
        world.run(CATCH_UP);
        assert!(!world.is_voter(6));
        world.name_seeds(6, &[2]);
        world.run(CATCH_UP);
        assert!(world.is_voter(6), "{}", world.told());
    }

    /// Identities that are gone don't stay counted, also where two machines were replaced at once.
    machines_replaced_at_the_same_time_are_counted_once => {
        let mut world = World::found_with(&[1, 2, 3], &[1, 2, 3, 4, 5], 0);
        world.run(SETTLED);
        assert_eq!(world.voters(), 5, "{}", world.told());
        for gone in [1, 2] {
            world.remove(gone);
        }
        for successor in [6, 7] {
            world.name_seeds(successor, &[3, 4]);
            world.start(successor);
        }
        world.run(CATCH_UP);
        assert!(world.is_voter(6) && world.is_voter(7), "{}", world.told());
        assert_eq!(world.voters(), 5, "{}", world.told());
    }

    /// Two members that are down with their disks are kept: nobody has come in their place, and what
    /// was committed may be needed from them.
    members_that_are_down_are_kept_while_nobody_has_come_for_them => {
        let mut world = World::found_with(&[1, 2, 3], &[1, 2, 3, 4, 5], 0);
        world.run(SETTLED);
        world.kill(1);
        world.kill(4);
        world.run(SETTLED);
        assert_eq!(world.voters(), 5, "{}", world.told());
        world.start(1);
        world.start(4);
        world.run(CATCH_UP);
        assert!(world.is_voter(1) && world.is_voter(4), "{}", world.told());
        assert_eq!(world.voters(), 5, "{}", world.told());
    }

    /// A learner that is gone before it became a voter does not stay.
    a_learner_that_is_gone_is_removed => {
        let mut world = five();
        let leader = world.leader().unwrap();
        let newcomer = 6;
        world.name_seeds(newcomer, &[leader]);
        world.start(newcomer);
        // It goes in the moment in which it was taken in.
        world.until("it is a learner", CATCH_UP, |world| world.learners() == 1);
        world.remove(newcomer);
        world.run(CATCH_UP * 4);
        assert_eq!((world.voters(), world.learners()), (5, 0), "{}", world.told());
    }

    /// From a day of our own (`replace-turn`): a leader of long standing took a learner for silent before
    /// it could answer, and removed it at once.
    a_newcomer_is_given_time_to_answer => {
        let mut world = World::found_with(&[1, 2, 3], &[1, 2, 3, 4, 5], 0);
        world.run(SETTLED);
        world.name_seeds(6, &[1, 2, 3]);
        world.start(6);
        world.until("it is a learner", CATCH_UP, |world| world.learners() == 1);
        world.freeze(6);
        world.run(Duration::from_millis(500));
        assert_eq!(world.learners(), 1, "{}", world.told());
        world.thaw(6);
        world.run(Duration::from_millis(300));
        assert!(world.is_voter(6), "{}", world.told());
    }

    /// From the same day: machines that are replaced as planned run beside their successors, which made
    /// the group look larger for good.
    machines_replaced_as_planned_at_the_same_time_are_counted_once => {
        let mut world = World::found_with(&[1, 2, 3], &[1, 2, 3, 4, 5], 0);
        world.run(SETTLED);
        for successor in [6, 7] {
            world.name_seeds(successor, &[3, 4]);
            world.start(successor);
            world.run(Duration::from_secs(1));
        }
        assert_eq!(world.voters(), 7, "{}", world.told());
        world.run(CATCH_UP);
        for gone in [1, 2] {
            world.remove(gone);
            world.run(Duration::from_secs(1));
        }
        world.run(CATCH_UP);
        assert_eq!(world.voters(), 5, "{}", world.told());
    }
}
