//! Connections of many gateways to one control member.

mod common;

use common::{executor, key, member};
use futures_lite::future::block_on;
use std::sync::mpsc;
use std::time::{Duration, Instant};
use topazmount::control_client::ControlClient;
use topazmount_control::{Request, Response};

/// Connections that are opened.
const CONNECTIONS: usize = 200;
/// Memory that one connection may take, with both of its ends in this process: a thousand of them
/// are then an eighth of a member's 512 MB.
const MAX_BYTES_PER_CONNECTION: usize = 64_000;
/// Size of a page in `/proc/self/statm`.
const PAGE_BYTES: usize = 4_096;
/// Time within which a request must be answered.
const LIMIT: Duration = Duration::from_secs(2);

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split_whitespace().nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

fn is_answered(client: &ControlClient) -> bool {
    matches!(block_on(client.ask(Request::Status, LIMIT)), Ok(Response::Status(_)))
}

/// Guards against queues that take all their slots when a connection opens, and requests of one
/// connection that are lost when there are many at a time.
#[test]
fn a_connection_takes_little_memory_and_answers_all_that_it_is_asked() {
    let executor = executor();
    let (_handle, address) = member(&executor, "connections");
    let connect = |_| ControlClient::new(&executor, address, key());
    let begun = Instant::now();
    let first = connect(0);
    while !is_answered(&first) {
        assert!(begun.elapsed() < LIMIT * 2, "the member answers");
    }

    let before = resident_bytes();
    let clients: Vec<ControlClient> = (0..CONNECTIONS).map(connect).collect();
    assert!(clients.iter().all(is_answered));
    let grown = resident_bytes().saturating_sub(before) / CONNECTIONS;
    assert!(grown <= MAX_BYTES_PER_CONNECTION, "{grown} bytes for each connection");

    let (sender, answers) = mpsc::channel();
    for _ in 0..1_000 {
        let sender = sender.clone();
        first.send(Request::Status, move |answer| {
            let _ = sender.send(answer.is_some());
        });
    }
    let answered = (0..1_000).filter(|_| answers.recv_timeout(LIMIT) == Ok(true));
    assert_eq!(answered.count(), 1_000);
}
