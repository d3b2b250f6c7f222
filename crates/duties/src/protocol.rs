//! What members say to each other, and the terms that all of them are told alike. Encoded by a library, read whole or not at
//! all.

use serde::{Deserialize, Serialize};

/// A point in time in microseconds, on a clock that never goes back and runs through suspension: the process's own, compared
/// with nobody else's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub u64);

impl Moment {
    /// So many microseconds later.
    #[must_use]
    pub fn after(self, micros: u64) -> Moment {
        Moment(self.0.saturating_add(micros))
    }

    /// Microseconds since another; 0 where that is later.
    #[must_use]
    pub fn since(self, other: Moment) -> u64 {
        self.0.saturating_sub(other.0)
    }
}

/// The number of a grant: of two grants of a duty the later has the higher. What receives an effect refuses a lower one than
/// it has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fence(pub u64);

/// How far a duty's periods have come: the last that was begun, and whether it is known to be done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Progress {
    /// The number of the last period that was begun; 0 for none.
    pub period: u64,
    /// It is known to be done; else it is perhaps done, and never run again.
    pub done: bool,
}

/// What all members are told alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// How long a lease is, in microseconds.
    pub lease: u64,
    /// By how many millionths a clock may run off.
    pub drift: u64,
    /// The voters by name, in order; a majority of all of them is needed, whoever lives.
    pub voters: Vec<String>,
}

impl LeaseConfig {
    /// How many voters are a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// For how long the holder counts on its lease, by its own clock from before it asked.
    #[must_use]
    pub fn held(&self) -> u64 {
        self.lease - self.off()
    }

    /// For how long a voter keeps to it, by its own clock from after it heard.
    #[must_use]
    pub fn kept(&self) -> u64 {
        self.lease + self.off()
    }

    /// What a clock may run off in a lease, rounded up.
    fn off(&self) -> u64 {
        (self.lease.saturating_mul(self.drift)).div_ceil(1_000_000)
    }
}

/// What one member says to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A candidate or the holder asks a voter for a lease under this fence, and has it keep the mark.
    #[serde(rename = "Ask")]
    LeaseRequest {
        /// The duty.
        duty: String,
        /// The fence.
        fence: Fence,
        /// The asker's count of its rounds, so that an answer is of this one.
        round: u64,
        /// How far the periods are to be noted.
        mark: Progress,
    },
    /// The voter grants it.
    #[serde(rename = "Yes")]
    Grant {
        /// The duty.
        duty: String,
        /// The fence.
        fence: Fence,
        /// The round.
        round: u64,
        /// How far the voter knows the periods to be, the asker's own mark in it.
        mark: Progress,
        /// How long ago it first heard of that period, in microseconds.
        age: u64,
        /// It has lost its memory, and so had too many others: fences may have gone back.
        unproven: bool,
    },
    /// The voter does not.
    #[serde(rename = "No")]
    Refusal {
        /// The duty.
        duty: String,
        /// The round.
        round: u64,
        /// The highest fence that it has promised.
        highest: Fence,
        /// Who holds it by this voter's word, and for how much longer in microseconds; nobody where the fence was too low.
        holder: Option<(String, u64)>,
        /// Over how long those that ask are to spread their next asking once the lease is over, in microseconds: the more of
        /// them there are the longer, so that what voters hear does not grow with the fleet.
        spread: u64,
    },
    /// A holder or a candidate is done with this fence for good.
    Release {
        /// The duty.
        duty: String,
        /// The fence.
        fence: Fence,
        /// How far the periods are.
        mark: Progress,
    },
    /// The duty is handed to the one who hears this: ask now.
    #[serde(rename = "Take")]
    HandOver {
        /// The duty.
        duty: String,
        /// The fence that was let go.
        fence: Fence,
    },
    /// A voter that lost its memory asks another what it knows, from this duty on.
    #[serde(rename = "Learn")]
    SyncRequest {
        /// Duties up to this one were told before.
        after: String,
    },
    /// What a voter knows, a bounded part of it.
    #[serde(rename = "Known")]
    SyncReply {
        /// Duties up to this one were told before.
        after: String,
        /// Duties, the highest fence of each and how far its periods are.
        duties: Vec<(String, Fence, Progress)>,
        /// More follow behind the last.
        more: bool,
        /// It remembers all that it promised; else this is what is left to it.
        whole: bool,
    },
}

/// The version of the words; another one is not understood.
const PROTOCOL_VERSION: u8 = 1;
/// The longest datagram, in bytes: it fits into a packet on the usual networks.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// A message on its way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Datagram {
    version: u8,
    /// The fleet; one of another fleet has no effect.
    pub fleet: String,
    /// Who says it.
    pub from: String,
    /// Which life of the sayer: a number drawn at each start.
    pub life: u64,
    /// In answer to this life of the hearer; 0 where it answers nothing.
    pub to: u64,
    /// What.
    pub message: Message,
}

impl Datagram {
    /// A message of this life of this member.
    #[must_use]
    pub fn new(fleet: &str, from: &str, life: u64, to: u64, message: Message) -> Datagram {
        Datagram {
            version: PROTOCOL_VERSION,
            fleet: fleet.to_owned(),
            from: from.to_owned(),
            life,
            to,
            message,
        }
    }

    /// As bytes; none where it would be too long, which names of bounded length never are.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok().filter(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES)
    }

    /// Reads one, whole; none where it is malformed, of another version or of another fleet.
    #[must_use]
    pub fn decode(bytes: &[u8], fleet: &str) -> Option<Datagram> {
        let (read, rest) = postcard::take_from_bytes::<Datagram>(bytes).ok()?;
        (rest.is_empty() && read.version == PROTOCOL_VERSION && read.fleet == fleet).then_some(read)
    }
}
