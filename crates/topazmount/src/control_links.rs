//! Connections of a control member: messages to and from its peers, requests and their answers.

use crate::Executor;
use crate::frames::{self, ConnectLimit, FrameReader, FrameWriter};
use async_channel::{Receiver, Sender};
use async_net::{TcpListener, TcpStream};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use topazmount_consensus::Envelope;
use topazmount_control::{Frame, MemberInput, Response, Token};
use topazmount_wire::ClusterKey;

/// Messages that wait for a peer; older ones are resent by the log anyway.
const PEER_QUEUE: usize = 256;
/// Answers that wait on one connection.
const ANSWER_QUEUE: usize = 1_024;
/// Pause after a failed connection to a peer.
const PEER_PAUSE: Duration = Duration::from_millis(100);

/// Who waits for an answer.
pub(crate) enum Requester {
    /// A peer, by the number of its request on its connection.
    Connection { answers: Sender<Frame>, number: u64 },
    /// A task of this process.
    Local(Sender<Response>),
}

pub(crate) struct Shared {
    pub(crate) inputs: Sender<MemberInput>,
    pub(crate) waiting: Mutex<Waiting>,
}

#[derive(Default)]
pub(crate) struct Waiting {
    next_token: u64,
    pub(crate) requesters: HashMap<Token, Requester>,
}

impl Shared {
    pub(crate) fn add(&self, requester: Requester) -> Token {
        let mut waiting = self.waiting.lock().unwrap();
        waiting.next_token += 1;
        let token = Token(waiting.next_token);
        waiting.requesters.insert(token, requester);
        token
    }
}

pub(crate) struct Peers {
    pub(crate) executor: Executor,
    pub(crate) own: String,
    pub(crate) key: ClusterKey,
}

impl Peers {
    /// A queue whose task keeps a connection to the peer.
    pub(crate) fn open_queue(&self, address: &str) -> Sender<Envelope> {
        let (sender, receiver) = async_channel::bounded(PEER_QUEUE);
        if let Ok(address) = address.parse() {
            let task = send_to_peer(address, self.own.clone(), self.key.clone(), receiver);
            self.executor.spawn(task).detach();
        }
        sender
    }
}

async fn send_to_peer(
    address: SocketAddr,
    own: String,
    key: ClusterKey,
    queue: Receiver<Envelope>,
) {
    let mut writer: Option<FrameWriter> = None;
    let mut limit = ConnectLimit::default();
    while let Ok(envelope) = queue.recv().await {
        if writer.is_none() {
            writer = match frames::connect(address, &key, limit).await {
                Ok((writer, _)) => {
                    limit.succeeded();
                    Some(writer)
                }
                Err(_) => {
                    limit.failed();
                    async_io::Timer::after(PEER_PAUSE).await;
                    while queue.try_recv().is_ok() {}
                    None
                }
            };
        }
        if let Some(open) = &mut writer
            && open.send(&Frame::Peer(own.clone(), envelope)).await.is_err()
        {
            writer = None;
        }
    }
}

pub(crate) async fn accept_loop(
    executor: Executor,
    listener: TcpListener,
    key: ClusterKey,
    shared: Arc<Shared>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let serving = serve(executor.clone(), stream, peer, key.clone(), shared.clone());
                executor.spawn(serving).detach();
            }
            Err(error) => {
                log::warn!("control: accepting failed: {error}.");
                async_io::Timer::after(PEER_PAUSE).await;
            }
        }
        if shared.inputs.is_closed() {
            return;
        }
    }
}

async fn serve(
    executor: Executor,
    stream: TcpStream,
    peer: SocketAddr,
    key: ClusterKey,
    shared: Arc<Shared>,
) {
    let (writer, mut reader) = match frames::accept(stream, &key).await {
        Ok(halves) => halves,
        Err(error) => {
            log::warn!("link: {peer} refused: {error}.");
            return;
        }
    };
    let (answers, queue) = async_channel::bounded(ANSWER_QUEUE);
    let _writing = executor.spawn(write_answers(writer, queue));
    let reason = read_requests(&mut reader, &answers, &shared).await;
    log::debug!("link: {peer} closed: {reason}.");
}

async fn write_answers(mut writer: FrameWriter, queue: Receiver<Frame>) {
    while let Ok(frame) = queue.recv().await {
        if writer.send(&frame).await.is_err() {
            return;
        }
    }
}

async fn read_requests(
    reader: &mut FrameReader,
    answers: &Sender<Frame>,
    shared: &Shared,
) -> eyre::Report {
    loop {
        let input = match reader.receive::<Frame>().await {
            Ok(Frame::Peer(address, envelope)) => MemberInput::Peer(address, envelope),
            Ok(Frame::Request(number, request)) => {
                let requester = Requester::Connection { answers: answers.clone(), number };
                MemberInput::Request(shared.add(requester), request)
            }
            Ok(Frame::Response(..)) => return eyre::eyre!("a response that nobody asked for"),
            Err(error) => return error,
        };
        if shared.inputs.send(input).await.is_err() {
            return eyre::eyre!("the process is stopping");
        }
    }
}
