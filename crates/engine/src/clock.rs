//! The clock of the shells: microseconds that never go back, counted on from
//! the Unix time at the start, so that the start of a server in a list can be set against it.

use dunlincleat::api::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The clock.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: u64,
}

impl Clock {
    /// Begins to count.
    #[must_use]
    pub fn begin() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as u64 }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.time(Instant::now())
    }

    /// The time at an instant.
    pub fn time(&self, at: Instant) -> Time {
        Time(self.unix + at.saturating_duration_since(self.start).as_micros() as u64)
    }

    /// The instant of a time.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.0.saturating_sub(self.unix))
    }
}
