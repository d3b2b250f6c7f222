//! A connection to a server: the thin I/O under awc, which does what awc can't. It keeps to the bound on
//! descriptors and to drains, counts what was written, and frames what is read.

use crate::frame::{InvalidResponse, ResponseFramer};
use crate::message::server_address;
use crate::options::HttpOptions;
use crate::write_progress::WriteProgress;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use dunlincleat::api::Status;
use dunlincleat_status::{Metrics, Seldom, seldom};
use futures_util::future::LocalBoxFuture;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, Sleep, sleep, sleep_until, timeout};

/// How long a server may stand still in the middle of an answer that is being passed on.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a server may read nothing of a request that is being written to it.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an idle connection that is closed to make room may take to give its place back.
const IDLE_RELEASE_TIMEOUT: Duration = Duration::from_millis(100);

/// Why nothing was sent, for a reason that lies here and not with the server.
#[derive(Debug)]
pub struct NotSentError(pub &'static str);

impl std::fmt::Display for NotSentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for NotSentError {}

/// Whether sends to a server may begin.
#[derive(Default)]
pub struct SendGate {
    /// The server leaves: nothing new may begin there.
    pub closed: Cell<bool>,
}

/// What is seen of a connection from outside awc, which owns it.
#[derive(Default)]
pub struct ConnectionState {
    stream: RefCell<Weak<TcpStream>>,
    /// Bytes of the present request that the kernel took.
    bytes_sent: Cell<usize>,
    /// How far the present attempt is written; none for a probe.
    progress: Cell<Option<WriteProgress>>,
    /// Of a body whose length nobody told nothing more comes.
    body_ended: Cell<bool>,
    /// The answer came to its end.
    response_complete: Cell<bool>,
    /// Why it is of no use.
    invalid: Cell<Option<InvalidResponse>>,
    /// The answer is being passed on: what was begun may stand still for longer.
    streaming: Cell<bool>,
    /// The present request was taken back before it began.
    withdrawn: Cell<bool>,
    /// Bytes came that belong to no answer: what comes next could be read as another request's answer.
    stray_bytes: Cell<bool>,
}

impl ConnectionState {
    /// Begins a new attempt, or a probe.
    pub fn begin(&self, attempt: Option<WriteProgress>) {
        self.bytes_sent.set(0);
        self.body_ended.set(false);
        self.progress.set(attempt);
        self.withdrawn.set(false);
        self.response_complete.set(false);
        self.streaming.set(false);
        self.invalid.set(None);
    }

    /// Nothing of the present request was written.
    pub fn nothing_sent(&self) -> bool {
        self.bytes_sent.get() == 0
    }

    /// The answer is passed on as it comes from here on.
    pub fn set_streaming(&self) {
        self.streaming.set(true);
    }

    /// The last byte of a body whose length nobody told has been handed to awc.
    pub fn set_body_ended(&self) {
        self.body_ended.set(true);
    }

    /// Takes the present request back, which has not begun.
    pub fn withdraw(&self) {
        self.withdrawn.set(true);
    }

    /// Whether the present request was taken back.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.get()
    }

    /// The answer came to its end.
    pub fn response_complete(&self) -> bool {
        self.response_complete.get()
    }

    /// Why the answer is of no use.
    pub fn invalid_response(&self) -> Option<InvalidResponse> {
        self.invalid.get()
    }

    /// Whether another request may be sent on it: it is open, and nothing waits to be read. The kernel is asked,
    /// as what came a moment ago has not been told yet.
    pub fn is_reusable(&self) -> bool {
        let Some(stream) = self.stream.borrow().upgrade() else { return false };
        let peeked = socket2::SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]);
        if peeked.as_ref().is_ok_and(|bytes| *bytes > 0) {
            self.stray_bytes.set(true);
        }
        !self.stray_bytes.get() && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether an idle connection has ended, or is of no use any more: nothing is due to come on it.
    pub fn is_closed(&self, cx: &mut Context<'_>) -> bool {
        let Some(stream) = self.stream.borrow().upgrade() else { return true };
        while stream.poll_read_ready(cx).is_ready() {
            match stream.try_read(&mut [0]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => return true,
                Ok(_) => {
                    self.stray_bytes.set(true);
                    return true;
                }
            }
        }
        false
    }

    /// The present request was written to its last byte.
    pub fn request_written(&self) -> bool {
        self.bytes_sent.get() > 0 && self.progress.get().is_none_or(|progress| progress.is_complete())
    }

    /// This status where the request was written to its last byte, else the one that says that nothing can have run.
    pub fn status_if_written(&self, status: Status) -> Status {
        if self.request_written() { status } else { Status::ConnectFailed }
    }
}

