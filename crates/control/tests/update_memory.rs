//! Memory of the updates that a member keeps for its requesters. Alone in its process, as it measures
//! what the process takes.

mod fleet_world;

use fleet_world::World;
use std::time::Duration;
use topazmount_control::{CrashReport, FleetRequest, SeenVersions, WatchRequest};

/// Versions that requesters are at, one after the other.
const VERSIONS: u64 = 120_000;
/// 4 MB of updates are kept; an allocator may need as much again.
const MAX_GROWTH_BYTES: usize = 8 * 1024 * 1024;
/// Size of a page in `/proc/self/statm`.
const PAGE_BYTES: usize = 4_096;

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split_whitespace().nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

/// Guards against kept updates that nothing drops: a member runs for months, and requesters are at
/// other versions after each change.
#[test]
fn requesters_at_ever_other_versions_take_a_bounded_memory() {
    let mut world = World::new(3);
    world.run_for(Duration::from_secs(4));
    let before = resident_bytes();
    for number in 0..VERSIONS {
        // Ahead of the member and without a wish for statuses, so that the update has no lists.
        let seen = SeenVersions {
            revision: 1_000 + number,
            statuses: (u64::MAX, u64::MAX),
            ..SeenVersions::default()
        };
        let token = world.send(FleetRequest::Watch(WatchRequest {
            gateway: None,
            seen,
            wants_gateways: false,
            wait: Duration::ZERO,
            crashes: CrashReport::default(),
            notices: Vec::new(),
            accepts_packed: true,
        }));
        assert!(world.responses.remove(&token).is_some(), "the member responds at once");
    }
    let grown = resident_bytes().saturating_sub(before);
    assert!(grown < MAX_GROWTH_BYTES, "{grown} bytes for {VERSIONS} versions");
}
