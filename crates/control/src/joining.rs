//! Finds members to ask when this process is outside the group.
//!
//! Seeds may be down or replaced, so further addresses are used: former fellow members, senders of
//! messages to this address, and addresses that any of these report.

use crate::protocol::{JoinResponse, Response};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use topazmount_consensus::MemberInfo;
use topazmount_types::Time;

/// Interval between two requests to the same address.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an address without a response is asked again; longer than a connection over the
/// slowest link takes (`GREETING_TIMEOUT`).
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which a reported address is used; longer than the replacement of a member takes, after
/// which the machine may be another's.
const ADDRESS_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of known addresses besides the seeds.
const MAX_KNOWN_ADDRESSES: usize = 32;
/// Time for which calls are passed on to the last reported leader: a few rounds of requests.
const LEADER_RETENTION: Duration = Duration::from_secs(2);

/// A request that was sent.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    at: Time,
    is_responded: bool,
}

impl SentRequest {
    fn retry_at(self) -> Time {
        self.at + if self.is_responded { REQUEST_INTERVAL } else { RESPONSE_TIMEOUT }
    }
}

/// What a process outside the group knows of it.
#[derive(Debug, Default)]
pub(crate) struct Joining {
    /// Addresses from the settings.
    seeds: Vec<String>,
    /// Reported addresses, and when each was last reported.
    known: BTreeMap<String, Time>,
    sent: BTreeMap<String, SentRequest>,
    /// The last reported leader.
    leader: Option<(MemberInfo, Time)>,
    next_at: Option<Time>,
}

impl Joining {
    pub(crate) fn new(seeds: Vec<String>) -> Self {
        Joining { seeds, ..Joining::default() }
    }

    pub(crate) fn seeds(&self) -> &[String] {
        &self.seeds
    }

    /// Replaces the seeds.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// Records an address at which a member may be.
    pub(crate) fn record_address(&mut self, now: Time, address: &str) {
        if let Some(at) = self.known.get_mut(address) {
            *at = now;
            return;
        }
        self.known.retain(|_, at| now < *at + ADDRESS_RETENTION);
        if self.known.len() < MAX_KNOWN_ADDRESSES {
            self.known.insert(address.to_owned(), now);
        }
    }

    /// All addresses at which a member may be, including `members`.
    pub(crate) fn addresses(&self, now: Time, members: Vec<String>) -> BTreeSet<String> {
        let known = self.known.iter().filter(|(_, at)| now < **at + ADDRESS_RETENTION);
        let known = known.map(|(address, _)| address);
        self.seeds.iter().chain(known).cloned().chain(members).collect()
    }

    /// Takes the addresses to ask now.
    pub(crate) fn take_due_addresses(
        &mut self,
        now: Time,
        own: &str,
        members: Vec<String>,
    ) -> Vec<String> {
        let mut all = self.addresses(now, members);
        all.remove(own);
        self.sent.retain(|address, _| all.contains(address));
        let is_due =
            |address: &String| self.sent.get(address).is_none_or(|sent| now >= sent.retry_at());
        let due: Vec<String> = all.into_iter().filter(is_due).collect();
        for address in &due {
            self.sent.insert(address.clone(), SentRequest { at: now, is_responded: false });
        }
        self.next_at = self.sent.values().map(|sent| sent.retry_at()).min();
        due
    }

    /// When an address is due next; `None` before the first request.
    pub(crate) fn next_at(&self) -> Option<Time> {
        self.next_at
    }

    /// Records a member's response, or `None` if there was none.
    pub(crate) fn on_response(&mut self, now: Time, from: &str, response: Option<&Response>) {
        if let Some(sent) = self.sent.get_mut(from) {
            sent.is_responded = response.is_some();
        }
        match response {
            Some(Response::Joining(JoinResponse::Redirect { leader, members })) => {
                for address in members {
                    self.record_address(now, address);
                }
                self.record_leader(now, leader.as_ref());
            }
            // Sent by older builds.
            Some(Response::NotLeader(leader)) => self.record_leader(now, leader.as_ref()),
            Some(Response::Joining(_)) => {
                let leader = MemberInfo { name: from.to_owned(), address: from.to_owned() };
                self.record_leader(now, Some(&leader));
            }
            Some(_) | None => {}
        }
    }

    fn record_leader(&mut self, now: Time, leader: Option<&MemberInfo>) {
        if let Some(leader) = leader {
            self.record_address(now, &leader.address);
            self.leader = Some((leader.clone(), now));
        }
    }

    /// The leader, if reported recently.
    pub(crate) fn leader(&self, now: Time) -> Option<&MemberInfo> {
        self.leader
            .as_ref()
            .filter(|(_, at)| now < *at + LEADER_RETENTION)
            .map(|(leader, _)| leader)
    }

    /// Ends the search; this process is a member.
    pub(crate) fn stop(&mut self) {
        self.sent.clear();
        self.known.clear();
        self.leader = None;
        self.next_at = None;
    }
}
