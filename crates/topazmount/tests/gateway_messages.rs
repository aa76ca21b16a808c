//! Encodings of the messages between gateways, compared with recorded bytes: gateways of other builds read them.

use rmp_serde::{from_slice, to_vec, to_vec_named};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::time::Duration;
use topazmount_admission::RequestLimit;
use topazmount_gateway::{
    GrantResponse, LimitUpdate, LoadUpdate, PlacementOffer, PlacementRequest, PromptEvent, Shard,
    StripeId,
};

/// Lines of a name, an encoding and the bytes in hexadecimal.
const RECORDED: &str = include_str!("gateway_messages.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn recorded(name: &str, encoding: &str) -> &'static str {
    let prefix = format!("{name} {encoding} ");
    RECORDED.lines().find_map(|line| line.strip_prefix(&prefix)).unwrap_or("")
}

/// Compares both encodings of a value with the recorded ones, and what these decode to with the value.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let encodings = [("compact", to_vec(value).unwrap()), ("named", to_vec_named(value).unwrap())];
    for (encoding, encoded) in encodings {
        let expected = recorded(name, encoding);
        assert_eq!(
            format!("{name} {encoding} {}", hex(&encoded)),
            format!("{name} {encoding} {expected}")
        );
        assert_eq!(from_slice::<T>(&bytes(expected)).unwrap(), *value, "{name} {encoding}");
    }
}

fn load(event: PromptEvent) -> LoadUpdate {
    LoadUpdate {
        node: 0x0102_0304_0506_0708,
        replica: 0x1112_1314_1516_1718,
        pending_prefill: 70_000,
        in_flight: 3,
        version: 7,
        parts: vec![1, 0xffff_ffff_ffff_fff0],
        event,
    }
}

#[test]
fn load_updates_have_their_recorded_encoding() {
    check("load_sent", &load(PromptEvent::Sent));
    check("load_read", &load(PromptEvent::Prefilled));
    check("load_ended", &load(PromptEvent::Ended));
    check("load_failed", &load(PromptEvent::Failed));
}

#[test]
fn limit_updates_have_their_recorded_encoding() {
    let limit = Some(RequestLimit::per_second(2.5));
    let update = LimitUpdate { replica: 0x2122_2324, limit, age: Duration::new(1, 250) };
    check("limit", &update);
    check("no_limit", &LimitUpdate { limit: None, ..update });
}

#[test]
fn grants_have_their_recorded_encoding() {
    check("stripe", &StripeId { owner: 0x3132_3334_3536_3738, stripe: 2 });
    check("granted", &GrantResponse::Granted);
    check("over", &GrantResponse::LimitExceeded(Duration::from_millis(1_500)));
    check("not_holder", &GrantResponse::NotGranter);
}

#[test]
fn choices_have_their_recorded_encoding() {
    let request = PlacementRequest {
        shard: Shard { index: 3, count: 8 },
        service: "pool".to_owned(),
        tenant: 5,
        parts: vec![(6, 1_000), (7, 20)],
        prompt_tokens: 1_020,
        output_tokens: 64,
        model: Some("model".to_owned()),
        namespace: 8,
        isolated_tenant: Some("tenant".to_owned()),
        skipped: vec![9, 10],
        software: None,
    };
    check("question", &request);
    let bare_request =
        PlacementRequest { model: None, isolated_tenant: None, skipped: Vec::new(), ..request };
    check("bare_question", &bare_request);
    let offer = PlacementOffer {
        replica: 11,
        expected_prefill: 12,
        known_tokens: 13,
        estimate_ms: 14.5,
        policy: 1,
        home_rank: 2,
        has_empty_queue: true,
        slot_utilization: 0.25,
        version: Some(15),
        source: Some("127.0.0.1:1".to_owned()),
        save_to: Some("127.0.0.1:2".to_owned()),
    };
    check("offer", &offer);
    check("bare_offer", &PlacementOffer { version: None, source: None, save_to: None, ..offer });
}
