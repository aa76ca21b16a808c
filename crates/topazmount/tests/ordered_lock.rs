//! Two threads that take the same locks in different orders stop for good.

use std::panic::{AssertUnwindSafe, catch_unwind};
use topazmount::ordered_lock::{LockRank, OrderedMutex};

/// Whether taking the second lock while the first one is held is refused.
fn is_refused(first: LockRank, second: LockRank) -> bool {
    let (first, second) = (OrderedMutex::new(first, 1), OrderedMutex::new(second, 2));
    let _held = first.lock();
    catch_unwind(AssertUnwindSafe(|| drop(second.lock()))).is_err()
}

#[test]
fn locks_are_taken_against_their_order() {
    assert!(is_refused(LockRank::Links, LockRank::GatewayState));
    assert!(is_refused(LockRank::Members, LockRank::Carriers));
    assert!(is_refused(LockRank::Links, LockRank::Links));
    assert!(!is_refused(LockRank::GatewayState, LockRank::Links));
}

#[test]
fn a_released_lock_keeps_earlier_ones_from_being_taken() {
    let links = OrderedMutex::new(LockRank::Links, 1);
    let state = OrderedMutex::new(LockRank::GatewayState, 2);
    drop(links.lock());
    let outer = state.lock();
    let inner = links.lock();
    // The outer one may be released first.
    drop(outer);
    drop(inner);
    assert_eq!((*state.lock(), *links.lock()), (2, 1));
}
