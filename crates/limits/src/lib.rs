//! The operator's file: routes, pools, retry budgets and limits. They only ever narrow what the settings and the
//! decision module allow; the module still chooses servers and decides about retries and refusals.
//!
//! [`file`] parses the text and records the position of each key, [`check`](mod@check) validates it against the settings
//! and reports all faults at once, [`codes`] explains them, [`routes`] finds the route of a request, [`gate`] is the state
//! machine that admits requests and retries, [`fleet`] holds the fleet and its duties. No I/O, no clock.

#![forbid(unsafe_code)]

pub mod check;
pub mod codes;
pub mod file;
pub mod fleet;
pub mod gate;
pub mod routes;

pub use check::{Checked, check, check_without_settings};
pub use codes::Code;
pub use file::{Fault, HedgeDelay, RetryBudget, Severity, format_duration, parse_duration};
pub use fleet::{Call, Duty, Fleet, Voter};
pub use gate::{Admission, Gate, Refusal, RouteLoad};
pub use routes::{KeyLine, PoolChoice, PoolHealth, PoolRule, RequestAttributes, Rule, RuleSet};
