//! Events of the modelled fleet, in the order of their times.

use super::member::Arrival;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use topazmount_control::FleetView;
use topazmount_types::Time;

/// Something that happens at a time.
pub(super) enum Event {
    Arrive { member: usize, run: u64, arrival: Box<Arrival> },
    Work { member: usize },
    StartMember { member: usize },
    StartGateway { gateway: usize },
    View { gateway: usize, run: u64, request: u64, member: usize, view: Box<FleetView> },
    Watch { gateway: usize, run: u64 },
    WatchTimeout { gateway: usize, request: u64 },
    Heartbeat { replica: usize },
    Call { replica: usize, call: u64, member: usize, target: usize },
    CallTimeout { replica: usize, call: u64 },
    SendDocument,
}

struct Scheduled {
    at: Time,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events that have not happened. Of those at the same time the first scheduled one comes first.
#[derive(Default)]
pub(super) struct Events {
    waiting: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
}

impl Events {
    pub(super) fn schedule(&mut self, at: Time, event: Event) {
        self.scheduled += 1;
        self.waiting.push(Reverse(Scheduled { at, number: self.scheduled, event }));
    }

    /// Takes the next event before a time.
    pub(super) fn next_before(&mut self, until: Time) -> Option<(Time, Event)> {
        let is_due = self.waiting.peek().is_some_and(|Reverse(next)| next.at < until);
        let Reverse(next) = is_due.then(|| self.waiting.pop()).flatten()?;
        Some((next.at, next.event))
    }
}
