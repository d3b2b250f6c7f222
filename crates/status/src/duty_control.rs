//! Connects the operators' console with the duties: publishes their status and forwards commands. Nothing blocks here.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

/// Commands for the duties of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyCommand {
    /// Release a duty, to another member if one is named.
    HandOver {
        /// The duty.
        duty: String,
        /// The member that is to hold it next.
        to: Option<String>,
    },
    /// The process is shutting down: release all duties.
    Shutdown,
}

type CommandSender = Box<dyn Fn(DutyCommand) + Send>;

/// The shared state between console and duties.
#[derive(Default)]
pub struct DutyControl {
    status: Mutex<String>,
    has_reader: AtomicBool,
    sender: Mutex<Option<CommandSender>>,
}

impl std::fmt::Debug for DutyControl {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("DutyControl")
    }
}

impl DutyControl {
    /// Marks that a console reads the published status.
    pub fn attach_reader(&self) {
        self.has_reader.store(true, Ordering::Relaxed);
    }

    /// Whether a console reads the published status.
    #[must_use]
    pub fn has_reader(&self) -> bool {
        self.has_reader.load(Ordering::Relaxed)
    }

    /// Sets the receiver of commands.
    pub fn set_receiver(&self, send: impl Fn(DutyCommand) + Send + 'static) {
        *self.sender.lock().unwrap_or_else(PoisonError::into_inner) = Some(Box::new(send));
    }

    /// Publishes the status of the duties, one line per duty.
    pub fn publish_status(&self, lines: String) {
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = lines;
    }

    /// The status published last.
    #[must_use]
    pub fn status(&self) -> String {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends a command; returns false if no receiver is set.
    pub fn submit(&self, command: DutyCommand) -> bool {
        let sender = self.sender.lock().unwrap_or_else(PoisonError::into_inner);
        sender.as_ref().map(|send| send(command)).is_some()
    }
}
