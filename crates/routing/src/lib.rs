//! Which replica serves a request.
//!
//! [`Router`] keeps what a node knows of replicas and of their caches, and estimates for each
//! candidate the time to the first token. The built-in policy takes the least estimate; policy
//! programs ([`PolicyProgram`]) may decide instead.

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
