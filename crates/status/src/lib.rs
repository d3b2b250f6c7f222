//! What a sidecar tells of itself. [`lifecycle`] owns the stage of the process, [`metrics`] every figure; both are read
//! from any thread, and nothing there waits. [`log_limiter`] keeps lines of the log rare; [`duty_control`] stands between
//! console and duties.

#![forbid(unsafe_code)]

pub mod duty_control;
pub mod lifecycle;
pub mod log_limiter;
pub mod metrics;

pub use lifecycle::{Lifecycle, Stage};
pub use log_limiter::LogLimiter;
pub use metrics::Metrics;
