//! Idle connections to servers: which is used next, which have ended, and which gives way at the bound on connections.

use crate::line::ServerConnection;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection rests after an answer before it is used again. A second answer that comes some milliseconds
/// late, behind the next request, can't be told from that one's, and nothing warns of the first one.
const MIN_IDLE: Duration = Duration::from_millis(10);

/// Lines in the order in which they became idle.
type ConnectionList = RefCell<Vec<ServerConnection>>;

/// The idle connections to one server.
pub struct IdleConnections(Rc<ConnectionList>);

/// The idle connections to all servers. Each server's actor owns its own; they are only known here.
#[derive(Clone, Default)]
pub struct IdleRegistry(Rc<RefCell<Vec<Weak<ConnectionList>>>>);

impl IdleRegistry {
    /// Those to one more server, none yet.
    pub fn add_server(&self) -> IdleConnections {
        let connections = Rc::new(ConnectionList::default());
        let mut all = self.0.borrow_mut();
        all.retain(|connections| connections.strong_count() > 0);
        all.push(Rc::downgrade(&connections));
        IdleConnections(connections)
    }

    /// Closes the connection that has been idle for longest: whether there was one.
    pub fn close_oldest(&self) -> bool {
        let since = |connections: &Rc<ConnectionList>| {
            connections.borrow().first().map(|connection| connection.idle_since)
        };
        let all = self.0.borrow();
        let candidates = all
            .iter()
            .filter_map(Weak::upgrade)
            .filter_map(|connections| Some((since(&connections)?, connections)));
        let Some((_, connections)) = candidates.min_by_key(|(since, _)| *since) else { return false };
        connections.borrow_mut().remove(0);
        true
    }
}

impl IdleConnections {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Since when the oldest has been idle.
    pub fn oldest_since(&self) -> Option<Instant> {
        self.0.borrow().first().map(|connection| connection.idle_since)
    }

    /// Keeps a connection that was answered on just now.
    pub fn insert(&self, mut connection: ServerConnection) {
        connection.idle_since = Instant::now();
        self.0.borrow_mut().push(connection);
    }

    /// Takes the connection used last of those that have rested and may be sent on.
    pub fn take(&self) -> Option<ServerConnection> {
        let mut connections = self.0.borrow_mut();
        loop {
            let rested =
                connections.partition_point(|connection| connection.idle_since.elapsed() >= MIN_IDLE);
            let connection = connections.remove(rested.checked_sub(1)?);
            if connection.state.is_reusable() {
                return Some(connection);
            }
        }
    }

    /// Closes all of them.
    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }

    /// Closes those that have been idle for so long.
    pub fn close_idle_for(&self, limit: Duration) {
        let now = Instant::now();
        self.0.borrow_mut().retain(|connection| connection.idle_since + limit > now);
    }

    /// Waits until one has ended, and closes it. A server that closes one gets its end at once, and nothing is written
    /// to it any more.
    pub async fn remove_closed(&self) {
        poll_fn(|cx| {
            let mut connections = self.0.borrow_mut();
            let Some(index) = connections.iter().position(|connection| connection.state.is_closed(cx)) else {
                return Poll::Pending;
            };
            connections.remove(index);
            Poll::Ready(())
        })
        .await;
    }
}
