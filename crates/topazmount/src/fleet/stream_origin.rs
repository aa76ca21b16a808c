//! Finds the software version at which a stream may be resumed.

use super::dialect::RequestMetadata;
use super::gateway::SharedState;
use super::peers::SoftwareProof;
use std::time::Duration;
use topazmount_gateway::{Admission, MIN_RETRY_DELAY, RouteKind, StreamKey};
use topazmount_types::{ErrorKind, SoftwareId};

/// Time for other gateways and control members to tell where a stream began. They respond within a
/// round trip.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(100);

/// A stream that may be resumed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResumableStream {
    pub(super) key: StreamKey,
    /// Software version that began it, if the client has a part of it.
    pub(super) software: Option<SoftwareId>,
}

/// What is known of where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OriginResponse {
    /// It was recorded when the stream began.
    Known(SoftwareId),
    /// The leader of the control group can rule out all other versions.
    Only(SoftwareId),
    /// All that were asked responded, and none can tell.
    Unknown,
    /// None of those that responded can tell.
    Incomplete,
}

impl OriginResponse {
    fn name(self) -> &'static str {
        match self {
            OriginResponse::Known(_) => "known",
            OriginResponse::Only(_) => "only",
            OriginResponse::Unknown => "unknown",
            OriginResponse::Incomplete => "incomplete",
        }
    }

    fn software(self) -> Option<SoftwareId> {
        match self {
            OriginResponse::Known(software) | OriginResponse::Only(software) => Some(software),
            OriginResponse::Unknown | OriginResponse::Incomplete => None,
        }
    }

    /// Combines what the records tell with what the registry's history tells.
    fn or(self, history: OriginResponse) -> OriginResponse {
        match (self, history) {
            (OriginResponse::Incomplete, OriginResponse::Unknown) => self,
            _ => history,
        }
    }
}

/// A stream that can't be resumed now.
pub(super) struct NotResumable {
    pub(super) kind: ErrorKind,
    /// Time after which the client may try again, if that can help.
    pub(super) retry_after: Option<Duration>,
}

/// The stream of a request; `None` if its route's streams can't be resumed. For a resumed stream,
/// changes the admission to the service that began it.
///
/// # Errors
/// Why the stream can't be resumed.
pub(super) async fn resumable_stream(
    shared: &SharedState,
    metadata: &RequestMetadata,
    admission: &mut Admission,
) -> Result<Option<ResumableStream>, NotResumable> {
    let route = &admission.route;
    if route.kind != RouteKind::Streaming || !route.is_resumable {
        return Ok(None);
    }
    let tenant = admission.tenant.as_ref().map_or("", |tenant| tenant.name.as_str());
    let began_as = metadata.resumes.as_ref().unwrap_or(&metadata.id);
    let key = StreamKey::new(tenant, began_as);
    if metadata.resumes.is_none() && metadata.last_event_id.is_none() {
        return Ok(Some(ResumableStream { key, software: None }));
    }
    let recorded = match &metadata.resumes {
        Some(_) => find_record(shared, key).await,
        None => OriginResponse::Unknown,
    };
    let response = match recorded {
        OriginResponse::Known(_) => recorded,
        _ => recorded.or(find_only_software(shared, route.only_service()).await),
    };
    let software = response.software();
    let service =
        software.and_then(|software| shared.gateway_state.lock().service_with(route, software));
    log_origin(shared, metadata, response, software, service.as_deref());
    match (software, service) {
        (Some(_), Some(service)) => admission.service = service,
        (Some(_), None) => {
            // A replica that crashed is back after some seconds.
            let kind = ErrorKind::SoftwareGone;
            return Err(NotResumable { kind, retry_after: kind.retry_after() });
        }
        (None, _) => {
            let kind = ErrorKind::UnknownStream;
            // One that did not respond may know the stream.
            let may_help = response == OriginResponse::Incomplete;
            let retry_after = may_help.then_some(MIN_RETRY_DELAY);
            return Err(NotResumable { kind, retry_after });
        }
    }
    Ok(Some(ResumableStream { key, software }))
}

/// Looks for the stream's record here, at gateways and at control members.
async fn find_record(shared: &SharedState, key: StreamKey) -> OriginResponse {
    let now = shared.clock.now();
    let mut candidates = {
        let mut gateway_state = shared.gateway_state.lock();
        if let Some(software) = gateway_state.stream_origins().software(key, now) {
            return OriginResponse::Known(software);
        }
        gateway_state.origin_candidates(key, now)
    };
    candidates.extend(shared.members());
    shared.peers.request_origin(&candidates, key, ORIGIN_TIMEOUT).await
}

/// Asks the leader of the control group for the only version that a stream of the service can have
/// begun at. What this gateway sees itself proves nothing: a version may have come or gone since.
async fn find_only_software(shared: &SharedState, service: Option<&str>) -> OriginResponse {
    let Some(service) = service else { return OriginResponse::Unknown };
    let proof = shared.peers.request_software(&shared.members(), service, ORIGIN_TIMEOUT).await;
    match proof {
        Some(SoftwareProof::Only(software)) => OriginResponse::Only(software),
        Some(SoftwareProof::Several) => OriginResponse::Unknown,
        Some(SoftwareProof::NotLeader) | None => OriginResponse::Incomplete,
    }
}

fn log_origin(
    shared: &SharedState,
    metadata: &RequestMetadata,
    response: OriginResponse,
    software: Option<SoftwareId>,
    service: Option<&str>,
) {
    shared.metrics.count_event(match (software, service) {
        (Some(_), Some(_)) => "stream_resumed",
        (Some(_), None) => "stream_software_gone",
        (None, _) => "stream_unknown",
    });
    shared.event_log.info(|| {
        format!(
            "gateway: event=stream_origin request={} resumes={} origin={} software={} service={}",
            metadata.id,
            metadata.resumes.as_deref().unwrap_or("none"),
            response.name(),
            software.map_or("none".to_owned(), |software| software.to_string()),
            service.unwrap_or("none")
        )
    });
}
