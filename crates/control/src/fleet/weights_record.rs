//! The leader's record of the weights at one incarnation of a replica.
//!
//! Heartbeats may be delayed, so they only raise versions. If the newest heartbeat reports an older
//! version, the leader queries the replica, and the response is recorded even if it is older. Where
//! the highest version ever reported under an identifier was kept, four of 12 replicas that
//! restarted with older weights kept these for good, and 116 requests began on them in 14 s.

use super::events::{RecordChange, ReportSource, WeightsEvent};
use super::protocol::LoadedModel;
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_types::{Start, Time};

/// Maximum age of the state in a report.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(1_300);
/// Delay between the first two queries after an older version was reported; doubled with each
/// query.
const INITIAL_QUERY_INTERVAL: Duration = Duration::from_millis(600);
/// Maximum number of doublings.
const MAX_INTERVAL_DOUBLINGS: u32 = 3;

/// Origin of a weights report.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportContext<'a> {
    pub(super) instance: &'a str,
    pub(super) start: Start,
    /// Number of the heartbeat, or of orders taken.
    pub(super) sequence: u64,
    pub(super) source: ReportSource,
}

/// Weights at one incarnation.
#[derive(Clone, Debug, Default)]
pub(super) struct WeightsRecord {
    start: Start,
    /// Highest heartbeat sequence seen.
    sequence: u64,
    models: Vec<LoadedModel>,
    /// When a version last changed.
    changed_at: Time,
    correction: (Term, u32),
    /// When to query the replica about an older version.
    query_at: Option<Time>,
    /// Queries sent about it so far.
    query_count: u32,
}

impl WeightsRecord {
    pub(super) fn new(start: Start) -> Self {
        WeightsRecord { start, ..WeightsRecord::default() }
    }

    pub(super) fn start(&self) -> Start {
        self.start
    }

    pub(super) fn models(&self) -> &[LoadedModel] {
        &self.models
    }

    /// Term of the last reverted version, and number of reverts in that term.
    pub(super) fn correction(&self) -> (Term, u32) {
        self.correction
    }

    pub(super) fn version(&self, model: &str) -> Option<u32> {
        self.models.iter().find(|loaded| loaded.model == model).map(|loaded| loaded.version)
    }

    /// Whether a newer heartbeat was already recorded. Sequences restart with each incarnation, so
    /// they are compared only if the start is specified.
    fn is_out_of_order(&self, sequence: u64) -> bool {
        self.start != Start::UNKNOWN && sequence > 0 && sequence < self.sequence
    }

    /// Records an unconfirmed report of this incarnation; versions are only raised. Returns the
    /// differences.
    pub(super) fn record_unconfirmed(
        &mut self,
        now: Time,
        context: ReportContext<'_>,
        models: &[LoadedModel],
    ) -> Vec<WeightsEvent> {
        if self.is_out_of_order(context.sequence) {
            return Vec::new();
        }
        self.sequence = self.sequence.max(context.sequence);
        let events = self.apply(now, context, models, |_| false);
        let has_older_version = events.iter().any(|event| event.change == RecordChange::Kept);
        match has_older_version {
            true => drop(self.query_at.get_or_insert(now)),
            false if context.source == ReportSource::Heartbeat => self.cancel_queries(),
            false => {}
        }
        events
    }

    /// Records the response to a query in a term of this leader; versions may be lowered.
    pub(super) fn record_query(
        &mut self,
        now: Time,
        term: Term,
        context: ReportContext<'_>,
        models: &[LoadedModel],
    ) -> Vec<WeightsEvent> {
        // The report may predate a recent load.
        let is_current = now >= self.changed_at + REPORT_LAG;
        let events = self.apply(now, context, models, |_| is_current);
        let has_older_version = events.iter().any(|event| event.change == RecordChange::Kept);
        // A report that merely lags needs no further query.
        if !has_older_version {
            self.cancel_queries();
        }
        if events.iter().any(|event| event.change == RecordChange::Reverted) {
            let (last_term, times) = self.correction;
            self.correction = (term, if last_term == term { times + 1 } else { 1 });
        }
        events
    }

    /// Records higher versions, and lower ones for which `accepts_older` is true.
    fn apply(
        &mut self,
        now: Time,
        context: ReportContext<'_>,
        models: &[LoadedModel],
        accepts_older: impl Fn(&LoadedModel) -> bool,
    ) -> Vec<WeightsEvent> {
        let mut events = Vec::new();
        for reported in models {
            let before = self.version(&reported.model);
            let change = match before {
                Some(version) if version == reported.version => continue,
                Some(version) if version < reported.version => RecordChange::Updated,
                Some(_) if accepts_older(reported) => RecordChange::Reverted,
                Some(_) => RecordChange::Kept,
                None => RecordChange::Updated,
            };
            if change != RecordChange::Kept {
                self.set(reported);
                self.changed_at = now;
            }
            events.push(context.event(reported, before, change));
        }
        events
    }

    fn set(&mut self, reported: &LoadedModel) {
        match self.models.iter_mut().find(|loaded| loaded.model == reported.model) {
            Some(known) => known.version = reported.version,
            None => self.models.push(reported.clone()),
        }
    }

    /// Whether a query is due; if so, schedules the next one.
    pub(super) fn take_due_query(&mut self, now: Time) -> bool {
        let is_due = self.query_at.is_some_and(|at| now >= at);
        if is_due {
            self.query_at = Some(
                now + INITIAL_QUERY_INTERVAL
                    * 2u32.pow(self.query_count.min(MAX_INTERVAL_DOUBLINGS)),
            );
            self.query_count += 1;
        }
        is_due
    }

    fn cancel_queries(&mut self) {
        self.query_at = None;
        self.query_count = 0;
    }
}

impl ReportContext<'_> {
    fn event(
        self,
        reported: &LoadedModel,
        before: Option<u32>,
        change: RecordChange,
    ) -> WeightsEvent {
        WeightsEvent {
            instance: self.instance.to_owned(),
            start: self.start,
            sequence: self.sequence,
            source: self.source,
            model: reported.model.clone(),
            before,
            reported: reported.version,
            change,
        }
    }
}
