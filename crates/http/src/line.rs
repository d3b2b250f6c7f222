//! Connections to servers: the I/O layer below awc, which adds what awc lacks. It enforces the limit of server
//! connections and stops sending to draining servers, tracks what was written, and frames the responses.
//!
//! The name of this module is part of its log lines.

mod server_io;
mod state;

use crate::frame::ResponseFramer;
use crate::message::server_address;
use crate::options::HttpOptions;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use dunlincleat_status::{LogLimiter, Metrics, log_limited};
use futures_util::future::LocalBoxFuture;
use server_io::ServerIo;
pub use state::ConnectionState;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout};

/// Time an idle connection that is closed at the limit has to return its permit.
const IDLE_RELEASE_TIMEOUT: Duration = Duration::from_millis(100);

/// Size of the send buffer of a connection, in bytes. A larger one, which the system would choose itself, tells only every
/// some megabytes that the other side has taken bytes.
pub const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Why a request was not sent, for a local reason that is not the server's fault.
#[derive(Debug)]
pub struct NotSentError(pub &'static str);

impl std::fmt::Display for NotSentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for NotSentError {}

/// Whether new requests may be sent to a server.
#[derive(Default)]
pub struct SendGate {
    /// The server is draining: no new request may start there.
    pub closed: Cell<bool>,
}

/// Shared resources of all server connections.
#[derive(Clone)]
pub struct ConnectionContext {
    /// Limits and timeouts.
    pub options: Rc<HttpOptions>,
    /// Permits for opening further connections.
    pub permits: Arc<Semaphore>,
    /// Closes the connection that has been idle for longest, to whichever server; returns whether there was one.
    pub close_idle: Rc<dyn Fn() -> bool>,
    /// Rate limiter for the log message about attempts that got no permit.
    pub limit_log: Rc<LogLimiter>,
    /// Counts attempts that were written completely.
    pub metrics: Arc<Metrics>,
}

impl ConnectionContext {
    /// Acquires a permit for a server connection. At the limit, an idle connection is closed. Otherwise, until the
    /// idle timeout, the idle connections to the servers used first kept all other servers unreachable.
    async fn acquire_permit(&self) -> Option<OwnedSemaphorePermit> {
        if self.limit_reached() && !(self.close_idle)() {
            return None;
        }
        // The client of a closed connection releases it in a task of its own.
        timeout(IDLE_RELEASE_TIMEOUT, self.permits.clone().acquire_owned()).await.ok()?.ok()
    }

    /// Whether the limit is reached. Another process of this sidecar gets a part of it.
    fn limit_reached(&self) -> bool {
        let open = self.options.max_server_connections.saturating_sub(self.permits.available_permits());
        open >= self.options.server_connection_limit()
    }
}

/// A process of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerProcess {
    /// Its address.
    pub address: SocketAddr,
    /// Its boot time as listed, in milliseconds.
    pub boot_ms: u64,
}

/// A connection to a server, open or to be opened by its first request.
pub struct ServerConnection {
    /// Its awc client.
    pub client: awc::Client,
    /// Its state.
    pub state: Rc<ConnectionState>,
    /// When it became idle.
    pub idle_since: Instant,
    /// The process that it leads to.
    pub process: ServerProcess,
}

impl ServerConnection {
    /// Creates a connection that is opened by its first request.
    pub fn new(context: &ConnectionContext, gate: Rc<SendGate>, process: ServerProcess) -> ServerConnection {
        let state = Rc::new(ConnectionState::default());
        let connector = Connector { context: context.clone(), gate, state: state.clone() };
        // Lifetimes and limits are enforced here; those of awc must never take effect.
        let never = Duration::from_secs(1 << 30);
        let connector = awc::Connector::new()
            .connector(connector)
            .timeout(context.options.connect_timeout)
            .conn_keep_alive(never)
            .conn_lifetime(never)
            .limit(0);
        let client = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        ServerConnection { client, state, idle_since: Instant::now(), process }
    }
}

/// Opens connections within the limit.
#[derive(Clone)]
struct Connector {
    context: ConnectionContext,
    gate: Rc<SendGate>,
    state: Rc<ConnectionState>,
}

impl Service<ConnectInfo<Uri>> for Connector {
    type Response = Connection<Uri, ServerIo>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let connector = self.clone();
        Box::pin(async move {
            let uri = info.request().clone();
            let endpoint = server_address(&uri).ok_or(ConnectError::Unresolved)?;
            let permit = connector.context.acquire_permit().await.ok_or_else(|| {
                let line = format!("no connection to {endpoint}: server connection limit reached");
                log_limited!(connector.context.limit_log, warn, line);
                ConnectError::Io(io::Error::other(NotSentError("server connection limit reached")))
            })?;
            let stream = TcpStream::connect(endpoint).await.map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            if let Err(error) = socket2::SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES) {
                tracing::debug!("cannot set the send buffer of a server connection: {error}");
            }
            let stream = Rc::new(stream);
            *connector.state.stream.borrow_mut() = Rc::downgrade(&stream);
            let framer = ResponseFramer::new();
            let io = ServerIo {
                stream,
                framer,
                waiting_since: None,
                stall_timer: None,
                write_stall_timer: None,
                stall_timeout: connector.context.options.response_stall_timeout,
                max_buffered_bytes: connector.context.options.max_body_bytes as u64,
                gate: connector.gate,
                state: connector.state,
                metrics: connector.context.metrics.clone(),
                _permit: permit,
            };
            Ok(Connection::new(uri, io))
        })
    }
}
