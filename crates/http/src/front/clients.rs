//! The connections of clients: phase, deadlines and eviction.

use crate::options::HttpOptions;
use actix_rt::net::TcpStream;
use bytes::BytesMut;
use dunlincleat_status::Stage;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::fmt::{self, Display, Formatter};
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::time::Instant;

/// At the bound, the age from which an idle connection, or one without a whole request, makes room for a new one.
pub(super) const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
pub(super) const EVICT_INCOMPLETE_AFTER: Duration = Duration::from_millis(200);
/// What is held of a client that sends on while its request is in hand, and read of one that was turned away.
pub(super) const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// What is read between two sweeps, and dropped, of a client that sends on beyond that: its end comes behind it.
pub(super) const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Bytes a second that a client sends of a body at the least: half of what honest slow ones manage.
pub(super) const MIN_UPLOAD_BYTES_PER_S: f64 = 32.0 * 1024.0;
/// How long a client that was turned away may send on.
pub(super) const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// In standby, the age from which a connection that has sent nothing is closed: one that has just come is asked first.
pub(super) const STANDBY_SILENT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a connection is ended from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Termination {
    /// The client has gone, or does not read what it was answered.
    ClientLeft,
    /// Its request had not come whole in its time.
    RequestTimeout,
}

/// How far a client's connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing has come on it yet.
    Connected,
    /// A request has begun, and its head is not whole.
    ReadingHead,
    /// Its body comes.
    ReadingBody,
    /// A request is in the engine's hands: nothing here ends it.
    Processing,
    /// The last request was answered and no byte has come since.
    Idle,
    /// It was turned away, or told that this was its last answer.
    Draining,
}

/// What is known of a client's connection.
pub(super) struct ClientConnection {
    pub(super) phase: Cell<Phase>,
    /// Since when it counts against the time that the phase has.
    pub(super) phase_since: Cell<Instant>,
    /// Since when it is to end as soon as nothing more can be read.
    pub(super) closing_since: Cell<Option<Instant>>,
    /// Bytes read of a body, or while draining.
    pub(super) phase_bytes: Cell<usize>,
    /// What came while a request was in hand, read by what comes next.
    pub(super) read_ahead: RefCell<BytesMut>,
    /// More came than is held: what follows can't be read any more.
    pub(super) read_ahead_full: Cell<bool>,
    /// What was read since the last sweep and dropped.
    pub(super) discarded: Cell<usize>,
    /// It is to be ended from here.
    pub(super) termination: Cell<Option<Termination>>,
    /// What was written last did not fit: the client does not read.
    pub(super) write_blocked: Cell<bool>,
    /// The body goes on to a server as it comes: its pace is the server's too.
    pub(super) streams_body: Cell<bool>,
    /// It is one too many.
    pub(super) over_limit: bool,
    /// Has the connection polled once more.
    pub(super) wake: Notify,
}

impl ClientConnection {
    pub(super) fn new(over_limit: bool) -> ClientConnection {
        ClientConnection {
            phase: Cell::new(Phase::Connected),
            phase_since: Cell::new(Instant::now()),
            closing_since: Cell::default(),
            phase_bytes: Cell::default(),
            read_ahead: RefCell::default(),
            read_ahead_full: Cell::default(),
            discarded: Cell::default(),
            termination: Cell::default(),
            write_blocked: Cell::default(),
            streams_body: Cell::default(),
            over_limit,
            wake: Notify::new(),
        }
    }

    pub(super) fn enter(&self, phase: Phase) {
        self.phase_since.set(Instant::now());
        self.phase_bytes.set(0);
        self.closing_since.set(None);
        self.streams_body.set(false);
        if self.phase.replace(phase) == Phase::Processing {
            // Nothing was read for actix-http meanwhile.
            self.wake.notify_one();
        }
    }

    /// Ready when the connection is to be ended from here. While a request is in hand all that comes is read here, in
    /// whatever state actix-http is: the end of a client that has left stands behind what it sent.
    pub(super) fn poll_termination(&self, stream: &TcpStream, cx: &mut Context<'_>) -> Poll<Termination> {
        let mut received = [0; 4096];
        while self.termination.get().is_none()
            && self.phase.get() == Phase::Processing
            && self.discarded.get() < MAX_DISCARDED_BYTES
        {
            let read = match stream.poll_read_ready(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(ready) => ready.and_then(|()| stream.try_read(&mut received)),
            };
            match read {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => self.termination.set(Some(Termination::ClientLeft)),
                Ok(n) => {
                    let mut read_ahead = self.read_ahead.borrow_mut();
                    if self.read_ahead_full.get() || read_ahead.len() + n > MAX_BUFFERED_BYTES {
                        self.read_ahead_full.set(true);
                        self.discarded.set(self.discarded.get() + n);
                    } else {
                        read_ahead.extend_from_slice(&received[..n]);
                    }
                }
            }
        }
        self.termination.get().map_or(Poll::Pending, Poll::Ready)
    }

