//! The state of a server connection, as seen from outside awc.

use crate::frame::InvalidMessage;
use crate::write_progress::WriteProgress;
use actix_rt::net::TcpStream;
use dunlincleat::api::Status;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::rc::Weak;
use std::task::Context;

/// The observable state of a connection, which awc owns.
#[derive(Default)]
pub struct ConnectionState {
    pub(super) stream: RefCell<Weak<TcpStream>>,
    /// Bytes of the current request accepted by the kernel.
    pub(super) bytes_sent: Cell<usize>,
    /// Write progress of the current attempt; `None` for a probe.
    pub(super) progress: Cell<Option<WriteProgress>>,
    /// The server accepts no more of the request at the moment.
    pub(super) write_blocked: Cell<bool>,
    /// The last chunk of a request body of unknown length has been handed to awc.
    pub(super) body_ended: Cell<bool>,
    /// The response has been received completely.
    pub(super) response_complete: Cell<bool>,
    /// Why the response is invalid.
    pub(super) invalid: Cell<Option<InvalidMessage>>,
    /// The response is being streamed, which allows longer stalls.
    pub(super) streaming: Cell<bool>,
    /// The current request was withdrawn before it started.
    withdrawn: Cell<bool>,
    /// Bytes were received that belong to no response, so that later bytes could be taken for the response to another
    /// request.
    pub(super) stray_bytes: Cell<bool>,
}

impl ConnectionState {
    /// Resets the state for a new attempt, or for a probe.
    pub fn begin(&self, attempt: Option<WriteProgress>) {
        self.bytes_sent.set(0);
        self.write_blocked.set(false);
        self.body_ended.set(false);
        self.progress.set(attempt);
        self.withdrawn.set(false);
        self.response_complete.set(false);
        self.streaming.set(false);
        self.invalid.set(None);
    }

    /// Whether nothing of the current request has been written.
    pub fn nothing_sent(&self) -> bool {
        self.bytes_sent.get() == 0
    }

    /// The response is streamed from here on.
    pub fn set_streaming(&self) {
        self.streaming.set(true);
    }

    /// The last chunk of a request body of unknown length has been handed to awc.
    pub fn set_body_ended(&self) {
        self.body_ended.set(true);
    }

    /// Withdraws the current request, which has not started.
    pub fn withdraw(&self) {
        self.withdrawn.set(true);
    }

    /// Whether the current request was withdrawn.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.get()
    }

    /// Whether the response has been received completely.
    pub fn response_complete(&self) -> bool {
        self.response_complete.get()
    }

    /// Why the response is invalid, if it is.
    pub fn invalid_response(&self) -> Option<InvalidMessage> {
        self.invalid.get()
    }

    /// Whether another request may be sent: the connection is open, and there is nothing to read. Asks the kernel, as
    /// the reactor may not have reported the latest bytes yet.
    pub fn is_reusable(&self) -> bool {
        let Some(stream) = self.stream.borrow().upgrade() else { return false };
        let peeked = socket2::SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]);
        if peeked.as_ref().is_ok_and(|bytes| *bytes > 0) {
            self.stray_bytes.set(true);
        }
        !self.stray_bytes.get() && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether an idle connection is closed or unusable. Nothing is expected on it, so that any byte makes it
    /// unusable.
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

    /// Whether the current request has been written completely.
    pub fn request_written(&self) -> bool {
        self.bytes_sent.get() > 0 && self.progress.get().is_none_or(|progress| progress.is_complete())
    }

    /// Whether the server has accepted all that there was of an incomplete request.
    pub fn awaits_request(&self) -> bool {
        !self.nothing_sent() && !self.write_blocked.get() && !self.request_written()
    }

    /// `status` if the request was written completely; otherwise the status that says that it can't have run.
    pub fn status_if_written(&self, status: Status) -> Status {
        if self.request_written() { status } else { Status::ConnectFailed }
    }
}
