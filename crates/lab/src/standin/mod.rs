//! Stand-ins for the systems around topazmount, as small HTTP servers.

pub mod application;
pub mod engine;
pub mod http;
pub mod machines;
