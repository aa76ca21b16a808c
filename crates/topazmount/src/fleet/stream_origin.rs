//! Finds the software version at which a stream may be resumed.

use super::dialect::RequestMetadata;
use super::gateway::SharedState;
use std::time::Duration;
use topazmount_gateway::{Admission, MIN_RETRY_DELAY, RouteKind, StreamKey};
use topazmount_types::{ErrorKind, SoftwareId};

/// Time for other gateways to tell where a stream began. They respond within a round trip.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(100);

/// A stream that may be resumed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResumableStream {
    pub(super) key: StreamKey,
    /// Software version that began it, if the client has a part of it.
    pub(super) software: Option<SoftwareId>,
}

/// What other gateways tell of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OriginResponse {
    Known(SoftwareId),
    /// All of them responded, and none knows the stream.
    Unknown,
    /// None of those that responded knows the stream.
    Incomplete,
}

impl OriginResponse {
    fn name(self) -> &'static str {
        match self {
            OriginResponse::Known(_) => "known",
            OriginResponse::Unknown => "unknown",
            OriginResponse::Incomplete => "incomplete",
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
    let response = match &metadata.resumes {
        Some(_) => find_origin(shared, key).await,
        None => OriginResponse::Unknown,
    };
    let now = shared.clock.now();
    let (software, service) = {
        let gateway_state = shared.gateway_state.lock().unwrap();
        let software = match response {
            OriginResponse::Known(software) => Some(software),
            _ => gateway_state.only_software(route, metadata.resumes.is_some(), now),
        };
        (software, software.and_then(|software| gateway_state.service_with(route, software)))
    };
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
            // A gateway that did not respond may know the stream.
            let may_help = response == OriginResponse::Incomplete;
            let retry_after = may_help.then_some(MIN_RETRY_DELAY);
            return Err(NotResumable { kind, retry_after });
        }
    }
    Ok(Some(ResumableStream { key, software }))
}

async fn find_origin(shared: &SharedState, key: StreamKey) -> OriginResponse {
    let now = shared.clock.now();
    let candidates = {
        let mut gateway_state = shared.gateway_state.lock().unwrap();
        if let Some(software) = gateway_state.stream_origins().software(key, now) {
            return OriginResponse::Known(software);
        }
        gateway_state.origin_candidates(key, now)
    };
    shared.peers.request_origin(&candidates, key, ORIGIN_TIMEOUT).await
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
