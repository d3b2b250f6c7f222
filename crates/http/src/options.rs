//! The figures of the HTTP side. Read and given defaults by the assembly; nothing here is decided.

use dunlincleat_directory::{Interest, Timing};
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Bounds and times of clients' connections, connections to servers and calls of discovery.
#[derive(Clone, Debug)]
pub struct HttpOptions {
    /// The largest body of a request or an answer, in bytes.
    pub max_body_bytes: usize,
    /// Connections that clients may hold.
    pub max_client_connections: usize,
    /// How long a client may take from connecting, or from its first byte, to a whole request.
    pub client_request_timeout: Duration,
    /// How long a connection of a client may stand idle.
    pub client_idle_timeout: Duration,
    /// Connections to servers, all together.
    pub max_server_connections: usize,
    /// Requests in hand at a time.
    pub max_requests: usize,
    /// How long an idle connection to a server is kept.
    pub server_idle_timeout: Duration,
    /// How long a connection to a server may take.
    pub connect_timeout: Duration,
    /// How long a probe may take.
    pub probe_timeout: Duration,
    /// How long an answer that began may stand still.
    pub response_stall_timeout: Duration,
    /// The times by which discovery is followed.
    pub watch_timing: Timing,
    /// The services whose servers are known; all servers where none is named.
    pub interest: Interest,
    /// The file in which the list is kept, where a disk lasts.
    pub list_file: Option<PathBuf>,
    /// Another process of this sidecar runs: each keeps to half of the bounds on connections.
    pub limits_halved: Rc<Cell<bool>>,
}

impl HttpOptions {
    /// Connections that clients may hold now.
    #[must_use]
    pub fn client_connection_limit(&self) -> usize {
        self.effective_limit(self.max_client_connections)
    }

    /// Connections to servers that may be open now.
    #[must_use]
    pub fn server_connection_limit(&self) -> usize {
        self.effective_limit(self.max_server_connections)
    }

    fn effective_limit(&self, bound: usize) -> usize {
        if self.limits_halved.get() { (bound / 2).max(1) } else { bound }
    }
}
