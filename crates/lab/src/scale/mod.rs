//! What each role costs, as slopes over sizes that fit on one machine.
//!
//! The product's cores run without payload on a virtual clock; processor time is that of the
//! thread, memory is what the process grew by.

mod control;
mod declared;
mod fit;
mod hollow;
mod meter;
mod node;
mod page;
mod summary;

pub use fit::{Fit, fit};
pub use meter::{resident_bytes, thread_time};
pub use page::{Row, TARGET, rows};
pub use summary::{Measured, run};
