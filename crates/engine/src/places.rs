//! Table of servers by id. An id is assigned when its server is first listed and is reserved until no request can
//! refer to it any more; [`Places::clear_out`] is the only place that releases ids.

use dunlincleat::api::{ServerId, Span, Status, Time};
use rustc_hash::FxHashMap;

/// State of one server, stored under the id that the decision module knows it by.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// Unique name of the server; empty if the id is free.
    pub uid: String,
    /// Whether a transport to it was opened.
    pub open: bool,
    /// Attempts and probes in flight.
    pub out: usize,
    /// When it was removed from the list.
    pub gone: Option<Time>,
    /// Consecutive attempts and probes without a reply, and when the last of them ended.
    pub failed: (u32, Time),
}

/// Consecutive failures after which a server counts as unhealthy.
const UNHEALTHY_FAILURES: u32 = 3;
/// How long after the last failure a server stays unhealthy. Without traffic nothing else would show that it has
/// recovered.
const UNHEALTHY_DURATION: Span = Span(10_000_000);

impl Place {
    /// Whether the server counts as healthy in the choice of a pool. The draw of servers does not use this.
    #[must_use]
    pub fn healthy(&self, now: Time) -> bool {
        self.failed.0 < UNHEALTHY_FAILURES || now - self.failed.1 > UNHEALTHY_DURATION
    }
}

/// All servers of one engine.
#[derive(Clone, Debug, Default)]
pub struct Places {
    places: Vec<Place>,
    by_uid: FxHashMap<String, ServerId>,
    /// Released ids, reused for new servers.
    free_ids: Vec<ServerId>,
}

impl Places {
    /// Returns the id of a server; assigns one if the name is new.
    pub fn number(&mut self, uid: &str) -> ServerId {
        if let Some(server) = self.by_uid.get(uid) {
            return *server;
        }
        let server = self.free_ids.pop().unwrap_or_else(|| {
            self.places.push(Place::default());
            ServerId(self.places.len() as u32 - 1)
        });
        self.places[server.0 as usize].uid = uid.to_owned();
        self.by_uid.insert(uid.to_owned(), server);
        server
    }

    /// Returns the id of a server if one is assigned.
    #[must_use]
    pub fn known(&self, uid: &str) -> Option<ServerId> {
        self.by_uid.get(uid).copied()
    }

    /// Returns the state of a server.
    #[must_use]
    pub fn get(&self, server: ServerId) -> Option<&Place> {
        self.places.get(server.0 as usize)
    }

    /// Returns the state of a server for modification.
    pub fn get_mut(&mut self, server: ServerId) -> Option<&mut Place> {
        self.places.get_mut(server.0 as usize)
    }

    /// Records that an attempt or probe starts; its end must be recorded exactly once, whatever happens. Returns false
    /// if there is no transport to the server.
    pub fn goes_out(&mut self, server: ServerId) -> bool {
        let Some(place) = self.get_mut(server) else { return false };
        place.out += 1;
        place.open
    }

    /// Records that an attempt or probe has ended.
    pub fn returned(&mut self, now: Time, server: ServerId, status: Status) {
        let Some(place) = self.get_mut(server) else { return };
        place.out = place.out.saturating_sub(1);
        match status {
            Status::Ok | Status::Rejected => place.failed = (0, now),
            Status::Error | Status::Timeout | Status::ConnectFailed | Status::Reset => {
                place.failed = (place.failed.0 + 1, now);
            }
            // These outcomes say nothing about the health of the server.
            Status::Cancelled | Status::NotSent => {}
        }
    }

    /// Returns the name of a server; empty if the id is unknown.
    #[must_use]
    pub fn uid(&self, server: ServerId) -> &str {
        self.get(server).map_or("", |place| &place.uid)
    }

    /// Iterates over all assigned ids.
    pub fn taken(&self) -> impl Iterator<Item = (ServerId, &Place)> {
        let with_id = self.places.iter().enumerate().map(|(index, place)| (ServerId(index as u32), place));
        with_id.filter(|(_, place)| !place.uid.is_empty())
    }

    /// Releases the ids of servers that were removed at least `remembered` ago, after which no request can refer to
    /// them, and returns these ids. Without this, the table grew with each replaced server.
    pub fn clear_out(&mut self, now: Time, remembered: Span) -> Vec<ServerId> {
        let releasable =
            |place: &Place| place.out == 0 && place.gone.is_some_and(|gone| now - gone >= remembered);
        let released: Vec<ServerId> =
            self.taken().filter(|(_, place)| releasable(place)).map(|(server, _)| server).collect();
        for server in &released {
            let place = std::mem::take(&mut self.places[server.0 as usize]);
            self.by_uid.remove(&place.uid);
            self.free_ids.push(*server);
        }
        released
    }
}
