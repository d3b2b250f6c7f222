//! Duties that at most one sidecar holds at a time: leases granted by a quorum of voters, with fencing tokens. A pure
//! state machine, `(now, input) -> outputs`, without I/O or a clock of its own.
//!
//! Properties that can be checked from outside:
//!
//! 1. **One holder**: at no moment do two processes hold a duty, each by its own clock, as long as no clock rate is off by
//!    more than the configured bound.
//! 2. **Fences rise**: the fence of a grant is higher than that of every earlier grant of the duty.
//! 3. **Once a period**: the effect of a period is started by at most one holder, and at most once.
//! 4. **Liveness**: while a majority of the voters and a candidate are alive and reach each other, the duty gets a holder
//!    within a fixed bound.
//!
//! Why 1 and 2 hold: a grant takes a majority of the *configured* voters, and any two majorities share a voter. A voter
//! grants to nobody else until the lease it granted has expired by its own clock, counted from after it received the
//! request; the holder counts from before it sent the request. A voter grants only fences above all that it has
//! promised, so of two grants the later one has the higher fence.
//!
//! Why 3 holds: a holder writes the number of the period to a majority before it starts the effect, in the same round
//! that proves its lease, and its successor learns that number from its own majority.
//!
//! Voters keep their promises in memory only. A voter that lost its memory stays silent for the longest possible lease,
//! so that every lease it granted has expired. It votes again once it has learnt from a majority of the others that
//! still remember. If that many do not exist, it votes after a fixed bound, and its grants say so.

#![forbid(unsafe_code)]

mod duty;
#[cfg(feature = "plant")]
pub mod fault;
pub mod interface;
pub mod member;
pub mod protocol;
pub mod voter;

pub use interface::{
    Destination, DutySpec, DutyStatus, EffectOutcome, EffectPermit, Input, Notice, Output, Schedule,
};
pub use member::Member;
pub use protocol::{Datagram, Fence, LeaseConfig, Message, Moment, Progress};
