//! When the client of a long body may have sent its last byte. Its time counts from then, but the end shows only when it
//! is received: where a server reads slowly, up to some megabytes wait in the buffers of the system.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use tokio::time::Instant;

/// What the system holds at most of a connection between the client's write and the read here, in bytes.
const MAX_SYSTEM_BUFFER_BYTES: u64 = 5 << 20;
/// Bytes between two marks.
const MARK_INTERVAL_BYTES: u64 = MAX_SYSTEM_BUFFER_BYTES / 8;

/// How much had been received at a time.
#[derive(Clone, Copy, Debug)]
struct Mark {
    at: Instant,
    received: u64,
}

/// Follows the receipt of one body.
#[derive(Debug)]
pub struct UploadClock {
    /// The announced length of the body.
    length: Option<u64>,
    received: Cell<u64>,
    /// The first mark is the earliest time of the last byte.
    marks: RefCell<VecDeque<Mark>>,
}

impl UploadClock {
    /// Starts with a body of which nothing was received.
    pub fn new(length: Option<u64>, now: Instant) -> UploadClock {
        UploadClock {
            length,
            received: Cell::new(0),
            marks: RefCell::new([Mark { at: now, received: 0 }].into()),
        }
    }

    /// Nothing more was there to read: what is still to come had not been received by now.
    pub fn caught_up(&self, now: Instant) {
        let mut marks = self.marks.borrow_mut();
        marks.clear();
        marks.push_back(Mark { at: now, received: self.received.get() });
    }

    /// Some bytes were received.
    pub fn received(&self, bytes: usize, now: Instant) {
        let received = self.received.get() + bytes as u64;
        self.received.set(received);
        // More is still to come than the system can hold.
        if self.length.is_some_and(|length| length.saturating_sub(received) > MAX_SYSTEM_BUFFER_BYTES) {
            return self.caught_up(now);
        }
        let mut marks = self.marks.borrow_mut();
        if marks.back().is_none_or(|last| received - last.received >= MARK_INTERVAL_BYTES) {
            marks.push_back(Mark { at: now, received });
        }
        // What was read since a mark is more than the system held at that time, so some of it was sent later.
        while marks.get(1).is_some_and(|mark| received - mark.received > MAX_SYSTEM_BUFFER_BYTES) {
            marks.pop_front();
        }
    }

    /// The earliest time at which the client may have sent the last byte.
    pub fn earliest_end(&self) -> Option<Instant> {
        self.marks.borrow().front().map(|mark| mark.at)
    }
}

#[cfg(test)]
mod tests;
