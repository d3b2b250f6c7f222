//! The interface of the decision module: settings, events and actions. It holds no wire formats and no
//! decisions.

use std::ops::{Add, Sub};

/// A point in time, in microseconds of the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// The duration as a floating-point number of microseconds.
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }

    /// This duration times a factor, never negative.
    pub fn times(self, factor: f64) -> Span {
        Span((self.as_f64() * factor).max(0.0) as u64)
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, span: Span) -> Span {
        Span(self.0.saturating_add(span.0))
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub for Time {
    type Output = Span;
    /// The time since `earlier`, zero where `earlier` is the later of the two.
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

/// A server, numbered by the host for one instance. The number of a removed server may be given to another
/// one, with another global id, once no attempt is outstanding there and no request refers to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// A request of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(pub u64);

/// The number of an attempt within its request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempt(pub u32);

/// Identifies a timer that an instance set; it comes back when the timer is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token(pub u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated freely.
    Safe,
    /// It carries a key: repeats are dropped within `group` for `window` from the first send that may have
    /// run.
    Keyed {
        /// The servers that share the keys that they saw.
        group: Group,
        /// How long they remember a key.
        window: Span,
    },
    /// It must never run twice.
    Unsafe,
}

/// Which servers drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All servers.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The latency target: an answer within this time has its full worth.
    pub aim: Span,
    /// How long a client waits in all, over its own retries.
    pub deadline: Span,
    /// The worth of one request.
    pub worth: f64,
    /// The part of the worth that is left after the aim.
    pub late_worth: f64,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// The response is streamed.
    pub stream: bool,
    /// It was dropped or replaced: requests that arrived under it keep it, no new one comes.
    pub retired: bool,
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its share of the service.
    pub share: f64,
    /// Requests per second, over all instances, that count as within its share.
    pub quota_per_s: f64,
}

/// One figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// Requests in flight at the server.
    Inflight,
    /// Requests queued at the server.
    Queue,
    /// Utilisation of the processors, from 0 to 1.
    Util,
    /// A figure that the decision module does not use.
    Other,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    /// Every answer and every probe answer.
    InAnswers,
    /// Probe answers alone.
    InProbes,
    /// There are none.
    #[default]
    Off,
}

/// How an instance learns of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed without a request.
    #[default]
    Pushed,
    /// Changes come only on request.
    OnRequest,
}

/// What the environment allows.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Most attempts of a request.
    pub max_attempts: u32,
    /// Two attempts of a request may be outstanding at a time.
    pub hedging: bool,
    /// Clients follow advice when to retry, at most this far off.
    pub retry_after: Option<Span>,
    /// Probes may be sent.
    pub probes: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Messages to other instances are allowed.
    pub peer_messages: bool,
    /// How long opening a connection may take.
    pub connect_timeout: Span,
    /// How long an idle connection is kept open.
    pub conn_idle: Span,
}

/// What is charged, in parts of the result.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// Attempts that cross zones, per first attempt.
    pub cross_zone: f64,
    /// Probes, per first attempt.
    pub probe: f64,
    /// Work that served no answer, as a part of the work offered.
    pub waste: f64,
    /// Messages to other instances, per first attempt and 256 bytes.
    pub peer: f64,
    /// Open connections, per hundred at each server.
    pub connection: f64,
    /// Connections opened, per first attempt.
    pub handshake: f64,
}

/// The figures of the safety rules, which no run may break.
#[derive(Clone, Debug, Default)]
pub struct Safety {
    /// Where lists come on request: an instance that has not asked for this long counts as informed.
    pub ask_within: Span,
    /// A server that starts has at least this part of its capacity,
    pub cold_from: f64,
    /// and all of it after this time.
    pub cold: Span,
}

/// What the weight of a listed server means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Nothing.
    #[default]
    Off,
    /// Its size, or roughly that.
    Size,
    /// Its size over one more than its outstanding requests per processor, at some moment before.
    Live,
}

/// A share of the result in which requests served in time count in full only while few requests miss their
/// aim. A request refused within its aim is no miss.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tail {
    /// That share, from 0 to 1; 0 where there is none.
    pub share: f64,
    /// The share of the requests that may miss their aim, from 0 to 1; at five times that nothing counts any
    /// more.
    pub allowed_misses: f64,
}

/// What an instance is given at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of instances.
    pub instance_count: u32,
    /// The number of this instance among them.
    pub instance_index: u32,
    /// The zone of this instance.
    pub zone: u32,
    /// The classes, by number.
    pub classes: Vec<Class>,
    /// The tenants, by number.
    pub tenants: Vec<Tenant>,
    /// The worth left to a request beyond its tenant's share, as a part of its own.
    pub over_share_worth: f64,
    /// How lists of servers come.
    pub discovery: Discovery,
    /// Where load reports come from.
    pub reports: Reports,
    /// The figures of a load report, in order.
    pub fields: Vec<Field>,
    /// What the environment allows.
    pub limits: Limits,
    /// What is charged.
    pub prices: Prices,
    /// The figures of the safety rules.
    pub safety: Safety,
    /// What the weights of servers mean.
    pub weights: Weights,
    /// A server does less work for a key that it served lately.
    pub key_affinity: bool,
    /// How the share of the result that allows few misses is counted.
    pub tail: Tail,
    /// The least time between two rounds of events.
    pub tick: Span,
}

