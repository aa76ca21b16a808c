//! WaitingRequest requests by priority, order and deadline.

use std::collections::BTreeMap;
use topazmount_types::{Priority, RequestId, Time};

/// Turns that each priority gets while all are waiting, most urgent first. The last one is not
/// zero, so long work always progresses.
const TURNS: [u32; 3] = [16, 4, 1];

/// The queue holds as many requests as it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingRequest {
    /// Request.
    pub request: RequestId,
    /// Priority.
    pub priority: Priority,
    /// Place asked for by a policy; lower first. Zero when none did.
    pub order: f64,
    /// When the caller must have an answer.
    pub deadline: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    order: i64,
    deadline: Time,
    request: RequestId,
}

/// Bounded queue.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    capacity: usize,
    classes: [BTreeMap<Place, WaitingRequest>; 3],
    turns_left: [u32; 3],
}

impl Queue {
    /// An empty queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Queue { capacity, classes: Default::default(), turns_left: TURNS }
    }

    /// Changes the bound; what waits already stays.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.classes.iter().map(BTreeMap::len).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(BTreeMap::is_empty)
    }

    /// Adds a request. A more urgent one displaces the last of the least urgent class when the
    /// queue is full; the displaced request is returned and must be refused at once.
    ///
    /// # Errors
    /// [`QueueFull`] when nothing less urgent waits.
    pub fn push(&mut self, waiting: WaitingRequest) -> Result<Option<WaitingRequest>, QueueFull> {
        let displaced = if self.len() >= self.capacity {
            Some(self.displace(waiting.priority).ok_or(QueueFull)?)
        } else {
            None
        };
        self.classes[waiting.priority as usize].insert(place(&waiting), waiting);
        Ok(displaced)
    }

    fn displace(&mut self, priority: Priority) -> Option<WaitingRequest> {
        let less_urgent = &mut self.classes[priority as usize + 1..];
        let class = less_urgent.iter_mut().rev().find(|class| !class.is_empty())?;
        class.pop_last().map(|(_, waiting)| waiting)
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        if self.is_empty() {
            return None;
        }
        loop {
            for (class, turns) in self.classes.iter_mut().zip(&mut self.turns_left) {
                if *turns > 0
                    && let Some((_, waiting)) = class.pop_first()
                {
                    *turns -= 1;
                    return Some(waiting);
                }
            }
            self.turns_left = TURNS;
        }
    }

    /// Puts a request back that could not go after all.
    pub fn put_back(&mut self, waiting: WaitingRequest) {
        self.turns_left[waiting.priority as usize] += 1;
        self.classes[waiting.priority as usize].insert(place(&waiting), waiting);
    }

    /// Removes a request; returns whether it waited.
    pub fn remove(&mut self, waiting: &WaitingRequest) -> bool {
        self.classes[waiting.priority as usize].remove(&place(waiting)).is_some()
    }

    /// Requests of a class and all more urgent ones: those that go before a new one of it, about.
    pub fn ahead_of(&self, priority: Priority) -> usize {
        self.classes[..=priority as usize].iter().map(BTreeMap::len).sum()
    }
}

fn place(waiting: &WaitingRequest) -> Place {
    const ORDER_UNITS: f64 = 1_000.0;
    let order = (waiting.order * ORDER_UNITS).clamp(i64::MIN as f64, i64::MAX as f64) as i64;
    Place { order, deadline: waiting.deadline, request: waiting.request }
}
