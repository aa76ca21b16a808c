//! Load shedding: refuses prompts whose first token would be late, so that the admitted ones are in
//! time. The most urgent routes are exempt.

use std::time::Duration;

/// Share of the target latency above which an estimate counts as late; estimates miss load that has
/// not been reported yet.
const MAX_TARGET_SHARE: f64 = 0.7;
/// Share of a replica's slots in use from which prompts may be refused, so that short bursts are
/// served.
const MIN_SHED_UTILIZATION: f64 = 0.5;
/// Share of the retry delay by which it varies, in either direction.
const RETRY_SPREAD: f64 = 0.5;

/// Estimated time to first token of a prompt that is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TtftEstimate {
    /// Estimated time to first token at the chosen replica.
    pub estimate: Duration,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Target time to first token.
    pub target: Duration,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Whether no other prompt waits at the replica.
    pub has_empty_queue: bool,
    /// Share of the replica's slots in use.
    pub slot_utilization: f64,
}

impl TtftEstimate {
    /// Retry delay if the prompt should be refused; `spread` is drawn uniformly from 0 to 1.
    /// Prompts of priority 0 are never refused.
    pub fn retry_delay_if_late(&self, spread: f64) -> Option<Duration> {
        let is_busy = !self.has_empty_queue && self.slot_utilization >= MIN_SHED_UTILIZATION;
        if self.priority == 0 || !is_busy {
            return None;
        }
        let limit = self.target.mul_f64(MAX_TARGET_SHARE);
        let excess =
            (self.estimate + self.elapsed).checked_sub(limit).filter(|excess| !excess.is_zero())?;
        // By then the queue and one further prompt should be done.
        let retry_delay = excess + self.target;
        Some(retry_delay.mul_f64(1.0 - RETRY_SPREAD + 2.0 * RETRY_SPREAD * spread))
    }
}
