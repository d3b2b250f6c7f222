//! What is due, in order of time and, at one time, of setting. Owns the timers of one engine.

use dunlincleat::api::Time;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Timers with what they were set for.
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
    /// Sets one.
    pub fn set(&mut self, at: Time, what: T) {
        self.set += 1;
        self.heap.push(Reverse(Due { at, order: self.set, what }));
    }

    /// When the next is due.
    #[must_use]
    pub fn due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse(due)| due.at)
    }

    /// The next that is due by now.
    pub fn pop(&mut self, now: Time) -> Option<T> {
        self.due().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse(due)| due.what)
    }
}
