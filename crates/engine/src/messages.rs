//! What goes into the engine and what comes out of it.

use crate::pools::PoolId;
use dunlincleat::api::{Attempt, RequestId, ServerId, Settings, Span, State, Status, Time};
use dunlincleat_directory::Delivery;
use dunlincleat_limits::{Rule, RuleSet};
use dunlincleat_settings::{ClassLease, InstanceSettings};
use std::net::SocketAddr;
use std::sync::Arc;

/// What a front knows of a request besides its payload.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// Its class, whose number keeps its meaning until the request has ended.
    pub class: ClassLease,
    /// Index of its tenant; one past the last if the request names no known tenant.
    pub tenant: u32,
    /// How long the client waits for the answer, from when it sent the request.
    pub wait: Span,
    /// Estimated work, if known.
    pub hint: Option<Span>,
    /// Key of the data that it is about, if given.
    pub key: Option<u64>,
    /// The client marked it as a retry.
    pub repeat: bool,
    /// Rule that the request is admitted under and keeps to its end; none without a limits file.
    pub rule: Option<Arc<Rule>>,
}

/// Result of an attempt or a probe.
#[derive(Clone, Debug)]
pub struct Completion<B> {
    /// How it ended.
    pub status: Status,
    /// Time since it was started.
    pub latency: Span,
    /// Load report, in the order of the settings' fields; empty if none was received.
    pub load: Vec<f64>,
    /// Response body, if it was served.
    pub body: Option<B>,
}

impl<B> Completion<B> {
    /// A result without a response.
    #[must_use]
    pub fn without_response(status: Status) -> Completion<B> {
        Completion { status, latency: Span(0), load: Vec::new(), body: None }
    }
}

/// Final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<B> {
    /// The response of a server.
    Served(B),
    /// Refused; a retry does no harm.
    Refused {
        /// How long the client should wait before it retries.
        retry_after: Option<Span>,
    },
    /// Failed; the request may or may not have run.
    Failed,
}

/// Where a server is reached, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address of the server.
    pub address: SocketAddr,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    pub boot_ms: u64,
}

/// Inputs of the engine.
#[derive(Clone, Debug)]
pub enum Input<P, B> {
    /// A new request, under a new id. It must be answered once.
    Request {
        /// Id of the request.
        id: RequestId,
        /// What the front knows of it.
        info: RequestInfo,
        /// When its last byte was received.
        received: Time,
        /// What the transport sends.
        payload: P,
    },
    /// The client of a request left; no answer is needed any more.
    ClientLeft(RequestId),
    /// An attempt ended. Each attempt that was started ends exactly once.
    AttemptEnded {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt within its request.
        attempt: Attempt,
        /// Server that it was sent to.
        server: ServerId,
        /// Its result.
        completion: Completion<B>,
    },
    /// The response to an attempt has started and is streamed to the client as it arrives, so it is the final answer.
    /// The attempt itself ends later, once.
    ResponseStarted {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt within its request.
        attempt: Attempt,
        /// Server that it was sent to.
        server: ServerId,
        /// The result so far, with the response.
        completion: Completion<B>,
    },
    /// The upload of a request body to an attempt is still in progress, or has finished.
    Upload {
        /// Request of the attempt.
        id: RequestId,
        /// Server that it was sent to.
        server: ServerId,
        /// Whether the upload has finished.
        finished: bool,
    },
    /// A probe ended. Each probe that was started ends exactly once.
    ProbeEnded {
        /// Server that was probed.
        server: ServerId,
        /// Pool that the probe was sent for, as in [`Output::Probe`].
        pool: PoolId,
        /// Its result.
        completion: Completion<B>,
    },
    /// The list of servers, or changes to it.
    ServerList(Delivery),
    /// A discovery call failed or the watch ended, where lists are delivered on request.
    DiscoveryFailed,
    /// New settings. Open requests keep their class and number of attempts.
    Settings {
        /// Settings of the decision modules.
        site: Arc<InstanceSettings>,
        /// Settings of the shadow module, if there is one.
        shadow: Option<Settings>,
    },
    /// New limits. Open requests keep the rule that they were admitted under.
    Rules(Arc<RuleSet>),
}

/// Outputs of the engine, to be carried out in order.
#[derive(Clone, Debug)]
pub enum Output<P, B> {
    /// Deliver the final answer of a request.
    Answer {
        /// Id of the request.
        id: RequestId,
        /// The answer.
        answer: Answer<B>,
    },
    /// Start an attempt.
    Attempt {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt within its request.
        attempt: Attempt,
        /// Server to send it to.
        server: ServerId,
        /// What to send.
        payload: P,
        /// When to stop waiting for a response.
        until: Time,
        /// Limit on the time to connect, if it is tighter than that of the settings.
        connect_timeout: Option<Span>,
    },
    /// Cancel an attempt. Its end must still be reported.
    Cancel {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt within its request.
        attempt: Attempt,
        /// Server that it was sent to.
        server: ServerId,
    },
    /// Nothing waits for an attempt any more: cancel it unless it has been written completely, in which case it
    /// continues. Its end must still be reported.
    Withdraw {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt within its request.
        attempt: Attempt,
        /// Server that it was sent to.
        server: ServerId,
    },
    /// Send a probe to a server.
    Probe {
        /// Server to probe.
        server: ServerId,
        /// Pool that the probe is sent for; returned with the result.
        pool: PoolId,
    },
    /// Open a transport to a server.
    Open {
        /// Id of the server.
        server: ServerId,
        /// Where it is reached.
        endpoint: Endpoint,
    },
    /// Update a server whose transport is open, as listed.
    UpdateServer {
        /// Id of the server.
        server: ServerId,
        /// Where it is reached; none if the list has no address.
        endpoint: Option<Endpoint>,
        /// Whether it takes new work.
        state: State,
    },
    /// Close a transport. Nothing is in flight to the server, and its id may be assigned to another server afterwards.
    Close {
        /// Id of the server.
        server: ServerId,
    },
    /// Open a watch of the server list, where lists are delivered on request.
    Watch,
    /// Write a log line for operators.
    Log {
        /// Server that the line is about, if any.
        server: Option<ServerId>,
        /// The line.
        text: String,
    },
}

/// Event counts since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received.
    pub received: u64,
    /// Requests answered by a server.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Refused requests that exceeded a limit of their route.
    pub limited: u64,
    /// Requests whose client left before the answer.
    pub client_left: u64,
    /// Attempts started.
    pub attempts: u64,
}
