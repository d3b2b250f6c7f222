//! Rate limit for log lines that a single request or call can cause.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Limits a log line to one per second. Written for each request, such lines could fill the pipe that the log goes to,
/// and the process would block until the pipe is read.
#[derive(Default)]
pub struct LogLimiter {
    last_written: Cell<Option<Instant>>,
    occurrences: Cell<u64>,
}

impl LogLimiter {
    const MIN_INTERVAL: Duration = Duration::from_secs(1);

    /// Counts an occurrence. If the line may be written now, returns the number of occurrences since it was last written.
    pub fn admit(&self) -> Option<u64> {
        self.occurrences.set(self.occurrences.get() + 1);
        let due = self.last_written.get().is_none_or(|last| last.elapsed() >= LogLimiter::MIN_INTERVAL);
        due.then(|| {
            self.last_written.set(Some(Instant::now()));
            self.occurrences.replace(0)
        })
    }
}

/// Writes a log line at most once per second, with the number of occurrences since it was last written.
#[macro_export]
macro_rules! log_limited {
    ($limiter:expr, $level:ident, $line:expr) => {
        if let Some(times) = $limiter.admit() {
            tracing::$level!("{} (times: {times})", $line);
        }
    };
}
