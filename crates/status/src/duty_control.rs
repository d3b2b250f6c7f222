//! Between the operators' console and the duties: what is shown of them, and what is ordered. Nothing waits here.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

/// What operators order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyCommand {
    /// Let a duty go, to another member where one is named.
    HandOver {
        /// The duty.
        duty: String,
        /// The next holder.
        to: Option<String>,
    },
    /// The process ends.
    Shutdown,
}

type Send = Box<dyn Fn(DutyCommand) + std::marker::Send>;

/// The desk.
#[derive(Default)]
pub struct DutyControl {
    status: Mutex<String>,
    has_reader: AtomicBool,
    send: Mutex<Option<Send>>,
}

impl std::fmt::Debug for DutyControl {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("DutyControl")
    }
}

impl DutyControl {
    /// There is a console: what is shown is read.
    pub fn attach_reader(&self) {
        self.has_reader.store(true, Ordering::Relaxed);
    }

    /// Whether anybody reads it.
    #[must_use]
    pub fn has_reader(&self) -> bool {
        self.has_reader.load(Ordering::Relaxed)
    }

    /// Where orders go.
    pub fn set_receiver(&self, send: impl Fn(DutyCommand) + std::marker::Send + 'static) {
        *self.send.lock().unwrap_or_else(PoisonError::into_inner) = Some(Box::new(send));
    }

    /// Shows this, one line a duty.
    pub fn publish_status(&self, lines: String) {
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = lines;
    }

    /// What is shown.
    #[must_use]
    pub fn status(&self) -> String {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Gives an order; false where nobody takes any.
    pub fn submit(&self, command: DutyCommand) -> bool {
        let send = self.send.lock().unwrap_or_else(PoisonError::into_inner);
        send.as_ref().map(|send| send(command)).is_some()
    }
}
