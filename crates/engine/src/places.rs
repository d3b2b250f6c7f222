//! The servers' numbers. Owns each number from the first word of its server until nobody can mean it any more, and
//! gives it back in one place, [`Places::clear_out`].

use dunlincleat::api::{ServerId, Span, Status, Time};
use rustc_hash::FxHashMap;

/// A place for a server, under the number that the decision module knows it by.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// The server's name; empty where the place is free.
    pub uid: String,
    /// A transport to it was opened.
    pub open: bool,
    /// Attempts and probes out there.
    pub out: usize,
    /// Since when the list lacks it.
    pub gone: Option<Time>,
    /// Attempts and probes in a row that brought no word of it, and when the last of them ended.
    pub failed: (u32, Time),
}

/// So many failures in a row make a server count as not healthy,
const FAILED: u32 = 3;
/// for so long after the last of them: without traffic nothing else would show that it is well again.
const FAILED_FOR: Span = Span(10_000_000);

impl Place {
    /// Whether it counts as healthy, for the choice among pools; the draw of servers does not ask.
    #[must_use]
    pub fn healthy(&self, now: Time) -> bool {
        self.failed.0 < FAILED || now - self.failed.1 > FAILED_FOR
    }
}

/// All places of one engine.
#[derive(Clone, Debug, Default)]
pub struct Places {
    places: Vec<Place>,
    by_uid: FxHashMap<String, ServerId>,
    /// Places of servers that are gone, for new ones.
    free: Vec<ServerId>,
}

impl Places {
    /// The number of a server, a new one's where it is named for the first time.
    pub fn number(&mut self, uid: &str) -> ServerId {
        if let Some(server) = self.by_uid.get(uid) {
            return *server;
        }
        let server = self.free.pop().unwrap_or_else(|| {
            self.places.push(Place::default());
            ServerId(self.places.len() as u32 - 1)
        });
        self.places[server.0 as usize].uid = uid.to_owned();
        self.by_uid.insert(uid.to_owned(), server);
        server
    }

    /// The number of a server that was named before.
    #[must_use]
    pub fn known(&self, uid: &str) -> Option<ServerId> {
        self.by_uid.get(uid).copied()
    }

    /// A server's place.
    #[must_use]
    pub fn get(&self, server: ServerId) -> Option<&Place> {
        self.places.get(server.0 as usize)
    }

    /// A server's place, to change it.
    pub fn get_mut(&mut self, server: ServerId) -> Option<&mut Place> {
        self.places.get_mut(server.0 as usize)
    }

    /// Something goes out to a server; whatever becomes of it, its end comes back once. False where there is no
    /// transport to it.
    pub fn goes_out(&mut self, server: ServerId) -> bool {
        let Some(place) = self.get_mut(server) else { return false };
        place.out += 1;
        place.open
    }

    /// What went out has ended.
    pub fn returned(&mut self, now: Time, server: ServerId, status: Status) {
        let Some(place) = self.get_mut(server) else { return };
        place.out = place.out.saturating_sub(1);
        match status {
            Status::Ok | Status::Rejected => place.failed = (0, now),
            Status::Error | Status::Timeout | Status::ConnectFailed | Status::Reset => {
                place.failed = (place.failed.0 + 1, now);
            }
            // Nothing of it says how the server is.
            Status::Cancelled | Status::NotSent => {}
        }
    }

    /// A server's name, empty for one that is not known.
    #[must_use]
    pub fn uid(&self, server: ServerId) -> &str {
        self.get(server).map_or("", |place| &place.uid)
    }

    /// The places that are taken.
    pub fn taken(&self) -> impl Iterator<Item = (ServerId, &Place)> {
        let numbered = self.places.iter().enumerate().map(|(n, place)| (ServerId(n as u32), place));
        numbered.filter(|(_, place)| !place.uid.is_empty())
    }

    /// Gives back the places of servers that have been gone for so long that no request remembers them, and tells
    /// which. Without this, each replaced server stayed here for good.
    pub fn clear_out(&mut self, now: Time, remembered: Span) -> Vec<ServerId> {
        let over = |place: &Place| place.out == 0 && place.gone.is_some_and(|gone| now - gone >= remembered);
        let cleared: Vec<ServerId> =
            self.taken().filter(|(_, p)| over(p)).map(|(server, _)| server).collect();
        for server in &cleared {
            let place = std::mem::take(&mut self.places[server.0 as usize]);
            self.by_uid.remove(&place.uid);
            self.free.push(*server);
        }
        cleared
    }
}
