//! Policies compared on the same seeded traffic.

mod html;
mod measure;
mod plan;
mod plots;
mod statistics;
mod summary;

pub use measure::{Measures, measure};
pub use plan::{MidRunEvent, Plan, PolicyChoice, capacity, run_cell};
pub use statistics::{Comparison, Interval};
pub use summary::run;