/// What connections to servers are made of.
#[derive(Clone)]
pub struct ConnectionContext {
    /// Bounds and times.
    pub options: Rc<HttpOptions>,
    /// Connections to servers that may still be opened.
    pub permits: Arc<Semaphore>,
    /// Closes the connection that has been idle for longest, to whichever server: whether there was one.
    pub close_idle: Rc<dyn Fn() -> bool>,
    /// The line of the log for attempts that found no place among those.
    pub limit_log: Rc<Seldom>,
    /// Counts attempts that were written whole.
    pub metrics: Arc<Metrics>,
}

impl ConnectionContext {
    /// A place among the connections to servers. At the bound an idle connection gives way: kept until they were too
    /// old, those to the servers asked first kept all others out of reach.
    async fn acquire_permit(&self) -> Option<OwnedSemaphorePermit> {
        if self.limit_reached() && !(self.close_idle)() {
            return None;
        }
        // The client of a connection that was closed lets go of it in a task of its own.
        timeout(IDLE_RELEASE_TIMEOUT, self.permits.clone().acquire_owned()).await.ok()?.ok()
    }

    /// Every place is taken. With another process beside this one a part of the places is its.
    fn limit_reached(&self) -> bool {
        let open = self.options.max_server_connections.saturating_sub(self.permits.available_permits());
        open >= self.options.server_connection_limit()
    }
}

/// A process of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerProcess {
    /// Its address.
    pub address: SocketAddr,
    /// Its boot time as listed, in milliseconds.
    pub boot_ms: u64,
}

/// A connection to the server, or one to be opened.
pub struct ServerConnection {
    /// Its awc client.
    pub client: awc::Client,
    /// What is seen of it.
    pub state: Rc<ConnectionState>,
    /// Since when it stands idle.
    pub idle_since: Instant,
    /// The process that it leads to: where it was reached and when it had started.
    pub process: ServerProcess,
}

impl ServerConnection {
    /// One to be opened when it is first sent on.
    pub fn new(context: &ConnectionContext, gate: Rc<SendGate>, process: ServerProcess) -> ServerConnection {
        let state = Rc::new(ConnectionState::default());
        let connector = Connector { context: context.clone(), gate, state: state.clone() };
        // Lifetimes and limits are kept here, so awc's own must never act.
        let never = Duration::from_secs(1 << 30);
        let connector = awc::Connector::new()
            .connector(connector)
            .timeout(context.options.connect_timeout)
            .conn_keep_alive(never)
            .conn_lifetime(never)
            .limit(0);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        ServerConnection { client, state, idle_since: Instant::now(), process }
    }
}

/// Opens connections within the bound on descriptors.
#[derive(Clone)]
struct Connector {
    context: ConnectionContext,
    gate: Rc<SendGate>,
    state: Rc<ConnectionState>,
}

impl Service<ConnectInfo<Uri>> for Connector {
    type Response = Connection<Uri, ServerIo>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let connector = self.clone();
        Box::pin(async move {
            let uri = info.request().clone();
            let endpoint = server_address(&uri).ok_or(ConnectError::Unresolved)?;
            let permit = connector.context.acquire_permit().await.ok_or_else(|| {
                let line = format!("no connection to {endpoint}: the bound on server connections is reached");
                seldom!(connector.context.limit_log, warn, line);
                ConnectError::Io(io::Error::other(NotSentError("the bound on server connections is reached")))
            })?;
            let stream = TcpStream::connect(endpoint).await.map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            let stream = Rc::new(stream);
            *connector.state.stream.borrow_mut() = Rc::downgrade(&stream);
            let framer = ResponseFramer::new();
            let io = ServerIo {
                stream,
                framer,
                waiting_since: None,
                stall_timer: None,
                write_stall_timer: None,
                stall_timeout: connector.context.options.response_stall_timeout,
                gate: connector.gate,
                state: connector.state,
                metrics: connector.context.metrics.clone(),
                _permit: permit,
            };
            Ok(Connection::new(uri, io))
        })
    }
}

