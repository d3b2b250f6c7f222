//! Runs many processes of the program under injected faults. The rig starts the program beside stub servers and a stub
//! of discovery, each a process of its own, puts a relay between every two processes that communicate, injects the
//! faults of a schedule drawn from a seed, and judges the program from outside alone: no code under test is linked
//! here, only its public interfaces are used: its sockets and the operator's settings file.
//!
//! Design: one rig process has the clock (the machine's monotonic clock, which all processes read), the relays, the
//! clients and the schedule. All observations go into one history, and the auditor is a pure function of it. Rejected
//! alternatives: network namespaces or packet filters, which need privileges that a test does not have and inject
//! faults that no log shows in order; a library loaded into the program, which would judge it from inside; and a rig
//! that counts while it runs, whose verdict could not be computed again from what was recorded.

#![forbid(unsafe_code)]

pub mod audit;
pub mod callers;
pub mod child;
pub mod clock;
pub mod control;
pub mod duty_stats;
pub mod history;
pub mod load;
pub mod page;
pub mod relay;
pub mod rig;
pub mod schedule;
pub mod soak;
pub mod stubs;
