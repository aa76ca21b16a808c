//! Choice of the replica that serves a request.
//!
//! [`Router`] tracks the state of replicas and their caches, and estimates the time to the first
//! token for each candidate. The built-in policy takes the lowest estimate; policy programs
//! ([`PolicyProgram`]) can decide instead.

mod built_in;
mod cache_view;
mod candidate;
mod home;
mod policy_table;
mod prefix;
mod program;
mod replica;
mod router;

pub use built_in::choose as built_in_choice;
pub use cache_view::CacheView;
pub use candidate::{Candidate, RouteRequest};
pub use home::rendezvous_weight;
pub use policy_table::{BUILT_IN, PolicyCounters, PolicyTable, ShareSettings};
pub use prefix::{BlockHasher, block_hashes};
pub use program::{PolicyFailure, PolicyProgram, ProgramError, ProgramLimits};
pub use replica::{LoadReport, ReplicaDescription, ReplicaState, ReplicaStatus};
pub use router::{CacheReport, Decision, Oracle, Router, RouterSettings, Target};