/// A connection to a server. Dropping it closes the socket and gives its descriptor back.
struct ServerIo {
    stream: Rc<TcpStream>,
    framer: ResponseFramer,
    /// Since when the next byte of an answer that began is waited for, and the timer for it.
    waiting_since: Option<Instant>,
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// The end of the time within which the server has to read more of the request.
    write_stall_timer: Option<Pin<Box<Sleep>>>,
    stall_timeout: Duration,
    gate: Rc<SendGate>,
    state: Rc<ConnectionState>,
    metrics: Arc<Metrics>,
    _permit: OwnedSemaphorePermit,
}

impl std::fmt::Debug for ServerIo {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.stream.fmt(f)
    }
}

impl ServerIo {
    fn fail_invalid(&self, invalid: InvalidResponse) -> Poll<io::Result<()>> {
        self.state.invalid.set(Some(invalid));
        Poll::Ready(Err(io::Error::other(invalid)))
    }

    /// An answer that began and does not go on is of no use: waited for to its deadline, it kept a request that
    /// may be repeated until it was too late for that.
    fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.framer.has_started() {
            return Poll::Pending;
        }
        let timeout = if self.state.streaming.get() { STREAM_STALL_TIMEOUT } else { self.stall_timeout };
        let due = *self.waiting_since.get_or_insert_with(Instant::now) + timeout;
        let timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep_until(due)));
        if timer.deadline() != due {
            timer.as_mut().reset(due);
        }
        ready!(timer.as_mut().poll(cx));
        self.fail_invalid(InvalidResponse("it began and does not go on"))
    }

    /// A server that reads no more of a body, while its client still sends: no deadline runs before the last byte, and
    /// the attempt, its connection and its client were held for as long as both stayed.
    fn poll_write_stalled(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let timer = self.write_stall_timer.get_or_insert_with(|| Box::pin(sleep(WRITE_STALL_TIMEOUT)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ServerIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            let ready = this.framer.output();
            if !ready.is_empty() {
                let part = ready.split_to(ready.len().min(buf.remaining()));
                buf.put_slice(&part);
                return Poll::Ready(Ok(()));
            }
            // awc drops an idle connection that fails when it looks whether anything came on it.
            if this.framer.has_stray_bytes() {
                return Poll::Ready(Err(io::Error::other(NotSentError(
                    "bytes came that belong to no answer",
                ))));
            }
            match this.stream.poll_read_ready(cx) {
                Poll::Ready(ready) => ready?,
                Poll::Pending => return this.poll_stalled(cx),
            };
            match this.stream.try_read_buf(this.framer.input_buffer()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                Err(error) => return Poll::Ready(Err(error)),
                Ok(0) => {
                    if this.framer.connection_closed() {
                        this.state.response_complete.set(true);
                    }
                    return Poll::Ready(Ok(()));
                }
                Ok(_) => this.waiting_since = None,
            }
            if let Err(invalid) = this.framer.parse_input() {
                return this.fail_invalid(invalid);
            }
            this.state.response_complete.set(this.framer.is_complete());
            if this.framer.has_stray_bytes() {
                this.state.stray_bytes.set(true);
            }
        }
    }
}

impl AsyncWrite for ServerIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.state.bytes_sent.get() == 0 {
            self.framer.expect_response();
        }
        // Guards the drain: an attempt that waited for its connection must not begin once the server leaves.
        if self.state.bytes_sent.get() == 0 && self.gate.closed.get() {
            return Poll::Ready(Err(io::Error::other(NotSentError("the server leaves"))));
        }
        loop {
            match self.stream.poll_write_ready(cx) {
                Poll::Ready(ready) => ready?,
                Poll::Pending => return self.poll_write_stalled(cx),
            }
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(n) => {
                    self.write_stall_timer = None;
                    self.state.bytes_sent.set(self.state.bytes_sent.get() + n);
                    if let Some(mut progress) = self.state.progress.get() {
                        if progress.record(&buf[..n], self.state.body_ended.get()) {
                            self.metrics.tries.count();
                        }
                        self.state.progress.set(Some(progress));
                    }
                    return Poll::Ready(Ok(n));
                }
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// The socket is closed when it is dropped, which comes next.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl ActixStream for ServerIo {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&*self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&*self.stream, cx)
    }
}
