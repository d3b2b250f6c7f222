//! What was observed, by whom and when: the auditor's only input. Stubs write events as JSON lines, so that the events
//! outlive the stubs.

use crate::schedule::Fault;
use serde::{Deserialize, Serialize};

/// How a request was answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Status 200 with this body.
    Served(String),
    /// Status 429 or 503.
    Refused,
    /// Any other status.
    Failed,
    /// The connection ended without a complete answer, for this reason.
    Broken(String),
}

/// An observation. Instances are named `n0`, `n1` and so on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum EventKind {
    /// A stub listens; the stub of the list has an address for each instance.
    #[serde(rename = "listens")]
    Listening {
        /// Its addresses.
        #[serde(rename = "on")]
        addresses: Vec<std::net::SocketAddr>,
    },
    /// An application sent its sidecar a request.
    #[serde(rename = "asked")]
    RequestSent {
        /// The instance.
        #[serde(rename = "by")]
        instance: String,
        /// The request.
        id: String,
        /// The request must not be executed twice.
        #[serde(rename = "once")]
        at_most_once: bool,
        /// How long the client waits, in microseconds.
        #[serde(rename = "wait")]
        client_timeout: u64,
    },
    /// A client received an answer.
    Answered {
        /// The request.
        id: String,
        /// The answer.
        answer: Answer,
    },
    /// A server started to execute a request, and answers it with this body if it answers.
    #[serde(rename = "began")]
    RequestStarted {
        /// The server.
        server: String,
        /// The request.
        id: String,
        /// The body.
        body: String,
    },
    /// The list sent an instance a change by which a server is draining or removed.
    #[serde(rename = "told")]
    DrainAnnounced {
        /// The instance.
        to: String,
        /// The server.
        server: String,
    },
    /// The stub of the list replaced its lists as commanded.
    #[serde(rename = "held")]
    ListsReplaced,
    /// The list sent entries to an instance.
    #[serde(rename = "listed")]
    EntriesSent {
        /// The instance.
        to: String,
        /// Number of entries.
        servers: usize,
    },
    /// The rig injected a fault.
    #[serde(rename = "did")]
    FaultInjected {
        /// The fault.
        fault: Fault,
    },
    /// A process of the program serves.
    Up {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
        /// The process id.
        #[serde(rename = "process")]
        pid: u32,
    },
    /// A process of the program terminated.
    Down {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
        /// Its exit status, and whether the rig had to kill it.
        how: String,
        /// The rig killed it or requested its termination before.
        #[serde(rename = "told")]
        expected: bool,
    },
    /// A server received the effect of a duty.
    #[serde(rename = "effect")]
    DutyEffect {
        /// The duty.
        duty: String,
        /// The number of the period.
        period: u64,
        /// The fence.
        fence: u64,
        /// The request; its name contains the incarnation of the sidecar.
        id: String,
        /// Whether the effect was carried out; otherwise it was refused for its fence.
        accepted: bool,
    },
    /// A sidecar logged that it holds a duty.
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
    /// A sidecar logged that it released a duty.
    #[serde(rename = "let_go")]
    DutyReleased {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
        /// The duty.
        duty: String,
    },
    /// A request was sent while the process closed the idle connection, and was never read.
    #[serde(rename = "crossed")]
    CrossedClose {
        /// The request.
        id: String,
    },
    /// A client closed its connection while its request was in flight.
    #[serde(rename = "left")]
    ClientLeft {
        /// The request.
        id: String,
    },
    /// A process that was requested to terminate still ran when the platform may kill it at the earliest.
    Overdue {
        /// The instance.
        #[serde(rename = "who")]
        process: String,
    },
    /// A timer of the rig ran late.
    #[serde(rename = "late")]
    TimerLate {
        /// By how many microseconds.
        by: u64,
    },
}

/// An observation and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Microseconds of the trial's clock.
    pub at: u64,
    /// What was observed.
    #[serde(flatten)]
    pub what: EventKind,
}

impl Event {
    /// An event that is observed now.
    #[must_use]
    pub fn now(what: EventKind) -> Event {
        Event { at: crate::clock::now(), what }
    }
}
