//! Requests to one control member over one connection, many at a time.

use crate::Executor;
use crate::frames::{self, ConnectLimit, FrameReader, FrameWriter};
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
/// Requests that wait for a connection.
const QUEUE: usize = 1_024;

type Answer = Box<dyn FnOnce(Option<Response>) + Send>;
type Pending = Arc<Mutex<HashMap<u64, Answer>>>;

/// A connection that is made when needed and made anew when it breaks.
#[derive(Clone)]
pub struct ControlClient {
    queue: Sender<(Request, Answer)>,
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
        let (queue, requests) = async_channel::bounded(QUEUE);
        let task = serve_queue(executor.clone(), address, key, requests, limit);
        executor.spawn(task).detach();
        ControlClient { queue }
    }

    /// Sends a request; `answer` is called once, with `None` when no answer can come.
    pub fn send(&self, request: Request, answer: impl FnOnce(Option<Response>) + Send + 'static) {
        if let Err(failed) = self.queue.try_send((request, Box::new(answer))) {
            let (_, answer) = failed.into_inner();
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
        frames::within(limit, async move {
            receiver.recv().await?.ok_or_else(|| eyre!("the control member is unreachable"))
        })
        .await
    }
}

async fn serve_queue(
    executor: Executor,
    address: SocketAddr,
    key: ClusterKey,
    requests: Receiver<(Request, Answer)>,
    mut limit: ConnectLimit,
) {
    while let Ok(first) = requests.recv().await {
        match frames::connect(address, &key, limit).await {
            Ok((writer, reader)) => {
                limit.succeeded();
                serve_connection(&executor, writer, reader, first, &requests).await;
            }
            Err(error) => {
                log::debug!("link: {address} is unreachable: {error}.");
                limit.failed();
                first.1(None);
                fail_queued(&requests);
                async_io::Timer::after(RECONNECT_PAUSE).await;
            }
        }
    }
}

fn fail_queued(requests: &Receiver<(Request, Answer)>) {
    while let Ok((_, answer)) = requests.try_recv() {
        answer(None);
    }
}

async fn serve_connection(
    executor: &Executor,
    mut writer: FrameWriter,
    reader: FrameReader,
    first: (Request, Answer),
    requests: &Receiver<(Request, Answer)>,
) {
    let pending = Pending::default();
    let (closed_sender, closed) = async_channel::bounded::<()>(1);
    let read = read_answers(reader, pending.clone(), closed_sender);
    let _reading = executor.spawn(read);
    let mut number = 0u64;
    let mut next = Some(first);
    loop {
        let (request, answer) = match next.take() {
            Some(first) => first,
            None => {
                let received =
                    futures_lite::future::or(async { requests.recv().await.ok() }, async {
                        let _ = closed.recv().await;
                        None
                    });
                match received.await {
                    Some(received) => received,
                    None => break,
                }
            }
        };
        number += 1;
        pending.lock().unwrap().insert(number, answer);
        if writer.send(&Frame::Request(number, request)).await.is_err() {
            break;
        }
    }
    let unanswered: Vec<Answer> =
        pending.lock().unwrap().drain().map(|(_, answer)| answer).collect();
    for answer in unanswered {
        answer(None);
    }
}

/// Ends when the connection does; `_closed` is dropped then, which wakes the writer.
async fn read_answers(mut reader: FrameReader, pending: Pending, _closed: Sender<()>) {
    while let Ok(Frame::Response(number, response)) = reader.receive::<Frame>().await {
        let answer = pending.lock().unwrap().remove(&number);
        if let Some(answer) = answer {
            answer(Some(response));
        }
    }
}
