//! The socket of a connection to a server, as awc reads and writes it.

use super::{ConnectionState, NotSentError, SendGate};
use crate::frame::{InvalidResponse, ResponseFramer};
use actix_rt::net::{ActixStream, Ready, TcpStream};
use dunlincleat_status::Metrics;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

/// How long a server may stand still in the middle of an answer that is being passed on.
pub(super) const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a server may read nothing of a request that is being written to it.
pub(super) const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection to a server. Dropping it closes the socket and gives its descriptor back.
pub(super) struct ServerIo {
    pub(super) stream: Rc<TcpStream>,
    pub(super) framer: ResponseFramer,
    /// Since when the next byte of an answer that began is waited for, and the timer for it.
    pub(super) waiting_since: Option<Instant>,
    pub(super) stall_timer: Option<Pin<Box<Sleep>>>,
    /// The end of the time within which the server has to read more of the request.
    pub(super) write_stall_timer: Option<Pin<Box<Sleep>>>,
    pub(super) stall_timeout: Duration,
    pub(super) gate: Rc<SendGate>,
    pub(super) state: Rc<ConnectionState>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) _permit: OwnedSemaphorePermit,
}

impl std::fmt::Debug for ServerIo {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.stream.fmt(f)
    }
}

impl ServerIo {
    pub(super) fn fail_invalid(&self, invalid: InvalidResponse) -> Poll<io::Result<()>> {
        self.state.invalid.set(Some(invalid));
        Poll::Ready(Err(io::Error::other(invalid)))
    }

    /// An answer that began and does not go on is of no use: waited for to its deadline, it kept a request that
    /// may be repeated until it was too late for that.
    pub(super) fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
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
    pub(super) fn poll_write_stalled(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
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
