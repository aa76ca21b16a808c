//! Requests to one control member over one connection, many at a time.

use crate::Executor;
use crate::frames::{self, ConnectLimit, FrameReader, FrameWriter};
use crate::silence::{LINK_SILENCE, Traffic};
use async_channel::{Receiver, Sender};
use eyre::{Result, eyre};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use topazmount_control::{Frame, Request, Response};
use topazmount_wire::ClusterKey;

/// Pause after a failed connection, during which requests fail at once.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for a request to go out: a member that does not read is as good as silent.
const SEND_LIMIT: Duration = Duration::from_millis(1_000);
/// Requests that wait for a connection. The queue allocates its slots as they are needed, since each
/// gateway has a client of each member.
const MAX_QUEUED: usize = 1_024;

type Answer = Box<dyn FnOnce(Option<Response>) + Send>;
type Asked = Box<(Request, Answer)>;
type Pending = Arc<Mutex<HashMap<u64, Answer>>>;

/// A connection that is made when needed and made anew when it breaks.
#[derive(Clone)]
pub struct ControlClient {
    queue: Sender<Asked>,
    /// Tells that an answer did not come in its time.
    doubts: Sender<()>,
}

impl ControlClient {
    /// A client of the member at `address`.
    pub fn new(executor: &Executor, address: SocketAddr, key: ClusterKey) -> Self {
        Self::with_limit(executor, address, key, ConnectLimit::default())
    }

    /// A client whose first try to connect has a limit that was learned before.
    pub fn with_limit(
        executor: &Executor,
        address: SocketAddr,
        key: ClusterKey,
        limit: ConnectLimit,
    ) -> Self {
        let (queue, requests) = async_channel::unbounded();
        let (doubts, doubted) = async_channel::bounded(1);
        let executor = executor.clone();
        let link = Link { executor: executor.clone(), address, key, requests, doubted };
        executor.spawn(link.run(limit)).detach();
        ControlClient { queue, doubts }
    }

    /// Sends a request; `answer` is called once, with `None` when no answer can come.
    pub fn send(&self, request: Request, answer: impl FnOnce(Option<Response>) + Send + 'static) {
        if self.queue.len() >= MAX_QUEUED {
            return answer(None);
        }
        if let Err(failed) = self.queue.try_send(Box::new((request, Box::new(answer)))) {
            let (_, answer) = *failed.into_inner();
            answer(None);
        }
    }

    /// Sends a request and waits for the answer.
    ///
    /// # Errors
    /// When no answer comes within `limit`.
    pub async fn ask(&self, request: Request, limit: Duration) -> Result<Response> {
        let (sender, receiver) = async_channel::bounded(1);
        self.send(request, move |response| {
            let _ = sender.try_send(response);
        });
        let answered = frames::within(limit, async { Ok(receiver.recv().await?) }).await;
        let Ok(answer) = answered else {
            // A doubt that waits already says as much.
            let _ = self.doubts.try_send(());
            return Err(eyre!("no answer within {limit:?}"));
        };
        answer.ok_or_else(|| eyre!("the control member is unreachable"))
    }
}

/// What keeps the connection of a client.
struct Link {
    executor: Executor,
    address: SocketAddr,
    key: ClusterKey,
    requests: Receiver<Asked>,
    doubted: Receiver<()>,
}

/// What a connection waits for.
enum Next {
    Request(Asked),
    Doubt,
    Ended,
}

impl Link {
    async fn run(self, mut limit: ConnectLimit) {
        while let Ok(first) = self.requests.recv().await {
            match frames::connect(self.address, &self.key, limit).await {
                Ok((writer, reader)) => {
                    limit.succeeded();
                    self.serve_connection(writer, reader, first).await;
                }
                Err(error) => {
                    log::debug!("link: {} is unreachable: {error}.", self.address);
                    limit.failed();
                    first.1(None);
                    fail_queued(&self.requests);
                    async_io::Timer::after(RECONNECT_PAUSE).await;
                }
            }
        }
    }

    /// Sends requests until the connection ends, or has gone silent.
    async fn serve_connection(&self, mut writer: FrameWriter, reader: FrameReader, first: Asked) {
        let pending = Pending::default();
        let traffic = Arc::new(Traffic::default());
        let (closed_sender, closed) = async_channel::bounded::<()>(1);
        let read = read_answers(reader, pending.clone(), traffic.clone(), closed_sender);
        let _reading = self.executor.spawn(read);
        let mut number = 0u64;
        let mut next = Next::Request(first);
        loop {
            match next {
                Next::Request(asked) => {
                    let (request, answer) = *asked;
                    number += 1;
                    pending.lock().unwrap().insert(number, answer);
                    traffic.sent();
                    let frame = Frame::Request(number, request);
                    if frames::within(SEND_LIMIT, writer.send(&frame)).await.is_err() {
                        break;
                    }
                }
                // A request without an answer is no sign by itself: its limit may have been a few milliseconds.
                Next::Doubt if traffic.is_silent(LINK_SILENCE) => {
                    log::info!("link: event=silent member={}", self.address);
                    break;
                }
                Next::Doubt => {}
                Next::Ended => break,
            }
            next = self.next(&closed).await;
        }
        let unanswered: Vec<Answer> =
            pending.lock().unwrap().drain().map(|(_, answer)| answer).collect();
        for answer in unanswered {
            answer(None);
        }
    }

    async fn next(&self, closed: &Receiver<()>) -> Next {
        let request = async {
            match self.requests.recv().await {
                Ok(asked) => Next::Request(asked),
                Err(_) => Next::Ended,
            }
        };
        let doubt = async {
            match self.doubted.recv().await {
                Ok(()) => Next::Doubt,
                // The last client is gone; what was asked may still be answered.
                Err(_) => futures_lite::future::pending().await,
            }
        };
        let ended = async {
            let _ = closed.recv().await;
            Next::Ended
        };
        futures_lite::future::or(ended, futures_lite::future::or(doubt, request)).await
    }
}

fn fail_queued(requests: &Receiver<Asked>) {
    while let Ok(asked) = requests.try_recv() {
        (asked.1)(None);
    }
}

/// Ends when the connection does; `_closed` is dropped then, which wakes the writer.
async fn read_answers(
    mut reader: FrameReader,
    pending: Pending,
    traffic: Arc<Traffic>,
    _closed: Sender<()>,
) {
    while let Ok(Frame::Response(number, response)) = reader.receive().await {
        traffic.heard();
        let answer = pending.lock().unwrap().remove(&number);
        if let Some(answer) = answer {
            answer(Some(response));
        }
    }
}
