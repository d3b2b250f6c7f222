//! What a sidecar tells of itself. [`lifecycle`] owns the stage of the process, [`metrics`] every figure. Both are read
//! from any thread; nothing here waits.

#![forbid(unsafe_code)]

pub mod lifecycle;
pub mod metrics;

pub use lifecycle::{Lifecycle, Stage};
pub use metrics::Metrics;
