//! Datagrams to and from gateways of legacy builds, whose types are repeated here as they were:
//! encoded without field names, with replicas given as hashes of their identifiers.

use serde::{Deserialize, Serialize};
use topazmount::fleet::{GatewayMessage, decode_legacy, encode_legacy};
use topazmount_gateway::{
    Balancer, LimitUpdate, LoadUpdate, PlacementOffer, PlacementRequest, PromptEvent, Shard,
};
use topazmount_types::{Instance, ReplicaId, Start};
use topazmount_wire::{decode_payload, encode_datagram};

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    Load(LoadNews),
    Question(u64, ChoiceQuestion),
    Answer(u64, Option<Offer>),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct LoadNews {
    node: u64,
    replica: u64,
    pending_prefill: u64,
    in_flight: u32,
    version: u32,
    parts: Vec<u64>,
    event: Event,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Event {
    Sent,
    Read,
    Ended,
    Failed,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct ShardNumber {
    index: u32,
    count: u32,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct ChoiceQuestion {
    shard: ShardNumber,
    service: String,
    tenant: u64,
    parts: Vec<(u64, u32)>,
    prompt_tokens: u32,
    output_tokens: u32,
    model: Option<String>,
    namespace: u64,
    wall: Option<String>,
    exclude: Vec<u64>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Offer {
    replica: u64,
    expected_prefill: u32,
    known_tokens: u32,
    estimate_ms: f64,
    policy: u32,
    home_rank: u32,
    is_clear: bool,
    version: Option<u32>,
    source: Option<String>,
    save_to: Option<String>,
}

const ID: &str = "replica-1";

fn replica() -> Instance {
    Instance {
        id: ID.to_owned(),
        service: "pool".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "north".to_owned(),
        slots: 8,
        is_draining: false,
        start: Start(1_000),
        changed_at: 0,
        software: String::new(),
    }
}

fn identifier_hash() -> u64 {
    ReplicaId::from_name(ID).0
}

fn incarnation_hash() -> u64 {
    ReplicaId::from_name(&replica().incarnation_name()).0
}

fn balancer() -> Balancer {
    let mut balancer = Balancer::new("north", 1);
    balancer.upsert(replica());
    balancer
}

fn load_update(replica: u64) -> LoadUpdate {
    LoadUpdate {
        node: 5,
        replica,
        pending_prefill: 70_000,
        in_flight: 3,
        version: 12,
        parts: vec![1, u64::MAX],
        event: PromptEvent::Prefilled,
    }
}

fn load_news() -> LoadNews {
    LoadNews {
        node: 5,
        replica: identifier_hash(),
        pending_prefill: 70_000,
        in_flight: 3,
        version: 12,
        parts: vec![1, u64::MAX],
        event: Event::Read,
    }
}

fn placement_request(skipped: u64) -> PlacementRequest {
    PlacementRequest {
        shard: Shard { index: 3, count: 8 },
        service: "pool".to_owned(),
        tenant: 77,
        parts: vec![(1, 2_500), (2, 100)],
        prompt_tokens: 2_600,
        output_tokens: 200,
        model: Some("model".to_owned()),
        namespace: 9,
        isolated_tenant: Some("tenant".to_owned()),
        skipped: vec![skipped],
        software: None,
    }
}

fn question() -> ChoiceQuestion {
    ChoiceQuestion {
        shard: ShardNumber { index: 3, count: 8 },
        service: "pool".to_owned(),
        tenant: 77,
        parts: vec![(1, 2_500), (2, 100)],
        prompt_tokens: 2_600,
        output_tokens: 200,
        model: Some("model".to_owned()),
        namespace: 9,
        wall: Some("tenant".to_owned()),
        exclude: vec![identifier_hash()],
    }
}

fn placement_offer(replica: u64, slot_utilization: f64) -> PlacementOffer {
    PlacementOffer {
        replica,
        expected_prefill: 600,
        known_tokens: 2_000,
        estimate_ms: 81.5,
        policy: 1,
        home_rank: 2,
        has_empty_queue: true,
        slot_utilization,
        version: Some(12),
        source: Some("10.0.0.1:80".to_owned()),
        save_to: None,
    }
}

fn offer() -> Offer {
    Offer {
        replica: identifier_hash(),
        expected_prefill: 600,
        known_tokens: 2_000,
        estimate_ms: 81.5,
        policy: 1,
        home_rank: 2,
        is_clear: true,
        version: Some(12),
        source: Some("10.0.0.1:80".to_owned()),
        save_to: None,
    }
}

/// Defines a test for each kind of message, in both directions. `$own` is a function of the hash
/// that identifies the replica.
macro_rules! understood_by_both {
    ($($name:ident: $own:expr, $legacy:expr;)*) => {$(
        /// Guards against messages that the other build drops.
        #[test]
        fn $name() {
            let own: fn(u64) -> GatewayMessage = $own;
            let sent = encode_legacy(&own(incarnation_hash()), &balancer());
            let sent = sent.expect("legacy builds have this message").expect("it is encodable");
            assert_eq!(decode_payload::<Message>(&sent).unwrap(), $legacy);
            let received = decode_legacy(&encode_datagram(&$legacy).unwrap()).unwrap();
            assert_eq!(format!("{received:?}"), format!("{:?}", own(identifier_hash())));
        }
    )*};
}

understood_by_both! {
    load_updates: |replica| GatewayMessage::LoadUpdate(load_update(replica)),
        Message::Load(load_news());
    placement_requests: |replica| GatewayMessage::PlacementRequest(7, placement_request(replica)),
        Message::Question(7, question());
    placement_offers: |replica| {
        GatewayMessage::PlacementResponse(7, Some(placement_offer(replica, 0.0)))
    }, Message::Answer(7, Some(offer()));
    refused_placements: |_| GatewayMessage::PlacementResponse(7, None), Message::Answer(7, None);
}

#[test]
fn limits_are_not_sent_to_legacy_builds() {
    let update = LimitUpdate { replica: 1, limit: None, age: std::time::Duration::ZERO };
    for message in
        [GatewayMessage::LimitUpdate(update), GatewayMessage::SendGrantRequest(1, update)]
    {
        assert!(encode_legacy(&message, &balancer()).is_none(), "{message:?}");
    }
}

/// Guards against load of legacy gateways that is not counted for the replica.
#[test]
fn a_load_update_with_the_hash_of_an_identifier_is_applied() {
    let now = topazmount_types::Time::from_secs(1_000);
    let estimate = |update: Option<LoadUpdate>| {
        let mut balancer = balancer();
        let mut policies = topazmount_routing::PolicyTable::default();
        if let Some(update) = update {
            balancer.apply_load_update(&update, now);
        }
        let prompt = placement_request(0);
        let parts = prompt.parts.iter();
        let parts =
            parts.map(|(id, tokens)| topazmount_gateway::PromptPart { id: *id, tokens: *tokens });
        let prompt = topazmount_gateway::Prompt {
            parts: parts.collect(),
            prompt_tokens: 2_600,
            output_tokens: 200,
        };
        let request = topazmount_gateway::ChoiceRequest {
            service: "pool",
            tenant: 0,
            prompt: Some(&prompt),
            model: None,
            namespace: 1,
            isolated_tenant: None,
            tried: &[],
            pinned_to: None,
            engine: None,
            software: None,
        };
        balancer.choose(&request, now, &mut policies).expect("it is available").estimate_ms
    };
    let idle = estimate(None);
    let sent = LoadUpdate { event: PromptEvent::Sent, ..load_update(identifier_hash()) };
    assert!(estimate(Some(sent)) > idle + 1_000.0, "70,000 tokens wait at the replica");
}
