//! Stand-ins, simulator, experiments and load for topazmount.

pub mod cli;
pub mod client;
pub mod command;
pub mod control_scale;
pub mod embedded;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod load;
pub mod local;
pub mod parallel;
pub mod scale;
pub mod sim;
pub mod simulate;
pub mod standin;
pub mod workload;
