//! The gateways known to a member, with a history of changes for updates.

use super::protocol::{GatewayListUpdate, GatewayReport, WatchRequest};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_types::Time;

/// A gateway without a report for this time is dropped from the list.
pub const GATEWAY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Removed gateways that are remembered; requesters that are further behind get the full list.
const MAX_REMOVALS: usize = 1_024;
/// Minimum time between two responses to one gateway, per known gateway. Changes within it are sent
/// together, which bounds the rate of the leader's responses: 1,000 a second with up to 300 gateways.
/// With 80 gateways each one gets a change within 80 ms.
const GATHERING_TIME_PER_GATEWAY: Duration = Duration::from_millis(1);
/// Maximum time between two responses to one gateway.
const MAX_GATHERING_TIME: Duration = Duration::from_millis(300);

struct Entry {
    report: GatewayReport,
    received_at: Time,
    /// Count of its last change.
    changed_at: u64,
    /// When the last response was sent.
    responded_at: Time,
}

/// Known gateways. Invariant: the count only rises, and the changes after a count complete a list
/// with that count.
#[derive(Default)]
pub(crate) struct GatewayList {
    entries: BTreeMap<String, Entry>,
    removals: VecDeque<(u64, String)>,
    /// Changes up to this count may have been dropped.
    forgotten_to: u64,
    count: u64,
    /// Count that requesters are told. Between two publications all of them are at one of a few
    /// counts, so that they share updates.
    published: u64,
    published_at: Time,
}

impl GatewayList {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Count that requesters are told.
    pub(crate) fn published(&self) -> u64 {
        self.published
    }

    /// Publishes changes that have gathered for long enough.
    pub(crate) fn publish(&mut self, now: Time) {
        if self.published != self.count && now >= self.published_at + self.gathering_time() {
            self.published = self.count;
            self.published_at = now;
        }
    }

    /// Minimum time between two publications, and between two responses to one gateway.
    pub(crate) fn gathering_time(&self) -> Duration {
        (GATHERING_TIME_PER_GATEWAY * self.len() as u32).min(MAX_GATHERING_TIME)
    }

    /// Records a gateway's report.
    pub(crate) fn on_report(&mut self, now: Time, report: &GatewayReport) {
        if let Some(entry) = self.entries.get_mut(&report.address) {
            entry.received_at = now;
            if entry.report != *report {
                self.count += 1;
                entry.report = report.clone();
                entry.changed_at = self.count;
            }
            return;
        }
        self.count += 1;
        let entry = Entry {
            report: report.clone(),
            received_at: now,
            changed_at: self.count,
            responded_at: Time::ZERO,
        };
        self.entries.insert(report.address.clone(), entry);
    }

    /// Removes gateways that timed out.
    pub(crate) fn expire(&mut self, now: Time) {
        let is_silent = |entry: &Entry| now >= entry.received_at + GATEWAY_TIMEOUT;
        let silent = self.entries.iter().filter(|(_, entry)| is_silent(entry));
        let silent: Vec<String> = silent.map(|(address, _)| address.clone()).collect();
        for address in silent {
            self.entries.remove(&address);
            self.count += 1;
            self.removals.push_back((self.count, address));
        }
        while self.removals.len() > MAX_REMOVALS {
            if let Some((count, _)) = self.removals.pop_front() {
                self.forgotten_to = count;
            }
        }
    }

    /// Earliest time of the next update for a requester, which lets changes gather.
    pub(crate) fn update_from(&self, request: &WatchRequest) -> Time {
        let entry = request.gateway.as_ref().and_then(|report| self.entries.get(&report.address));
        entry.map_or(Time::ZERO, |entry| entry.responded_at + self.gathering_time())
    }

    /// Records that a response was sent.
    pub(crate) fn on_response_sent(&mut self, request: &WatchRequest, now: Time) {
        let address = request.gateway.as_ref().map(|report| &report.address);
        if let Some(entry) = address.and_then(|address| self.entries.get_mut(address)) {
            entry.responded_at = now;
        }
    }

    /// Changes after those that a requester has seen; `None` if there are none. Changes after the
    /// published count are contained, and sent again with the next one.
    pub(crate) fn update_since(&self, term: Term, seen: (Term, u64)) -> Option<GatewayListUpdate> {
        let count = (term, self.published);
        if seen == count {
            return None;
        }
        let is_full = seen.0 != term || seen.1 < self.forgotten_to || seen.1 > self.count;
        let since = if is_full { 0 } else { seen.1 };
        let changed = self.entries.values().filter(|entry| is_full || entry.changed_at > since);
        let changed = changed.map(|entry| entry.report.clone()).collect();
        let is_gone = |address: &String| !self.entries.contains_key(address);
        let removed = self.removals.iter().filter(|(count, _)| !is_full && *count > since);
        let removed =
            removed.map(|(_, address)| address).filter(|address| is_gone(address)).cloned();
        Some(GatewayListUpdate { count, is_full, changed, removed: removed.collect() })
    }
}
