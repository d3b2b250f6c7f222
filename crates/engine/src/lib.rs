//! Request handling between the fronts, the decision module and the transports: a request is received from a front,
//! sent to servers as the decision module chooses, and answered exactly once.
//!
//! [`core`] is a pure state machine, `input(now, input, outputs)`, without clock, task or socket. Payloads and bodies
//! are opaque to it. [`places`] maps servers to their ids, [`pools`] runs one decision module per pool, [`timers`] is
//! the timer queue, and [`watch`] evaluates a second decision module in shadow mode. [`shell`] is the actor that
//! drives the core on the real clock; a simulation drives it on a clock of its own.

#![forbid(unsafe_code)]

#[cfg(feature = "shell")]
pub mod clock;
pub mod core;
pub mod places;
pub mod pools;
#[cfg(feature = "shell")]
pub mod shell;
pub mod timers;
pub mod watch;

pub use crate::core::{Answer, Ask, Ended, Engine, Input, Output, Tally};
pub use places::Places;
pub use pools::SlotId;
pub use watch::Watch;
