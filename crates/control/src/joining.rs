//! Whom a process that is outside the group asks to take it in.
//!
//! The seeds of its settings may be down, cut off or replaced, so they are one source among others: the
//! members that it knew when it was one; whoever sends to its address (the group goes on sending to a
//! member whose disk was lost, under the lost identity); and whoever any of these names.

use crate::protocol::{JoinResponse, Response};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use topazmount_consensus::MemberInfo;
use topazmount_types::Time;

/// Pause between two requests to the same address.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an address that has not answered is asked again; longer than a connection on the
/// slowest link may take (`GREETING_TIMEOUT` of the shell).
const ANSWER_LIMIT: Duration = Duration::from_millis(1_200);
/// Time for which an address that was heard from or named is asked. Longer than it takes to replace a
/// member; after that the machine may be another's.
const KNOWN_FOR: Duration = Duration::from_secs(60);
/// Addresses that are known at a time beside the seeds; more than any group has members.
const MOST_KNOWN: usize = 32;
/// Time for which calls are passed on to the leader that was named last: a few rounds of requests.
const LEADER_FOR: Duration = Duration::from_secs(2);

/// A request that was sent.
#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Time,
    is_answered: bool,
}

impl Asked {
    fn again_at(self) -> Time {
        self.at + if self.is_answered { ASK_INTERVAL } else { ANSWER_LIMIT }
    }
}

/// What a process knows of the group that it is outside of.
#[derive(Debug, Default)]
pub(crate) struct Joining {
    /// Addresses from the settings.
    seeds: Vec<String>,
    /// Addresses that were heard from or named, and when last.
    known: BTreeMap<String, Time>,
    asked: BTreeMap<String, Asked>,
    /// The leader that was named last.
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

    /// Takes the seeds of changed settings.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// Notes an address at which a member may be.
    pub(crate) fn note(&mut self, now: Time, address: &str) {
        if let Some(at) = self.known.get_mut(address) {
            *at = now;
            return;
        }
        self.known.retain(|_, at| now < *at + KNOWN_FOR);
        if self.known.len() < MOST_KNOWN {
            self.known.insert(address.to_owned(), now);
        }
    }

    /// All addresses at which a member may be, those in `members` among them.
    pub(crate) fn addresses(&self, now: Time, members: Vec<String>) -> BTreeSet<String> {
        let known = self.known.iter().filter(|(_, at)| now < **at + KNOWN_FOR);
        let known = known.map(|(address, _)| address);
        self.seeds.iter().chain(known).cloned().chain(members).collect()
    }

    /// The addresses to ask now.
    pub(crate) fn due(&mut self, now: Time, own: &str, members: Vec<String>) -> Vec<String> {
        let mut all = self.addresses(now, members);
        all.remove(own);
        self.asked.retain(|address, _| all.contains(address));
        let is_due =
            |address: &String| self.asked.get(address).is_none_or(|asked| now >= asked.again_at());
        let due: Vec<String> = all.into_iter().filter(is_due).collect();
        for address in &due {
            self.asked.insert(address.clone(), Asked { at: now, is_answered: false });
        }
        self.next_at = self.asked.values().map(|asked| asked.again_at()).min();
        due
    }

    /// When an address is due next; `None` before the first request.
    pub(crate) fn next_at(&self) -> Option<Time> {
        self.next_at
    }

    /// Takes what a member said, or `None` where no answer came.
    pub(crate) fn answered(&mut self, now: Time, from: &str, answer: Option<&Response>) {
        if let Some(asked) = self.asked.get_mut(from) {
            asked.is_answered = answer.is_some();
        }
        match answer {
            Some(Response::Joining(JoinResponse::Redirect { leader, members })) => {
                for address in members {
                    self.note(now, address);
                }
                self.note_leader(now, leader.as_ref());
            }
            // From a member of an older version.
            Some(Response::NotLeader(leader)) => self.note_leader(now, leader.as_ref()),
            Some(Response::Joining(_)) => {
                let leader = MemberInfo { name: from.to_owned(), address: from.to_owned() };
                self.note_leader(now, Some(&leader));
            }
            Some(_) | None => {}
        }
    }

    fn note_leader(&mut self, now: Time, leader: Option<&MemberInfo>) {
        if let Some(leader) = leader {
            self.note(now, &leader.address);
            self.leader = Some((leader.clone(), now));
        }
    }

    /// The leader that was named lately.
    pub(crate) fn leader(&self, now: Time) -> Option<&MemberInfo> {
        self.leader.as_ref().filter(|(_, at)| now < *at + LEADER_FOR).map(|(leader, _)| leader)
    }

    /// Ends the search: this process takes part.
    pub(crate) fn end(&mut self) {
        self.asked.clear();
        self.known.clear();
        self.leader = None;
        self.next_at = None;
    }
}
