//! The interface of the decision module: settings, events and actions. No wire words, no decisions.

use std::ops::{Add, Sub};

/// A point in time, in microseconds of the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// The span as a floating-point number of microseconds.
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }

    /// This span times a factor, never negative.
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
    /// The time since `earlier`, or nothing where `earlier` is the later of the two.
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

/// A server, numbered by the host for one instance. The number of one that is gone may be given to another,
/// with another common name, once nothing is out there and no request remembers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId(pub u64);

/// The number of an attempt within its request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempt(pub u32);

/// What an instance set a timer for; given back when it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token(pub u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated freely.
    Safe,
    /// It carries a key; repeats are dropped within `group` for `window` from the first send that may have
    /// run.
    Keyed {
        /// The servers that know of each other's keys.
        group: Group,
        /// How long they remember.
        window: Span,
    },
    /// It must never run twice.
    Unsafe,
}

/// Which servers drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time has its full worth.
    pub aim: Span,
    /// How long a client waits in all, over its tries.
    pub deadline: Span,
    /// The worth of one request.
    pub worth: f64,
    /// The part of the worth left after the aim.
    pub late_worth: f64,
    /// Whether it may run again.
    pub effect: Effect,
    /// The answer comes as a stream.
    pub stream: bool,
    /// It was dropped or replaced: requests taken under it keep it, no new one comes.
    pub retired: bool,
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its part of the service.
    pub share: f64,
    /// Requests a second, over all instances, that count as within its share.
    pub quota_per_s: f64,
}

/// One figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// Requests in hand.
    Inflight,
    /// Requests waiting.
    Queue,
    /// The part of the processors that is busy.
    Util,
    /// A figure that the rules do not use.
    Other,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    /// In every answer and in probe answers.
    InAnswers,
    /// In probe answers alone.
    InProbes,
    /// Nowhere.
    #[default]
    Off,
}

/// How an instance learns of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive unasked.
    #[default]
    Pushed,
    /// Changes arrive only on request.
    OnRequest,
}

/// What the surroundings allow.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts a request may have.
    pub max_attempts: u32,
    /// Two attempts of a request may be out at a time.
    pub hedging: bool,
    /// Clients take advice when to come back, at most this far off.
    pub retry_after: Option<Span>,
    /// Probes may be sent.
    pub probes: bool,
    /// Attempts may be called off.
    pub cancellation: bool,
    /// Messages to other instances are allowed.
    pub peer_messages: bool,
    /// How long a connection may take.
    pub connect_timeout: Span,
    /// How long a connection is kept on which nothing is sent.
    pub conn_idle: Span,
}

/// What is paid for, in parts of the result.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// Attempts that cross zones, for each first try.
    pub cross_zone: f64,
    /// Probes, for each first try.
    pub probe: f64,
    /// Work that served no answer, as a part of the work offered.
    pub waste: f64,
    /// Bytes to other instances, for 256 a first try.
    pub peer: f64,
    /// Open connections, for a hundred at each server.
    pub connection: f64,
    /// Connections opened, for each first try.
    pub handshake: f64,
}

/// The figures of the rules that no run may break.
#[derive(Clone, Debug, Default)]
pub struct Safety {
    /// Where lists come on request: an instance that has not asked for this long counts as told.
    pub ask_within: Span,
    /// A server that starts has at least this part of its capacity,
    pub cold_from: f64,
    /// and all of it after this time.
    pub cold: Span,
}

/// What the weight of a listed server tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Nothing.
    #[default]
    Off,
    /// Its size, or roughly that.
    Size,
    /// Its size over one more than the requests that it held for each processor, at some moment before.
    Live,
}

/// A part of the result in which what is served in time counts in full only while few requests miss their
/// aim. A request refused within its aim is no miss.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tail {
    /// That part, from 0 to 1; 0 where there is none.
    pub share: f64,
    /// The part of the requests that may miss, from 0 to 1; at five times that nothing counts any more.
    pub allowed_misses: f64,
}

