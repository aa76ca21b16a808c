//! What the holder of the roll-out believes of the weights at one incarnation of a replica, and how word changes it.
//!
//! Nothing here outlives the incarnation: a later start begins with nothing. Within one, a heartbeat may be seconds old
//! and only raises a version; one that is the newest by its number and says an older version makes the holder ask, and
//! what the replica reports then is believed, also if it is older. Where the highest version ever heard under an identifier was kept
//! instead, four of 12 replicas that started again with older weights kept these for good, and 116 requests began on them
//! in 14 s (a play of three members and four gateways as processes).

use super::events::{RecordChange, ReportSource, WeightsEvent};
use super::protocol::LoadedModel;
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_types::{Start, Time};

/// Age up to which a report may miss what happened at its replica.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(1_300);
/// Pause between the first two questions to a replica that said an older version; it doubles with each one.
const DOUBT_PAUSE: Duration = Duration::from_millis(600);
/// How often it doubles at most.
const MOST_DOUBLINGS: u32 = 3;

/// Who says something of a replica's weights.
#[derive(Clone, Copy, Debug)]
pub(super) struct Word<'a> {
    pub(super) instance: &'a str,
    pub(super) start: Start,
    /// Number of the heartbeat, or of the orders that the report counts.
    pub(super) count: u64,
    pub(super) source: ReportSource,
}

/// Weights at one incarnation.
#[derive(Clone, Debug, Default)]
pub(super) struct Belief {
    start: Start,
    /// Highest number of a heartbeat.
    count: u64,
    models: Vec<LoadedModel>,
    /// When a version changed last.
    changed_at: Time,
    correction: (Term, u32),
    /// When to ask about a version that is said to be older.
    ask_at: Option<Time>,
    /// Questions about it so far.
    asked: u32,
}

impl Belief {
    pub(super) fn new(start: Start) -> Self {
        Belief { start, ..Belief::default() }
    }

    pub(super) fn start(&self) -> Start {
        self.start
    }

    pub(super) fn models(&self) -> &[LoadedModel] {
        &self.models
    }

    /// When a version was last taken back: the term, and how often in it.
    pub(super) fn correction(&self) -> (Term, u32) {
        self.correction
    }

    pub(super) fn version(&self, model: &str) -> Option<u32> {
        self.models.iter().find(|one| one.model == model).map(|one| one.version)
    }

    /// Whether a heartbeat is older than one that was heard. Numbers begin anew with each start, so that they order nothing
    /// where none is said.
    fn is_late(&self, count: u64) -> bool {
        self.start != Start::UNKNOWN && count > 0 && count < self.count
    }

    /// Takes a heartbeat of this incarnation. Returns what differed from what was known.
    pub(super) fn heard(
        &mut self,
        now: Time,
        word: Word<'_>,
        models: &[LoadedModel],
    ) -> Vec<WeightsEvent> {
        if self.is_late(word.count) {
            return Vec::new();
        }
        self.count = self.count.max(word.count);
        let events = self.take(now, word, models, |_| false);
        let is_doubtful = events.iter().any(|event| event.change == RecordChange::Kept);
        match is_doubtful {
            true => drop(self.ask_at.get_or_insert(now)),
            false if word.source == ReportSource::Heartbeat => self.settle(),
            false => {}
        }
        events
    }

    /// Takes a report of this incarnation that was asked for, in a term of this holder.
    pub(super) fn reported(
        &mut self,
        now: Time,
        term: Term,
        word: Word<'_>,
        models: &[LoadedModel],
    ) -> Vec<WeightsEvent> {
        // A report lags: what was loaded lately may not show yet.
        let is_current = now >= self.changed_at + REPORT_LAG;
        let events = self.take(now, word, models, |_| is_current);
        let is_doubtful = events.iter().any(|event| event.change == RecordChange::Kept);
        // A report that only lags is no reason to ask, nor to ask on.
        if !is_doubtful {
            self.settle();
        }
        if events.iter().any(|event| event.change == RecordChange::Reverted) {
            let (known, times) = self.correction;
            self.correction = (term, if known == term { times + 1 } else { 1 });
        }
        events
    }

    /// Takes versions that are higher than what is known, and lower ones where `believes` says so.
    fn take(
        &mut self,
        now: Time,
        word: Word<'_>,
        models: &[LoadedModel],
        believes: impl Fn(&LoadedModel) -> bool,
    ) -> Vec<WeightsEvent> {
        let mut events = Vec::new();
        for said in models {
            let before = self.version(&said.model);
            let change = match before {
                Some(version) if version == said.version => continue,
                Some(version) if version < said.version => RecordChange::Updated,
                Some(_) if believes(said) => RecordChange::Reverted,
                Some(_) => RecordChange::Kept,
                None => RecordChange::Updated,
            };
            if change != RecordChange::Kept {
                self.set(said);
                self.changed_at = now;
            }
            events.push(word.event(said, before, change));
        }
        events
    }

    fn set(&mut self, said: &LoadedModel) {
        match self.models.iter_mut().find(|one| one.model == said.model) {
            Some(known) => known.version = said.version,
            None => self.models.push(said.clone()),
        }
    }

    /// Whether the replica should be asked now; if so, that is noted.
    pub(super) fn asks(&mut self, now: Time) -> bool {
        let is_due = self.ask_at.is_some_and(|at| now >= at);
        if is_due {
            self.ask_at = Some(now + DOUBT_PAUSE * 2u32.pow(self.asked.min(MOST_DOUBLINGS)));
            self.asked += 1;
        }
        is_due
    }

    fn settle(&mut self) {
        self.ask_at = None;
        self.asked = 0;
    }
}

impl Word<'_> {
    fn event(self, said: &LoadedModel, before: Option<u32>, change: RecordChange) -> WeightsEvent {
        WeightsEvent {
            instance: self.instance.to_owned(),
            start: self.start,
            sequence: self.count,
            source: self.source,
            model: said.model.clone(),
            before,
            reported: said.version,
            change,
        }
    }
}
