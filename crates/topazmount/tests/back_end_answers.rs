//! What nodes make of the answers of applications and engines, with stand-ins that send raw bytes.

use async_io::block_on;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use topazmount::engine_client::{attempt, call_application};
use topazmount::http_pool::HttpPool;
use topazmount::http1::get;
use topazmount_node::{ActionFailure, AttemptFailure, Dispatch, NodeInput};
use topazmount_types::{
    ActionCall, AttemptId, ChatRequest, Digest, Endpoint, ModelId, Priority, ReplicaId, RequestId,
    TenantId, WeightsVersion,
};

/// Time for a caller to give up an answer without end.
const ENDLESS_LIMIT: Duration = Duration::from_secs(5);
/// Most bytes of an answer without end that may be taken: those that are kept, and the sockets' buffers.
const MAX_TAKEN: usize = 16 << 20;
/// Time for a document to arrive.
const DOCUMENT_LIMIT: Duration = Duration::from_millis(500);
const ATTEMPT: AttemptId = AttemptId(7);

/// A stand-in that answers one request with raw bytes, and repeats the last of them without end if
/// asked to.
struct StandIn {
    address: SocketAddr,
    written: Arc<AtomicUsize>,
    serving: JoinHandle<()>,
}

impl StandIn {
    fn start(begin: &[u8], endless: &[u8]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (begin, endless) = (begin.to_vec(), endless.repeat(16_384 / endless.len().max(1)));
        let written = Arc::new(AtomicUsize::new(0));
        let count = written.clone();
        let serving = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            stream.set_write_timeout(Some(ENDLESS_LIMIT)).unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let began = Instant::now();
            let mut sent = stream.write_all(&begin);
            while sent.is_ok() && !endless.is_empty() && began.elapsed() < ENDLESS_LIMIT {
                sent = stream.write_all(&endless);
                count.fetch_add(endless.len(), Ordering::SeqCst);
            }
        });
        StandIn { address, written, serving }
    }

    /// Waits until the caller has closed the connection; returns the bytes written.
    fn finish(self) -> usize {
        self.serving.join().unwrap();
        self.written.load(Ordering::SeqCst)
    }
}

fn call() -> ActionCall {
    ActionCall {
        tenant: TenantId(1),
        key: Digest::of(b"key"),
        key_text: "key".into(),
        service: "orders".into(),
        operation: "place".into(),
        body: "{}".into(),
        deadline: Duration::from_secs(5),
    }
}

/// Ends when a test no longer waits for the node.
async fn give_up() {
    async_io::Timer::after(2 * ENDLESS_LIMIT).await;
}

/// Makes a call and returns what the node is told of it.
fn call_at(address: SocketAddr) -> Vec<NodeInput> {
    let inputs = Mutex::new(Vec::new());
    let feed = |input| inputs.lock().unwrap().push(input);
    let call = call();
    block_on(futures_lite::future::or(
        call_application(address, "node", ATTEMPT, &call, feed),
        give_up(),
    ));
    inputs.into_inner().unwrap()
}

/// Makes an attempt at an engine and returns what the node is told of it.
fn attempt_at(address: SocketAddr) -> Vec<NodeInput> {
    let inputs = Mutex::new(Vec::new());
    let feed = |input| inputs.lock().unwrap().push(input);
    let chat = ChatRequest {
        endpoint: Endpoint::Chat,
        tenant: TenantId(1),
        model: ModelId::from_name("m"),
        weights: WeightsVersion::default(),
        priority: Priority::Interactive,
        stream: true,
        prompt_tokens: 1,
        max_tokens: 1,
        blocks: Arc::new([]),
        session: 0,
        body: "{}".into(),
        deadline: Duration::from_secs(5),
    };
    let dispatch = Dispatch {
        attempt: ATTEMPT,
        request: RequestId(1),
        replica: ReplicaId::from_name("e"),
        chat: Arc::new(chat),
        resume: None,
    };
    let pool = HttpPool::default();
    block_on(futures_lite::future::or(attempt(&pool, address, "node", dispatch, feed), give_up()));
    inputs.into_inner().unwrap()
}

#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell", 200)]
#[case::chunks(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n", 200)]
#[case::refusal(b"HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\nwell", 409)]
#[case::failure(b"HTTP/1.1 500 Failed\r\nContent-Length: 4\r\n\r\nwell", 500)]
#[case::interim_head(
    b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell",
    200
)]
fn answers_of_applications(#[case] answer: &[u8], #[case] status: u16) {
    let application = StandIn::start(answer, b"");
    let inputs = call_at(application.address);
    application.finish();
    let [NodeInput::ActionAnswered(ATTEMPT, result)] = &inputs[..] else { panic!("{inputs:?}") };
    assert_eq!((result.status, result.body.as_str()), (status, "well"));
}

