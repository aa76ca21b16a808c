//! Exchanges with the leader what replicas asked of all their callers.

use super::GatewayState;
use std::collections::HashMap;
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_control::{FleetView, NoticeKind, NoticeSubject, ReplicaNotice};
use topazmount_types::Time;

/// Time after its first view for which a starting gateway waits for one of the leader. Only the
/// leader's notices are complete, but a gateway must serve without a leader too.
const LEADER_VIEW_TIMEOUT: Duration = Duration::from_millis(500);

/// The leader's list of notices as last received, and whether any was received.
#[derive(Debug, Default)]
pub(super) struct LeaderNotices {
    by_subject: HashMap<(String, NoticeSubject), Known>,
    has_leader_view: bool,
    /// When a view arrived that named a leader but did not come from it.
    leader_named_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    kind: NoticeKind,
    received_at: Time,
}

impl LeaderNotices {
    /// Whether the leader's list lacks a notice.
    fn lacks(&self, notice: &ReplicaNotice, now: Time) -> bool {
        let key = (notice.incarnation.clone(), notice.kind.subject());
        self.by_subject
            .get(&key)
            .is_none_or(|known| known.kind != notice.kind && known.received_at < now - notice.age)
    }

    /// Whether requests may be served: the leader's notices are known, or no view of the leader is
    /// to be expected.
    pub(super) fn are_settled(&self, now: Time) -> bool {
        self.has_leader_view
            || self.leader_named_at.is_none_or(|at| now >= at + LEADER_VIEW_TIMEOUT)
    }
}

impl GatewayState {
    /// Notices that the leader's list lacks, for the next request to the control group.
    pub fn notices_to_report(&self, now: Time) -> Vec<ReplicaNotice> {
        let mut notices = self.balancer.notices(now);
        notices.retain(|notice| self.leader_notices.lacks(notice, now));
        notices
    }

    /// Applies the notices of a view, after its replicas. Returns those that are news to this gateway.
    pub fn apply_notices(&mut self, view: &FleetView, now: Time) -> Vec<ReplicaNotice> {
        let is_from_leader = view.is_leased();
        self.leader_notices.has_leader_view |= is_from_leader;
        if view.leader.is_some() {
            self.leader_notices.leader_named_at.get_or_insert(now);
        }
        if !is_from_leader {
            self.forget_leader_notices();
        }
        let Some((count, notices)) = view.notices.as_ref() else { return Vec::new() };
        if is_from_leader {
            self.set_leader_notices(*count, notices, now);
        }
        let mut news = notices.clone();
        news.retain(|notice| self.balancer.apply_notice(notice, now));
        news
    }

    /// Makes all notices be reported and requested again, as the next leader may lack what this one had.
    pub fn forget_leader_notices(&mut self) {
        self.leader_notices.by_subject.clear();
        self.seen.notices = Default::default();
    }

    fn set_leader_notices(&mut self, count: (Term, u64), notices: &[ReplicaNotice], now: Time) {
        self.seen.notices = count;
        self.leader_notices.by_subject.clear();
        for notice in notices {
            let key = (notice.incarnation.clone(), notice.kind.subject());
            let known = Known { kind: notice.kind, received_at: now - notice.age };
            self.leader_notices.by_subject.insert(key, known);
        }
    }
}
