//! Entries of the cache view: incarnations, removal, and the bounds on memory.

use std::time::Duration;
use topazmount_routing::CacheView;
use topazmount_types::{Incarnation, Time};

const NOW: Time = Time::from_secs(10);

fn depth_at(view: &CacheView, replica: u32, incarnation: u64) -> usize {
    let mut deepest = 0;
    let present = |_| Some(Incarnation(incarnation));
    view.cached_replicas(&[1, 2, 3, 4], NOW, present, |slot, depth, _| {
        if slot == replica {
            deepest = depth;
        }
    });
    deepest
}

#[test]
fn blocks_of_an_earlier_incarnation_are_ignored() {
    let mut view = CacheView::new(100);
    view.record(&[1, 2, 3], 7, Incarnation(1), NOW);
    assert_eq!(depth_at(&view, 7, 1), 3);
    assert_eq!(depth_at(&view, 7, 2), 0);
}

#[test]
fn removed_blocks_are_not_found() {
    let mut view = CacheView::new(100);
    view.record(&[1, 2, 3, 4], 7, Incarnation(1), NOW);
    view.remove(&[3, 4], 7);
    assert_eq!(depth_at(&view, 7, 1), 2);
}

#[test]
fn a_popular_prefix_does_not_hide_a_replica_with_deeper_blocks() {
    let mut view = CacheView::new(100);
    view.record(&[1, 2, 3, 4], 7, Incarnation(1), NOW);
    for replica in 20..40 {
        view.record(&[1, 2], replica, Incarnation(1), NOW + Duration::from_secs(1));
    }
    assert_eq!(depth_at(&view, 7, 1), 4);
}

#[test]
fn the_number_of_blocks_is_bounded() {
    let mut view = CacheView::new(1_000);
    for block in 0..50_000 {
        view.record(&[block], 1, Incarnation(1), NOW);
    }
    assert!(view.len() <= 1_000, "{} blocks", view.len());
}
