//! Ledger of calls that may run at most once.
//!
//! A node may dispatch a call only after its claim on the key was committed here, and dispatches
//! it at most once. Invariant: a key's claim is held by one [`ClaimId`] for as long as the key is
//! kept, unless that holder itself gave it back, having dispatched nothing.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use topazmount_types::{ActionKey, Digest, Incarnation, NodeId, Time};

/// How long a key is kept after its call ended, so that a late resend can't run again.
const KEY_RETENTION: Duration = Duration::from_secs(90 * 24 * 3600);
/// Claims that were given back and are remembered per key, so that a late copy of one is refused.
const REMEMBERED_RELEASES: usize = 8;

/// One node's claim on a key; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// Who claims.
    pub node: NodeId,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Counted by that run.
    pub sequence: u64,
}

/// What the application answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionResult {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    /// The holder may dispatch, or has.
    Held { deadline: Time },
    /// The application answered.
    Finished(ActionResult),
    /// The holder lost sight of the call after handing it over.
    Unknown,
    /// Ended; the result is no longer kept.
    Expired,
    /// Given back without a dispatch; free to be claimed.
    Free,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    holder: ClaimId,
    digest: Digest,
    state: State,
    released: Vec<ClaimId>,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claimant holds the key and may dispatch.
    Granted,
    /// Another holder's call is still within its deadline.
    InProgress,
    /// The call ran; this was its result.
    Finished(ActionResult),
    /// The call was handed over and its outcome can't be told.
    Unknown,
    /// The call ran; its result is no longer kept.
    Expired,
    /// The key belongs to a call with other content.
    KeyReused,
    /// The claimant had given this very claim back.
    Released,
}

/// Answer to a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LookupOutcome {
    /// No call with this key is known, or it was given back.
    Absent,
    /// As in [`ClaimOutcome`].
    InProgress,
    /// As in [`ClaimOutcome`].
    Finished(ActionResult),
    /// As in [`ClaimOutcome`].
    Unknown,
    /// As in [`ClaimOutcome`].
    Expired,
}

/// All keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    records: BTreeMap<ActionKey, Record>,
    /// Ended calls whose result is still kept, oldest first.
    kept_results: VecDeque<(Time, ActionKey)>,
    /// Keys without a result, by the time after which they may be forgotten.
    kept_keys: VecDeque<(Time, ActionKey)>,
}

impl Ledger {
    /// Number of keys kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Claims a key for a call that ends by `deadline`.
    pub fn claim(
        &mut self,
        now: Time,
        key: ActionKey,
        claim: ClaimId,
        digest: Digest,
        deadline: Time,
    ) -> ClaimOutcome {
        let state = State::Held { deadline };
        let Some(record) = self.records.get_mut(&key) else {
            let record = Record { holder: claim, digest, state, released: Vec::new() };
            self.records.insert(key, record);
            return ClaimOutcome::Granted;
        };
        if record.released.contains(&claim) {
            return ClaimOutcome::Released;
        }
        if record.state == State::Free {
            record.holder = claim;
            record.digest = digest;
            record.state = state;
            return ClaimOutcome::Granted;
        }
        if record.digest != digest {
            return ClaimOutcome::KeyReused;
        }
        match &record.state {
            State::Held { .. } if record.holder == claim => ClaimOutcome::Granted,
            State::Held { deadline } if now < *deadline => ClaimOutcome::InProgress,
            State::Held { .. } | State::Unknown => ClaimOutcome::Unknown,
            State::Finished(result) => ClaimOutcome::Finished(result.clone()),
            State::Expired | State::Free => ClaimOutcome::Expired,
        }
    }

    /// Records how the holder's call ended; `None` when that can't be told. Returns whether the
    /// claimant held the key. A known result replaces "unknown", never the other way round.
    pub fn finish(
        &mut self,
        now: Time,
        key: ActionKey,
        claim: ClaimId,
        result: Option<ActionResult>,
        retention: Duration,
    ) -> bool {
        let Some(record) = self.records.get_mut(&key) else {
            return false;
        };
        if record.holder != claim || record.state == State::Free {
            return false;
        }
        match (&record.state, result) {
            (State::Held { .. } | State::Unknown, Some(result)) => {
                record.state = State::Finished(result);
                self.kept_results.push_back((now + retention, key));
            }
            (State::Held { .. }, None) => {
                record.state = State::Unknown;
                self.kept_keys.push_back((now + KEY_RETENTION, key));
            }
            _ => {}
        }
        true
    }

    /// Gives a claim back that was never dispatched. Also stops a late copy of the claim.
    pub fn release(&mut self, key: ActionKey, claim: ClaimId, digest: Digest) {
        let record = self.records.entry(key).or_insert_with(|| Record {
            holder: claim,
            digest,
            state: State::Free,
            released: Vec::new(),
        });
        if record.holder == claim && matches!(record.state, State::Held { .. }) {
            record.state = State::Free;
        }
        if !record.released.contains(&claim) {
            record.released.push(claim);
        }
        if record.released.len() > REMEMBERED_RELEASES {
            record.released.remove(0);
        }
    }

    /// What is known of a key.
    pub fn lookup(&self, now: Time, key: ActionKey) -> LookupOutcome {
        let Some(record) = self.records.get(&key) else {
            return LookupOutcome::Absent;
        };
        match &record.state {
            State::Free => LookupOutcome::Absent,
            State::Held { deadline } if now < *deadline => LookupOutcome::InProgress,
            State::Held { .. } | State::Unknown => LookupOutcome::Unknown,
            State::Finished(result) => LookupOutcome::Finished(result.clone()),
            State::Expired => LookupOutcome::Expired,
        }
    }

    /// Drops results, and much later keys, whose time has come.
    pub fn expire(&mut self, now: Time) {
        while let Some((at, key)) = self.kept_results.front().copied() {
            if now < at {
                break;
            }
            self.kept_results.pop_front();
            if let Some(record) = self.records.get_mut(&key) {
                record.state = State::Expired;
                self.kept_keys.push_back((now + KEY_RETENTION, key));
            }
        }
        while let Some((at, key)) = self.kept_keys.front().copied() {
            if now < at {
                break;
            }
            self.kept_keys.pop_front();
            self.forget_ended(key);
        }
    }

    fn forget_ended(&mut self, key: ActionKey) {
        let state = self.records.get(&key).map(|record| &record.state);
        if matches!(state, Some(State::Expired | State::Unknown)) {
            self.records.remove(&key);
        }
    }
}
