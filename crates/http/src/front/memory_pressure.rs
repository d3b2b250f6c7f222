//! The resident memory of the process against its limit. Whatever the accounts say, nothing more is admitted where the
//! process itself comes near the limit: what no account knows of must not take it over.

use dunlincleat_status::ResidentMeter;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The age of a reading from which resident memory is read again.
const READING_VALID_FOR: Duration = Duration::from_millis(2);
/// Growth since a reading, in bytes, from which resident memory is read again.
const READING_VALID_FOR_BYTES: usize = 256 * 1024;
/// Thirty-seconds of the limit up to which bytes of requests are held.
const HOLD_UP_TO: usize = 26;
/// Thirty-seconds of the limit up to which requests are opened.
const OPEN_UP_TO: usize = 28;
/// Memory above that of the started process that is always admitted, in bytes: a limit below what an idle process takes
/// must not refuse every request.
const MIN_ADMITTED_BYTES: usize = 4 * 1024 * 1024;

/// The last reading, and what has been added since.
#[derive(Clone, Copy)]
struct Reading {
    at: Instant,
    resident: usize,
    growth: usize,
}

/// Follows the resident memory of the process.
pub(super) struct MemoryPressure {
    /// `None` where the system does not tell it.
    meter: Option<ResidentMeter>,
    hold_threshold: usize,
    open_threshold: usize,
    reading: Cell<Reading>,
}

impl MemoryPressure {
    /// Follows this process, whose limit is given in bytes.
    pub(super) fn new(limit: usize) -> MemoryPressure {
        let meter = ResidentMeter::open();
        let resident = meter.as_ref().and_then(ResidentMeter::read).unwrap_or(0);
        let threshold = |part: usize| (limit / 32 * part).max(resident + MIN_ADMITTED_BYTES);
        MemoryPressure {
            meter,
            hold_threshold: threshold(HOLD_UP_TO),
            open_threshold: threshold(OPEN_UP_TO),
            reading: Cell::new(Reading { at: Instant::now(), resident, growth: 0 }),
        }
    }

    /// Memory is being allocated that the last reading does not include.
    pub(super) fn growing(&self, bytes: usize) {
        let reading = self.reading.get();
        self.reading.set(Reading { growth: reading.growth + bytes, ..reading });
    }

    /// Whether further bytes of requests may be held.
    pub(super) fn has_room_to_hold(&self, bytes: usize) -> bool {
        self.expected() + bytes <= self.hold_threshold
    }

    /// Whether another request may be opened.
    pub(super) fn has_room_for_request(&self) -> bool {
        self.expected() <= self.open_threshold
    }

    /// The resident memory to reckon with: the last reading and what was added since.
    fn expected(&self) -> usize {
        let Some(meter) = &self.meter else { return 0 };
        let mut reading = self.reading.get();
        let now = Instant::now();
        if now - reading.at >= READING_VALID_FOR || reading.growth >= READING_VALID_FOR_BYTES {
            let resident = meter.read().unwrap_or(reading.resident);
            reading = Reading { at: now, resident, growth: 0 };
            self.reading.set(reading);
        }
        reading.resident + reading.growth
    }
}

#[cfg(test)]
mod tests;
