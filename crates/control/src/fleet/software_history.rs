//! Which software versions a stream of a service can have begun at.
//!
//! That all registered replicas have one version does not prove it: the stream may have begun at a
//! replica that is gone, or at a service that its route does not lead to any more. Each member
//! observes all changes that it applies, so that the leader can tell.

use super::state::{Document, FleetCommand, FleetState};
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_types::{Instance, InstanceId, SoftwareId, Time};

/// Time for which a stream can be resumed after its last event.
pub const STREAM_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of ended versions that are remembered.
const MAX_ENDED: usize = 4_096;
/// Maximum number of services whose registered version is kept.
const MAX_SERVICES: usize = 256;

/// A replica that a command may end or change.
pub(crate) struct AffectedReplica {
    id: InstanceId,
    service: String,
    software: SoftwareId,
}

/// Changes of the registry and the document, as this process has observed them.
#[derive(Clone, Debug, Default)]
pub(crate) struct SoftwareHistory {
    /// Since when all changes were observed; `None` if from the first one on.
    since: Option<Time>,
    /// When the last replica of a version was seen to end, by service.
    ended_at: BTreeMap<(String, SoftwareId), Time>,
    /// Software version of the registered replicas of a service, if they have one only, and the
    /// revision of the registry.
    registered: BTreeMap<String, (u64, Option<SoftwareId>)>,
    /// When routes of streams may last have come to lead to other services.
    rerouted_at: Option<Time>,
}

impl SoftwareHistory {
    /// A history that begins with a state whose earlier changes were not observed. It is complete if
    /// no replica was registered before.
    pub(crate) fn begin(state: &FleetState, now: Time) -> Self {
        let since = (state.revision() > 0).then_some(now);
        SoftwareHistory { since, ..SoftwareHistory::default() }
    }

    /// Replicas that a command may end or change; to be asked for before it is applied.
    pub(crate) fn affected(state: &FleetState, command: &FleetCommand) -> Vec<AffectedReplica> {
        let affected = state.affected_by(command).into_iter();
        let replica = |instance: &Instance| AffectedReplica {
            id: instance.id.clone(),
            service: instance.service.clone(),
            software: SoftwareId::of(instance),
        };
        affected.map(replica).collect()
    }

    /// Records a command that was applied to `state`.
    pub(crate) fn on_applied(
        &mut self,
        state: &FleetState,
        affected: Vec<AffectedReplica>,
        now: Time,
    ) {
        for AffectedReplica { id, service, software } in affected {
            let next = state.instances().get(&id).map(SoftwareId::of);
            if next != Some(software) {
                self.on_ended(service, software, now);
            }
        }
    }

    /// Records that the document, whose routing was `before`, was replaced by a later one.
    pub(crate) fn on_document_replaced(
        &mut self,
        before: Option<u64>,
        after: Option<u64>,
        now: Time,
    ) {
        // No stream can have begun by a document without routes for streams.
        let had_streams = before != Some(Document::NO_STREAMS);
        if had_streams && (before.is_none() || before != after) {
            self.rerouted_at = Some(now);
        }
    }

    fn on_ended(&mut self, service: String, software: SoftwareId, now: Time) {
        self.ended_at.retain(|_, at| now < *at + STREAM_RETENTION);
        if self.ended_at.len() >= MAX_ENDED {
            // What is forgotten here is not known any more.
            self.ended_at.clear();
            self.since = Some(now);
        }
        self.ended_at.insert((service, software), now);
    }

    /// The only software version that a stream of a service can have begun at; `None` if there may
    /// be several, or none is registered.
    pub(crate) fn only_software(
        &mut self,
        state: &FleetState,
        service: &str,
        now: Time,
    ) -> Option<SoftwareId> {
        let is_over = |at: Time| now >= at + STREAM_RETENTION;
        if !self.since.is_none_or(is_over) || !self.rerouted_at.is_none_or(is_over) {
            return None;
        }
        let software = self.registered_software(state, service)?;
        let mut ended = self.ended_at.iter().filter(|((of, _), _)| of == service);
        let had_other = ended.any(|((_, other), at)| *other != software && !is_over(*at));
        (!had_other).then_some(software)
    }

    /// The software version of all registered replicas of a service; `None` if they have several or
    /// there are none. Kept for each revision, since many streams are resumed at once after a failure.
    fn registered_software(&mut self, state: &FleetState, service: &str) -> Option<SoftwareId> {
        let revision = state.revision();
        if let Some((_, known)) = self.registered.get(service).filter(|(at, _)| *at == revision) {
            return *known;
        }
        let registered = state.instances().values();
        let mut registered = registered.filter(|instance| instance.service == service);
        let first = registered.next();
        let is_only = |first: &&Instance| registered.all(|other| other.software == first.software);
        let only = first.filter(is_only).map(SoftwareId::of);
        if self.registered.len() >= MAX_SERVICES {
            self.registered.clear();
        }
        self.registered.insert(service.to_owned(), (revision, only));
        only
    }
}
