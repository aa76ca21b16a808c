//! Datagrams between gateways keep their recorded bytes, so that gateways of different builds
//! understand each other.

use std::time::Duration;
use topazmount::fleet::{GatewayMessage, SoftwareProof};
use topazmount_admission::RequestLimit;
use topazmount_gateway::{
    Evidence, GrantResponse, LimitUpdate, LoadUpdate, MAX_VERDICTS, PlacementOffer,
    PlacementRequest, PromptEvent, ReplicaReport, ReplicaVerdict, Shard, StreamKey, StripeId,
};
use topazmount_types::SoftwareId;
use topazmount_wire::{decode_payload, encode_datagram};

/// One message a line: its name and its bytes in hex.
const RECORDED: &str = include_str!("gateway_datagrams.txt");

fn load(event: PromptEvent) -> GatewayMessage {
    GatewayMessage::LoadUpdate(LoadUpdate {
        node: 0x0102_0304_0506_0708,
        replica: 0x1112_1314_1516_1718,
        pending_prefill: 70_000,
        in_flight: 3,
        version: 12,
        parts: vec![1, 0xffff_ffff_ffff_ffff],
        event,
    })
}

fn question() -> PlacementRequest {
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
        skipped: vec![5, 6],
        software: None,
    }
}

fn offer() -> PlacementOffer {
    PlacementOffer {
        replica: 5,
        expected_prefill: 600,
        known_tokens: 2_000,
        estimate_ms: 81.5,
        policy: 1,
        home_rank: 2,
        has_empty_queue: true,
        slot_utilization: 0.25,
        version: Some(12),
        source: Some("10.0.0.1:80".to_owned()),
        save_to: Some("10.0.0.2:80".to_owned()),
    }
}

fn limit(limit: Option<f64>) -> LimitUpdate {
    LimitUpdate {
        replica: 5,
        limit: limit.map(RequestLimit::per_second),
        age: Duration::from_millis(1_250),
    }
}

fn samples() -> Vec<(&'static str, GatewayMessage)> {
    let stripe = StripeId { owner: 77, stripe: 2 };
    let without =
        PlacementRequest { model: None, isolated_tenant: None, skipped: Vec::new(), ..question() };
    let (stream, software) = (StreamKey(0x2122_2324_2526_2728), SoftwareId(0x3132_3334_3536_3738));
    let resumed = PlacementRequest { software: Some(software), ..question() };
    let bare = PlacementOffer {
        version: None,
        source: None,
        save_to: None,
        has_empty_queue: false,
        ..offer()
    };
    let restored = ReplicaVerdict { failing_for: None, testers: Vec::new(), ..verdict() };
    vec![
        ("load_sent", load(PromptEvent::Sent)),
        ("load_read", load(PromptEvent::Prefilled)),
        ("load_ended", load(PromptEvent::Ended)),
        ("load_failed", load(PromptEvent::Failed)),
        ("question", GatewayMessage::PlacementRequest(300, question())),
        ("question_without_options", GatewayMessage::PlacementRequest(300, without)),
        ("answer", GatewayMessage::PlacementResponse(300, Some(offer()))),
        ("answer_without_options", GatewayMessage::PlacementResponse(300, Some(bare))),
        ("answer_none", GatewayMessage::PlacementResponse(300, None)),
        ("grant", GatewayMessage::GrantRequest(301, stripe, 900)),
        ("granted", GatewayMessage::GrantResponse(301, GrantResponse::Granted)),
        (
            "granted_over",
            GatewayMessage::GrantResponse(301, GrantResponse::LimitExceeded(Duration::new(2, 500))),
        ),
        ("granted_not_holder", GatewayMessage::GrantResponse(301, GrantResponse::NotGranter)),
        ("give_back", GatewayMessage::UnitsReturned(stripe, 900)),
        ("limit", GatewayMessage::LimitUpdate(limit(Some(2.5)))),
        ("limit_none", GatewayMessage::LimitUpdate(limit(None))),
        ("grant_send", GatewayMessage::SendGrantRequest(302, limit(Some(2.5)))),
        ("question_software", GatewayMessage::PlacementRequest(300, resumed)),
        ("origin", GatewayMessage::OriginUpdate(stream, software)),
        ("origin_of", GatewayMessage::OriginRequest(303, stream)),
        ("origin_is", GatewayMessage::OriginResponse(303, Some(software))),
        ("origin_is_none", GatewayMessage::OriginResponse(303, None)),
        ("software_of", GatewayMessage::SoftwareRequest(304, "pool".to_owned())),
        ("software_is", GatewayMessage::SoftwareResponse(304, SoftwareProof::Only(software))),
        ("software_several", GatewayMessage::SoftwareResponse(304, SoftwareProof::Several)),
        ("software_not_leader", GatewayMessage::SoftwareResponse(304, SoftwareProof::NotLeader)),
        ("replica_report", GatewayMessage::ReplicaReport(report(Evidence::Failure(4)))),
        ("replica_report_success", GatewayMessage::ReplicaReport(report(Evidence::Success))),
        ("replica_verdicts", GatewayMessage::ReplicaVerdicts(vec![verdict(), restored])),
    ]
}

fn report(evidence: Evidence) -> ReplicaReport {
    ReplicaReport { incarnation: 0x4142_4344_4546_4748, zone: 0x5152_5354_5556_5758, evidence }
}

fn verdict() -> ReplicaVerdict {
    ReplicaVerdict {
        incarnation: 0x4142_4344_4546_4748,
        zone: 0x5152_5354_5556_5758,
        failing_for: Some(Duration::new(2, 500)),
        testers: vec!["10.0.0.1:80".parse().unwrap(), "[fd00::1]:80".parse().unwrap()],
    }
}

#[test]
fn the_largest_list_of_verdicts_exceeds_a_datagram() {
    let testers = vec!["[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().unwrap(); 2];
    let verdict = ReplicaVerdict { testers, ..verdict() };
    let message = GatewayMessage::ReplicaVerdicts(vec![verdict; MAX_VERDICTS]);
    let bytes = encode_datagram(&message).unwrap().len();
    assert!(bytes <= 1_200, "{bytes}");
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<char> = hex.chars().collect();
    let byte = |pair: &[char]| u8::from_str_radix(&String::from_iter(pair), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

#[test]
fn encoded_messages_equal_the_recorded_bytes() {
    let encoded: Vec<String> = samples()
        .iter()
        .map(|(name, message)| format!("{name} {}", hex(&encode_datagram(message).unwrap())))
        .collect();
    let recorded: Vec<&str> = RECORDED.lines().collect();
    assert_eq!(encoded, recorded, "\n{}\n", encoded.join("\n"));
}

#[test]
fn recorded_bytes_decode_to_the_same_messages() {
    let samples = samples();
    assert_eq!(RECORDED.lines().count(), samples.len());
    for (line, (name, message)) in RECORDED.lines().zip(samples) {
        let (recorded_name, hex) = line.split_once(' ').unwrap();
        assert_eq!(recorded_name, name);
        let decoded: GatewayMessage = decode_payload(&bytes(hex)).unwrap();
        assert_eq!(format!("{decoded:?}"), format!("{message:?}"), "{name}");
    }
}
