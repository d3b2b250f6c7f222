//! A connection to a server: the thin I/O under awc, which does what awc can't. It keeps to the bound on
//! descriptors and to drains, counts what was written, and frames what is read.

use crate::frame::{Frame, Spoilt};
use crate::message::authority;
use crate::own::Own;
use crate::written::Written;
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use dunlincleat::api::Status;
use dunlincleat_status::{LogLimiter, Metrics, log_limited};
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
const STREAM_STALL: Duration = Duration::from_secs(10);
/// How long a server may read nothing of a request that is being written to it.
const UNREAD_STALL: Duration = Duration::from_secs(5);
/// How long an idle connection that is closed to make room may take to give its place back.
const MAKES_ROOM: Duration = Duration::from_millis(100);

/// Why nothing was sent, for a reason that lies here and not with the server.
#[derive(Debug)]
pub struct Unsent(pub &'static str);

impl std::fmt::Display for Unsent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Unsent {}

/// Whether sends to a server may begin.
#[derive(Default)]
pub struct Gate {
    /// The server leaves: nothing new may begin there.
    pub closed: Cell<bool>,
}

/// What is seen of a connection from outside awc, which owns it.
#[derive(Default)]
pub struct Wire {
    stream: RefCell<Weak<TcpStream>>,
    /// Bytes of the present request that the kernel took.
    sent: Cell<usize>,
    /// How far the present attempt is written; none for a probe.
    written: Cell<Option<Written>>,
    /// Of a body whose length nobody told nothing more comes.
    last: Cell<bool>,
    /// The answer came to its end.
    whole: Cell<bool>,
    /// Why it is of no use.
    spoilt: Cell<Option<Spoilt>>,
    /// The answer is being passed on: what was begun may stand still for longer.
    passed_on: Cell<bool>,
    /// The present request was taken back before it began.
    withdrawn: Cell<bool>,
    /// Bytes came that belong to no answer: what comes next could be read as another request's answer.
    stray: Cell<bool>,
}

impl Wire {
    /// Begins a new attempt, or a probe.
    pub fn begin(&self, attempt: Option<Written>) {
        self.sent.set(0);
        self.last.set(false);
        self.written.set(attempt);
        self.withdrawn.set(false);
        self.whole.set(false);
        self.passed_on.set(false);
        self.spoilt.set(None);
    }

    /// Nothing of the present request was written.
    pub fn unsent(&self) -> bool {
        self.sent.get() == 0
    }

    /// The answer is passed on as it comes from here on.
    pub fn pass_on(&self) {
        self.passed_on.set(true);
    }

    /// The last byte of a body whose length nobody told has been handed to awc.
    pub fn last(&self) {
        self.last.set(true);
    }

    /// Takes the present request back, which has not begun.
    pub fn withdraw(&self) {
        self.withdrawn.set(true);
    }

    /// Whether the present request was taken back.
    pub fn withdrawn(&self) -> bool {
        self.withdrawn.get()
    }

    /// The answer came to its end.
    pub fn whole(&self) -> bool {
        self.whole.get()
    }

    /// Why the answer is of no use.
    pub fn spoilt(&self) -> Option<Spoilt> {
        self.spoilt.get()
    }

    /// Whether another request may be sent on it: it is open, and nothing waits to be read. The kernel is asked,
    /// as what came a moment ago has not been told yet.
    pub fn fit(&self) -> bool {
        let Some(stream) = self.stream.borrow().upgrade() else { return false };
        let waits = socket2::SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]);
        if waits.as_ref().is_ok_and(|bytes| *bytes > 0) {
            self.stray.set(true);
        }
        !self.stray.get() && waits.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether an idle connection has ended, or is of no use any more: nothing is due to come on it.
    pub fn ended(&self, cx: &mut Context<'_>) -> bool {
        let Some(stream) = self.stream.borrow().upgrade() else { return true };
        while stream.poll_read_ready(cx).is_ready() {
            match stream.try_read(&mut [0]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => return true,
                Ok(_) => {
                    self.stray.set(true);
                    return true;
                }
            }
        }
        false
    }

    /// The present request was written to its last byte.
    pub fn written(&self) -> bool {
        self.sent.get() > 0 && self.written.get().is_none_or(|written| written.whole())
    }

    /// This status where the request was written to its last byte, else the one that says that nothing can have run.
    pub fn unless_written(&self, status: Status) -> Status {
        if self.written() { status } else { Status::ConnectFailed }
    }
}

