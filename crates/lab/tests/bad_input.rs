//! Bad input gets a clear error and loses nothing.

mod common;

use common::{MODEL, TestFleet, api_key, bearer, block_on, chat_body, expected_answer};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;
use topazmount_lab::client;

/// Sends raw bytes and reads all that comes back.
fn exchange(address: SocketAddr, bytes: &[u8], half_closes: bool) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    // The other side may have heard enough before all is sent.
    let _ = stream.write_all(bytes);
    if half_closes {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let mut answer = Vec::new();
    let mut piece = [0u8; 4096];
    while let Ok(count @ 1..) = stream.read(&mut piece) {
        answer.extend_from_slice(&piece[..count]);
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(path: &str, headers: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: x\r\n{headers}")
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("{}connection: close\r\ncontent-length: {length}\r\n\r\n{body}", head(path, headers))
}

fn with_key(path: &str, body: &str) -> String {
    post(path, &format!("authorization: {}\r\n", bearer()), body)
}

fn chat(fields: Value) -> String {
    with_key("/v1/chat/completions", &fields.to_string())
}

/// Nothing was lost: the node still serves.
fn assert_serves(node: SocketAddr) {
    let answer = block_on(client::chat(node, &api_key(), &chat_body("still", 4))).unwrap();
    assert_eq!(answer.text, expected_answer("still", 4));
}

fn message() -> Value {
    json!([{ "role": "user", "content": "x" }])
}

/// Requests with the status and kind that they must be refused with.
fn refused() -> Vec<(&'static str, String, u16, &'static str)> {
    vec![
        ("not_json", with_key("/v1/chat/completions", "{\"model\":"), 400, "invalid_request"),
        ("not_an_object", with_key("/v1/chat/completions", "[1]"), 400, "invalid_request"),
        ("no_model", chat(json!({ "messages": message() })), 400, "invalid_request"),
        ("wrong_type", chat(json!({ "model": 7, "messages": message() })), 400, "invalid_request"),
        (
            "unknown_model",
            chat(json!({ "model": "none", "messages": message() })),
            404,
            "not_found",
        ),
        ("no_messages", chat(json!({ "model": MODEL })), 400, "invalid_request"),
        ("empty_messages", chat(json!({ "model": MODEL, "messages": [] })), 400, "invalid_request"),
        (
            "wrong_content",
            chat(json!({ "model": MODEL, "messages": [{ "role": "user", "content": 3 }] })),
            400,
            "invalid_request",
        ),
        (
            "absurd_tokens",
            chat(json!({ "model": MODEL, "messages": message(), "max_tokens": 1e300 })),
            400,
            "invalid_request",
        ),
        (
            "negative_tokens",
            chat(json!({ "model": MODEL, "messages": message(), "max_tokens": -1 })),
            400,
            "invalid_request",
        ),
        (
            "wrong_stream",
            chat(json!({ "model": MODEL, "messages": message(), "stream": "yes" })),
            400,
            "invalid_request",
        ),
        ("no_api_key", post("/v1/chat/completions", "", "{}"), 401, "unauthenticated"),
        (
            "wrong_api_key",
            post("/v1/chat/completions", "authorization: Bearer nobody\r\n", "{}"),
            401,
            "unauthenticated",
        ),
        ("no_idempotency_key", with_key("/v1/actions/orders/place", "{}"), 400, "invalid_request"),
        (
            "unknown_service",
            post(
                "/v1/actions/none/place",
                &format!("authorization: {}\r\nidempotency-key: k\r\n", bearer()),
                "{}",
            ),
            404,
            "not_found",
        ),
        ("unknown_path", with_key("/v2/chat", "{}"), 404, "not_found"),
        (
            "wrong_method",
            "DELETE /v1/models HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_owned(),
            405,
            "method_not_allowed",
        ),
        (
            "two_lengths",
            head("/v1/chat/completions", "content-length: 2\r\ncontent-length: 3\r\n\r\n{}"),
            400,
            "invalid_request",
        ),
        (
            "length_and_chunks",
            head(
                "/v1/chat/completions",
                "content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n{}",
            ),
            400,
            "invalid_request",
        ),
        ("garbage", "\x01\x02garbage\r\n\r\n".to_owned(), 400, "invalid_request"),
        (
            "large_header",
            head("/v1/chat/completions", &format!("x-filler: {}\r\n\r\n", "a".repeat(20_000))),
            431,
            "header_too_large",
        ),
        ("large_body", with_key("/v1/chat/completions", &"x".repeat(300_000)), 413, "too_large"),
        ("slow_header", head("/v1/chat/completions", "x-half: "), 408, "caller_too_slow"),
        (
            "slow_body",
            head(
                "/v1/chat/completions",
                &format!("authorization: {}\r\ncontent-length: 10\r\n\r\n{{", bearer()),
            ),
            408,
            "caller_too_slow",
        ),
    ]
}

fn check_refused(node: SocketAddr) {
    for (name, request, status, kind) in refused() {
        let answer = exchange(node, request.as_bytes(), false);
        let line = answer.lines().next().unwrap_or_default();
        assert!(line.starts_with(&format!("HTTP/1.1 {status}")), "{name}: {answer}");
        let body = answer.split("\r\n\r\n").last().unwrap();
        let body: Value = serde_json::from_str(body).unwrap_or_else(|_| panic!("{name}: {answer}"));
        assert_eq!(body["error"]["code"], kind, "{name}: {answer}");
        assert_eq!(body["error"]["run"], "not_run", "{name}: {answer}");
        assert_serves(node);
    }
}

fn check_half_closed(node: SocketAddr) {
    let body = json!({ "model": MODEL, "messages": [{ "role": "user", "content": "half" }], "max_tokens": 6 });
    let answer = exchange(node, chat(body).as_bytes(), true);
    assert!(answer.contains("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains(&expected_answer("half", 6)), "{answer}");
}

fn check_pipelined(node: SocketAddr) {
    let get = "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
    let last = "GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let answer = exchange(node, format!("{get}{get}{last}").as_bytes(), false);
    assert_eq!(answer.matches("HTTP/1.1 200").count(), 3, "{answer}");
}

fn check_internal_ports(running: &TestFleet) {
    let strange = [
        vec![0xff; 64],
        [vec![0; 40], vec![0xff; 400]].concat(),
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        Vec::new(),
    ];
    for bytes in strange {
        for address in running.fleet.control.values() {
            exchange(*address, &bytes, true);
        }
    }
    let headers = [("authorization", bearer()), ("idempotency-key", "after".to_owned())];
    let headers = headers.each_ref().map(|(name, value)| (*name, value.as_str()));
    let path = "/v1/actions/orders/place";
    let body = json!({});
    let node = running.node("east");
    let call = client::call(node, http_types::Method::Post, path, &headers, Some(&body));
    assert_eq!(block_on(call).unwrap().status, 200);
}

fn check_other_key(running: &TestFleet) {
    let key_file = running.fleet.key_file().with_file_name("other.key");
    std::fs::write(&key_file, "another key").unwrap();
    let lab = std::path::Path::new(env!("CARGO_BIN_EXE_topazmount-lab"));
    let program = topazmount_lab::fleet::sibling_program(lab).unwrap();
    let address = running.fleet.control.values().next().unwrap().to_string();
    let mut command = std::process::Command::new(program);
    command.args(["status", "--json", "--control", &address, "--key-file"]).arg(&key_file);
    let output = command.output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(!String::from_utf8_lossy(&output.stdout).contains("\"alive\":true"));
}

/// One fleet must survive all of it.
#[test]
fn bad_input_is_refused_and_loses_nothing() {
    let running = TestFleet::start("bad_input");
    check_refused(running.node("east"));
    check_half_closed(running.node("east"));
    check_pipelined(running.node("east"));
    check_internal_ports(&running);
    check_other_key(&running);
}
