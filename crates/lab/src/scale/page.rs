//! Rows of docs/CAPACITY.md: slope times size, against the limit.

use crate::scale::summary::Measured;

/// The size of two years from now, by letter 1.
pub struct Target {
    /// Nodes.
    pub nodes: f64,
    /// Replicas.
    pub replicas: f64,
    /// Models.
    pub models: f64,
    /// Tenants.
    pub tenants: f64,
    /// Requests a second.
    pub requests: f64,
    /// Generated tokens a second.
    pub tokens: f64,
    /// Changes of configuration a day.
    pub changes: f64,
    /// Seconds of a day.
    pub day: f64,
}

/// The size of two years from now.
pub const TARGET: Target = Target {
    nodes: 650.0,
    replicas: 3_400.0,
    models: 7.0,
    tenants: 5_200.0,
    requests: 28_000.0,
    tokens: 5_800_000.0,
    changes: 5_100.0,
    day: 86_400.0,
};

/// A figure at that size.
#[derive(Clone, Debug)]
pub struct Row {
    /// Role.
    pub role: &'static str,
    /// What it is.
    pub figure: &'static str,
    /// Value.
    pub value: f64,
    /// Unit.
    pub unit: &'static str,
    /// Limit, where one is given.
    pub limit: Option<f64>,
    /// What carries it.
    pub mechanism: &'static str,
}

impl Row {
    /// As a row of the page's table.
    pub fn markdown(&self) -> String {
        let limit = self.limit.map_or("none given".to_owned(), |limit| format!("{limit}"));
        let margin = self.limit.map_or("".to_owned(), |limit| {
            if self.value <= limit {
                format!("{:.1}x", limit / self.value.max(1e-9))
            } else {
                "MISSED".to_owned()
            }
        });
        format!(
            "| {} | {} | {:.3} | {} | {limit} | {margin} | {} |",
            self.role, self.figure, self.value, self.unit, self.mechanism
        )
    }
}

/// All rows, from measured slopes.
pub fn rows(measured: &Measured) -> Vec<Row> {
    let target = TARGET;
    let requests = target.requests / target.nodes;
    let tokens = target.tokens / target.nodes;
    let change_rate = target.changes / target.day;
    let fetch_rate = 0.5;
    let configure_s = measured.configure_ms.at(measured.target_bytes) / 1_000.0;
    let control_share = configure_s * change_rate + measured.hollow_control_share;
    let fetch_bytes = measured.fetch_bytes * fetch_rate;
    let node_bytes = fetch_bytes + measured.delta_bytes * change_rate;
    let memory = measured.node_memory_replicas.at(target.replicas)
        + measured.node_memory_tenants.slope * target.tenants
        + measured.view_memory.slope * 100_000.0;
    let row = |role, figure, value, unit, limit, mechanism| Row {
        role,
        figure,
        value,
        unit,
        limit,
        mechanism,
    };
    vec![
        row(
            "node",
            "processor for control",
            100.0 * control_share,
            "% of a core",
            Some(2.0),
            "deltas of the configuration; parsed once a change",
        ),
        row(
            "node",
            "processor for deciding",
            100.0 * requests * measured.request_us.at(target.replicas) / 1e6,
            "% of a core",
            None,
            "in-band feedback, home sets; no table of all caches",
        ),
        row(
            "node",
            "processor for relaying",
            100.0 * tokens * measured.token_ns / 1e9,
            "% of a core",
            None,
            "one step of the core a token",
        ),
        row(
            "node",
            "memory",
            memory / 1e6,
            "MB",
            Some(128.0),
            "bounded cache view of two generations; buckets of active tenants",
        ),
        row(
            "node",
            "bytes to and from control",
            node_bytes / 1e3,
            "KB/s",
            Some(12.0),
            "one fetch in 2 s; deltas",
        ),
        row(
            "node",
            "full configuration after a long absence",
            measured.full_bytes / 1e6,
            "MB",
            Some(8.0),
            "kept on the node's disk; deltas of 512 revisions",
        ),
        row(
            "control",
            "processor for fetches, 3 members",
            100.0 * measured.fetch_us.at(target.nodes) / 1e6,
            "% of a core",
            None,
            "any member in contact answers",
        ),
        row(
            "control",
            "processor for changes, 3 members",
            100.0 * change_rate * measured.change_ms.at(measured.target_bytes) / 1e3,
            "% of a core",
            None,
            "replicated log of deltas, one group",
        ),
        row(
            "control",
            "at-most-once calls that one leader carries",
            1e6 / measured.ledger_us,
            "calls/s",
            None,
            "group commit; keys can be partitioned",
        ),
        row(
            "control",
            "ledger memory for a million keys",
            measured.ledger_key_bytes,
            "MB",
            None,
            "results expire; keys are kept 90 days",
        ),
        row(
            "control",
            "bytes between members for changes",
            change_rate * measured.change_peer_bytes / 1e3,
            "KB/s",
            None,
            "deltas in the log",
        ),
        row(
            "control",
            "bytes out for one change to all nodes",
            target.nodes * measured.delta_bytes / 1e6,
            "MB",
            None,
            "deltas",
        ),
        row(
            "control",
            "bytes out for full snapshots to all nodes",
            target.nodes * measured.full_bytes / 1e6,
            "MB",
            None,
            "jittered fetches",
        ),
        row(
            "all",
            "change in force everywhere",
            measured.in_force_s,
            "s",
            Some(8.0),
            "jittered fetch every 1.5 to 2.5 s",
        ),
    ]
}
