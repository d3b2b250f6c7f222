//! The memory that is held for clients beside that of open requests: bodies that are being received, bytes received ahead
//! and responses that clients do not read. Open requests are bounded by their number.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes of a purpose of one connection that do not count, so that small requests are never refused.
const UNCOUNTED_BYTES: usize = 4 * 1024;

/// The memory of all clients together.
pub(super) struct MemoryBudget {
    limit: usize,
    used: Cell<usize>,
}

impl MemoryBudget {
    pub(super) fn new(limit: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget { limit, used: Cell::new(0) })
    }

    /// A share that uses nothing yet.
    pub(super) fn share(self: &Rc<MemoryBudget>) -> MemoryShare {
        MemoryShare { budget: self.clone(), counted: Cell::new(0), bytes: Cell::new(0) }
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

/// The memory of one purpose of one connection, given back when it is dropped.
pub(super) struct MemoryShare {
    budget: Rc<MemoryBudget>,
    bytes: Cell<usize>,
    /// The part of `bytes` that counts.
    counted: Cell<usize>,
}

impl MemoryShare {
    /// Adds bytes, unless they would count and exceed the limit; returns whether they were added.
    pub(super) fn try_add(&self, bytes: usize) -> bool {
        let total = self.bytes.get() + bytes;
        let counted = total.saturating_sub(UNCOUNTED_BYTES);
        let added = counted - self.counted.get();
        if added > 0 && self.budget.used.get() + added > self.budget.limit {
            return false;
        }
        self.set(total);
        true
    }

    /// Sets the number of bytes, whatever the limit: they are held already.
    pub(super) fn set(&self, bytes: usize) {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        self.budget.used.set(self.budget.used.get() - self.counted.replace(counted) + counted);
        self.bytes.set(bytes);
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.set(0);
    }
}

#[cfg(test)]
mod tests;
