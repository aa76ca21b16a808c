//! Whether this gateway's links to replicas work.
//!
//! A failed connection says little: the replica may be down, or this gateway may be cut off from
//! all replicas while clients and other gateways reach it. New connections to other replicas tell
//! the two apart. Data on open connections does not, as these may outlive a partition that refuses
//! new ones.

use crate::balancer::Choice;
use std::time::Duration;
use topazmount_types::Time;

/// Time for which a new connection that worked shows that the links work.
const EVIDENCE_TIME: Duration = Duration::from_millis(200);
/// Time for which no tunnel is looked for after none was found.
pub const ISOLATED_TIME: Duration = Duration::from_millis(300);

/// Maximum number of replicas whose failures are withheld.
const MAX_WITHHELD: usize = 64;

/// What is known of the links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// No connection has failed, or another one worked since.
    #[default]
    Working,
    /// A connection failed, and no new one has worked since shortly before.
    InDoubt,
    /// Connections to several replicas failed since the links came into doubt, and none worked.
    Partitioned,
}

impl LinkState {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            LinkState::Working => "working",
            LinkState::InDoubt => "in_doubt",
            LinkState::Partitioned => "partitioned",
        }
    }
}

/// State of one gateway's links to all replicas. Invariant: the links count as working only if a
/// connection that was opened after the last failure that put them in doubt worked.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaLinks {
    state: LinkState,
    /// When the last connection that worked was opened.
    connected_at: Time,
    /// When data last arrived on any connection.
    data_at: Time,
    /// When the connections began whose failure put the links in doubt or showed a partition.
    failing_since: Time,
    partitioned_since: Time,
    isolated_until: Time,
}

/// Failures of replicas while the links are in doubt. They count once the links turn out to work, and
/// say nothing if they don't.
#[derive(Clone, Debug, Default)]
pub struct WithheldFailures(Vec<Choice>);

impl WithheldFailures {
    /// Withholds the failure of a chosen replica. Beyond the maximum, further ones are dropped.
    pub fn add(&mut self, choice: &Choice) {
        let is_known = |known: &Choice| known.instance.id == choice.instance.id;
        if self.0.len() < MAX_WITHHELD && !self.0.iter().any(is_known) {
            self.0.push(choice.clone());
        }
    }

    /// Removes and returns them, each replica once.
    pub fn take(&mut self) -> Vec<Choice> {
        std::mem::take(&mut self.0)
    }
}

impl ReplicaLinks {
    /// The current state.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Whether requests must reach replicas through other gateways.
    pub fn is_partitioned(&self) -> bool {
        self.state == LinkState::Partitioned
    }

    /// Records that a connection to a replica that was opened at `opened_at` worked. Returns for how
    /// long the links were partitioned, if they were.
    pub fn on_connected(&mut self, opened_at: Time, now: Time) -> Option<Duration> {
        self.connected_at = self.connected_at.max(opened_at);
        if opened_at < self.failing_since {
            return None;
        }
        self.isolated_until = Time::ZERO;
        let before = std::mem::take(&mut self.state);
        (before == LinkState::Partitioned).then(|| now.since(self.partitioned_since))
    }

    /// Records that data arrived from a replica.
    pub fn on_data(&mut self, now: Time) {
        self.data_at = self.data_at.max(now);
    }

    /// Records that a connection that was opened at `began` failed. Returns whether the links are in
    /// doubt, so that the failure says nothing about the replica.
    pub fn on_failure(&mut self, began: Time) -> bool {
        self.doubt_unless(self.connected_at + EVIDENCE_TIME > began, began)
    }

    /// Records that a replica sent nothing since `sent_at` on a connection that came up. Returns
    /// whether the links are in doubt.
    pub fn on_silence(&mut self, sent_at: Time) -> bool {
        self.doubt_unless(self.connected_at.max(self.data_at) >= sent_at, sent_at)
    }

    fn doubt_unless(&mut self, has_evidence: bool, began: Time) -> bool {
        if has_evidence && self.state != LinkState::Partitioned {
            return false;
        }
        if self.state == LinkState::Working {
            self.state = LinkState::InDoubt;
            self.failing_since = began;
        }
        true
    }

    /// Whether a new connection has worked since a time.
    pub fn have_worked_since(&self, at: Time) -> bool {
        self.connected_at >= at
    }

    /// Records that new connections to several replicas were tried from `began` on, and none worked.
    /// Returns whether the links count as partitioned from now on and did not before.
    pub fn on_probes_failed(&mut self, began: Time, now: Time) -> bool {
        if self.have_worked_since(began) || self.is_partitioned() {
            return false;
        }
        self.state = LinkState::Partitioned;
        self.failing_since = began;
        self.partitioned_since = now;
        true
    }

    /// Records that no other gateway could carry a request.
    pub fn on_no_tunnel(&mut self, now: Time) {
        if self.is_partitioned() {
            self.isolated_until = now + ISOLATED_TIME;
        }
    }

    /// Time until another gateway is looked for again; `None` unless neither replicas nor gateways
    /// that reach them can be reached.
    pub fn isolated_for(&self, now: Time) -> Option<Duration> {
        (now < self.isolated_until).then(|| self.isolated_until.since(now))
    }
}
