//! The socket of a client connection, as actix-http reads and writes it.

use super::clients::{ClientConnection, MAX_BUFFERED_BYTES, Phase, Termination};
use actix_rt::net::TcpStream;
use dunlincleat_status::Stage;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;

/// The socket of a client connection.
pub(super) struct ClientIo {
    pub(super) stream: Rc<TcpStream>,
    pub(super) state: Rc<ClientConnection>,
    pub(super) stage: watch::Receiver<Stage>,
}

impl ClientIo {
    /// Reads the bytes that were received ahead, then from the socket.
    fn read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut read_ahead = self.state.read_ahead.borrow_mut();
        if !read_ahead.is_empty() {
            let part = read_ahead.len().min(buf.remaining());
            buf.put_slice(&read_ahead.split_to(part));
            return Poll::Ready(Ok(()));
        }
        if self.state.read_ahead_full.get() {
            return Poll::Pending;
        }
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(n) => {
                    buf.advance(n);
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
        let result = this.read(cx, buf);
        let received = buf.filled().len() - before;
        let ended = result.is_ready() && received == 0;
        match state.phase.get() {
            Phase::Connected | Phase::Idle if received > 0 => state.enter(Phase::ReadingHead),
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
            Phase::ReadingHead | Phase::ReadingBody if closing && !state.write_blocked.get() => {
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
        self.state.write_blocked.set(true);
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.state.write_blocked.set(result.as_ref().is_ok_and(|n| *n < buf.len()));
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