    /// When the client has had its time.
    pub(super) fn deadline(&self, options: &HttpOptions, stage: Stage) -> Option<Instant> {
        let time = match self.phase.get() {
            // Sent away, and nothing has told it so: no answer was due.
            Phase::Idle if matches!(stage, Stage::Emptying | Stage::Parting) => Duration::ZERO,
            Phase::Connected if stage == Stage::Emptying => STANDBY_SILENT_TIMEOUT,
            // All that can be read of it is answered.
            Phase::Idle | Phase::ReadingHead if self.read_ahead_full.get() => Duration::ZERO,
            Phase::Connected | Phase::ReadingHead => options.client_request_timeout,
            Phase::ReadingBody if self.streams_body.get() => return None,
            Phase::ReadingBody => options.client_request_timeout + self.earned_time(),
            Phase::Processing => return None,
            Phase::Idle => options.client_idle_timeout,
            Phase::Draining => DRAIN_TIMEOUT,
        };
        Some(self.phase_since.get() + time)
    }

    /// The time that what came of a body pays for: a slow client that goes on is an honest one.
    pub(super) fn earned_time(&self) -> Duration {
        Duration::from_secs_f64(self.phase_bytes.get() as f64 / MIN_UPLOAD_BYTES_PER_S)
    }

    pub(super) fn request_close(&self) {
        self.closing_since.set(self.closing_since.get().or_else(|| Some(Instant::now())));
        self.wake.notify_one();
    }

    /// A sweep has passed. What was to close and did not, as its client reads nothing, is ended.
    pub(super) fn after_sweep(&self, now: Instant) {
        if self.closing_since.get().is_some_and(|since| now - since >= DRAIN_TIMEOUT) {
            self.termination.set(self.termination.get().or(Some(Termination::ClientLeft)));
        }
        if self.discarded.replace(0) >= MAX_DISCARDED_BYTES || self.termination.get().is_some() {
            self.wake.notify_one();
        }
    }

    /// How fit it is to make room for another: of the idle and of those without a whole request the oldest.
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<(bool, Duration)> {
        let age = now - self.phase_since.get();
        let spare = match self.phase.get() {
            Phase::Idle => (age >= EVICT_IDLE_AFTER).then_some((true, age)),
            Phase::Connected | Phase::ReadingHead => (age >= EVICT_INCOMPLETE_AFTER).then_some((false, age)),
            Phase::ReadingBody if !self.streams_body.get() => {
                (age >= EVICT_INCOMPLETE_AFTER + self.earned_time()).then_some((false, age))
            }
            Phase::ReadingBody | Phase::Processing | Phase::Draining => None,
        };
        spare.filter(|_| self.closing_since.get().is_none())
    }
}

/// The clients' connections.
pub(super) struct Clients {
    pub(super) options: Rc<HttpOptions>,
    pub(super) connections: RefCell<FxHashMap<u64, Rc<ClientConnection>>>,
    pub(super) next_id: Cell<u64>,
    /// New ones are still taken: there is somebody to make room for.
    pub(super) accepting: Cell<bool>,
}

impl Clients {
    /// A place for a new connection. At the bound another that serves nobody makes room for it, so that those
    /// that connect and say nothing, or asked once and stay, keep nobody out.
    pub(super) fn register(self: &Rc<Clients>, permit: OwnedSemaphorePermit) -> ClientSlot {
        let open =
            self.connections.borrow().values().filter(|state| state.closing_since.get().is_none()).count();
        let over_limit = open >= self.options.client_connection_limit() && !self.evict_one(Instant::now());
        let state = Rc::new(ClientConnection::new(over_limit));
        let number = self.next_id.replace(self.next_id.get() + 1);
        self.connections.borrow_mut().insert(number, state.clone());
        ClientSlot { clients: self.clone(), number, state, _permit: permit }
    }

    /// Three quarters of the places are taken.
    pub(super) fn is_crowded(&self) -> bool {
        4 * self.connections.borrow().len() >= 3 * self.options.client_connection_limit().max(4)
    }

    pub(super) fn evict_one(&self, now: Instant) -> bool {
        let connections = self.connections.borrow();
        let spare = connections.values().filter_map(|state| Some((state.eviction_rank(now)?, state)));
        let spare = spare.max_by_key(|(fit, _)| *fit);
        spare.inspect(|(_, state)| state.request_close()).is_some()
    }
}

/// Who holds the places, for the log.
pub(super) struct ConnectionSummary<'a>(pub(super) &'a Clients);

impl Display for ConnectionSummary<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let connections = self.0.connections.borrow();
        let count = |phase| connections.values().filter(|state| state.phase.get() == phase).count();
        write!(
            f,
            "request refused: the bound on client connections is reached: {} silent, {} sending, {} in hand, \
             {} idle, {} ending",
            count(Phase::Connected),
            count(Phase::ReadingHead) + count(Phase::ReadingBody),
            count(Phase::Processing),
            count(Phase::Idle),
            count(Phase::Draining)
        )
    }
}

/// A connection's place among the clients'. Dropping it gives the place back.
pub(super) struct ClientSlot {
    pub(super) clients: Rc<Clients>,
    pub(super) number: u64,
    pub(super) state: Rc<ClientConnection>,
    _permit: OwnedSemaphorePermit,
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.clients.connections.borrow_mut().remove(&self.number);
    }
}
