//! Refuses at once what would be late, so that what is taken is in time.
//!
//! The load that it answers: prompts come faster than the engines read them, as where a quarter of 94 engines is lost while
//! the others load new weights. Engines then read without a pause, each answer that runs there waits 100 ms for each token,
//! and its place with it, so that everything is late, also what is read in an instant. What is less urgent, and most of what is
//! read, gives way as soon as the wait that is known of takes most of its time.

use std::time::Duration;

/// Part of the target latency from which on an estimate is taken as late: estimates leave out what nobody told of yet, and of
/// prompts with one of 400 to 600 ms and a target of 800 half were late. On the heaviest days of 79 gateways and 90 engines, worth by this share: without
/// refusing 0.537 and 0.461, at 1.0 0.573 and 0.539, at 0.7 0.605 and 0.587.
const LATE_SHARE: f64 = 0.7;
/// Part of a replica's places from which on it counts as full. Below it a burst of a few prompts is served late rather than
/// refused: 12 that come within 0.7 s to four engines with eight places each are all served, and eight were refused without this.
const FULL_SHARE: f64 = 0.5;
/// Part of the wait by which clients are spread: they return over this much of it, before and after.
const SPREAD: f64 = 0.5;

/// What is known of a prompt at the moment at which it would be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TtftEstimate {
    /// Time until its first token at the best replica.
    pub estimate: Duration,
    /// Time since it came.
    pub elapsed: Duration,
    /// Time within which the first token is in time.
    pub target: Duration,
    /// Rank of its route, 0 is the most urgent.
    pub priority: u32,
    /// Whether nothing waits at that replica to be read.
    pub has_empty_queue: bool,
    /// Part of its places that requests take.
    pub slot_utilization: f64,
}

impl TtftEstimate {
    /// How long the client should wait before it comes again, where the prompt should be refused; `spread` is drawn evenly
    /// from 0 to 1. The most urgent are never refused: what runs beside them gives way to them.
    pub fn retry_delay_if_late(&self, spread: f64) -> Option<Duration> {
        let is_full = !self.has_empty_queue && self.slot_utilization >= FULL_SHARE;
        if self.priority == 0 || !is_full {
            return None;
        }
        let limit = self.target.mul_f64(LATE_SHARE);
        let over =
            (self.estimate + self.elapsed).checked_sub(limit).filter(|over| !over.is_zero())?;
        // What is ahead is done by then, and one further prompt.
        let wait = over + self.target;
        Some(wait.mul_f64(1.0 - SPREAD + 2.0 * SPREAD * spread))
    }
}
