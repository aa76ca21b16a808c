//! Shells around the cores: HTTP, sockets, disk, timers, command line and wiring.
//!
//! No decision is taken here. Shells turn bytes into inputs of a core and its outputs into bytes,
//! so that whatever matters can also run in the simulator.

pub mod api;
pub mod body;
pub mod callers;
pub mod chat_api;
pub mod cli;
pub mod clock;
pub mod configuration_file;
pub mod control_client;
pub mod control_links;
mod control_log;
pub mod control_process;
pub mod engine_client;
pub mod file_disk;
pub mod fleet;
pub mod frames;
pub mod http1;
pub mod http_guard;
pub mod http_pool;
pub mod logging;
pub mod message_meter;
pub mod metrics;
pub mod node_process;
pub mod operator;
pub mod ordered_lock;
pub mod runtime;
pub mod silence;
pub mod sse;

/// Executor on which all tasks of a process run.
pub type Executor = std::sync::Arc<async_executor::Executor<'static>>;
