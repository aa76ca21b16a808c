//! One chat and one at-most-once call through real processes and sockets.

mod common;

use common::{TestFleet, api_key, bearer, block_on, chat_body, expected_answer};
use http_types::Method;
use serde_json::json;
use topazmount_lab::client;

#[test]
fn serves_a_streamed_chat_and_an_at_most_once_call() {
    let running = TestFleet::start("whole_path");
    let node = running.node("east");

    let answer = block_on(client::chat(node, &api_key(), &chat_body("hello", 12))).unwrap();
    assert_eq!(answer.status, 200);
    assert!(answer.is_done, "the end mark must come: {answer:?}");
    assert_eq!(answer.text, expected_answer("hello", 12));

    let call = |address, body| {
        let headers = [("authorization", bearer()), ("idempotency-key", "order-1".to_owned())];
        let headers = headers.each_ref().map(|(name, value)| (*name, value.as_str()));
        let path = "/v1/actions/orders/place";
        block_on(client::call(address, Method::Post, path, &headers, Some(&body))).unwrap()
    };
    let first = call(node, json!({ "pallets": 1 }));
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(first.body["run"], 1);
    // A resend to another node gets the kept result, and other content is refused.
    let again = call(running.node("west"), json!({ "pallets": 1 }));
    assert_eq!(again.body, first.body);
    assert_eq!(again.header("idempotent-replayed"), Some("true"));
    let other = call(node, json!({ "pallets": 2 }));
    assert_eq!(other.status, 409);
    assert_eq!(other.body["error"]["run"], "not_run");

    let application = running.fleet.addresses.replicas["orders-1"];
    let runs = block_on(client::call(application, Method::Get, "/runs", &[], None)).unwrap();
    assert_eq!(runs.body, json!({ "order-1": 1 }));
}
