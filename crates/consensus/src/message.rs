//! Messages between members.

use crate::log::{Entry, Index, SnapshotMeta, Term};
use crate::membership::MemberId;
use serde::{Deserialize, Serialize};
use topazmount_types::Time;

/// A message with its sender and receiver. A receiver drops what is addressed to another identity:
/// after a lost disk the address is the same and the member is not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: MemberId,
    /// Receiver.
    pub to: MemberId,
    /// Sender's term; for a pre-vote the term it would stand in.
    pub term: Term,
    /// Content.
    pub message: Message,
}

/// When a follower replied, by its own clock. A leader returns it with its next append, by which the follower knows how
/// old that append is at most. The moment of arrival does not tell: appends wait in the sockets of a suspended machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyTimestamp {
    /// Process that last_reply: the clock of another one may differ.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Its clock.
    #[serde(rename = "at")]
    pub sent_at: Time,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether an election could be won, without disturbing anyone (thesis §9.6).
    PreVote {
        /// Candidate's last entry.
        last_index: Index,
        /// Its term.
        last_term: Term,
    },
    /// Answer to a pre-vote.
    PreVoteReply {
        /// Whether a vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Candidate's last entry.
        last_index: Index,
        /// Its term.
        last_term: Term,
        /// The old leader asked for this election, so its lease does not stand against it.
        transfer: bool,
    },
    /// Answer to a vote request.
    VoteReply {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries, or a heartbeat when there are none.
    Append {
        /// Entry just before the first one sent.
        previous_index: Index,
        /// Its term.
        previous_term: Term,
        /// Entries.
        entries: Vec<Entry>,
        /// Leader's commit position.
        commit: Index,
        /// Leader's clock at sending, echoed in the reply to measure the lease from.
        sent_at: Time,
        /// Newest reply of the receiver that the leader had; none where the leader can't vouch for its commit position.
        #[serde(rename = "returned", default)]
        echoed: Option<ReplyTimestamp>,
    },
    /// Answer to an append.
    AppendReply {
        /// Whether the entry before the first one matched.
        accepted: bool,
        /// If accepted, last entry known to match; else where the leader should try next.
        index: Index,
        /// Echo of the append's previous entry, by which the leader tells late rejections.
        previous_index: Index,
        /// Echo of the append's time.
        sent_at: Time,
        /// When this was sent; the first builds do not say it.
        #[serde(rename = "mark", default)]
        timestamp: Option<ReplyTimestamp>,
    },
    /// A piece of a snapshot.
    Snapshot {
        /// Place of the snapshot.
        meta: SnapshotMeta,
        /// Position of the piece in the data, in bytes.
        offset: u64,
        /// The piece.
        #[serde(with = "serde_bytes")]
        chunk: Vec<u8>,
        /// Whether it is the last.
        done: bool,
        /// Leader's clock at sending.
        sent_at: Time,
    },
    /// Answer to a piece.
    SnapshotReply {
        /// Snapshot that it is about.
        index: Index,
        /// Bytes received so far.
        received: u64,
        /// Echo of the message's time.
        sent_at: Time,
    },
    /// The leader asks the receiver to stand for election at once (thesis §3.10).
    TimeoutNow,
}
