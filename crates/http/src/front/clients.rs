//! Client connections: their phases, what they hold, and their deadlines.

use super::connection_ends::ConnectionEnds;
use super::eviction::Shortage;
use super::memory::{Account, ConnectionMemory, MemoryBudget, MemoryUse};
use crate::frame::request::RequestFramer;
use crate::options::HttpOptions;
use crate::upload_clock::UploadClock;
use actix_rt::net::TcpStream;
use dunlincleat_status::Stage;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::fmt::{self, Display, Formatter};
use std::io;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio::time::Instant;

/// Maximum number of bytes buffered from a client that keeps sending while its request is processed, and read from
/// one that was rejected.
pub(super) const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Maximum number of bytes that are read and discarded between two sweeps once that buffer is full, to detect that
/// the client has closed.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Minimum rate at which a client has to send a body: half of what well-behaved slow clients achieve.
const MIN_UPLOAD_BYTES_PER_S: f64 = 32.0 * 1024.0;
/// Time without a byte taken by a client after which it is considered gone while a response waits for it.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which a rejected client may continue to send.
pub(super) const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// In standby, the age from which a connection that has sent nothing is closed; a newer one may be about to send its
/// first request.
const STANDBY_SILENT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a connection is terminated without waiting for actix-http.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Termination {
    /// The client has disconnected, or does not read its responses.
    ClientLeft,
    /// The request was not received completely in time.
    RequestTimeout,
    /// The head of the request exceeds the limit.
    HeadTooLong,
    /// The request is refused at a limit before it has been received completely.
    Refused,
    /// The handler has rejected a request that has not been received completely.
    Rejected,
}

/// The phase of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing has been received.
    Connected,
    /// The head of a request is being received.
    ReadingHead,
    /// The body of a request is being received.
    ReadingBody,
    /// The engine processes a request; no timeout of the front applies.
    Processing,
    /// The last request was answered, and nothing has been received since.
    Idle,
    /// The request was rejected, or the response announced that the connection closes.
    Draining,
}

/// The state of a client connection.
pub(super) struct ClientConnection {
    pub(super) phase: Cell<Phase>,
    /// Start of the current phase, from which its timeout runs.
    pub(super) phase_since: Cell<Instant>,
    /// When closing was requested; the connection closes once nothing is left to read.
    pub(super) closing_since: Cell<Option<Instant>>,
    /// Bytes received in the current phase, of a body or while draining.
    pub(super) phase_bytes: Cell<usize>,
    /// Frames the requests and holds what was received ahead of the current one.
    pub(super) framer: RefCell<RequestFramer>,
    /// The memory of all that the connection holds.
    pub(super) memory: ConnectionMemory,
    /// All connections, among which one is evicted where memory is short.
    clients: Weak<Clients>,
    /// When the last byte of the current body may have been sent.
    pub(super) upload_clock: RefCell<Rc<UploadClock>>,
    /// When the last byte was received.
    pub(super) received_at: Cell<Instant>,
    /// The response with which the handler has rejected a request that has not been received completely.
    pub(super) rejection: RefCell<Vec<u8>>,
    /// The next request is read once the client has accepted the response to the last one.
    pub(super) read_waits_for_write: Cell<bool>,
    /// More was received than may be buffered, so that what follows can't be parsed any more.
    pub(super) read_ahead_full: Cell<bool>,
    /// Part of a body was read in this turn of the connection's task: more is read in the next one, so that bodies that are
    /// costly to parse leave turns to other connections.
    pub(super) body_read_in_turn: Cell<bool>,
    /// Bytes discarded since the last sweep.
    pub(super) discarded: Cell<usize>,
    /// Set when the connection has to be terminated.
    pub(super) termination: Cell<Option<Termination>>,
    /// Since when the client has taken nothing of a response that waits for it; `None` if none waits.
    pub(super) write_blocked_since: Cell<Option<Instant>>,
    /// The request has a place among those whose bodies are streamed.
    pub(super) holds_upload_place: Cell<bool>,
    /// The request body is streamed to a server, so that the upload rate also depends on the server.
    pub(super) streams_body: Cell<bool>,
    /// The client has closed its connection, or its sending side; bytes that it sent before may still be unread.
    pub(super) peer_closed: Cell<bool>,
    /// The connection exceeds the limit; its requests are refused.
    pub(super) over_limit: bool,
    /// Causes the connection to be polled again.
    pub(super) wake: Notify,
}

