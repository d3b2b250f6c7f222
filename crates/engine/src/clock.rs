//! Monotonic clock of the I/O adapters. It counts microseconds from the Unix time at process start, so that the boot
//! times of servers in a list can be compared with it.

use dunlincleat::api::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic clock with a Unix time base.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: u64,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    #[must_use]
    pub fn begin() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as u64 }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.time(Instant::now())
    }

    /// Converts a tokio instant to the time of this clock.
    pub fn time(&self, at: Instant) -> Time {
        Time(self.unix + at.saturating_duration_since(self.start).as_micros() as u64)
    }

    /// Converts a time of this clock to a tokio instant.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.0.saturating_sub(self.unix))
    }
}