/// The outcome of a call is unknown after a broken answer: it may have run.
#[rstest]
#[case::status_000(b"HTTP/1.1 000 X\r\nContent-Length: 6\r\n\r\nbroken")]
#[case::status_099(b"HTTP/1.1 099 X\r\nContent-Length: 6\r\n\r\nbroken")]
#[case::status_600(b"HTTP/1.1 600 X\r\nContent-Length: 6\r\n\r\nbroken")]
#[case::blank_in_a_name(b"HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 6\r\n\r\nbroken")]
#[case::control_byte_in_a_name(b"HTTP/1.1 200 OK\r\nA\x01: c\r\nContent-Length: 6\r\n\r\nbroken")]
#[case::bare_line_feeds(b"HTTP/1.1 200 OK\nContent-Length: 6\n\nbroken")]
#[case::line_feed_in_a_value(b"HTTP/1.1 200 OK\r\nA: b\nc: d\r\nContent-Length: 6\r\n\r\nbroken")]
#[case::interim_head_alone(b"HTTP/1.1 100 Continue\r\n\r\n")]
#[case::switching_protocols(b"HTTP/1.1 101 Switching Protocols\r\n\r\nbroken")]
#[case::two_lengths(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Length: 3\r\n\r\nbroken")]
#[case::unknown_coding(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbroken")]
#[case::no_length(b"HTTP/1.1 200 OK\r\n\r\nbroken")]
#[case::cut_in_the_head(b"HTTP/1.1 200 OK\r\nContent-Le")]
#[case::cut_in_the_status(b"HTTP/1.1 20")]
#[case::cut_in_the_length(b"HTTP/1.1 200 OK\r\nContent-Length: 1")]
#[case::cut_before_the_last_line_feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r")]
#[case::cut_in_the_body(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbroken")]
#[case::cut_in_the_chunks(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n")]
#[case::empty_chunk_size(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\r\n6\r\nbroken\r\n0\r\n\r\n"
)]
#[case::bytes(b"\x00\x01 broken\r\n\r\n")]
#[case::status_that_callers_cannot_be_given(b"HTTP/1.1 299 Odd\r\nContent-Length: 6\r\n\r\nbroken")]
fn broken_answers_of_applications(#[case] answer: &[u8]) {
    let application = StandIn::start(answer, b"");
    let inputs = call_at(application.address);
    application.finish();
    let is_lost = matches!(inputs[..], [NodeInput::ActionFailed(ATTEMPT, ActionFailure::Lost)]);
    assert!(is_lost, "{inputs:?}");
}

const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

#[rstest]
#[case::bytes(b"", b"\x01")]
#[case::line(b"HTTP/1.1 200 OK\r\nA: ", b"x")]
#[case::fields(b"HTTP/1.1 200 OK\r\n", b"A: b\r\n")]
#[case::interim_heads(b"", b"HTTP/1.1 100 Continue\r\n\r\n")]
#[case::chunk_size(CHUNKED, b"1")]
#[case::chunks(CHUNKED, b"4\r\nwell\r\n")]
#[case::trailers(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"A: b\r\n")]
#[case::body_until_close(b"HTTP/1.1 200 OK\r\n\r\n", b"x")]
#[case::long_body(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", b"x")]
fn answers_of_applications_without_end(#[case] begin: &[u8], #[case] endless: &[u8]) {
    let application = StandIn::start(begin, endless);
    let began = Instant::now();
    let inputs = call_at(application.address);
    let (took, taken) = (began.elapsed(), application.finish());
    let is_lost = matches!(inputs[..], [NodeInput::ActionFailed(ATTEMPT, ActionFailure::Lost)]);
    assert!(is_lost && took < ENDLESS_LIMIT, "{inputs:?} after {took:.1?}");
    assert!(taken < MAX_TAKEN, "{taken} bytes were taken");
}

#[test]
fn a_stream_of_an_engine_is_read_to_its_end() {
    let events = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]}\n\n\
                  data: [DONE]\n\n";
    let answer = format!(
        "HTTP/1.1 200 OK\r\nEngine-Load: 1,2,3\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n0\r\n\r\n",
        events.len()
    );
    let engine = StandIn::start(answer.as_bytes(), b"");
    let inputs = attempt_at(engine.address);
    engine.finish();
    let [
        NodeInput::Accepted { load: Some(load), .. },
        NodeInput::Tokens { text, .. },
        NodeInput::Finished { .. },
    ] = &inputs[..]
    else {
        panic!("{inputs:?}")
    };
    assert_eq!((load.running, text.as_str()), (1, "a"));
}

