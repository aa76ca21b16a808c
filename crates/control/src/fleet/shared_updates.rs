//! Encoded updates that requesters with the same versions share.

use super::gateways::GatewayList;
use super::packed::{GatewayLists, Packed, ReplicaLists};
use super::protocol::GatewayListUpdate;
use super::state::Document;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use topazmount_consensus::Term;
use topazmount_types::Time;

/// Maximum bytes of kept updates about replicas; beyond it the oldest ones are dropped.
const MAX_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of a kept update besides its lists.
const ENTRY_BYTES: usize = 256;
/// Maximum age of a batch that is sent although the lists have changed since. A batch may arrive as
/// late on a slow link, and its requester asks for the later changes at once.
const MAX_BATCH_AGE: Duration = Duration::from_secs(1);

/// What a requester has of replicas and their statuses, and the term of the responding leader;
/// `None` for statuses if the responder has none or the requester wants none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReplicaVersions {
    pub(super) term: Option<Term>,
    pub(super) revision: u64,
    pub(super) statuses: Option<(Term, u64)>,
}

/// The next update about replicas for a requester.
#[derive(Clone, Debug)]
pub(super) struct ReplicaUpdate {
    /// The lists, if they are not empty.
    pub(super) lists: Option<Packed<ReplicaLists>>,
    /// Revision after the update.
    pub(super) revision: u64,
    pub(super) is_full: bool,
    pub(super) has_more: bool,
    /// Term and count of the statuses after the update.
    pub(super) statuses: Option<(Term, u64)>,
}

/// Published versions of a member's lists: revision of the registry, count of the statuses.
pub(super) type ListVersions = (u64, u64);

struct Entry {
    update: ReplicaUpdate,
    built_at: Time,
    built_for: ListVersions,
}

impl Entry {
    fn is_usable(&self, now: Time, versions: ListVersions) -> bool {
        let is_recent_batch = self.update.has_more && now < self.built_at + MAX_BATCH_AGE;
        self.built_for == versions || is_recent_batch
    }

    fn bytes(&self) -> usize {
        ENTRY_BYTES + self.update.lists.as_ref().map_or(0, Packed::len)
    }
}

/// Kept updates of one member.
#[derive(Default)]
pub(super) struct SharedUpdates {
    replicas: BTreeMap<ReplicaVersions, Entry>,
    /// Keys of `replicas`, first built first.
    replicas_order: VecDeque<ReplicaVersions>,
    replicas_published: ListVersions,
    /// Sum over `replicas`.
    bytes: usize,
    /// Updates of the gateway list for the published count.
    gateways: BTreeMap<(Term, u64), (GatewayListUpdate, Packed<GatewayLists>)>,
    gateways_published: (Term, u64),
    document: Option<(u64, Packed<Document>)>,
}

impl SharedUpdates {
    /// Whether an update for a requester with these versions is kept.
    pub(super) fn has_replicas(
        &self,
        now: Time,
        seen: &ReplicaVersions,
        versions: ListVersions,
    ) -> bool {
        self.usable(now, seen, versions).is_some()
    }

    fn usable(&self, now: Time, seen: &ReplicaVersions, versions: ListVersions) -> Option<&Entry> {
        self.replicas.get(seen).filter(|entry| entry.is_usable(now, versions))
    }

    /// The update for a requester with these versions; built if none is kept.
    pub(super) fn replicas(
        &mut self,
        now: Time,
        seen: ReplicaVersions,
        versions: ListVersions,
        build: impl FnOnce() -> ReplicaUpdate,
    ) -> ReplicaUpdate {
        if let Some(entry) = self.usable(now, &seen, versions) {
            return entry.update.clone();
        }
        self.drop_unusable(now, versions);
        let entry = Entry { update: build(), built_at: now, built_for: versions };
        let update = entry.update.clone();
        self.bytes += entry.bytes();
        match self.replicas.insert(seen, entry) {
            Some(before) => self.bytes -= before.bytes(),
            None => self.replicas_order.push_back(seen),
        }
        while self.bytes > MAX_BYTES {
            let Some(oldest) = self.replicas_order.pop_front() else { break };
            self.bytes -= self.replicas.remove(&oldest).map_or(0, |entry| entry.bytes());
        }
        update
    }

    /// Drops what a publication of newer versions made unusable.
    fn drop_unusable(&mut self, now: Time, versions: ListVersions) {
        if self.replicas_published == versions {
            return;
        }
        self.replicas_published = versions;
        self.replicas.retain(|_, entry| entry.is_usable(now, versions));
        self.replicas_order.retain(|seen| self.replicas.contains_key(seen));
        self.bytes = self.replicas.values().map(Entry::bytes).sum();
    }

    /// The update of the gateway list for a requester, and its packed lists.
    pub(super) fn gateways(
        &mut self,
        list: &GatewayList,
        term: Term,
        seen: (Term, u64),
    ) -> Option<(GatewayListUpdate, Packed<GatewayLists>)> {
        let published = (term, list.published());
        if self.gateways_published != published {
            self.gateways_published = published;
            self.gateways.clear();
        }
        // All requesters of another term get the whole list.
        let key = if seen.0 == term { seen } else { (term, u64::MAX) };
        if let Some(kept) = self.gateways.get(&key) {
            return Some(kept.clone());
        }
        let mut update = list.update_since(term, seen)?;
        let lists = GatewayLists {
            changed: std::mem::take(&mut update.changed),
            removed: std::mem::take(&mut update.removed),
        };
        let built = (update, Packed::new(&lists));
        self.gateways.insert(key, built.clone());
        Some(built)
    }

    /// The packed document.
    pub(super) fn document(&mut self, document: &Document) -> Packed<Document> {
        match &self.document {
            Some((version, packed)) if *version == document.version => packed.clone(),
            _ => {
                let packed = Packed::new(document);
                self.document = Some((document.version, packed.clone()));
                packed
            }
        }
    }
}
