//! Idle connections to servers: which one is used next, which have been closed, and which one is evicted at the
//! connection limit.

use crate::line::ServerConnection;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// Time a connection stays idle after a response before it is reused. A server may send a second response some
/// milliseconds late, without any prior sign. After the next request, it can't be told from the response to that
/// request.
const MIN_IDLE: Duration = Duration::from_millis(10);

/// Connections in the order in which they became idle.
type ConnectionList = RefCell<Vec<ServerConnection>>;

/// The idle connections to one server.
pub struct IdleConnections(Rc<ConnectionList>);

/// The idle connections to all servers. Each server's actor owns its connections; the registry has weak references.
#[derive(Clone, Default)]
pub struct IdleRegistry(Rc<RefCell<Vec<Weak<ConnectionList>>>>);

impl IdleRegistry {
    /// Registers another server, without connections.
    pub fn add_server(&self) -> IdleConnections {
        let connections = Rc::new(ConnectionList::default());
        let mut all = self.0.borrow_mut();
        all.retain(|connections| connections.strong_count() > 0);
        all.push(Rc::downgrade(&connections));
        IdleConnections(connections)
    }

    /// Closes the connection that has been idle for longest; returns whether there was one.
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
    /// Whether there are no idle connections.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Since when the oldest connection has been idle.
    pub fn oldest_since(&self) -> Option<Instant> {
        self.0.borrow().first().map(|connection| connection.idle_since)
    }

    /// Adds a connection that has just received a response.
    pub fn insert(&self, mut connection: ServerConnection) {
        connection.idle_since = Instant::now();
        self.0.borrow_mut().push(connection);
    }

    /// Removes the most recently used connection of those that have been idle long enough and are reusable.
    pub fn take(&self) -> Option<ServerConnection> {
        let mut connections = self.0.borrow_mut();
        loop {
            let eligible =
                connections.partition_point(|connection| connection.idle_since.elapsed() >= MIN_IDLE);
            let connection = connections.remove(eligible.checked_sub(1)?);
            if connection.state.is_reusable() {
                return Some(connection);
            }
        }
    }

    /// Closes all connections.
    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }

    /// Closes the connections that have been idle for at least `limit`.
    pub fn close_idle_for(&self, limit: Duration) {
        let now = Instant::now();
        self.0.borrow_mut().retain(|connection| connection.idle_since + limit > now);
    }

    /// Waits until a connection is closed by its server, and removes it. The close is handled immediately, and
    /// nothing is written to the connection afterwards.
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
