//! Events in order of time; those of the same time in the order in which they were scheduled.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use topazmount_types::Time;

struct Scheduled<E> {
    at: Time,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    /// Reversed: the heap gives the greatest first, and the earliest is wanted.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Queue of events.
pub struct Schedule<E> {
    heap: BinaryHeap<Scheduled<E>>,
    next_sequence: u64,
}

impl<E> Default for Schedule<E> {
    fn default() -> Self {
        Schedule { heap: BinaryHeap::new(), next_sequence: 0 }
    }
}

impl<E> Schedule<E> {
    /// Schedules an event.
    pub fn push(&mut self, at: Time, event: E) {
        self.next_sequence += 1;
        self.heap.push(Scheduled { at, sequence: self.next_sequence, event });
    }

    /// The next event.
    pub fn pop(&mut self) -> Option<(Time, E)> {
        self.heap.pop().map(|scheduled| (scheduled.at, scheduled.event))
    }
}
