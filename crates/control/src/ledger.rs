//! Ledger of calls that may run at most once.
//!
//! A node may dispatch a call only after its claim on the key was committed here, and dispatches it
//! at most once. Invariant: a key is held by one [`ClaimId`] until the key is removed or the holder
//! releases it without a dispatch.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use topazmount_types::{ActionKey, Digest, Incarnation, NodeId, Time};

/// How long a key is kept after its call ended, so that a late resend can't run again.
const KEY_RETENTION: Duration = Duration::from_secs(90 * 24 * 3600);
/// Released claims kept per key, so that delayed copies of them are refused.
const MAX_RELEASED_CLAIMS: usize = 8;

/// One node's claim on a key; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// Claiming node.
    pub node: NodeId,
    /// Run of the node's process.
    pub incarnation: Incarnation,
    /// Number of the claim within that run.
    pub sequence: u64,
}

/// The application's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionResult {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum KeyState {
    /// The holder may dispatch, or has.
    Held { deadline: Time },
    /// The application responded.
    Finished(ActionResult),
    /// The holder dispatched the call and does not know the outcome.
    Unknown,
    /// Ended; the result is no longer kept.
    Expired,
    /// Released without a dispatch; free to be claimed.
    Free,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    holder: ClaimId,
    digest: Digest,
    state: KeyState,
    released: Vec<ClaimId>,
}

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claimant holds the key and may dispatch.
    Granted,
    /// Another holder's call is still within its deadline.
    InProgress,
    /// The call ran; this was its result.
    Finished(ActionResult),
    /// The call was dispatched and its outcome is unknown.
    Unknown,
    /// The call ran; its result is no longer kept.
    Expired,
    /// The key belongs to a call with other content.
    KeyReused,
    /// The claimant has already released this claim.
    Released,
}

/// Outcome of a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LookupOutcome {
    /// No call with this key is known, or it was released.
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
    /// Keys without a result, by the time when they are removed.
    kept_keys: VecDeque<(Time, ActionKey)>,
}

impl Ledger {
    /// Number of keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no keys.
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
        let state = KeyState::Held { deadline };
        let Some(record) = self.records.get_mut(&key) else {
            let record = Record { holder: claim, digest, state, released: Vec::new() };
            self.records.insert(key, record);
            return ClaimOutcome::Granted;
        };
        if record.released.contains(&claim) {
            return ClaimOutcome::Released;
        }
        if record.state == KeyState::Free {
            record.holder = claim;
            record.digest = digest;
            record.state = state;
            return ClaimOutcome::Granted;
        }
        if record.digest != digest {
            return ClaimOutcome::KeyReused;
        }
        match &record.state {
            KeyState::Held { .. } if record.holder == claim => ClaimOutcome::Granted,
            KeyState::Held { deadline } if now < *deadline => ClaimOutcome::InProgress,
            KeyState::Held { .. } | KeyState::Unknown => ClaimOutcome::Unknown,
            KeyState::Finished(result) => ClaimOutcome::Finished(result.clone()),
            KeyState::Expired | KeyState::Free => ClaimOutcome::Expired,
        }
    }

    /// Records how the holder's call ended; `None` if the outcome is unknown. Returns whether the
    /// claimant held the key. A known result replaces an unknown one, never the reverse.
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
        if record.holder != claim || record.state == KeyState::Free {
            return false;
        }
        match (&record.state, result) {
            (KeyState::Held { .. } | KeyState::Unknown, Some(result)) => {
                record.state = KeyState::Finished(result);
                self.kept_results.push_back((now + retention, key));
            }
            (KeyState::Held { .. }, None) => {
                record.state = KeyState::Unknown;
                self.kept_keys.push_back((now + KEY_RETENTION, key));
            }
            _ => {}
        }
        true
    }

    /// Releases a claim that was never dispatched, and refuses delayed copies of it.
    pub fn release(&mut self, key: ActionKey, claim: ClaimId, digest: Digest) {
        let record = self.records.entry(key).or_insert_with(|| Record {
            holder: claim,
            digest,
            state: KeyState::Free,
            released: Vec::new(),
        });
        if record.holder == claim && matches!(record.state, KeyState::Held { .. }) {
            record.state = KeyState::Free;
        }
        if !record.released.contains(&claim) {
            record.released.push(claim);
        }
        if record.released.len() > MAX_RELEASED_CLAIMS {
            record.released.remove(0);
        }
    }

    /// What is known of a key.
    pub fn lookup(&self, now: Time, key: ActionKey) -> LookupOutcome {
        let Some(record) = self.records.get(&key) else {
            return LookupOutcome::Absent;
        };
        match &record.state {
            KeyState::Free => LookupOutcome::Absent,
            KeyState::Held { deadline } if now < *deadline => LookupOutcome::InProgress,
            KeyState::Held { .. } | KeyState::Unknown => LookupOutcome::Unknown,
            KeyState::Finished(result) => LookupOutcome::Finished(result.clone()),
            KeyState::Expired => LookupOutcome::Expired,
        }
    }

    /// Removes expired results, and later their keys.
    pub fn expire(&mut self, now: Time) {
        while let Some((at, key)) = self.kept_results.front().copied() {
            if now < at {
                break;
            }
            self.kept_results.pop_front();
            if let Some(record) = self.records.get_mut(&key) {
                record.state = KeyState::Expired;
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
        if matches!(state, Some(KeyState::Expired | KeyState::Unknown)) {
            self.records.remove(&key);
        }
    }
}
