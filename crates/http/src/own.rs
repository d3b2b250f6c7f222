//! The figures of the HTTP side. Read and given defaults by the assembly; nothing here is decided.

use dunlincleat_directory::{Interest, Timing};
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Bounds and times of clients' connections, connections to servers and calls of discovery.
#[derive(Clone, Debug)]
pub struct Own {
    /// The largest body of a request or an answer, in bytes.
    pub body_bytes: usize,
    /// Connections that clients may hold.
    pub client_connections: usize,
    /// How long a client may take from connecting, or from its first byte, to a whole request.
    pub client_request: Duration,
    /// How long a connection of a client may stand idle.
    pub client_idle: Duration,
    /// Connections to servers, all together.
    pub server_connections: usize,
    /// Requests in hand at a time.
    pub requests: usize,
    /// How long an idle connection to a server is kept.
    pub idle: Duration,
    /// How long a connection to a server may take.
    pub connect: Duration,
    /// How long a probe may take.
    pub probe: Duration,
    /// How long an answer that began may stand still.
    pub answer_stall: Duration,
    /// The times by which discovery is followed.
    pub watch: Timing,
    /// The services whose servers are known; all servers where none is named.
    pub interest: Interest,
    /// The file in which the list is kept, where a disk lasts.
    pub list_file: Option<PathBuf>,
    /// Another process of this sidecar runs: each keeps to half of the bounds on connections.
    pub halved: Rc<Cell<bool>>,
}

impl Own {
    /// Connections that clients may hold now.
    #[must_use]
    pub fn clients_now(&self) -> usize {
        self.part(self.client_connections)
    }

    /// Connections to servers that may be open now.
    #[must_use]
    pub fn servers_now(&self) -> usize {
        self.part(self.server_connections)
    }

    fn part(&self, bound: usize) -> usize {
        if self.halved.get() { (bound / 2).max(1) } else { bound }
    }
}
