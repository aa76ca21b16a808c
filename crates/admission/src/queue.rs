//! Bounded queue of requests by priority, order and deadline.

use std::collections::BTreeMap;
use topazmount_types::{Priority, RequestId, Time};

/// Requests taken per round from each priority, most urgent first. The lowest priority gets a share
/// too, so that it is never starved.
const CLASS_WEIGHTS: [u32; 3] = [16, 4, 1];

/// The queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// A request in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Priority class.
    pub priority: Priority,
    /// Sort key set by a policy, lower first; zero without one.
    pub order: f64,
    /// When the caller must have received a response.
    pub deadline: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    order: i64,
    deadline: Time,
    request: RequestId,
}

/// Bounded queue with weighted round robin between priorities.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    capacity: usize,
    classes: [BTreeMap<SortKey, WaitingRequest>; 3],
    credits: [u32; 3],
}

impl Queue {
    /// Creates an empty queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Queue { capacity, classes: Default::default(), credits: CLASS_WEIGHTS }
    }

    /// Changes the capacity; requests already in the queue stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Number of requests in the queue.
    pub fn len(&self) -> usize {
        self.classes.iter().map(BTreeMap::len).sum()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(BTreeMap::is_empty)
    }

    /// Adds a request. When the queue is full, it displaces the last request of the least urgent
    /// class below its own; the displaced request is returned and must be refused.
    ///
    /// # Errors
    /// [`QueueFull`] when no less urgent request is in the queue.
    pub fn push(&mut self, waiting: WaitingRequest) -> Result<Option<WaitingRequest>, QueueFull> {
        let displaced = if self.len() >= self.capacity {
            Some(self.dissort_key(waiting.priority).ok_or(QueueFull)?)
        } else {
            None
        };
        self.classes[waiting.priority as usize].insert(sort_key(&waiting), waiting);
        Ok(displaced)
    }

    fn dissort_key(&mut self, priority: Priority) -> Option<WaitingRequest> {
        let less_urgent = &mut self.classes[priority as usize + 1..];
        let class = less_urgent.iter_mut().rev().find(|class| !class.is_empty())?;
        class.pop_last().map(|(_, waiting)| waiting)
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        if self.is_empty() {
            return None;
        }
        loop {
            for (class, credit) in self.classes.iter_mut().zip(&mut self.credits) {
                if *credit > 0
                    && let Some((_, waiting)) = class.pop_first()
                {
                    *credit -= 1;
                    return Some(waiting);
                }
            }
            self.credits = CLASS_WEIGHTS;
        }
    }

    /// Returns a request to the queue that could not be sent.
    pub fn put_back(&mut self, waiting: WaitingRequest) {
        self.credits[waiting.priority as usize] += 1;
        self.classes[waiting.priority as usize].insert(sort_key(&waiting), waiting);
    }

    /// Removes a request; returns whether it was in the queue.
    pub fn remove(&mut self, waiting: &WaitingRequest) -> bool {
        self.classes[waiting.priority as usize].remove(&sort_key(waiting)).is_some()
    }

    /// Number of requests of a priority and all more urgent ones: an estimate of what is served
    /// before a new one.
    pub fn ahead_of(&self, priority: Priority) -> usize {
        self.classes[..=priority as usize].iter().map(BTreeMap::len).sum()
    }
}

fn sort_key(waiting: &WaitingRequest) -> SortKey {
    const ORDER_UNITS: f64 = 1_000.0;
    let order = (waiting.order * ORDER_UNITS).clamp(i64::MIN as f64, i64::MAX as f64) as i64;
    SortKey { order, deadline: waiting.deadline, request: waiting.request }
}
