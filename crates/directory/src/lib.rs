//! Client side of service discovery: follows the list of servers through broken, silent and inconsistent watches.
//!
//! Pure state machines, `(now, input) -> outputs`, without sockets, clocks or tasks. The caller performs the requested
//! I/O and feeds the results back.
//!
//! - [`entry`] decodes discovery messages.
//! - [`lines`] splits the byte stream of a watch into messages.
//! - [`table`] holds the current list and validates each update against it.
//! - [`follow`] decides which watches to open and close.
//! - [`message`] defines the events and actions of the follower.
//! - [`timing`] derives its timeouts and intervals.
//! - [`interest`] selects the services whose servers are kept.
//! - [`snapshot`] encodes the list for storage across restarts.

#![forbid(unsafe_code)]

pub mod entry;
pub mod follow;
pub mod interest;
pub mod lines;
pub mod message;
pub mod snapshot;
pub mod table;
pub mod timing;

pub use entry::{Entry, Listing};
pub use follow::Follower;
pub use interest::Interest;
pub use lines::Lines;
pub use message::{CallKind, Cause, Health, Input, Output, WatchId};
pub use snapshot::Snapshot;
pub use table::{Anomaly, Delivery, ServerTable};
pub use timing::{Backoff, Timing};