#[rstest]
#[case::status_000(b"HTTP/1.1 000 X\r\nContent-Length: 6\r\n\r\nbroken")]
#[case::status_999(b"HTTP/1.1 999 X\r\nContent-Length: 6\r\n\r\nbroken")]
#[case::blank_in_a_name(b"HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 6\r\n\r\nbroken")]
#[case::bare_line_feeds(b"HTTP/1.1 200 OK\nContent-Length: 14\n\ndata: [DONE]\n\n")]
#[case::interim_head_alone(b"HTTP/1.1 100 Continue\r\n\r\n")]
#[case::cut_in_the_status(b"HTTP/1.1 20")]
#[case::cut_in_a_name(b"HTTP/1.1 200 OK\r\nEngine-Lo")]
#[case::cut_in_the_length(b"HTTP/1.1 200 OK\r\nContent-Length: 1")]
#[case::cut_before_the_last_line_feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r")]
fn broken_answers_of_engines(#[case] answer: &[u8]) {
    let engine = StandIn::start(answer, b"");
    let inputs = attempt_at(engine.address);
    engine.finish();
    let is_lost = matches!(inputs[..], [NodeInput::Failed(ATTEMPT, AttemptFailure::Lost)]);
    assert!(is_lost, "{inputs:?}");
}

#[rstest]
#[case::bytes(b"", b"\x01")]
#[case::line(b"HTTP/1.1 200 OK\r\nA: ", b"x")]
#[case::fields(b"HTTP/1.1 200 OK\r\n", b"A: b\r\n")]
#[case::interim_heads(b"", b"HTTP/1.1 100 Continue\r\n\r\n")]
#[case::event(CHUNKED, b"4\r\nwell\r\n")]
fn answers_of_engines_without_end(#[case] begin: &[u8], #[case] endless: &[u8]) {
    let engine = StandIn::start(begin, endless);
    let began = Instant::now();
    let inputs = attempt_at(engine.address);
    let (took, taken) = (began.elapsed(), engine.finish());
    let is_lost = matches!(inputs.last(), Some(NodeInput::Failed(ATTEMPT, AttemptFailure::Lost)));
    assert!(is_lost && took < ENDLESS_LIMIT, "{inputs:?} after {took:.1?}");
    assert!(taken < MAX_TAKEN, "{taken} bytes were taken");
}

/// Gets a document as nodes get the platform's list of machines and operators a node's metrics.
fn document_at(address: SocketAddr) -> eyre::Result<Vec<u8>> {
    block_on(get(address, "/machines", 1_000, DOCUMENT_LIMIT))
}

#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell")]
#[case::chunks(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n")]
fn documents(#[case] answer: &[u8]) {
    let server = StandIn::start(answer, b"");
    assert_eq!(document_at(server.address).unwrap(), b"well");
    server.finish();
}

#[rstest]
#[case::status_000(b"HTTP/1.1 000 X\r\nContent-Length: 6\r\n\r\nbroken")]
#[case::failure(b"HTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nbroken")]
#[case::bare_line_feeds(b"HTTP/1.1 200 OK\nContent-Length: 6\n\nbroken")]
#[case::cut_in_the_body(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbroken")]
#[case::no_length(b"HTTP/1.1 200 OK\r\n\r\nbroken")]
#[case::cut_in_the_status(b"HTTP/1.1 20")]
#[case::cut_in_the_length(b"HTTP/1.1 200 OK\r\nContent-Length: 1")]
#[case::cut_before_the_last_line_feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r")]
fn broken_documents(#[case] answer: &[u8]) {
    let server = StandIn::start(answer, b"");
    let document = document_at(server.address);
    server.finish();
    assert!(document.is_err(), "{document:?}");
}

#[rstest]
#[case::line(b"HTTP/1.1 200 OK\r\nA: ", b"x")]
#[case::chunks(CHUNKED, b"4\r\nwell\r\n")]
#[case::interim_heads(b"", b"HTTP/1.1 100 Continue\r\n\r\n")]
fn documents_without_end(#[case] begin: &[u8], #[case] endless: &[u8]) {
    let server = StandIn::start(begin, endless);
    let document = document_at(server.address);
    let taken = server.finish();
    assert!(document.is_err(), "{document:?}");
    assert!(taken < MAX_TAKEN, "{taken} bytes were taken");
}

#[test]
fn a_document_that_does_not_come_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let began = Instant::now();
    assert!(document_at(listener.local_addr().unwrap()).is_err());
    assert!(began.elapsed() < ENDLESS_LIMIT);
}
