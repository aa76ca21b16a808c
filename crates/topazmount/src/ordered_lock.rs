//! Locks that a thread may only take in one order, so that no two threads wait for each other.
//!
//! Builds with debug assertions check each acquisition; the others are plain locks.

use std::cell::Cell;
use std::ops::{Deref, DerefMut};
use std::sync::{Mutex, MutexGuard};

/// The locks of a gateway, in the order in which a thread may hold them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum LockRank {
    /// What the gateway knows of the fleet.
    GatewayState,
    /// State of the links to replicas.
    Links,
    /// Failures that count if the links turn out to work.
    WithheldFailures,
    /// Gateways that carry tunnels.
    Carriers,
    /// Addresses of control members.
    Members,
}

thread_local! {
    /// A bit for each rank that this thread holds.
    static HELD: Cell<u32> = const { Cell::new(0) };
}

/// A mutex with a place in the order.
#[derive(Debug)]
pub struct OrderedMutex<T> {
    rank: LockRank,
    mutex: Mutex<T>,
}

/// Access to the value of an [`OrderedMutex`] until it is dropped.
#[derive(Debug)]
pub struct OrderedGuard<'a, T> {
    guard: MutexGuard<'a, T>,
    rank: LockRank,
}

impl<T> OrderedMutex<T> {
    /// Creates a lock of this rank.
    pub fn new(rank: LockRank, value: T) -> Self {
        OrderedMutex { rank, mutex: Mutex::new(value) }
    }

    /// Takes the lock.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock; with debug assertions also if this thread holds a
    /// lock of this rank or of a later one.
    pub fn lock(&self) -> OrderedGuard<'_, T> {
        acquire(self.rank);
        let guard = self.mutex.lock().expect("no thread panicked with this lock");
        OrderedGuard { guard, rank: self.rank }
    }
}

impl<T> Deref for OrderedGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.guard
    }
}

impl<T> DerefMut for OrderedGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.guard
    }
}

impl<T> Drop for OrderedGuard<'_, T> {
    fn drop(&mut self) {
        if cfg!(debug_assertions) {
            HELD.set(HELD.get() & !bit(self.rank));
        }
    }
}

fn bit(rank: LockRank) -> u32 {
    1 << rank as u32
}

fn acquire(rank: LockRank) {
    if cfg!(debug_assertions) {
        let held = HELD.get();
        assert!(held < bit(rank), "lock {rank:?} taken while locks {held:#b} are held");
        HELD.set(held | bit(rank));
    }
}
