//! The operator's file: routes, pools, retry budgets and limits. They only ever narrow what the settings and the
//! decision module allow; the module still chooses servers and decides about retries and refusals.
//!
//! [`reader`] parses the text into the sections of [`file`](mod@file) and records the position of each key,
//! [`check`](mod@check) validates them against the settings and reports all faults at once, [`codes`] explains the faults,
//! [`routes`] finds the [`rule`] of a request, [`gate`] is the state machine that admits requests and retries, [`fleet`]
//! holds the fleet and its duties. No I/O, no clock.

#![forbid(unsafe_code)]

pub mod check;
pub mod codes;
pub mod duration;
pub mod fault;
pub mod file;
pub mod fleet;
pub mod gate;
mod names;
pub mod path;
pub mod reader;
pub mod routes;
pub mod rule;

pub use check::{Checked, check, check_without_settings};
pub use codes::Code;
pub use duration::{format_duration, parse_duration};
pub use fault::{Fault, Severity};
pub use file::{HedgeDelay, RetryBudget};
pub use fleet::{Call, Duty, Fleet, Voter};
pub use gate::{Admission, Gate, Refusal, RouteLoad};
pub use routes::{RequestAttributes, RuleSet};
pub use rule::{KeyLine, PoolChoice, PoolHealth, PoolRule, Rule};