/// What connections to servers are made of.
#[derive(Clone)]
pub struct Means {
    /// Bounds and times.
    pub own: Rc<Own>,
    /// Connections to servers that may still be opened.
    pub sockets: Arc<Semaphore>,
    /// Closes the connection that has been idle for longest, to whichever server: whether there was one.
    pub close_idle: Rc<dyn Fn() -> bool>,
    /// The line of the log for attempts that found no place among those.
    pub full: Rc<LogLimiter>,
    /// Counts attempts that were written whole.
    pub metrics: Arc<Metrics>,
}

impl Means {
    /// A place among the connections to servers. At the bound an idle connection gives way: kept until they were too
    /// old, those to the servers asked first kept all others out of reach.
    async fn place(&self) -> Option<OwnedSemaphorePermit> {
        if self.full() && !(self.close_idle)() {
            return None;
        }
        // The client of a connection that was closed lets go of it in a task of its own.
        timeout(MAKES_ROOM, self.sockets.clone().acquire_owned()).await.ok()?.ok()
    }

    /// Every place is taken. With another process beside this one a part of the places is its.
    fn full(&self) -> bool {
        let open = self.own.server_connections.saturating_sub(self.sockets.available_permits());
        open >= self.own.servers_now()
    }
}

/// A connection to the server, or one to be opened.
pub struct Line {
    /// Its awc client.
    pub client: awc::Client,
    /// What is seen of it.
    pub wire: Rc<Wire>,
    /// Since when it stands idle.
    pub since: Instant,
    /// The process that it leads to: where it was reached and when it had started.
    pub to: (SocketAddr, u64),
}

impl Line {
    /// One to be opened when it is first sent on.
    pub fn new(means: &Means, gate: Rc<Gate>, to: (SocketAddr, u64)) -> Line {
        let wire = Rc::new(Wire::default());
        let dial = Dial { means: means.clone(), gate, wire: wire.clone() };
        // Lifetimes and limits are kept here, so awc's own must never act.
        let never = Duration::from_secs(1 << 30);
        let connector = awc::Connector::new()
            .connector(dial)
            .timeout(means.own.connect)
            .conn_keep_alive(never)
            .conn_lifetime(never)
            .limit(0);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Line { client, wire, since: Instant::now(), to }
    }
}

/// Opens connections within the bound on descriptors.
#[derive(Clone)]
struct Dial {
    means: Means,
    gate: Rc<Gate>,
    wire: Rc<Wire>,
}

impl Service<ConnectInfo<Uri>> for Dial {
    type Response = Connection<Uri, ServerIo>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let dial = self.clone();
        Box::pin(async move {
            let uri = info.request().clone();
            let endpoint = authority(&uri).ok_or(ConnectError::Unresolved)?;
            let permit = dial.means.place().await.ok_or_else(|| {
                let line = format!("no connection to {endpoint}: the bound on server connections is reached");
                log_limited!(dial.means.full, warn, line);
                ConnectError::Io(io::Error::other(Unsent("the bound on server connections is reached")))
            })?;
            let stream = TcpStream::connect(endpoint).await.map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            let stream = Rc::new(stream);
            *dial.wire.stream.borrow_mut() = Rc::downgrade(&stream);
            let frame = Frame::new();
            let io = ServerIo {
                stream,
                frame,
                waits: None,
                timer: None,
                unread: None,
                stall: dial.means.own.answer_stall,
                gate: dial.gate,
                wire: dial.wire,
                metrics: dial.means.metrics.clone(),
                _permit: permit,
            };
            Ok(Connection::new(uri, io))
        })
    }
}

