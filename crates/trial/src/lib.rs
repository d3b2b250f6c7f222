//! Many processes of the program under faults. It starts the program itself beside stand-in servers and a stand-in list,
//! each a process of its own, puts a relay between every two that talk, plays a schedule of faults drawn from a seed, and
//! judges from outside alone: nothing of the code under test is linked here, only what stands on its sockets and in its
//! operator's file.
//!
//! Design. One rig process has the one clock (the machine's monotonic one, which all its processes read), the relays, the
//! clients and the schedule; all that is seen goes into one history, and the auditor is a pure function over it. Ways not
//! taken: network namespaces or packet filters (rights that a test does not have, and faults that no log shows in order),
//! a library loaded into the program (it would be judged from inside), and a rig that counts while it runs (a verdict that
//! can't be had again from what was kept).

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
