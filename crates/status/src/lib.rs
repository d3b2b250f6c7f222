//! Operational state of a sidecar process. [`lifecycle`] owns the stage of the process and [`metrics`] every metric; both
//! can be read from any thread without blocking. [`log_limiter`] limits the rate of log lines; [`resident_memory`] reads the memory of the process; [`duty_control`] connects
//! the operators' console with the duties.

#![forbid(unsafe_code)]

pub mod duty_control;
pub mod lifecycle;
pub mod log_limiter;
pub mod metrics;
pub mod resident_memory;

pub use lifecycle::{Lifecycle, Stage};
pub use log_limiter::LogLimiter;
pub use metrics::Metrics;
pub use resident_memory::{ResidentMemory, ResidentMeter};