impl ClientConnection {
    pub(super) fn new(
        over_limit: bool,
        memory: &Rc<MemoryBudget>,
        clients: Weak<Clients>,
    ) -> ClientConnection {
        ClientConnection {
            phase: Cell::new(Phase::Connected),
            phase_since: Cell::new(Instant::now()),
            closing_since: Cell::default(),
            phase_bytes: Cell::default(),
            framer: RefCell::default(),
            memory: ConnectionMemory::new(memory),
            clients,
            upload_clock: RefCell::new(Rc::new(UploadClock::new(None, Instant::now()))),
            received_at: Cell::new(Instant::now()),
            rejection: RefCell::default(),
            read_waits_for_write: Cell::default(),
            read_ahead_full: Cell::default(),
            body_read_in_turn: Cell::default(),
            discarded: Cell::default(),
            termination: Cell::default(),
            write_blocked_since: Cell::default(),
            holds_upload_place: Cell::default(),
            streams_body: Cell::default(),
            peer_closed: Cell::default(),
            over_limit,
            wake: Notify::new(),
        }
    }

    pub(super) fn enter(&self, phase: Phase) {
        self.phase_since.set(Instant::now());
        self.phase_bytes.set(0);
        self.closing_since.set(None);
        self.holds_upload_place.set(false);
        self.streams_body.set(false);
        let before = self.phase.replace(phase);
        if phase == Phase::Idle {
            self.framer.borrow_mut().expect_request();
            self.memory.release_request();
        }
        if matches!(phase, Phase::Idle | Phase::Draining) {
            self.memory.set(MemoryUse::Body, 0);
        }
        self.memory.set(MemoryUse::Input, self.framer.borrow().held_bytes());
        // Nothing was read for actix-http meanwhile.
        if before == Phase::Processing || matches!(phase, Phase::Idle | Phase::Draining) {
            self.wake.notify_one();
        }
    }

    /// The body of a request is received from here on; returns the clock that follows it.
    pub(super) fn start_body(&self, length: Option<u64>) -> Rc<UploadClock> {
        let clock = Rc::new(UploadClock::new(length, Instant::now()));
        self.upload_clock.replace(clock.clone());
        self.enter(Phase::ReadingBody);
        clock
    }

    /// Bytes were received.
    pub(super) fn bytes_received(&self, count: usize) {
        let now = Instant::now();
        self.received_at.set(now);
        self.upload_clock.borrow().received(count, now);
    }

    /// Part of the body of the request was consumed, so that more may be read.
    pub(super) fn body_consumed(&self, bytes: usize) {
        let mut framer = self.framer.borrow_mut();
        if framer.is_window_closed() {
            self.wake.notify_one();
        }
        framer.body_consumed(bytes);
        self.memory.set(MemoryUse::Input, framer.held_bytes());
    }

    /// Holds memory for what is received, unless there is none; returns whether it is held. Where memory is scarce, a
    /// connection that makes no progress is evicted before there is none: it takes a moment until it has freed its own.
    pub(super) fn hold(&self, memory_use: MemoryUse, bytes: usize) -> bool {
        let held = self.memory.try_set(memory_use, bytes);
        if let Some(clients) = self.clients.upgrade()
            && (!held || clients.memory.is_scarce(Account::Receiving))
        {
            clients.evict_stalled(Shortage::Receiving, Instant::now());
        }
        held
    }

    /// Accounts for what the framer holds; returns whether there is memory for it.
    pub(super) fn hold_input(&self, framer: &RequestFramer) -> bool {
        let held = framer.held_bytes();
        // Part of the request may already be on its way to a server.
        if self.streams_body.get() {
            self.memory.set(MemoryUse::Input, held);
            return true;
        }
        self.hold(MemoryUse::Input, held)
    }

