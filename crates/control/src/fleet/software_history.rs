//! Which software versions a stream of a service can have begun at.
//!
//! That all registered replicas have one version does not prove it: the stream may have begun at a
//! replica that is gone, or at a service that its route does not lead to any more. Each member
//! observes all changes that it applies, so that the leader can tell.

use super::state::{Document, FleetCommand, FleetState};
use super::stream_horizon::StreamHorizon;
use std::collections::BTreeMap;
use std::time::Duration;
use topazmount_types::{Instance, InstanceId, SoftwareId, Time};

/// Maximum time for a request for a stream, where the document does not tell it.
const DEFAULT_LONGEST_STREAM: Duration = Duration::from_secs(60);
/// Maximum number of ended versions that are remembered.
const MAX_ENDED: usize = 4_096;
/// Maximum number of services whose registered version is kept.
const MAX_SERVICES: usize = 256;

/// A replica that a command may end or change.
struct AffectedReplica {
    id: InstanceId,
    service: String,
    software: SoftwareId,
}

/// What a document tells of the routes of streams.
#[derive(Clone, Copy, Debug)]
struct StreamRoutes {
    version: u64,
    routing: Option<u64>,
    longest_stream: Duration,
}

impl StreamRoutes {
    fn of(document: &Document) -> Self {
        StreamRoutes {
            version: document.version,
            routing: document.routing,
            longest_stream: document.longest_stream.unwrap_or(DEFAULT_LONGEST_STREAM),
        }
    }

    /// Whether a stream that began by these routes may lead to other services by the next ones.
    fn is_rerouted_by(self, next: StreamRoutes) -> bool {
        // No stream can have begun by a document without routes for streams.
        let had_streams = self.routing != Some(Document::NO_STREAMS);
        had_streams && (self.routing.is_none() || self.routing != next.routing)
    }
}

/// What a command may end or change, from before it is applied.
pub(crate) struct BeforeCommand {
    replicas: Vec<AffectedReplica>,
    routes: Option<StreamRoutes>,
}

impl BeforeCommand {
    pub(crate) fn new(state: &FleetState, command: Option<&FleetCommand>) -> Self {
        let affected = command.map(|command| state.affected_by(command)).unwrap_or_default();
        let replica = |instance: &Instance| AffectedReplica {
            id: instance.id.clone(),
            service: instance.service.clone(),
            software: SoftwareId::of(instance),
        };
        BeforeCommand {
            replicas: affected.into_iter().map(replica).collect(),
            routes: state.document().map(StreamRoutes::of),
        }
    }
}

/// Changes of the registry and the document, as this process has observed them.
#[derive(Clone, Debug, Default)]
pub(crate) struct SoftwareHistory {
    /// Until when a stream can be resumed of which it is not known where it began.
    unknown_until: Option<Time>,
    /// Until when a stream can be resumed that began at a version whose last replica was seen to end,
    /// by service.
    resumable_until: BTreeMap<(String, SoftwareId), Time>,
    /// Software version of the registered replicas of a service, if they have one only, and the
    /// revision of the registry.
    registered: BTreeMap<String, (u64, Option<SoftwareId>)>,
    horizon: StreamHorizon,
}

impl SoftwareHistory {
    /// A history that begins with a state whose earlier changes were not observed. It is complete if
    /// no replica was registered before.
    pub(crate) fn begin(state: &FleetState, now: Time) -> Self {
        let mut history = SoftwareHistory::default();
        if let Some(routes) = state.document().map(StreamRoutes::of) {
            history.horizon.set_longest_stream(routes.longest_stream, now);
        }
        if state.revision() > 0 {
            history.forget(now);
        }
        history
    }

    /// Records a command that was applied to `state`.
    pub(crate) fn on_applied(&mut self, before: BeforeCommand, state: &FleetState, now: Time) {
        if let Some(routes) = state.document().map(StreamRoutes::of) {
            self.on_document(before.routes, routes, now);
        }
        for AffectedReplica { id, service, software } in before.replicas {
            let next = state.instances().get(&id).map(SoftwareId::of);
            if next != Some(software) {
                self.on_ended(service, software, now);
            }
        }
    }

    fn on_document(&mut self, earlier: Option<StreamRoutes>, next: StreamRoutes, now: Time) {
        if earlier.is_some_and(|earlier| next.version <= earlier.version) {
            return;
        }
        self.horizon.set_longest_stream(next.longest_stream, now);
        if earlier.is_some_and(|earlier| earlier.is_rerouted_by(next)) {
            self.forget(now);
        }
    }

    /// Records that it is not known where the streams began that can be resumed.
    fn forget(&mut self, now: Time) {
        self.unknown_until = self.unknown_until.max(Some(self.horizon.resumable_until(now)));
    }

    fn on_ended(&mut self, service: String, software: SoftwareId, now: Time) {
        self.resumable_until.retain(|_, until| now < *until);
        if self.resumable_until.len() >= MAX_ENDED {
            self.resumable_until.clear();
            self.forget(now);
        }
        self.resumable_until.insert((service, software), self.horizon.resumable_until(now));
    }

    /// The only software version that a stream of a service can have begun at; `None` if there may
    /// be several, or none is registered.
    pub(crate) fn only_software(
        &mut self,
        state: &FleetState,
        service: &str,
        now: Time,
    ) -> Option<SoftwareId> {
        if self.unknown_until.is_some_and(|until| now < until) {
            return None;
        }
        let software = self.registered_software(state, service)?;
        let mut ended = self.resumable_until.iter().filter(|((of, _), _)| of == service);
        let had_other = ended.any(|((_, other), until)| *other != software && now < *until);
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
