//! Limits and timeouts of the HTTP side. The sidecar crate reads them and applies the defaults.

use dunlincleat_directory::{Interest, Timing};
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Memory of a client connection without a request, in bytes: its task, its framer, and the buffers and the state of
/// actix-http.
pub const CLIENT_CONNECTION_BYTES: usize = 24 * 1024;
/// What a small request takes beyond that, in bytes: the decoded head, and the buffers that
/// actix-http replaces while parts of them are in use.
pub const CLIENT_REQUEST_BYTES: usize = 32 * 1024;
/// Memory of a connection to a server with a small response, in bytes: its framer and the buffers and the state of awc.
pub const SERVER_CONNECTION_BYTES: usize = 40 * 1024;

/// Limits and timeouts of client connections, server connections and discovery calls.
#[derive(Clone, Debug)]
pub struct HttpOptions {
    /// Maximum size of a buffered request or response body, in bytes; a larger one is streamed.
    pub max_body_bytes: usize,
    /// Maximum number of client connections.
    pub max_client_connections: usize,
    /// Time a client has to send a complete request, from connecting or from its first byte.
    pub client_request_timeout: Duration,
    /// Time after which an idle client connection is closed.
    pub client_idle_timeout: Duration,
    /// Maximum number of server connections, over all servers.
    pub max_server_connections: usize,
    /// Maximum number of open requests.
    pub max_requests: usize,
    /// The memory limit of the process, in bytes.
    pub memory_limit_bytes: usize,
    /// Maximum memory of client connections without what they hold beyond a small request, in bytes.
    pub max_connection_bytes: usize,
    /// Maximum memory held for what is received of requests, beyond that of the connections, in bytes.
    pub max_receiving_bytes: usize,
    /// Maximum memory held for responses that clients have not taken, beyond that of the connections, in bytes.
    pub max_responding_bytes: usize,
    /// Time after which an idle server connection is closed.
    pub server_idle_timeout: Duration,
    /// Timeout for connecting to a server.
    pub connect_timeout: Duration,
    /// Timeout of a probe.
    pub probe_timeout: Duration,
    /// Time after which a response that has started and makes no progress is invalid.
    pub response_stall_timeout: Duration,
    /// Timeouts and intervals of the watch of discovery.
    pub watch_timing: Timing,
    /// The services whose servers are followed; all if none is named.
    pub interest: Interest,
    /// The file in which the server list is saved across restarts, if any.
    pub list_file: Option<PathBuf>,
    /// Whether another process of this sidecar is running; each process then uses half of the connection limits.
    pub limits_halved: Rc<Cell<bool>>,
}

impl HttpOptions {
    /// The current limit of client connections.
    #[must_use]
    pub fn client_connection_limit(&self) -> usize {
        self.effective_limit(self.max_client_connections)
    }

    /// The current limit of server connections.
    #[must_use]
    pub fn server_connection_limit(&self) -> usize {
        self.effective_limit(self.max_server_connections)
    }

    fn effective_limit(&self, limit: usize) -> usize {
        if self.limits_halved.get() { (limit / 2).max(1) } else { limit }
    }
}
