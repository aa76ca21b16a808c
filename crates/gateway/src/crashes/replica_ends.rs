//! Remembers which replicas have ended unannounced lately, by their addresses.
//!
//! A replica that ends again and again, whatever runs there, says nothing about what ran there.

use std::collections::VecDeque;
use std::time::Duration;
use topazmount_types::Time;

/// Time for which an end is remembered.
const MEMORY: Duration = Duration::from_secs(30);
/// Maximum number of remembered ends, 200 KB at most; the oldest are dropped.
const MAX_ENDS: usize = 2_048;

struct End {
    address: String,
    incarnation: String,
    at: Time,
}

/// Replicas that have ended unannounced lately.
#[derive(Default)]
pub(super) struct ReplicaEnds(VecDeque<End>);

impl ReplicaEnds {
    /// Records that an incarnation ended; each counts once.
    pub(super) fn record(&mut self, address: &str, incarnation: &str, now: Time) {
        while self.0.front().is_some_and(|end| now >= end.at + MEMORY) || self.0.len() >= MAX_ENDS {
            self.0.pop_front();
        }
        if self.0.iter().any(|end| end.incarnation == incarnation) {
            return;
        }
        let (address, incarnation) = (address.to_owned(), incarnation.to_owned());
        self.0.push_back(End { address, incarnation, at: now });
    }

    /// Whether any replica has ended at an address lately.
    pub(super) fn has_ended_at(&self, address: &str, now: Time) -> bool {
        self.0.iter().any(|end| end.address == address && now < end.at + MEMORY)
    }
}
