//! The list of servers as discovery tells it, followed through broken, silent and lying watches.
//!
//! Pure state machines, `(now, input) -> outputs`: no socket, no clock, no task. [`entry`] decodes what discovery
//! writes, [`lines`] cuts a watch into lines, [`table`] holds the list and judges each word against it, [`follow`]
//! decides which watches to open and to close, [`interest`] says whose servers are kept, [`snapshot`] keeps the list over a restart. A shell carries the
//! calls out and hands back what came.

#![forbid(unsafe_code)]

pub mod entry;
pub mod follow;
pub mod interest;
pub mod lines;
pub mod snapshot;
pub mod table;

pub use entry::{Entry, Listing};
pub use follow::{Ask, Cause, Figures, Follower, Health, Input, Output, WatchId};
pub use interest::Interest;
pub use lines::Lines;
pub use snapshot::Snapshot;
pub use table::{Anomaly, Delivery, ServerTable};
