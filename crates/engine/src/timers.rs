//! Timer queue of one engine. Timers expire in order of time; those with the same time expire in the order in which
//! they were set.

use dunlincleat::api::Time;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A queue of timers, each with a payload.
#[derive(Clone, Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<Due<T>>>,
    set: u64,
}

#[derive(Clone, Debug)]
struct Due<T> {
    at: Time,
    order: u64,
    what: T,
}

impl<T> PartialEq for Due<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<T> Eq for Due<T> {}

impl<T> PartialOrd for Due<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Due<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl<T> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers { heap: BinaryHeap::new(), set: 0 }
    }
}

impl<T> Timers<T> {
    /// Adds a timer that expires at `at`.
    pub fn set(&mut self, at: Time, what: T) {
        self.set += 1;
        self.heap.push(Reverse(Due { at, order: self.set, what }));
    }

    /// Returns when the next timer expires.
    #[must_use]
    pub fn due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse(due)| due.at)
    }

    /// Removes the next timer that has expired by `now` and returns its payload.
    pub fn pop(&mut self, now: Time) -> Option<T> {
        self.due().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse(due)| due.what)
    }
}
