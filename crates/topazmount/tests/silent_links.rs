//! Connections between own processes that go silent for good, without a reset, while new ones work: each kind notices,
//! and goes on with a new one.

mod common;

use async_channel::Receiver;
use async_net::TcpListener;
use common::{Relay, executor, key, member};
use futures_lite::future::block_on;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use topazmount::Executor;
use topazmount::control_client::ControlClient;
use topazmount::control_links::Peers;
use topazmount_consensus::{Envelope, MemberId, Message};
use topazmount_control::{
    FleetRequest, FleetResponse, Request, Response, SeenVersions, WatchRequest,
};

/// Time within which a silent connection must have been replaced: an election timeout of 600 ms, and a connection.
const LIMIT: Duration = Duration::from_millis(1_500);
/// From one message of a leader to the next one.
const HEARTBEAT: Duration = Duration::from_millis(100);

fn watch(wait: Duration) -> Request {
    Request::Fleet(FleetRequest::Watch(WatchRequest {
        gateway: None,
        seen: SeenVersions::default(),
        accepts_packed: false,
        wants_gateways: false,
        wait,
        crashes: Default::default(),
        notices: Vec::new(),
    }))
}

fn is_answered(client: &ControlClient) -> bool {
    let limit = Duration::from_millis(300);
    matches!(
        block_on(client.ask(watch(Duration::ZERO), limit)),
        Ok(Response::Fleet(FleetResponse::View(_)))
    )
}

fn within_limit(what: &str, mut is_so: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !is_so() {
        assert!(Instant::now() < end, "not within {LIMIT:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A gateway's, an operator's or a member's requests to a control member.
#[test]
fn a_client_of_control_notices() {
    let executor = executor();
    let (_handle, address) = member(&executor, "client");
    let relay = Relay::start(address);
    let client = ControlClient::new(&executor, relay.address, key());
    within_limit("an answer at first", || is_answered(&client));
    for _ in 0..3 {
        relay.silence_open();
        within_limit("an answer on a new connection", || is_answered(&client));
    }
    let opened = relay.opened();
    assert!((0..5).all(|_| is_answered(&client)));
    assert_eq!(relay.opened(), opened, "a good connection is kept");
}

/// Takes the messages that come from a peer, as a member does: by its accept loop.
fn peer_inputs(executor: &Executor) -> (SocketAddr, Receiver<topazmount_control::MemberInput>) {
    let listener = block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let (shared, inputs) = topazmount::control_links::Shared::new();
    let accepting =
        topazmount::control_links::accept_loop(executor.clone(), listener, key(), shared);
    executor.spawn(accepting).detach();
    (address, inputs)
}

fn message(number: u64) -> Envelope {
    Envelope {
        from: MemberId(1),
        to: MemberId(2),
        term: number,
        message: Message::PreVoteReply { granted: true },
    }
}

/// Messages between members of the group go one way on a connection, so that nothing but the other side's word shows
/// that they arrive.
#[test]
fn a_link_between_members_notices() {
    let executor = executor();
    let (address, inputs) = peer_inputs(&executor);
    let relay = Relay::start(address);
    let own = "127.0.0.1:1".to_owned();
    let peers = Peers { executor, own, key: key(), meter: Default::default() };
    let queue = peers.open_queue(&relay.address.to_string());
    let mut number = 0;
    let mut arrives = || {
        while inputs.try_recv().is_ok() {}
        number += 1;
        queue.try_send(message(number)).unwrap();
        std::thread::sleep(HEARTBEAT);
        inputs.try_recv().is_ok()
    };
    within_limit("a message at first", &mut arrives);
    for _ in 0..3 {
        relay.silence_open();
        within_limit("a message on a new connection", &mut arrives);
    }
    let opened = relay.opened();
    assert!((0..10).all(|_| arrives()));
    assert_eq!(relay.opened(), opened, "a good connection is kept");
}

/// A link that rested is not taken for a silent one.
#[test]
fn a_link_that_rested_is_kept() {
    let executor = executor();
    let (address, inputs) = peer_inputs(&executor);
    let relay = Relay::start(address);
    let own = "127.0.0.1:1".to_owned();
    let peers = Peers { executor, own, key: key(), meter: Default::default() };
    let queue = peers.open_queue(&relay.address.to_string());
    for number in 0..2 {
        queue.try_send(message(number)).unwrap();
        within_limit("a message", || inputs.try_recv().is_ok());
        std::thread::sleep(Duration::from_millis(900));
    }
    assert_eq!(relay.opened(), 1);
}
