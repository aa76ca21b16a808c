//! Connections of a control member: messages to and from its peers, requests and their answers.

use crate::Executor;
use crate::frames::{self, ConnectLimit, FrameReader, FrameWriter};
use crate::message_meter::{MessageMeter, Way};
use crate::silence::{LINK_SILENCE, Traffic};
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_net::{TcpListener, TcpStream};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use topazmount_consensus::Envelope;
use topazmount_control::{Frame, MemberInput, Response, RolloutEvent, Token};
use topazmount_wire::{ClusterKey, ProtocolVersion};

/// Messages that wait for a peer; older ones are resent by the log anyway.
const PEER_QUEUE: usize = 256;
/// Requests of one connection that wait for their answers; further ones stay unread until one of
/// these is answered. A gateway has one or two, a member that forwards replicas' calls some dozens.
const MAX_UNANSWERED: usize = 64;
/// Acknowledgements and answers that wait on one connection; acknowledgements beyond it are left out.
const MAX_QUEUED: usize = 2 * MAX_UNANSWERED;
/// Pause after a failed connection to a peer.
const PEER_PAUSE: Duration = Duration::from_millis(100);
/// Rest after which an incoming connection is closed: nobody who still uses one is silent for so long, and one that went
/// silent would hold a descriptor for ever.
const LONGEST_REST: Duration = Duration::from_secs(60);

/// A frame that waits to be sent. The queue allocates its slots as they are needed, and a slot is
/// small, since a member has a connection of each gateway.
type Queued = (Box<Frame>, Option<Unanswered>);

/// Counts a request as unanswered until this is dropped, which happens once the answer was sent or
/// can't be sent any more.
pub(crate) struct Unanswered(Receiver<()>);

impl Drop for Unanswered {
    fn drop(&mut self) {
        let _ = self.0.try_recv();
    }
}

/// Who waits for an answer.
pub(crate) enum Requester {
    /// A peer, by the number of its request on its connection.
    Connection { answers: Sender<Queued>, number: u64, unanswered: Unanswered },
    /// A task of this process.
    Local(Sender<Response>),
}

/// What connections hand to the member, and who waits for its answers.
pub struct Shared {
    pub(crate) inputs: Sender<MemberInput>,
    pub(crate) waiting: Mutex<Waiting>,
    /// What its messages cost.
    pub(crate) meter: Arc<MessageMeter>,
    /// Newest plan of each service's roll-out.
    pub(crate) plans: Mutex<BTreeMap<String, RolloutEvent>>,
}

#[derive(Default)]
pub(crate) struct Waiting {
    next_token: u64,
    pub(crate) requesters: HashMap<Token, Requester>,
}

impl Shared {
    /// Nobody waits; the second part is what the member takes its inputs from.
    pub fn new() -> (Arc<Self>, Receiver<MemberInput>) {
        let (inputs, receiver) = async_channel::unbounded();
        let (waiting, meter) = Default::default();
        (Arc::new(Shared { inputs, waiting, meter, plans: Mutex::default() }), receiver)
    }

    pub(crate) fn add(&self, requester: Requester) -> Token {
        let mut waiting = self.waiting.lock().unwrap();
        waiting.next_token += 1;
        let token = Token(waiting.next_token);
        waiting.requesters.insert(token, requester);
        token
    }
}

/// Connections of this member to its peers.
pub struct Peers {
    /// Runs their tasks.
    pub executor: Executor,
    /// Address at which this member listens for peers.
    pub own: String,
    /// Key of all connections of the group.
    pub key: ClusterKey,
    /// Where messages are counted.
    pub meter: Arc<MessageMeter>,
}

impl Peers {
    /// A queue whose task keeps a connection to the peer.
    pub fn open_queue(&self, address: &str) -> Sender<Envelope> {
        let (sender, receiver) = async_channel::bounded(PEER_QUEUE);
        if let Ok(address) = address.parse() {
            let link = PeerLink {
                executor: self.executor.clone(),
                address,
                own: self.own.clone(),
                key: self.key.clone(),
                limit: ConnectLimit::default(),
                meter: self.meter.clone(),
            };
            self.executor.spawn(link.run(receiver)).detach();
        }
        sender
    }
}

/// Keeps a connection to one peer.
struct PeerLink {
    executor: Executor,
    address: SocketAddr,
    own: String,
    key: ClusterKey,
    limit: ConnectLimit,
    meter: Arc<MessageMeter>,
}

