//! Configuration revisions: compare-and-set, resends and deltas.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use topazmount_settings::{FileDelta, SourceFiles};
use topazmount_types::{Digest, Revision, Time};

/// Changes whose deltas are kept for nodes that lag.
const MAX_KEPT_CHANGES: usize = 512;

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Change {
    revision: Revision,
    request: Digest,
    at: Time,
    digest: Digest,
    deltas: Vec<FileDelta>,
}

/// One row of the history that operators read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRow {
    /// Revision.
    pub revision: Revision,
    /// When the control group accepted it.
    pub at: Time,
    /// Names of the changed files.
    pub files: Vec<String>,
}

/// Update for a node with an older revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationUpdate {
    /// The node is up to date.
    Current,
    /// Deltas to apply in order.
    Deltas {
        /// Revision after them.
        to: Revision,
        /// Deltas.
        deltas: Vec<FileDelta>,
        /// Digest of the texts after them.
        digest: Digest,
    },
    /// The full configuration.
    Full {
        /// Revision.
        revision: Revision,
        /// Texts.
        source: SourceFiles,
    },
}

/// Configuration texts and recent changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    revision: Revision,
    source: SourceFiles,
    changes: VecDeque<Change>,
}

impl Configuration {
    /// Configuration of a new group.
    pub fn founding(source: SourceFiles) -> Self {
        Configuration { revision: Revision(1), source, changes: VecDeque::new() }
    }

    /// Newest revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Newest texts.
    pub fn source(&self) -> &SourceFiles {
        &self.source
    }

    /// Deltas to put in the log for a change whose author saw `expected`. Empty for another
    /// revision than the newest, since such a change is a resend or a conflict.
    pub fn deltas_for(&self, expected: Revision, next: &SourceFiles) -> Vec<FileDelta> {
        if expected == self.revision { self.source.deltas_to(next) } else { Vec::new() }
    }

    /// Applies a change whose author saw `expected`; a resend of an accepted request gets the first
    /// result.
    ///
    /// # Errors
    /// The newest revision, when it is not the expected one.
    pub fn apply(
        &mut self,
        at: Time,
        expected: Revision,
        request: Digest,
        deltas: Vec<FileDelta>,
    ) -> Result<Revision, Revision> {
        if let Some(earlier) = self.changes.iter().find(|change| change.request == request) {
            return Ok(earlier.revision);
        }
        if expected != self.revision {
            return Err(self.revision);
        }
        let mut next = self.source.clone();
        // The deltas were made from the texts of the expected revision.
        if next.apply(&deltas).is_err() {
            return Err(self.revision);
        }
        let revision = Revision(self.revision.0 + 1);
        let digest = next.digest();
        self.changes.push_back(Change { revision, request, at, digest, deltas });
        if self.changes.len() > MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
        self.revision = revision;
        self.source = next;
        Ok(revision)
    }

    /// The update for a node at revision `have`.
    pub fn update_since(&self, have: Revision) -> ConfigurationUpdate {
        if have >= self.revision {
            return ConfigurationUpdate::Current;
        }
        let next = Revision(have.0 + 1);
        let first_kept = self.changes.front().map(|change| change.revision);
        let newest = self.changes.back();
        match (first_kept, newest) {
            (Some(first), Some(newest)) if first <= next && have.0 > 0 => {
                let missing = self.changes.iter().filter(|change| change.revision > have);
                ConfigurationUpdate::Deltas {
                    to: self.revision,
                    deltas: missing.flat_map(|change| change.deltas.clone()).collect(),
                    digest: newest.digest,
                }
            }
            _ => ConfigurationUpdate::Full { revision: self.revision, source: self.source.clone() },
        }
    }

    /// Accepted changes, newest first.
    pub fn history(&self) -> Vec<HistoryRow> {
        let row = |change: &Change| HistoryRow {
            revision: change.revision,
            at: change.at,
            files: change.deltas.iter().map(|delta| delta.name.clone()).collect(),
        };
        self.changes.iter().rev().map(row).collect()
    }
}
