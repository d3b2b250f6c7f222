//! The socket of a client connection, as actix-http reads and writes it.

use super::clients::{ClientConnection, MAX_BUFFERED_BYTES, Phase, Termination};
use super::memory::MemoryUse;
use crate::frame::request::HeadTooLong;
use actix_rt::net::TcpStream;
use dunlincleat_status::Stage;
use futures_util::FutureExt;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::sync::watch;
use tokio::time::Instant;

/// The socket of a client connection.
pub(super) struct ClientIo {
    pub(super) stream: Rc<TcpStream>,
    pub(super) state: Rc<ClientConnection>,
    pub(super) stage: watch::Receiver<Stage>,
}

impl ClientIo {
    /// Reads bytes of the current request. What follows it stays in the framer until it has been answered.
    fn read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut framer = self.state.framer.borrow_mut();
        loop {
            if !framer.output().is_empty() {
                let part = framer.output().len().min(buf.remaining());
                buf.put_slice(&framer.output().split_to(part));
                framer.release_empty_buffers();
                self.state.memory.set(MemoryUse::Input, framer.held_bytes());
                return Poll::Ready(Ok(()));
            }
            if framer.parse_input() == Err(HeadTooLong) {
                self.state.termination.set(Some(Termination::HeadTooLong));
                return Poll::Pending;
            }
            if !framer.output().is_empty() {
                continue;
            }
            // The next request is awaited once this one is answered, more of its body once some was consumed.
            if framer.is_complete() || framer.is_window_closed() || self.state.read_ahead_full.get() {
                return Poll::Pending;
            }
            let reads_body = self.state.phase.get() == Phase::ReadingBody;
            if reads_body && self.state.body_read_in_turn.get() {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            match self.stream.poll_read_ready(cx) {
                Poll::Ready(ready) => ready?,
                Poll::Pending => {
                    self.state.upload_clock.borrow().caught_up(Instant::now());
                    return Poll::Pending;
                }
            }
            match self.stream.try_read_buf(framer.input_buffer()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                Err(error) => return Poll::Ready(Err(error)),
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(count) => self.state.bytes_received(count),
            }
            self.state.body_read_in_turn.set(reads_body);
            if matches!(self.stream.ready(Interest::PRIORITY).now_or_never(), Some(Ok(ready)) if ready.is_read_closed())
            {
                self.state.set_peer_closed();
            }
            if !self.state.hold_input(&framer) {
                self.state.termination.set(Some(Termination::Refused));
                return Poll::Pending;
            }
        }
    }

    /// Reads what a client still sends whose connection is about to close; nobody parses it.
    fn read_discarded(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let unframed = self.state.framer.borrow_mut().take_unframed();
        self.state.memory.set(MemoryUse::Input, 0);
        if !unframed.is_empty() {
            buf.put_slice(&unframed[..unframed.len().min(buf.remaining())]);
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(count) => {
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let state = &this.state;
        match state.phase.get() {
            // `ClientConnection::poll_termination` reads in this phase. Entering the next one causes the connection
            // to be polled again.
            Phase::Processing => return Poll::Pending,
            Phase::Draining if state.phase_bytes.get() >= MAX_BUFFERED_BYTES => return Poll::Ready(Ok(())),
            Phase::Connected | Phase::ReadingHead | Phase::ReadingBody | Phase::Idle | Phase::Draining => {}
        }
        let result = match state.phase.get() {
            Phase::Draining => this.read_discarded(cx, buf),
            // The client has not read its last response: its next request waits.
            Phase::Connected | Phase::Idle | Phase::ReadingHead if state.is_write_blocked() => {
                state.read_waits_for_write.set(true);
                Poll::Pending
            }
            _ => this.read(cx, buf),
        };
        let received = buf.filled().len() - before;
        let ended = result.is_ready() && received == 0;
        match state.phase.get() {
            Phase::Connected | Phase::Idle if received > 0 || state.has_partial_head() => {
                state.enter(Phase::ReadingHead);
            }
            // Part of the body may already be on its way to a server.
            Phase::ReadingBody if ended && state.streams_body.get() => {
                state.termination.set(Some(Termination::ClientLeft))
            }
            Phase::ReadingBody | Phase::Processing | Phase::Draining => {
                state.phase_bytes.set(state.phase_bytes.get() + received)
            }
            Phase::Connected | Phase::Idle | Phase::ReadingHead => {}
        }
        if !result.is_pending() {
            return result;
        }
        // A connection is closed only after its last byte was read: a request that arrives at that moment is served,
        // not lost.
        let closing = state.closing_since.get().is_some();
        match state.phase.get() {
            Phase::Connected | Phase::Idle if closing || *this.stage.borrow() >= Stage::ListenerClosed => {
                Poll::Ready(Ok(()))
            }
            // Bytes that arrive from here on cross a response that is already being sent.
            Phase::ReadingHead | Phase::ReadingBody if closing && !state.is_write_blocked() => {
                state.termination.set(Some(Termination::RequestTimeout));
                Poll::Pending
            }
            Phase::ReadingHead | Phase::ReadingBody | Phase::Draining if closing => Poll::Ready(Ok(())),
            Phase::Connected
            | Phase::Idle
            | Phase::ReadingHead
            | Phase::ReadingBody
            | Phase::Draining
            | Phase::Processing => Poll::Pending,
        }
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let state = &self.state;
        state.memory.set(MemoryUse::Response, buf.len());
        loop {
            match self.stream.poll_write_ready(cx) {
                Poll::Ready(ready) => ready?,
                Poll::Pending => {
                    state.response_waits();
                    return Poll::Pending;
                }
            }
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    let unsent = result.as_ref().map_or(0, |count| buf.len() - count);
                    state.memory.set(MemoryUse::Response, unsent);
                    state.response_bytes_taken(unsent > 0);
                    if unsent == 0 && state.read_waits_for_write.take() {
                        state.wake.notify_one();
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
