//! Replicated log as a pure state machine.
//!
//! [`RaftMember`] implements Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014, cited
//! below as "thesis") with pre-vote (§9.6), quorum check and leader lease (§6.2, §6.4.1),
//! single-server membership change (§4.1), learners (§4.2.1), snapshots (§5) and leadership
//! transfer (§3.10). It performs no I/O and reads no clock: the driver passes in messages and the
//! time, takes a [`Ready`] batch, makes its state durable, and only then sends its messages and
//! applies its entries. [`Wal`] is the durable log, stored on a [`Disk`] that the driver provides.

mod config;
mod disk;
mod election;
mod liveness;
mod log;
mod member;
mod membership;
mod memory_disk;
mod message;
mod progress;
mod ready;
mod record;
mod replication;
mod shared_disk;
mod wal;

pub use config::Config;
pub use disk::{Disk, DiskError};
pub use log::{Entry, Index, Log, Payload, Snapshot, SnapshotMeta, Term};
pub use member::{ProposeError, RaftMember, Role};
pub use membership::{MemberId, MemberInfo, Membership, MembershipChange, MembershipStatus};
pub use memory_disk::MemoryDisk;
pub use message::{Envelope, Message};
pub use ready::{HardState, Ready};
pub use shared_disk::SharedDisk;
pub use wal::{RecoveredState, Wal, WalError};