/// A connection to a server. Dropping it closes the socket and gives its descriptor back.
struct ServerIo {
    stream: Rc<TcpStream>,
    frame: Frame,
    /// Since when the next byte of an answer that began is waited for, and the timer for it.
    waits: Option<Instant>,
    timer: Option<Pin<Box<Sleep>>>,
    /// The end of the time within which the server has to read more of the request.
    unread: Option<Pin<Box<Sleep>>>,
    stall: Duration,
    gate: Rc<Gate>,
    wire: Rc<Wire>,
    metrics: Arc<Metrics>,
    _permit: OwnedSemaphorePermit,
}

impl std::fmt::Debug for ServerIo {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.stream.fmt(f)
    }
}

impl ServerIo {
    fn spoil(&self, spoilt: Spoilt) -> Poll<io::Result<()>> {
        self.wire.spoilt.set(Some(spoilt));
        Poll::Ready(Err(io::Error::other(spoilt)))
    }

    /// An answer that began and does not go on is of no use: waited for to its deadline, it kept a request that
    /// may be repeated until it was too late for that.
    fn stalled(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.frame.begun() {
            return Poll::Pending;
        }
        let stall = if self.wire.passed_on.get() { STREAM_STALL } else { self.stall };
        let due = *self.waits.get_or_insert_with(Instant::now) + stall;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(due)));
        if timer.deadline() != due {
            timer.as_mut().reset(due);
        }
        ready!(timer.as_mut().poll(cx));
        self.spoil(Spoilt("it began and does not go on"))
    }

    /// A server that reads no more of a body, while its client still sends: no deadline runs before the last byte, and
    /// the attempt, its connection and its client were held for as long as both stayed.
    fn unread(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let timer = self.unread.get_or_insert_with(|| Box::pin(sleep(UNREAD_STALL)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ServerIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            let ready = this.frame.ready();
            if !ready.is_empty() {
                let part = ready.split_to(ready.len().min(buf.remaining()));
                buf.put_slice(&part);
                return Poll::Ready(Ok(()));
            }
            // awc drops an idle connection that fails when it looks whether anything came on it.
            if this.frame.stray() {
                return Poll::Ready(Err(io::Error::other(Unsent("bytes came that belong to no answer"))));
            }
            match this.stream.poll_read_ready(cx) {
                Poll::Ready(ready) => ready?,
                Poll::Pending => return this.stalled(cx),
            };
            match this.stream.try_read_buf(this.frame.room()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                Err(error) => return Poll::Ready(Err(error)),
                Ok(0) => {
                    if this.frame.end() {
                        this.wire.whole.set(true);
                    }
                    return Poll::Ready(Ok(()));
                }
                Ok(_) => this.waits = None,
            }
            if let Err(spoilt) = this.frame.advance() {
                return this.spoil(spoilt);
            }
            this.wire.whole.set(this.frame.whole());
            if this.frame.stray() {
                this.wire.stray.set(true);
            }
        }
    }
}

impl AsyncWrite for ServerIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.wire.sent.get() == 0 {
            self.frame.expect();
        }
        // Guards the drain: an attempt that waited for its connection must not begin once the server leaves.
        if self.wire.sent.get() == 0 && self.gate.closed.get() {
            return Poll::Ready(Err(io::Error::other(Unsent("the server leaves"))));
        }
        loop {
            match self.stream.poll_write_ready(cx) {
                Poll::Ready(ready) => ready?,
                Poll::Pending => return self.unread(cx),
            }
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(n) => {
                    self.unread = None;
                    self.wire.sent.set(self.wire.sent.get() + n);
                    if let Some(mut written) = self.wire.written.get() {
                        if written.more(&buf[..n], self.wire.last.get()) {
                            self.metrics.attempts.increment();
                        }
                        self.wire.written.set(Some(written));
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
