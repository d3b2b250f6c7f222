//! The memory of client connections: one account for all that each of them holds from accept to close, and the limit
//! that they share. Responses of open requests are bounded by the number of these.

use crate::options::CLIENT_CONNECTION_BYTES;
use std::cell::Cell;
use std::rc::Rc;

/// Bytes of a connection that do not count on top of that, so that small requests are never refused.
const UNCOUNTED_BYTES: usize = 8 * 1024;

/// The memory of all client connections together.
pub(super) struct MemoryBudget {
    limit: usize,
    used: Cell<usize>,
}

impl MemoryBudget {
    pub(super) fn new(limit: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget { limit, used: Cell::new(0) })
    }

    /// The bytes in use.
    pub(super) fn used(&self) -> usize {
        self.used.get()
    }

    /// Whether the limit is reached.
    pub(super) fn is_exhausted(&self) -> bool {
        self.used.get() >= self.limit
    }
}

/// What a connection holds memory for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemoryUse {
    /// Bytes received that are framed, decoded or wait for their turn.
    Input,
    /// The buffered body of the current request.
    Body,
    /// The part of a response that the client has not taken.
    Response,
}

const MEMORY_USES: usize = 3;

/// The memory of one connection, given back when it is dropped.
pub(super) struct ConnectionMemory {
    budget: Rc<MemoryBudget>,
    held: [Cell<usize>; MEMORY_USES],
    /// The part of what is held that counts.
    counted: Cell<usize>,
}

impl ConnectionMemory {
    /// The account of a new connection.
    pub(super) fn new(budget: &Rc<MemoryBudget>) -> ConnectionMemory {
        budget.used.set(budget.used.get() + CLIENT_CONNECTION_BYTES);
        ConnectionMemory { budget: budget.clone(), held: Default::default(), counted: Cell::new(0) }
    }

    /// The bytes that count, which become free when the connection gives up what it holds.
    pub(super) fn counted(&self) -> usize {
        self.counted.get()
    }

    /// Sets the bytes of a use, unless they would count and exceed the limit; returns whether they were set.
    pub(super) fn try_set(&self, memory_use: MemoryUse, bytes: usize) -> bool {
        let added = self.counted_with(memory_use, bytes).saturating_sub(self.counted.get());
        if added > 0 && self.budget.used.get() + added > self.budget.limit {
            return false;
        }
        self.set(memory_use, bytes);
        true
    }

    /// Sets the bytes of a use, whatever the limit: they are held already.
    pub(super) fn set(&self, memory_use: MemoryUse, bytes: usize) {
        let counted = self.counted_with(memory_use, bytes);
        self.held[memory_use as usize].set(bytes);
        self.set_counted(counted);
    }

    /// Gives back all but the connection itself, which is about to release it.
    pub(super) fn release_all(&self) {
        self.held.iter().for_each(|held| held.set(0));
        self.set_counted(0);
    }

    /// The bytes of a use.
    pub(super) fn held(&self, memory_use: MemoryUse) -> usize {
        self.held[memory_use as usize].get()
    }

    fn counted_with(&self, memory_use: MemoryUse, bytes: usize) -> usize {
        let held: usize = self.held.iter().map(Cell::get).sum();
        (held - self.held(memory_use) + bytes).saturating_sub(UNCOUNTED_BYTES)
    }

    fn set_counted(&self, counted: usize) {
        self.budget.used.set(self.budget.used.get() - self.counted.replace(counted) + counted);
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.release_all();
        self.budget.used.set(self.budget.used.get() - CLIENT_CONNECTION_BYTES);
    }
}

#[cfg(test)]
mod tests;