/// What an instance is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// How many instances there are.
    pub instance_count: u32,
    /// The number of this one among them.
    pub instance_index: u32,
    /// The zone of this one.
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
    /// What stands in a load report, in order.
    pub fields: Vec<Field>,
    /// Allowances.
    pub limits: Limits,
    /// Prices.
    pub prices: Prices,
    /// The figures of the rules.
    pub safety: Safety,
    /// What the weights of servers tell.
    pub weights: Weights,
    /// A server does less work for a key that it met lately.
    pub key_affinity: bool,
    /// How the part of the result that bears few misses is counted.
    pub tail: Tail,
    /// The least time between two rounds of events.
    pub tick: Span,
}

/// Whether a listed server takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It serves.
    Ready,
    /// It ends what it has; nothing new may be sent.
    Draining,
    /// It was taken away.
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
    /// What `Settings::weights` says, 1 where nothing was told.
    pub weight: f64,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Whether it serves.
    pub state: State,
    /// A name for it that is the same at every instance.
    pub global_id: u64,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as last held, perhaps outdated.
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
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run or be running.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
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
    /// Other settings from here on; requests in hand keep their class and number of attempts.
    Settings {
        /// All of them.
        set: &'a Settings,
    },
    /// News of the servers.
    Members {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: &'a [Member],
    },
    /// A client's request, owed one final answer.
    Request {
        /// Which.
        id: RequestId,
        /// How long its client will still wait.
        left: Span,
        /// Its class.
        class: u32,
        /// Its tenant.
        tenant: u32,
        /// Its expected work on a standard core.
        hint: Option<Span>,
        /// What it is about; requests about the same share it.
        key: Option<u64>,
        /// Its client marked it as a repeat.
        repeat: bool,
    },
    /// The client left; nothing is owed any more.
    ClientLeft {
        /// Which.
        id: RequestId,
    },
    /// The answer of a streamed request began.
    ResponseStarted {
        /// Which.
        id: RequestId,
        /// On which attempt.
        attempt: Attempt,
    },
    /// An attempt ended.
    AttemptFinished {
        /// Of which request.
        id: RequestId,
        /// Which attempt.
        attempt: Attempt,
        /// How.
        status: Status,
        /// The request is over.
        request_closed: bool,
        /// The operator's limits allow one more attempt; they only narrow what the settings allow.
        retry_allowed: bool,
        /// Time since it was sent.
        latency: Span,
        /// Where it was sent.
        server: ServerId,
        /// The server's load report, empty where none came.
        load: &'a [f64],
    },
    /// The body of an attempt that was just sent still comes, or comes no more. The first is followed by the
    /// second, at the latest before the attempt's end.
    Upload {
        /// Of which request: its time counts from its last byte.
        id: RequestId,
        /// Which server.
        server: ServerId,
        /// It comes no more.
        finished: bool,
    },
    /// A second copy of a request is due by the operator's limits, while its only attempt is out.
    HedgeDue {
        /// Which.
        id: RequestId,
    },
    /// A probe ended.
    ProbeFinished {
        /// Of which server.
        server: ServerId,
        /// How.
        status: Status,
        /// Time since it was sent.
        latency: Span,
        /// The server's load report, empty where none came.
        load: &'a [f64],
    },
    /// A timer is due.
    Timer {
        /// Which.
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
        /// Where to.
        server: ServerId,
        /// When to give the attempt up; none leaves it to the client's patience.
        until: Option<Time>,
    },
    /// Final answer: refused, trying again does no harm.
    Refuse {
        /// Which request.
        id: RequestId,
        /// How long to stay away.
        retry_after: Option<Span>,
    },
    /// Final answer: failed, nothing promised.
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
    /// Ask a server how it is.
    Probe {
        /// Which server.
        server: ServerId,
    },
    /// Wake this instance later.
    Timer {
        /// What for.
        token: Token,
        /// How far off.
        delay: Span,
    },
    /// Subscribe to list changes.
    WatchServers,
    /// Tell other instances, all of them where `peer` is none.
    SendToPeers {
        /// Which one.
        peer: Option<u32>,
        /// At most 256 bytes.
        data: Vec<u8>,
    },
    /// A line for the people on call.
    Log {
        /// The server it is about; the host puts its name in front.
        server: Option<ServerId>,
        /// The line.
        text: String,
    },
}
