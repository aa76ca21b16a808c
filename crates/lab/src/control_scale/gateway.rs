//! A gateway that keeps only what decides which requests it sends, and when it can serve.

use super::machine::Serial;
use std::collections::HashMap;
use std::time::Duration;
use topazmount_control::{CrashReport, FleetView, GatewayReport, SeenVersions, WatchRequest};
use topazmount_types::Time;

/// How long a member may hold a response; as in `topazmount`'s watcher, like the times below.
const HOLD_TIME: Duration = Duration::from_millis(400);
/// Time after which a request has failed.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(750);
/// Time for which a member that failed is not asked.
const AVOID_TIME: Duration = Duration::from_millis(1_500);
/// Delay after a failure.
pub const RETRY_DELAY: Duration = Duration::from_millis(120);

/// One gateway.
#[derive(Default)]
pub struct Gateway {
    number: usize,
    /// Whether the process runs, and how often it was started.
    pub is_up: bool,
    /// Number of process starts; responses to an earlier process are lost.
    pub run: u64,
    /// Number of the newest request.
    pub request: u64,
    /// The member that the newest request went to, while it waits.
    pub waits_for: Option<usize>,
    seen: SeenVersions,
    leader: Option<usize>,
    members: Vec<usize>,
    avoided: HashMap<usize, Time>,
    position: usize,
    is_behind: bool,
    /// When it could first serve since its start.
    pub served_at: Option<Time>,
    /// When it first had the whole list since its start.
    pub complete_at: Option<Time>,
    /// Its processor.
    pub processor: Serial,
    /// Its link.
    pub link: Serial,
    /// Bytes that it received.
    pub bytes: u64,
    /// Largest response that it held beside its state, in bytes.
    pub largest_response: usize,
}

impl Gateway {
    /// A gateway that has not started.
    pub fn new(number: usize) -> Self {
        Gateway { number, position: number, ..Gateway::default() }
    }

    /// Starts the process, which knows some members.
    pub fn start(&mut self, seeds: Vec<usize>) {
        let (run, processor, link, bytes) = (self.run + 1, self.processor, self.link, self.bytes);
        let request = self.request + 1;
        *self = Gateway {
            is_up: true,
            run,
            request,
            members: seeds,
            processor,
            link,
            bytes,
            largest_response: self.largest_response,
            ..Gateway::new(self.number)
        };
    }

    /// The next request and the member that it goes to.
    pub fn next_request(&mut self, now: Time) -> (usize, WatchRequest) {
        let target = self.next_target(now);
        self.request += 1;
        self.waits_for = Some(target);
        let number = self.number;
        let report = GatewayReport {
            address: format!("10.{}.{}.{}:7300", number / 62_500, number / 250 % 250, number % 250),
            zone: format!("zone-{}", number % 5),
            region: "region".to_owned(),
            is_ready: self.served_at.is_some(),
            is_legacy: false,
        };
        let request = WatchRequest {
            gateway: Some(report),
            seen: self.seen,
            accepts_packed: true,
            wants_gateways: true,
            wait: HOLD_TIME,
            crashes: CrashReport::default(),
            notices: Vec::new(),
        };
        (target, request)
    }

    fn next_target(&mut self, now: Time) -> usize {
        self.avoided.retain(|_, until| now < *until);
        if let Some(leader) = self.leader.take().filter(|member| !self.avoided.contains_key(member))
        {
            return leader;
        }
        let is_available = |member: &&usize| !self.avoided.contains_key(member);
        let available: Vec<usize> = self.members.iter().filter(is_available).copied().collect();
        let targets = if available.is_empty() { &self.members } else { &available };
        self.position += 1;
        targets[self.position % targets.len()]
    }

    /// Records that a member did not respond, or has no current state.
    pub fn on_failure(&mut self, member: usize, now: Time) {
        self.waits_for = None;
        self.seen.notices = Default::default();
        self.avoided.insert(member, now + AVOID_TIME);
    }

    /// Applies a view. Returns whether its sender has current state.
    pub fn on_view(
        &mut self,
        view: &FleetView,
        member: usize,
        now: Time,
        member_of: impl Fn(&str) -> Option<usize>,
    ) -> bool {
        self.waits_for = None;
        let is_leased = view.is_leased();
        if view.revision > self.seen.revision {
            if self.is_behind && view.statuses.is_none() {
                self.seen.statuses = Default::default();
            }
            self.is_behind = view.has_more;
            self.seen.revision = view.revision;
        }
        if view.packed.document.is_some() {
            self.seen.document = 1;
        }
        if let Some((count, _)) = &view.statuses {
            self.seen.statuses = *count;
        }
        if let Some(update) = view.gateways.as_ref().filter(|_| is_leased) {
            self.seen.gateways = update.count;
        }
        if let Some((blocked, _)) = &view.blocked {
            self.seen.blocked = *blocked;
        }
        match &view.notices {
            Some((count, _)) if is_leased => self.seen.notices = *count,
            _ if !is_leased => self.seen.notices = Default::default(),
            _ => {}
        }
        let is_current = view.staleness.is_some();
        if is_current {
            self.members = view.members.iter().filter_map(|address| member_of(address)).collect();
        }
        let leader = view.leader.as_deref().and_then(member_of);
        let next = if is_current { leader.or(Some(member)) } else { leader };
        self.leader = if is_current && view.has_more { Some(member) } else { next };
        if is_current && self.seen.document > 0 && self.seen.revision > 0 {
            self.served_at.get_or_insert(now);
            if !self.is_behind {
                self.complete_at.get_or_insert(now);
            }
        }
        is_current
    }
}
