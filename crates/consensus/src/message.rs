//! Messages between the members of a group.

use crate::log::{Entry, Index, SnapshotMeta, Term};
use crate::membership::MemberId;
use serde::{Deserialize, Serialize};
use topazmount_types::Time;

/// A message with its sender and receiver. A member drops messages to another identity: after the
/// loss of a disk, a new member can have the same address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: MemberId,
    /// Receiver.
    pub to: MemberId,
    /// Sender's term; in a pre-vote, the term of the proposed election.
    pub term: Term,
    /// Content.
    pub message: Message,
}

/// Time of a reply by the follower's clock. The leader echoes it in its next append, which gives
/// the follower an upper bound of the age of that append. Arrival times give none: appends can wait
/// in the socket buffers of a suspended machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyTimestamp {
    /// Process that replied; clocks of different processes are not compared.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time of the reply by that process's clock.
    #[serde(rename = "at")]
    pub sent_at: Time,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether an election could be won, without incrementing the term (thesis §9.6).
    PreVote {
        /// Index of the candidate's last entry.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Reply to a pre-vote.
    PreVoteReply {
        /// Whether the sender would vote for the candidate.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Index of the candidate's last entry.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
        /// Whether the leader requested this election, which overrides its lease.
        transfer: bool,
    },
    /// Reply to a vote request.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries, or a heartbeat when there are none.
    Append {
        /// Index of the entry before the first one sent.
        previous_index: Index,
        /// Term of that entry.
        previous_term: Term,
        /// Entries.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: Index,
        /// Send time by the leader's clock; echoed in the reply to compute the lease.
        sent_at: Time,
        /// Timestamp of the receiver's latest reply; `None` if the leader can't confirm its commit
        /// index.
        #[serde(rename = "returned", default)]
        echoed: Option<ReplyTimestamp>,
    },
    /// Reply to an append.
    AppendReply {
        /// Whether the previous entry matched the receiver's log.
        accepted: bool,
        /// If accepted, index of the last matching entry; otherwise the index after which the
        /// leader should retry.
        index: Index,
        /// `previous_index` of the append, by which the leader detects outdated rejections.
        previous_index: Index,
        /// `sent_at` of the append.
        sent_at: Time,
        /// When this reply was sent; `None` from legacy builds.
        #[serde(rename = "mark", default)]
        timestamp: Option<ReplyTimestamp>,
    },
    /// A chunk of a snapshot.
    Snapshot {
        /// Position of the snapshot in the log.
        meta: SnapshotMeta,
        /// Offset of the chunk in the snapshot data, in bytes.
        offset: u64,
        /// Chunk data.
        #[serde(with = "serde_bytes")]
        chunk: Vec<u8>,
        /// Whether this is the last chunk.
        done: bool,
        /// Send time by the leader's clock.
        sent_at: Time,
    },
    /// Reply to a snapshot chunk.
    SnapshotReply {
        /// Index of the snapshot.
        index: Index,
        /// Bytes received so far.
        received: u64,
        /// `sent_at` of the chunk.
        sent_at: Time,
    },
    /// Tells the receiver to start an election immediately (thesis §3.10).
    TimeoutNow,
}