    /// Whether all bytes of the current request have been received.
    pub(super) fn request_received(&self) -> bool {
        self.framer.borrow().is_complete()
    }

    /// Whether the start of a request was received, which can't be parsed yet.
    pub(super) fn has_partial_head(&self) -> bool {
        let framer = self.framer.borrow();
        !framer.is_complete() && framer.unframed_bytes() > 0
    }

    /// Whether all of the current request has been received, so that what follows belongs to the next one.
    fn reads_ahead(&self) -> bool {
        match self.phase.get() {
            Phase::Processing => true,
            Phase::ReadingBody => self.request_received(),
            Phase::Connected | Phase::ReadingHead | Phase::Idle | Phase::Draining => false,
        }
    }

    /// Completes when the connection has to be terminated. While a request is being processed, all input is read
    /// here, whatever state actix-http is in: the end of the stream comes after the bytes that the client has sent.
    pub(super) fn poll_termination(&self, stream: &TcpStream, cx: &mut Context<'_>) -> Poll<Termination> {
        let mut received = [0; 4096];
        while self.termination.get().is_none()
            && self.reads_ahead()
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
                    self.received_at.set(Instant::now());
                    let framer = self.framer.borrow();
                    let held = framer.held_bytes_with(n);
                    let fits = framer.unframed_bytes() + n <= MAX_BUFFERED_BYTES;
                    // Evicting another connection may not look at this framer.
                    drop(framer);
                    let fits = fits && self.hold(MemoryUse::Input, held);
                    let mut framer = self.framer.borrow_mut();
                    if self.read_ahead_full.get() || !fits {
                        self.read_ahead_full.set(true);
                        self.discarded.set(self.discarded.get() + n);
                    } else {
                        framer.append_input(&received[..n]);
                    }
                }
            }
        }
        self.termination.get().map_or(Poll::Pending, Poll::Ready)
    }

    /// The client has taken bytes of a response; the rest of them waits if `waits`.
    pub(super) fn response_bytes_taken(&self, waits: bool) {
        self.write_blocked_since.set(waits.then(Instant::now));
    }

    /// The client has no room for a response.
    pub(super) fn response_waits(&self) {
        self.write_blocked_since.set(self.write_blocked_since.get().or_else(|| Some(Instant::now())));
    }

    /// Whether a response waits for the client to take it.
    pub(super) fn is_write_blocked(&self) -> bool {
        self.write_blocked_since.get().is_some()
    }

    /// When the timeout of the current phase expires.
    pub(super) fn deadline(&self, options: &HttpOptions, stage: Stage) -> Option<Instant> {
        // The last part of a response may still wait when its connection counts as idle or draining.
        if let Some(since) = self.write_blocked_since.get() {
            return Some(since + CLIENT_STALL_TIMEOUT);
        }
        let time = match self.phase.get() {
            // Clients are being sent away, and no response is due that could tell this one.
            Phase::Idle if matches!(stage, Stage::StandbyClosingIdle | Stage::ShutdownClosingIdle) => {
                Duration::ZERO
            }
            Phase::Connected if stage == Stage::StandbyClosingIdle => STANDBY_SILENT_TIMEOUT,
            // All requests that can be parsed have been answered.
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

    /// The extra time granted for the bytes of the body received so far, so that a slow client that keeps sending is
    /// not cut off.
    pub(super) fn earned_time(&self) -> Duration {
        Duration::from_secs_f64(self.phase_bytes.get() as f64 / MIN_UPLOAD_BYTES_PER_S)
    }

    /// Ends the connection with this response to a request that has not been received completely.
    pub(super) fn reject(&self, response: Vec<u8>) {
        self.rejection.replace(response);
        self.terminate(Termination::Rejected);
    }

    pub(super) fn request_close(&self) {
        self.closing_since.set(self.closing_since.get().or_else(|| Some(Instant::now())));
        self.wake.notify_one();
    }

    /// Whether the connection is about to end and serves no request any more.
    fn is_ending(&self) -> bool {
        self.closing_since.get().is_some() || self.termination.get().is_some()
    }

    /// Called after each sweep. Terminates a connection that was asked to close and did not, because its client reads
    /// nothing.
    pub(super) fn after_sweep(&self, now: Instant) {
        let takes_response =
            self.write_blocked_since.get().is_some_and(|since| now - since < CLIENT_STALL_TIMEOUT);
        if !takes_response && self.closing_since.get().is_some_and(|since| now - since >= DRAIN_TIMEOUT) {
            self.termination.set(self.termination.get().or(Some(Termination::ClientLeft)));
        }
        if self.discarded.replace(0) >= MAX_DISCARDED_BYTES || self.termination.get().is_some() {
            self.wake.notify_one();
        }
    }

    /// The client has closed. Its request is withdrawn, as no answer can reach it.
    pub(super) fn set_peer_closed(&self) {
        self.peer_closed.set(true);
        if self.phase.get() == Phase::Processing || self.streams_body.get() {
            self.terminate(Termination::ClientLeft);
        }
    }

    /// Ends the connection, unless it is being ended already.
    pub(super) fn terminate(&self, termination: Termination) {
        self.termination.set(self.termination.get().or(Some(termination)));
        self.wake.notify_one();
    }

    /// Frees what was received and what is buffered, where nothing of it is needed any more.
    pub(super) fn release_memory(&self) {
        self.framer.take();
        self.memory.release_all();
    }
}

/// All client connections.
pub(super) struct Clients {
    pub(super) options: Rc<HttpOptions>,
    pub(super) connections: RefCell<Connections>,
    pub(super) next_id: Cell<u64>,
    /// The memory held for all of them.
    pub(super) memory: Rc<MemoryBudget>,
    /// New connections are still accepted, so that eviction serves a purpose.
    pub(super) accepting: Cell<bool>,
    /// Why connections ended.
    pub(super) ends: ConnectionEnds,
}

impl Clients {
    /// Registers a new connection. At the limit, a connection that serves no request is evicted, so that clients that
    /// connect and send nothing, or stay connected after a single request, do not lock out others.
    pub(super) fn register(self: &Rc<Clients>, permit: OwnedSemaphorePermit) -> ClientSlot {
        let open = self.connections.borrow().values().filter(|state| !state.is_ending()).count();
        let over_limit = open >= self.options.client_connection_limit() && !self.evict_one(Instant::now());
        let state = Rc::new(ClientConnection::new(over_limit, &self.memory, Rc::downgrade(self)));
        let number = self.next_id.replace(self.next_id.get() + 1);
        self.connections.borrow_mut().insert(number, state.clone());
        ClientSlot { clients: self.clone(), number, state, _permit: permit }
    }

    /// The number of connections.
    pub(super) fn count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Whether three quarters of the connection limit or of the memory for connections are in use.
    pub(super) fn is_crowded(&self) -> bool {
        4 * self.connections.borrow().len() >= 3 * self.options.client_connection_limit().max(4)
            || self.memory.is_scarce(Account::Connections)
    }
}

/// The open connections by number.
pub(super) type Connections = FxHashMap<u64, Rc<ClientConnection>>;

/// Number of connections in each phase, for the log.
pub(super) struct ConnectionSummary<'a>(pub(super) &'a Clients);

impl Display for ConnectionSummary<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let connections = self.0.connections.borrow();
        let count = |phase| connections.values().filter(|state| state.phase.get() == phase).count();
        write!(
            f,
            "{} silent, {} sending, {} in progress, {} idle, {} draining, {} of them ending",
            count(Phase::Connected),
            count(Phase::ReadingHead) + count(Phase::ReadingBody),
            count(Phase::Processing),
            count(Phase::Idle),
            count(Phase::Draining),
            connections.values().filter(|state| state.is_ending()).count()
        )
    }
}

/// The registration of a client connection; dropping it removes the connection.
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

#[cfg(test)]
pub(super) mod tests;
