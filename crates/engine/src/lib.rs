//! Request handling between the fronts, the decision module and the transports: a request is received from a front,
//! sent to servers as the decision module chooses, and answered exactly once.
//!
//! [`core`] is a pure state machine, `input(now, input, outputs)`, without clock, task or socket. Payloads and bodies
//! are opaque to it. [`messages`] has its inputs and outputs. [`server_table`] maps servers to their ids, [`pools`]
//! runs one decision module per pool, [`timers`] is the timer queue, and [`shadow`] evaluates a second decision module
//! in shadow mode. [`shell`] is the actor that drives the core on the real clock; a simulation drives it on a clock of
//! its own.

#![forbid(unsafe_code)]

#[cfg(feature = "shell")]
pub mod clock;
pub mod core;
pub mod messages;
pub mod pools;
pub mod server_table;
pub mod shadow;
#[cfg(feature = "shell")]
pub mod shell;
pub mod timers;

pub use crate::core::Engine;
pub use messages::{Answer, Completion, Counters, Endpoint, Input, Output, RequestInfo};
pub use pools::PoolId;
pub use server_table::ServerTable;
pub use shadow::Shadow;
