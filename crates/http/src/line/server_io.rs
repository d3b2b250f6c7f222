//! The socket of a server connection, as awc reads and writes it.

use super::{ConnectionState, NotSentError, SendGate};
use crate::frame::{BodyLength, InvalidMessage, ResponseFramer};
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

/// Time without progress after which a response that is being streamed is invalid.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without progress after which writing a request fails.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The socket of a server connection. Dropping it closes the socket and returns the permit.
pub(super) struct ServerIo {
    pub(super) stream: Rc<TcpStream>,
    pub(super) framer: ResponseFramer,
    /// Since when the next byte of a started response has been awaited.
    pub(super) waiting_since: Option<Instant>,
    /// The timer for the next byte of a started response.
    pub(super) stall_timer: Option<Pin<Box<Sleep>>>,
    /// The timer within which the server has to accept more of the request.
    pub(super) write_stall_timer: Option<Pin<Box<Sleep>>>,
    pub(super) stall_timeout: Duration,
    /// The length up to which a response is buffered.
    pub(super) max_buffered_bytes: u64,
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
    fn fail_invalid(&self, invalid: InvalidMessage) -> Poll<io::Result<()>> {
        self.state.invalid.set(Some(invalid));
        Poll::Ready(Err(io::Error::other(invalid)))
    }

    /// Fails a response that has started and makes no progress. Waiting for its deadline instead left a request that
    /// could be repeated too little time for that.
    fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let streams = self.state.streaming.get();
        if !self.framer.has_started() || !streams && self.may_pause() {
            return Poll::Pending;
        }
        let timeout = if streams { STREAM_STALL_TIMEOUT } else { self.stall_timeout };
        let due = *self.waiting_since.get_or_insert_with(Instant::now) + timeout;
        let timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep_until(due)));
        if timer.deadline() != due {
            timer.as_mut().reset(due);
        }
        ready!(timer.as_mut().poll(cx));
        self.fail_invalid(InvalidMessage("the response stalled"))
    }

    /// Whether a pause of the response tells nothing: it is long, or may be, and its server may write it slowly. It is
    /// streamed soon.
    fn may_pause(&self) -> bool {
        match self.framer.body_length() {
            Some(BodyLength::Announced(length)) => length > self.max_buffered_bytes,
            Some(BodyLength::Unknown) => true,
            None => false,
        }
    }

    /// Fails a request whose server stops reading the body while the client still sends it: no deadline runs before
    /// the last byte, so that the attempt, its connection and its client would be held for as long as both stay.
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
                drop(part);
                this.framer.release_empty_buffers();
                return Poll::Ready(Ok(()));
            }
            // awc drops an idle connection whose read fails when it checks for unexpected input.
            if this.framer.has_stray_bytes() {
                return Poll::Ready(Err(io::Error::other(NotSentError(
                    "stray bytes after the previous response",
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
        // A request that waited for its connection must not start once its server is draining.
        if self.state.bytes_sent.get() == 0 && self.gate.closed.get() {
            return Poll::Ready(Err(io::Error::other(NotSentError("the server is draining"))));
        }
        loop {
            match self.stream.poll_write_ready(cx) {
                Poll::Ready(ready) => ready?,
                Poll::Pending => {
                    self.state.write_blocked.set(true);
                    return self.poll_write_stalled(cx);
                }
            }
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(n) => {
                    self.write_stall_timer = None;
                    self.state.write_blocked.set(false);
                    self.state.bytes_sent.set(self.state.bytes_sent.get() + n);
                    if let Some(mut progress) = self.state.progress.get() {
                        if progress.record(&buf[..n], self.state.body_ended.get()) {
                            self.metrics.attempts.increment();
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

    /// The socket is closed when it is dropped, which follows.
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
