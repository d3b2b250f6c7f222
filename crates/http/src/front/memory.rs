//! The memory of client connections: one account for all that each of them holds from accept to close. The connections
//! themselves, what is received beyond a small request and the responses that clients do not take have a limit each, so
//! that none takes the memory of the others. Responses of open requests are bounded by the number of these.

use super::memory_pressure::MemoryPressure;
use crate::options::{CLIENT_CONNECTION_BYTES, CLIENT_REQUEST_BYTES, HttpOptions};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Bytes of a connection in each account that are part of its own charge, so that small requests are never refused.
const UNCOUNTED_BYTES: usize = 8 * 1024;

/// What a connection holds memory for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemoryUse {
    /// The connection itself, with its small request if it has one.
    Connection,
    /// Bytes received that are framed, decoded or wait for their turn.
    Input,
    /// The buffered body of the current request.
    Body,
    /// The encoded part of a response that the client has not taken.
    Response,
    /// The part of a complete response that has not been encoded.
    ResponseBody,
}

const MEMORY_USES: usize = 5;

/// The uses that share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Account {
    /// Connections and their small requests.
    Connections,
    /// What is received of requests.
    Receiving,
    /// Responses that wait for their clients.
    Responding,
}

const ACCOUNTS: usize = 3;

impl MemoryUse {
    const ALL: [MemoryUse; MEMORY_USES] = [
        MemoryUse::Connection,
        MemoryUse::Input,
        MemoryUse::Body,
        MemoryUse::Response,
        MemoryUse::ResponseBody,
    ];

    fn account(self) -> Account {
        match self {
            MemoryUse::Connection => Account::Connections,
            MemoryUse::Input | MemoryUse::Body => Account::Receiving,
            MemoryUse::Response | MemoryUse::ResponseBody => Account::Responding,
        }
    }
}

/// The sum of an account over all connections.
#[derive(Default)]
struct AccountTotal {
    limit: usize,
    used: Cell<usize>,
    /// The part of it that connections hold which have been evicted and have not freed it yet.
    releasing: Cell<usize>,
}

/// The memory of all client connections together.
pub(super) struct MemoryBudget {
    totals: [AccountTotal; ACCOUNTS],
    /// Notified when the memory of a request was given back.
    pub(super) request_freed: Notify,
    /// The resident memory of the process, which has the last word.
    pub(super) pressure: MemoryPressure,
}

impl MemoryBudget {
    /// The budget of a process with these options.
    pub(super) fn new(options: &HttpOptions) -> Rc<MemoryBudget> {
        let total = |limit| AccountTotal { limit, ..AccountTotal::default() };
        Rc::new(MemoryBudget {
            totals: [
                total(options.max_connection_bytes),
                total(options.max_receiving_bytes),
                total(options.max_responding_bytes),
            ],
            request_freed: Notify::new(),
            pressure: MemoryPressure::new(options.memory_limit_bytes),
        })
    }

    /// The bytes in use of all accounts.
    pub(super) fn used(&self) -> usize {
        self.totals.iter().map(|total| total.used.get()).sum()
    }

    /// The bytes in use of an account.
    pub(super) fn used_by(&self, account: Account) -> usize {
        self.totals[account as usize].used.get()
    }

    /// Whether the limit of an account is reached.
    pub(super) fn is_exhausted(&self, account: Account) -> bool {
        let total = &self.totals[account as usize];
        total.used.get() >= total.limit
    }

    /// Whether an account will be short soon, whatever evicted connections are about to free.
    pub(super) fn is_scarce(&self, account: Account) -> bool {
        let total = &self.totals[account as usize];
        total.used.get() - total.releasing.get() >= total.limit / 4 * 3
    }
}

/// The memory of one connection, given back when it is dropped.
pub(super) struct ConnectionMemory {
    budget: Rc<MemoryBudget>,
    held: [Cell<usize>; MEMORY_USES],
    /// The part of what is held that counts, by account.
    counted: [Cell<usize>; ACCOUNTS],
    /// The connection was evicted and is about to free what it holds.
    releasing: Cell<bool>,
}

impl ConnectionMemory {
    /// The account of a new connection.
    pub(super) fn new(budget: &Rc<MemoryBudget>) -> ConnectionMemory {
        let memory = ConnectionMemory {
            budget: budget.clone(),
            held: Default::default(),
            counted: Default::default(),
            releasing: Cell::new(false),
        };
        memory.set(MemoryUse::Connection, CLIENT_CONNECTION_BYTES);
        memory
    }