/// An open connection to a peer.
struct OpenLink {
    writer: FrameWriter,
    traffic: Arc<Traffic>,
    /// Ends with the connection.
    reading: Task<()>,
}

impl OpenLink {
    /// Whether a message that is sent now may arrive.
    fn is_good(&self) -> bool {
        !self.reading.is_finished() && !self.traffic.is_silent(LINK_SILENCE)
    }
}

impl PeerLink {
    /// Sends what is queued until the member stops. What can't be sent is lost; the log sends it again.
    async fn run(mut self, queue: Receiver<Envelope>) {
        let mut open: Option<OpenLink> = None;
        while let Ok(envelope) = queue.recv().await {
            if open.as_ref().is_some_and(|link| link.traffic.is_silent(LINK_SILENCE)) {
                log::info!("link: event=silent peer={}", self.address);
            }
            open = open.filter(OpenLink::is_good);
            if open.is_none() {
                open = self.connect().await;
                if open.is_none() {
                    while queue.try_recv().is_ok() {}
                }
            }
            let Some(link) = &mut open else { continue };
            link.traffic.sent();
            let frame = Frame::Peer(self.own.clone(), envelope);
            // A peer that does not read would hold the queue up for ever.
            match frames::within(LINK_SILENCE, link.writer.send(&frame)).await {
                Ok(cost) => self.meter.count(Way::Out, frame.kind(), cost),
                Err(_) => open = None,
            }
        }
    }

    async fn connect(&mut self) -> Option<OpenLink> {
        match frames::connect(self.address, &self.key, self.limit).await {
            Ok((writer, reader)) => {
                self.limit.succeeded();
                let traffic = Arc::new(Traffic::default());
                let reading = self.executor.spawn(note_word(reader, traffic.clone()));
                Some(OpenLink { writer, traffic, reading })
            }
            Err(_) => {
                self.limit.failed();
                async_io::Timer::after(PEER_PAUSE).await;
                None
            }
        }
    }
}

/// Notes that a peer has heard something, until the connection ends.
async fn note_word(mut reader: FrameReader, traffic: Arc<Traffic>) {
    while reader.receive().await.is_ok() {
        traffic.heard();
    }
}

/// Serves connections of peers and of those who ask, for ever.
pub async fn accept_loop(
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
    if reader.form() < ProtocolVersion::LATEST {
        log::info!("link: event=older_form peer={peer} form={}", reader.form().name());
    }
    let (answers, queue) = async_channel::unbounded();
    let _writing = executor.spawn(write_answers(writer, queue, shared.meter.clone()));
    let reason = read_requests(&mut reader, &answers, &shared).await;
    log::debug!("link: {peer} closed: {reason}.");
}

async fn write_answers(mut writer: FrameWriter, queue: Receiver<Queued>, meter: Arc<MessageMeter>) {
    while let Ok((frame, _unanswered)) = queue.recv().await {
        match writer.send(&frame).await {
            Ok(cost) => meter.count(Way::Out, frame.kind(), cost),
            Err(_) => return,
        }
    }
}

async fn read_requests(
    reader: &mut FrameReader,
    answers: &Sender<Queued>,
    shared: &Shared,
) -> eyre::Report {
    let (slots, taken) = async_channel::bounded(MAX_UNANSWERED);
    loop {
        let (frame, cost) = match frames::within(LONGEST_REST, reader.receive_with_cost()).await {
            Ok(received) => received,
            Err(error) => return error,
        };
        let frame: Frame = frame;
        shared.meter.count(Way::In, frame.kind(), cost);
        let input = match frame {
            Frame::Peer(address, envelope) => {
                // Where the queue is full there are other answers to hear.
                if answers.len() < MAX_QUEUED {
                    let _ = answers.try_send((Box::new(Frame::Ack), None));
                }
                MemberInput::Peer(address, envelope)
            }
            Frame::Request(number, request) => {
                // A requester that does not read its answers would hold the connection for ever.
                let waiting = async { Ok(slots.send(()).await?) };
                if let Err(error) = frames::within(LONGEST_REST, waiting).await {
                    return error.wrap_err("too many unanswered requests");
                }
                let unanswered = Unanswered(taken.clone());
                let answers = answers.clone();
                let requester = Requester::Connection { answers, number, unanswered };
                MemberInput::Request(shared.add(requester), request)
            }
            Frame::Response(..) | Frame::Ack => {
                return eyre::eyre!("an answer to nothing that was asked");
            }
        };
        if shared.inputs.send(input).await.is_err() {
            return eyre::eyre!("the process is stopping");
        }
    }
}
