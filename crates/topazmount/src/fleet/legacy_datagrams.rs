//! Datagrams of legacy builds, which may still be in production.
//!
//! Legacy gateways identify a replica by its identifier, others by its incarnation. They know load
//! updates and placements, but no limits.

use super::peers::GatewayMessage;
use serde::{Deserialize, Serialize};
use topazmount_gateway::{Balancer, LoadUpdate, PlacementOffer, PlacementRequest};
use topazmount_wire::{FrameError, decode_payload, encode_datagram};

/// A message between legacy gateways. Replicas are given as hashes of their identifiers.
#[derive(Debug, Serialize, Deserialize)]
enum LegacyMessage {
    #[serde(rename = "Load")]
    LoadUpdate(LoadUpdate),
    #[serde(rename = "Question")]
    PlacementRequest(u64, PlacementRequest),
    #[serde(rename = "Answer")]
    PlacementResponse(u64, Option<LegacyOffer>),
}

/// A coordinator's offer without the replica's slot utilization.
#[derive(Debug, Serialize, Deserialize)]
struct LegacyOffer {
    replica: u64,
    expected_prefill: u32,
    known_tokens: u32,
    estimate_ms: f64,
    policy: u32,
    home_rank: u32,
    has_empty_queue: bool,
    version: Option<u32>,
    source: Option<String>,
    save_to: Option<String>,
}

impl LegacyOffer {
    fn new(offer: &PlacementOffer, balancer: &Balancer) -> Self {
        LegacyOffer {
            replica: balancer.identifier_hash(offer.replica),
            expected_prefill: offer.expected_prefill,
            known_tokens: offer.known_tokens,
            estimate_ms: offer.estimate_ms,
            policy: offer.policy,
            home_rank: offer.home_rank,
            has_empty_queue: offer.has_empty_queue,
            version: offer.version,
            source: offer.source.clone(),
            save_to: offer.save_to.clone(),
        }
    }
}

impl From<LegacyOffer> for PlacementOffer {
    fn from(offer: LegacyOffer) -> Self {
        PlacementOffer {
            replica: offer.replica,
            expected_prefill: offer.expected_prefill,
            known_tokens: offer.known_tokens,
            estimate_ms: offer.estimate_ms,
            policy: offer.policy,
            home_rank: offer.home_rank,
            has_empty_queue: offer.has_empty_queue,
            slot_utilization: 0.0,
            version: offer.version,
            source: offer.source,
            save_to: offer.save_to,
        }
    }
}

/// Encodes a message for a legacy gateway; `None` if legacy builds have no such message.
///
/// # Errors
/// [`FrameError::Payload`] if the message can't be encoded.
pub fn encode_legacy(
    message: &GatewayMessage,
    balancer: &Balancer,
) -> Option<Result<Vec<u8>, FrameError>> {
    let message = match message {
        GatewayMessage::LoadUpdate(update) => LegacyMessage::LoadUpdate(LoadUpdate {
            replica: balancer.identifier_hash(update.replica),
            ..update.clone()
        }),
        GatewayMessage::PlacementRequest(request_id, request) => {
            let skipped = request.skipped.iter().map(|replica| balancer.identifier_hash(*replica));
            let request = PlacementRequest { skipped: skipped.collect(), ..request.clone() };
            LegacyMessage::PlacementRequest(*request_id, request)
        }
        GatewayMessage::PlacementResponse(request_id, offer) => {
            let offer = offer.as_ref().map(|offer| LegacyOffer::new(offer, balancer));
            LegacyMessage::PlacementResponse(*request_id, offer)
        }
        GatewayMessage::GrantRequest(..)
        | GatewayMessage::GrantResponse(..)
        | GatewayMessage::UnitsReturned(..)
        | GatewayMessage::LimitUpdate(_)
        | GatewayMessage::SendGrantRequest(..)
        | GatewayMessage::OriginUpdate(..)
        | GatewayMessage::OriginRequest(..)
        | GatewayMessage::OriginResponse(..)
        | GatewayMessage::SoftwareRequest(..)
        | GatewayMessage::SoftwareResponse(..)
        | GatewayMessage::TrialRequest(..)
        | GatewayMessage::TrialResponse(..)
        | GatewayMessage::TrialEnded(..)
        | GatewayMessage::ReplicaReport(_)
        | GatewayMessage::ReplicaVerdicts(_) => return None,
    };
    Some(encode_datagram(&message))
}

/// Decodes a message of a legacy gateway. Its replicas remain hashes of identifiers, which the
/// balancer resolves.
///
/// # Errors
/// [`FrameError::Payload`] if the bytes are no such message.
pub fn decode_legacy(payload: &[u8]) -> Result<GatewayMessage, FrameError> {
    Ok(match decode_payload::<LegacyMessage>(payload)? {
        LegacyMessage::LoadUpdate(update) => GatewayMessage::LoadUpdate(update),
        LegacyMessage::PlacementRequest(request_id, request) => {
            GatewayMessage::PlacementRequest(request_id, request)
        }
        LegacyMessage::PlacementResponse(request_id, offer) => {
            GatewayMessage::PlacementResponse(request_id, offer.map(PlacementOffer::from))
        }
    })
}