/// Whether a listed server takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It serves.
    Ready,
    /// It completes what it has; nothing new may be sent.
    Draining,
    /// It was removed from the list.
    #[default]
    Removed,
}

/// One server of a list.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Which server.
    pub server: ServerId,
    /// When it last started; 0 means long ago.
    pub started_at: Time,
    /// What `Settings::weights` says, 1 where there is none.
    pub weight: f64,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Its id that is the same at every instance.
    pub global_id: u64,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The full list.
    Full,
    /// The full list as last known, perhaps outdated.
    Cached,
    /// A call failed or the subscription broke.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The server returned an error; it may have run.
    Error,
    /// Rejected by the server before it ran.
    Rejected,
    /// No answer in time; it may have run or still be running.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Status {
    /// Whether this proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Rejected | Status::ConnectFailed | Status::NotSent)
    }
}

/// What happens to an instance.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// New settings from here on; open requests keep their class and number of attempts.
    Settings {
        /// The settings in full.
        set: &'a Settings,
    },
    /// A list of servers, or a failed call for one.
    Members {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: &'a [Member],
    },
    /// A request of a client, which is owed one final answer.
    Request {
        /// Which request.
        id: RequestId,
        /// How long its client will still wait.
        left: Span,
        /// Its class.
        class: u32,
        /// Its tenant.
        tenant: u32,
        /// Its expected work on a standard core.
        hint: Option<Span>,
        /// Its subject: requests about the same subject share the key.
        key: Option<u64>,
        /// Its client marked it as a retry.
        repeat: bool,
    },
    /// The client left; no answer is owed any more.
    ClientLeft {
        /// Which request.
        id: RequestId,
    },
    /// The response of a streamed request started.
    ResponseStarted {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: Attempt,
    },
    /// An attempt ended.
    AttemptFinished {
        /// Which request.
        id: RequestId,
        /// Which attempt.
        attempt: Attempt,
        /// How it ended.
        status: Status,
        /// The request is over.
        request_closed: bool,
        /// The operator's limits allow one more attempt; they only narrow what the settings allow.
        retry_allowed: bool,
        /// Time since it was sent.
        latency: Span,
        /// Where it was sent.
        server: ServerId,
        /// The server's load report, empty where there was none.
        load: &'a [f64],
    },
    /// The body of an attempt that was just sent is still being sent (`finished` is false), or is complete.
    /// The first is followed by the second, at the latest before the end of the attempt.
    Upload {
        /// Which request: its time counts from its last byte.
        id: RequestId,
        /// Which server.
        server: ServerId,
        /// The body is complete.
        finished: bool,
    },
    /// A hedged request is due by the operator's limits, while the only attempt is outstanding.
    HedgeDue {
        /// Which request.
        id: RequestId,
    },
    /// A probe ended.
    ProbeFinished {
        /// Of which server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since it was sent.
        latency: Span,
        /// The server's load report, empty where there was none.
        load: &'a [f64],
    },
    /// A timer is due.
    Timer {
        /// Which timer.
        token: Token,
    },
    /// A message from another instance.
    Peer {
        /// Which instance.
        from: u32,
        /// The bytes.
        data: &'a [u8],
    },
}

/// What an instance wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// Of which request.
        id: RequestId,
        /// At which server.
        server: ServerId,
        /// When to give up the attempt; none leaves it to the client's timeout.
        until: Option<Time>,
    },
    /// Final answer: refused, a retry does no harm.
    Refuse {
        /// Which request.
        id: RequestId,
        /// When the client may retry.
        retry_after: Option<Span>,
    },
    /// Final answer: failed, nothing is promised about a retry.
    Fail {
        /// Which request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Of which request.
        id: RequestId,
        /// Which attempt.
        attempt: Attempt,
    },
    /// Probe a server.
    Probe {
        /// Which server.
        server: ServerId,
    },
    /// Set a timer.
    Timer {
        /// Comes back with the timer.
        token: Token,
        /// When it is due, from now.
        delay: Span,
    },
    /// Subscribe to list changes.
    WatchServers,
    /// Send a message to other instances.
    SendToPeers {
        /// Which one; none means all.
        peer: Option<u32>,
        /// At most 256 bytes.
        data: Vec<u8>,
    },
    /// A log line for operators.
    Log {
        /// The server it is about; the host puts its name in front.
        server: Option<ServerId>,
        /// The line.
        text: String,
    },
}
