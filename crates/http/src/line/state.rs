//! The state of a connection to a server, as seen from outside awc.

use crate::frame::InvalidResponse;
use crate::write_progress::WriteProgress;
use actix_rt::net::TcpStream;
use dunlincleat::api::Status;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::rc::Weak;
use std::task::Context;

/// What is seen of a connection from outside awc, which owns it.
#[derive(Default)]
pub struct ConnectionState {
    pub(super) stream: RefCell<Weak<TcpStream>>,
    /// Bytes of the present request that the kernel took.
    pub(super) bytes_sent: Cell<usize>,
    /// How far the present attempt is written; none for a probe.
    pub(super) progress: Cell<Option<WriteProgress>>,
    /// Of a body whose length nobody told nothing more comes.
    pub(super) body_ended: Cell<bool>,
    /// The answer came to its end.
    pub(super) response_complete: Cell<bool>,
    /// Why it is of no use.
    pub(super) invalid: Cell<Option<InvalidResponse>>,
    /// The answer is being passed on: what was begun may stand still for longer.
    pub(super) streaming: Cell<bool>,
    /// The present request was taken back before it began.
    withdrawn: Cell<bool>,
    /// Bytes came that belong to no answer: what comes next could be read as another request's answer.
    pub(super) stray_bytes: Cell<bool>,
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
