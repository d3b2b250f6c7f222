//! Timer queue of one engine. Timers expire in order of time; those with the same time expire in the order in which
//! they were set.

use dunlincleat::api::Time;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A queue of timers, each with a payload.
#[derive(Clone, Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<Timer<T>>>,
    last_sequence: u64,
}

#[derive(Clone, Debug)]
struct Timer<T> {
    at: Time,
    sequence: u64,
    payload: T,
}

impl<T> PartialEq for Timer<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<T> Eq for Timer<T> {}

impl<T> PartialOrd for Timer<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Timer<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl<T> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers { heap: BinaryHeap::new(), last_sequence: 0 }
    }
}

impl<T> Timers<T> {
    /// Adds a timer that expires at `at`.
    pub fn set(&mut self, at: Time, payload: T) {
        self.last_sequence += 1;
        self.heap.push(Reverse(Timer { at, sequence: self.last_sequence, payload }));
    }

    /// Returns when the next timer expires.
    #[must_use]
    pub fn due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }

    /// Removes the next timer that has expired by `now` and returns its payload.
    pub fn pop(&mut self, now: Time) -> Option<T> {
        self.due().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse(timer)| timer.payload)
    }
}
