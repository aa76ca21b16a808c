//! Who takes part in a group whose members come, go, and lose their disks, on a virtual clock.

mod common;

use common::World;
use std::time::Duration;

/// Time within which a new member, or one with an empty disk, must be made up for (`catch_up_s` of the
/// deployments).
const CATCH_UP: Duration = Duration::from_secs(4);

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
}
