//! What was seen, by whom, when: the only thing that the auditor is given. Stand-ins write it as JSON lines, so that it
//! outlives them.

use crate::schedule::Fault;
use serde::{Deserialize, Serialize};

/// How a request was answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// With this body.
    Served(String),
    /// 429 or 503.
    Refused,
    /// Any other status.
    Failed,
    /// The connection ended with no whole answer.
    Broken(String),
}

/// One thing seen. Instances are named `n0`, `n1` and so on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum EventKind {
    /// A stand-in listens, one address for each instance where it tells them apart.
    #[serde(rename = "listens")]
    Listening {
        /// Where.
        #[serde(rename = "on")]
        addresses: Vec<std::net::SocketAddr>,
    },
    /// An application sent its sidecar a request.
    #[serde(rename = "asked")]
    RequestSent {
        /// The instance.
        by: String,
        /// The request.
        id: String,
        /// It must not run twice.
        #[serde(rename = "once")]
        at_most_once: bool,
        /// How long its client waits, in microseconds.
        #[serde(rename = "wait")]
        client_timeout: u64,
    },
    /// It got an answer.
    Answered {
        /// The request.
        id: String,
        /// The answer.
        answer: Answer,
    },
    /// A server began a request, and answers it with this body where it answers.
    #[serde(rename = "began")]
    RequestStarted {
        /// The server.
        server: String,
        /// The request.
        id: String,
        /// The body.
        body: String,
    },
    /// The list wrote to an instance that a server leaves.
    #[serde(rename = "told")]
    DrainAnnounced {
        /// The instance.
        to: String,
        /// The server.
        server: String,
    },
    /// The list holds what it was told to hold.
    #[serde(rename = "held")]
    ListsReplaced,
    /// The list wrote entries to an instance.
    #[serde(rename = "listed")]
    EntriesSent {
        /// The instance.
        to: String,
        /// How many.
        servers: usize,
    },
    /// The rig did something to a process or a way.
    #[serde(rename = "did")]
    FaultInjected {
        /// What.
        fault: Fault,
    },
    /// A process of the program serves.
    Up {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
        /// Its process.
        #[serde(rename = "process")]
        pid: u32,
    },
    /// A process of the program ended, by itself where the rig did not tell it to.
    Down {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
        /// How, and by whose will.
        how: String,
        /// The rig ended it, or told it to end.
        #[serde(rename = "told")]
        expected: bool,
    },
    /// A server was sent the effect of a duty.
    #[serde(rename = "effect")]
    DutyEffect {
        /// The duty.
        duty: String,
        /// The period's number.
        period: u64,
        /// The fence.
        fence: u64,
        /// The request, which names the sidecar's life.
        id: String,
        /// It was carried out; else it was refused for its fence.
        accepted: bool,
    },
    /// A sidecar's log says that it holds a duty.
    #[serde(rename = "holds")]
    DutyAcquired {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
        /// The duty.
        duty: String,
        /// The fence.
        fence: u64,
    },
    /// A sidecar's log says that it let one go.
    #[serde(rename = "let_go")]
    DutyReleased {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
        /// The duty.
        duty: String,
    },
    /// A request crossed the close of its connection between two requests, and was never read.
    #[serde(rename = "crossed")]
    CrossedClose {
        /// The request.
        id: String,
    },
    /// A client left with its request in hand.
    #[serde(rename = "left")]
    ClientLeft {
        /// The request.
        id: String,
    },
    /// A process that was told to end still ran at the page's earliest kill.
    Overdue {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
    },
    /// A timer of the rig ran late.
    #[serde(rename = "late")]
    TimerLate {
        /// By so many microseconds.
        by: u64,
    },
}

/// Something seen, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Microseconds of the trial's clock.
    pub at: u64,
    /// What.
    #[serde(flatten)]
    pub what: EventKind,
}

impl Event {
    /// Seen now.
    #[must_use]
    pub fn now(what: EventKind) -> Event {
        Event { at: crate::clock::now(), what }
    }
}
