//! Table of servers by id. An id is assigned when its server is first listed and is reserved until no request can
//! refer to it any more; [`ServerTable::release_removed`] is the only place that releases ids.

use dunlincleat::api::{ServerId, Span, Status, Time};
use rustc_hash::FxHashMap;

/// State of one server, stored under the id that the decision module knows it by.
#[derive(Clone, Debug, Default)]
pub struct ServerRecord {
    /// Unique name of the server; empty if the id is free.
    pub uid: String,
    /// Whether a transport to it was opened.
    pub transport_open: bool,
    /// Attempts and probes in flight.
    pub in_flight: usize,
    /// Attempts of open requests, ended or not: the decision module refers to their servers by id.
    pub remembered_attempts: usize,
    /// When it was removed from the list.
    pub removed_at: Option<Time>,
    /// Consecutive attempts and probes without a reply.
    pub failures: u32,
    /// When the last attempt or probe ended whose result says something about the server.
    pub last_result: Time,
}

/// Consecutive failures after which a server counts as unhealthy.
const UNHEALTHY_FAILURES: u32 = 3;
/// How long after the last failure a server stays unhealthy. Without traffic nothing else would show that it has
/// recovered.
const UNHEALTHY_DURATION: Span = Span(10_000_000);

impl ServerRecord {
    /// Whether the server counts as healthy in the choice of a pool. The draw of servers does not use this.
    #[must_use]
    pub fn healthy(&self, now: Time) -> bool {
        self.failures < UNHEALTHY_FAILURES || now - self.last_result > UNHEALTHY_DURATION
    }
}

/// All servers of one engine.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    records: Vec<ServerRecord>,
    by_uid: FxHashMap<String, ServerId>,
    /// Released ids, reused for new servers.
    free_ids: Vec<ServerId>,
}

impl ServerTable {
    /// Returns the id of a server; assigns one if the name is new.
    pub fn id_or_assign(&mut self, uid: &str) -> ServerId {
        if let Some(server) = self.by_uid.get(uid) {
            return *server;
        }
        let server = self.free_ids.pop().unwrap_or_else(|| {
            self.records.push(ServerRecord::default());
            ServerId(self.records.len() as u32 - 1)
        });
        self.records[server.0 as usize].uid = uid.to_owned();
        self.by_uid.insert(uid.to_owned(), server);
        server
    }

    /// Returns the id of a server if one is assigned.
    #[must_use]
    pub fn id_of(&self, uid: &str) -> Option<ServerId> {
        self.by_uid.get(uid).copied()
    }

    /// Returns the state of a server.
    #[must_use]
    pub fn get(&self, server: ServerId) -> Option<&ServerRecord> {
        self.records.get(server.0 as usize)
    }

    /// Returns the state of a server for modification.
    pub fn get_mut(&mut self, server: ServerId) -> Option<&mut ServerRecord> {
        self.records.get_mut(server.0 as usize)
    }

    /// Records that an attempt or probe starts; its end must be recorded exactly once, whatever happens. Returns false
    /// if there is no transport to the server.
    pub fn record_start(&mut self, server: ServerId) -> bool {
        let Some(record) = self.get_mut(server) else { return false };
        record.in_flight += 1;
        record.transport_open
    }

    /// Records that an attempt or probe has ended.
    pub fn record_end(&mut self, now: Time, server: ServerId, status: Status) {
        let Some(record) = self.get_mut(server) else { return };
        record.in_flight = record.in_flight.saturating_sub(1);
        match status {
            Status::Ok | Status::Rejected => {
                record.failures = 0;
                record.last_result = now;
            }
            Status::Error | Status::Timeout | Status::ConnectFailed | Status::Reset => {
                record.failures += 1;
                record.last_result = now;
            }
            // These outcomes say nothing about the health of the server.
            Status::Cancelled | Status::NotSent => {}
        }
    }

    /// Records that an open request has an attempt at this server, which it remembers until it ends.
    pub fn remember_attempt(&mut self, server: ServerId) {
        if let Some(record) = self.get_mut(server) {
            record.remembered_attempts += 1;
        }
    }

    /// Records that a request with an attempt at this server has ended.
    pub fn forget_attempt(&mut self, server: ServerId) {
        if let Some(record) = self.get_mut(server) {
            record.remembered_attempts = record.remembered_attempts.saturating_sub(1);
        }
    }

    /// Returns the name of a server; empty if the id is unknown.
    #[must_use]
    pub fn uid(&self, server: ServerId) -> &str {
        self.get(server).map_or("", |record| &record.uid)
    }

    /// Iterates over all assigned ids.
    pub fn assigned(&self) -> impl Iterator<Item = (ServerId, &ServerRecord)> {
        let records = self.records.iter().enumerate().map(|(index, record)| (ServerId(index as u32), record));
        records.filter(|(_, record)| !record.uid.is_empty())
    }

    /// Releases the ids of servers that were removed at least `retention` ago and that no open request refers to, and
    /// returns these ids. Without this, the table grew with each replaced server.
    pub fn release_removed(&mut self, now: Time, retention: Span) -> Vec<ServerId> {
        let releasable = |record: &ServerRecord| {
            let in_use = record.in_flight > 0 || record.remembered_attempts > 0;
            !in_use && record.removed_at.is_some_and(|removed_at| now - removed_at >= retention)
        };
        let released: Vec<ServerId> =
            self.assigned().filter(|(_, record)| releasable(record)).map(|(server, _)| server).collect();
        for server in &released {
            let record = std::mem::take(&mut self.records[server.0 as usize]);
            self.by_uid.remove(&record.uid);
            self.free_ids.push(*server);
        }
        released
    }
}
