//! Duties that one sidecar alone may hold at a time, `(now, input) -> outputs`, without I/O or a clock of its own.
//!
//! Properties, in words that can be checked from outside:
//!
//! 1. **One holder**: at no moment do two processes hold a duty, each by its own clock, as long as no clock runs off by more than
//!    the stated bound.
//! 2. **Fences rise**: a grant's fence is higher than that of every grant of the duty before it.
//! 3. **Once a period**: the effect of one period number is begun by one holder at the most, and only once.
//! 4. **It goes on**: while a majority of the voters and a candidate that reach each other live, the duty has a holder within
//!    a stated bound.
//!
//! The argument for 1 and 2: a grant takes a majority of the *configured* voters, and two majorities share a voter. A voter
//! grants to nobody else until the lease it granted is over by its own clock, counted from after it heard; the holder counts
//! from before it asked. A voter grants only fences above all that it promised, so of two grants the later has the higher.
//! For 3: a holder writes the period's number to a majority before the effect, in the round that proves its lease, and who
//! comes after it learns that number from its own majority. A voter that lost its memory is silent for the longest lease, so
//! that all it granted is over, and votes again once it has learnt from a majority of the others that remember; where that
//! many are not there, after a bound, and says so.

#![forbid(unsafe_code)]

#[cfg(feature = "plant")]
pub mod fault;
pub mod member;
pub mod protocol;
pub mod voter;

pub use member::{Destination, DutySpec, EffectOutcome, Input, Member, Notice, Output, Schedule};
pub use protocol::{Datagram, Fence, LeaseConfig, Message, Moment, Progress};