    /// Holds the memory of a small request until it has been answered; returns whether there is room for it.
    pub(super) fn try_hold_request(&self) -> bool {
        self.try_set(MemoryUse::Connection, CLIENT_CONNECTION_BYTES + CLIENT_REQUEST_BYTES)
    }

    /// The same, whatever the limit: another connection is about to free as much.
    pub(super) fn hold_request(&self) {
        self.set(MemoryUse::Connection, CLIENT_CONNECTION_BYTES + CLIENT_REQUEST_BYTES);
    }

    /// Gives back the memory of a small request, which has been answered.
    pub(super) fn release_request(&self) {
        if self.held(MemoryUse::Connection) > CLIENT_CONNECTION_BYTES {
            self.set(MemoryUse::Connection, CLIENT_CONNECTION_BYTES);
            self.budget.request_freed.notify_one();
        }
    }

    /// The bytes that count in an account, which become free when the connection gives up what it holds.
    pub(super) fn counted(&self, account: Account) -> usize {
        self.counted[account as usize].get()
    }

    /// Sets the bytes of a use, unless they would count and exceed a limit; returns whether they were set.
    pub(super) fn try_set(&self, memory_use: MemoryUse, bytes: usize) -> bool {
        let account = memory_use.account();
        let added = self.counted_with(memory_use, bytes).saturating_sub(self.counted(account));
        let total = &self.budget.totals[account as usize];
        let pressure = &self.budget.pressure;
        let has_room = || match account {
            Account::Connections => pressure.has_room_for_request(),
            Account::Receiving | Account::Responding => pressure.has_room_to_hold(added),
        };
        if added > 0 && (total.used.get() + added > total.limit || !has_room()) {
            return false;
        }
        self.set(memory_use, bytes);
        true
    }

    /// Sets the bytes of a use, whatever the limit: they are held already.
    pub(super) fn set(&self, memory_use: MemoryUse, bytes: usize) {
        let counted = self.counted_with(memory_use, bytes);
        self.budget.pressure.growing(bytes.saturating_sub(self.held(memory_use)));
        self.held[memory_use as usize].set(bytes);
        self.set_counted(memory_use.account(), counted);
    }

    /// The connection is about to free all that it holds. Until it has, that still counts.
    pub(super) fn start_release(&self) {
        if !self.releasing.replace(true) {
            self.each_total(|total, counted| total.releasing.set(total.releasing.get() + counted));
        }
    }

    /// Gives back all but the connection itself, which has freed it.
    pub(super) fn release_all(&self) {
        if self.releasing.replace(false) {
            self.each_total(|total, counted| total.releasing.set(total.releasing.get() - counted));
        }
        for memory_use in MemoryUse::ALL.into_iter().filter(|other| *other != MemoryUse::Connection) {
            self.set(memory_use, 0);
        }
    }

    /// The bytes of a use.
    pub(super) fn held(&self, memory_use: MemoryUse) -> usize {
        self.held[memory_use as usize].get()
    }

    fn counted_with(&self, memory_use: MemoryUse, bytes: usize) -> usize {
        let others = MemoryUse::ALL
            .into_iter()
            .filter(|other| *other != memory_use && other.account() == memory_use.account());
        let held: usize = others.map(|other| self.held(other)).sum();
        match memory_use {
            MemoryUse::Connection => bytes,
            _ => (held + bytes).saturating_sub(UNCOUNTED_BYTES),
        }
    }

    fn set_counted(&self, account: Account, counted: usize) {
        let total = &self.budget.totals[account as usize];
        let before = self.counted[account as usize].replace(counted);
        total.used.set(total.used.get() - before + counted);
        if self.releasing.get() {
            total.releasing.set(total.releasing.get() - before + counted);
        }
    }

    fn each_total(&self, change: impl Fn(&AccountTotal, usize)) {
        for (total, counted) in self.budget.totals.iter().zip(&self.counted) {
            change(total, counted.get());
        }
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.release_all();
        self.set(MemoryUse::Connection, 0);
        self.budget.request_freed.notify_one();
    }
}

#[cfg(test)]
mod tests;
