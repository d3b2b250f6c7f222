//! Lines of the log that each request or call could bring.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Keeps a line that each request could bring to one a second: written for each, they could fill the pipe that
/// the log goes to, and the process would stand still until somebody reads it.
#[derive(Default)]
pub struct LogLimiter {
    last: Cell<Option<Instant>>,
    times: Cell<u64>,
}

impl LogLimiter {
    const PAUSE: Duration = Duration::from_secs(1);

    /// How often the line was due since it was last written, where it is to be written now; else it is counted.
    pub fn admit(&self) -> Option<u64> {
        self.times.set(self.times.get() + 1);
        let due = self.last.get().is_none_or(|last| last.elapsed() >= LogLimiter::PAUSE);
        due.then(|| {
            self.last.set(Some(Instant::now()));
            self.times.replace(0)
        })
    }
}

/// Writes a line of the log once a second at most, with how often it was due since.
#[macro_export]
macro_rules! log_limited {
    ($limiter:expr, $level:ident, $line:expr) => {
        if let Some(times) = $limiter.admit() {
            tracing::$level!("{} (times: {times})", $line);
        }
    };
}
