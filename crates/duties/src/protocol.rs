//! Messages between members, and the lease configuration that all members share.
//!
//! Datagrams are encoded with postcard, which writes fields and variants by position: their order is the wire format.
//! The serde names are those of protocol version 1. A datagram is decoded completely or rejected.

use serde::{Deserialize, Serialize};

/// A point in time in microseconds, read from a clock of this process that is monotonic and keeps running during
/// suspension. Moments of different processes are never compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub u64);

impl Moment {
    /// The moment this many microseconds later.
    #[must_use]
    pub fn after(self, micros: u64) -> Moment {
        Moment(self.0.saturating_add(micros))
    }

    /// Microseconds elapsed since `other`; 0 if `other` is later.
    #[must_use]
    pub fn since(self, other: Moment) -> u64 {
        self.0.saturating_sub(other.0)
    }
}

/// The fencing token of a grant: of two grants of a duty, the later one has the higher fence. The receiver of an effect
/// refuses a fence lower than the highest it has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence(pub u64);

/// The progress of a duty's schedule: the last period that was started, and whether it is known to be done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Progress {
    /// The number of the last period that was started; 0 for none.
    pub period: u64,
    /// The period is known to be done. If false, it may or may not have been done, and it is never run again.
    pub done: bool,
}

/// The lease configuration, identical on all members.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// The length of a lease, in microseconds.
    pub lease_us: u64,
    /// The largest clock rate error to allow for, in parts per million.
    pub drift_ppm: u64,
    /// The names of the voters, in a fixed order. A quorum is a majority of all configured voters, whether alive or
    /// not.
    pub voters: Vec<String>,
}

impl LeaseConfig {
    /// The number of voters that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The position of a voter in the list.
    #[must_use]
    pub fn voter_index(&self, name: &str) -> Option<usize> {
        self.voters.iter().position(|voter| voter == name)
    }

    /// How long the holder relies on its lease, by its own clock, counted from before it sent the request.
    #[must_use]
    pub fn holder_lease_us(&self) -> u64 {
        self.lease_us - self.clock_error_us()
    }

    /// How long a voter honours a lease, by its own clock, counted from after it received the request.
    #[must_use]
    pub fn voter_lease_us(&self) -> u64 {
        self.lease_us + self.clock_error_us()
    }

    /// The largest clock error that accumulates over one lease, rounded up.
    fn clock_error_us(&self) -> u64 {
        (self.lease_us.saturating_mul(self.drift_ppm)).div_ceil(1_000_000)
    }
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A candidate or the holder asks a voter for a lease, or for its renewal.
    #[serde(rename = "Ask")]
    LeaseRequest(LeaseRequest),
    /// The voter grants the lease.
    #[serde(rename = "Yes")]
    Grant(Grant),
    /// The voter refuses the lease.
    #[serde(rename = "No")]
    Refusal(Refusal),
    /// A holder or candidate gives up its lease.
    Release(Release),
    /// The duty is handed over to the receiver, which is to request the lease now.
    #[serde(rename = "Take")]
    HandOver {
        /// The duty.
        duty: String,
        /// The fence of the released lease.
        fence: Fence,
    },
    /// A voter that lost its memory asks another voter for its promises.
    #[serde(rename = "Learn")]
    SyncRequest {
        /// The last duty that was received before; the reply starts after it.
        after: String,
    },
    /// The promises of a voter, a bounded number of them.
    #[serde(rename = "Known")]
    SyncReply(SyncReply),
}

/// A request for a lease under a fence, which also has the voter record the progress of the duty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The duty.
    pub duty: String,
    /// The fence.
    pub fence: Fence,
    /// The requester's round number, to match replies to rounds.
    pub round: u64,
    /// The progress to record.
    #[serde(rename = "mark")]
    pub progress: Progress,
}

/// A voter's grant of a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The duty.
    pub duty: String,
    /// The fence.
    pub fence: Fence,
    /// The round that was asked in.
    pub round: u64,
    /// The progress that the voter knows, including that of the request.
    #[serde(rename = "mark")]
    pub progress: Progress,
    /// How long ago the voter first received that period, in microseconds.
    #[serde(rename = "age")]
    pub age_us: u64,
    /// This voter and too many others lost their memory: fences may have gone back.
    pub unproven: bool,
}

/// A voter's refusal of a lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Refusal {
    /// The duty.
    pub duty: String,
    /// The round that was asked in.
    pub round: u64,
    /// The highest fence that the voter has promised.
    pub highest: Fence,
    /// The holder that the voter knows; none if the fence was too low.
    pub holder: Option<CurrentHolder>,
    /// The interval over which candidates are to spread their next request once the lease has expired, in microseconds.
    /// It grows with their number, so that the load of a voter does not grow with the fleet.
    #[serde(rename = "spread")]
    pub spread_us: u64,
}

/// The holder of a lease as a voter reports it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CurrentHolder {
    /// The name of the holder.
    pub name: String,
    /// The time until its lease expires, in microseconds.
    pub remaining_us: u64,
}

/// The final release of a fence by a holder or candidate.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Release {
    /// The duty.
    pub duty: String,
    /// The fence.
    pub fence: Fence,
    /// The progress of the duty.
    #[serde(rename = "mark")]
    pub progress: Progress,
}

/// One part of a voter's promises.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SyncReply {
    /// The last duty that was received before; this part starts after it.
    pub after: String,
    /// The duties of this part.
    pub duties: Vec<PromisedDuty>,
    /// More duties follow after the last one of this part.
    pub more: bool,
    /// The voter remembers all of its promises; otherwise it lost its memory, and this is what it has learnt since.
    #[serde(rename = "whole")]
    pub complete: bool,
}

/// What a voter has promised and recorded for one duty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PromisedDuty {
    /// The duty.
    pub duty: String,
    /// The highest fence promised.
    pub highest: Fence,
    /// The recorded progress.
    pub progress: Progress,
}

/// The protocol version; a datagram of any other version is rejected.
const PROTOCOL_VERSION: u8 = 1;
/// The longest datagram in bytes, which fits into a packet on the usual networks.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// A message with its envelope.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Datagram {
    version: u8,
    /// The fleet; datagrams of other fleets are rejected.
    pub fleet: String,
    /// The sender.
    pub from: String,
    /// The incarnation of the sender: a number drawn at each start of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The incarnation of the receiver that this message replies to; 0 if it is not a reply.
    #[serde(rename = "to")]
    pub in_reply_to: u64,
    /// The message.
    pub message: Message,
}

impl Datagram {
    /// A datagram from this incarnation of a member.
    #[must_use]
    pub fn new(fleet: &str, from: &str, incarnation: u64, in_reply_to: u64, message: Message) -> Datagram {
        Datagram {
            version: PROTOCOL_VERSION,
            fleet: fleet.to_owned(),
            from: from.to_owned(),
            incarnation,
            in_reply_to,
            message,
        }
    }

    /// The encoded bytes; none if they exceed the limit, which names of bounded length never do.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok().filter(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES)
    }

    /// Decodes a datagram; none if it is malformed, has trailing bytes, or is of another version or fleet.
    #[must_use]
    pub fn decode(bytes: &[u8], fleet: &str) -> Option<Datagram> {
        let (datagram, rest) = postcard::take_from_bytes::<Datagram>(bytes).ok()?;
        let accepted = rest.is_empty() && datagram.version == PROTOCOL_VERSION && datagram.fleet == fleet;
        accepted.then_some(datagram)
    }
}
