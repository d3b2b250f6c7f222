//! A connection to a server: the thin I/O under awc, which does what awc can't. It keeps to the bound on
//! descriptors and to drains, counts what was written, and frames what is read.

mod server_io;
mod state;

use crate::frame::ResponseFramer;
use crate::message::server_address;
use crate::options::HttpOptions;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use dunlincleat_status::{Metrics, Seldom, seldom};
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

/// How long an idle connection that is closed to make room may take to give its place back.
const IDLE_RELEASE_TIMEOUT: Duration = Duration::from_millis(100);

/// Why nothing was sent, for a reason that lies here and not with the server.
#[derive(Debug)]
pub struct NotSentError(pub &'static str);

impl std::fmt::Display for NotSentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for NotSentError {}

/// Whether sends to a server may begin.
#[derive(Default)]
pub struct SendGate {
    /// The server leaves: nothing new may begin there.
    pub closed: Cell<bool>,
}

/// What connections to servers are made of.
#[derive(Clone)]
pub struct ConnectionContext {
    /// Bounds and times.
    pub options: Rc<HttpOptions>,
    /// Connections to servers that may still be opened.
    pub permits: Arc<Semaphore>,
    /// Closes the connection that has been idle for longest, to whichever server: whether there was one.
    pub close_idle: Rc<dyn Fn() -> bool>,
    /// The line of the log for attempts that found no place among those.
    pub limit_log: Rc<Seldom>,
    /// Counts attempts that were written whole.
    pub metrics: Arc<Metrics>,
}

impl ConnectionContext {
    /// A place among the connections to servers. At the bound an idle connection gives way: kept until they were too
    /// old, those to the servers asked first kept all others out of reach.
    async fn acquire_permit(&self) -> Option<OwnedSemaphorePermit> {
        if self.limit_reached() && !(self.close_idle)() {
            return None;
        }
        // The client of a connection that was closed lets go of it in a task of its own.
        timeout(IDLE_RELEASE_TIMEOUT, self.permits.clone().acquire_owned()).await.ok()?.ok()
    }

    /// Every place is taken. With another process beside this one a part of the places is its.
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

/// A connection to the server, or one to be opened.
pub struct ServerConnection {
    /// Its awc client.
    pub client: awc::Client,
    /// What is seen of it.
    pub state: Rc<ConnectionState>,
    /// Since when it stands idle.
    pub idle_since: Instant,
    /// The process that it leads to: where it was reached and when it had started.
    pub process: ServerProcess,
}

impl ServerConnection {
    /// One to be opened when it is first sent on.
    pub fn new(context: &ConnectionContext, gate: Rc<SendGate>, process: ServerProcess) -> ServerConnection {
        let state = Rc::new(ConnectionState::default());
        let connector = Connector { context: context.clone(), gate, state: state.clone() };
        // Lifetimes and limits are kept here, so awc's own must never act.
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

/// Opens connections within the bound on descriptors.
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
                let line = format!("no connection to {endpoint}: the bound on server connections is reached");
                seldom!(connector.context.limit_log, warn, line);
                ConnectError::Io(io::Error::other(NotSentError("the bound on server connections is reached")))
            })?;
            let stream = TcpStream::connect(endpoint).await.map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
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
                gate: connector.gate,
                state: connector.state,
                metrics: connector.context.metrics.clone(),
                _permit: permit,
            };
            Ok(Connection::new(uri, io))
        })
    }
}
