//! The server that the application speaks to: it accepts connections, takes requests, and gives each exactly
//! one answer.

use crate::config::Own;
use crate::logger::Seldom;
use crate::message::{Answer, HEALTH, Malformed, Request, read_body};
use crate::module;
use actix_http::{HttpService, KeepAlive, Method, Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use anyhow::{Context as _, Result, anyhow};
use bytes::Bytes;
use dunlincleat::api::RequestId;
use dunlincleat_settings::Site;
use log::Level;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::time::{Instant, sleep};

/// Connections beyond the bound that are still taken, to be told so.
const OVER: usize = 16;

/// How far the shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Serving.
    Serving,
    /// Serving still, but each answer ends its connection.
    Leaving,
    /// No new connections, and idle ones are closed.
    Closing,
}

/// What the handlers of requests share.
struct Front {
    site: Rc<Site>,
    own: Rc<Own>,
    module: module::Handle,
    /// Requests that may still be taken.
    requests: Arc<Semaphore>,
    next: Cell<u64>,
    stage: watch::Receiver<Stage>,
    /// Lines of the log for requests refused at a bound, and for malformed ones.
    full: Seldom,
    malformed: Seldom,
}

/// Accepts and serves until the stage is `Closing` and every connection has ended.
pub async fn serve(
    listen: SocketAddr,
    site: Rc<Site>,
    own: Rc<Own>,
    module: module::Handle,
    mut stage: watch::Receiver<Stage>,
) -> Result<()> {
    let most = own.client_connections + OVER;
    let listener = bind(listen, most).with_context(|| format!("EDGE_LISTEN: {listen}"))?;
    let connections = Arc::new(Semaphore::new(most));
    let requests = Arc::new(Semaphore::new(own.requests));
    let (full, malformed) = (Seldom::default(), Seldom::default());
    let stages = stage.clone();
    let front = Front { site, own, module, requests, next: Cell::new(0), stage: stages, full, malformed };
    let front = Rc::new(front);
    // No limit of the server's own may end a request: the module's deadlines do.
    let service = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(Duration::from_secs(1))
        // A client that closes has gone: its request's handler is dropped.
        .h1_allow_half_closed(false)
        .on_connect_ext(|io: &ClientIo, data| {
            data.insert(io.state.clone());
        })
        .h1(fn_service(move |request| handle(front.clone(), request)))
        .new_service(())
        .await
        .map_err(|()| anyhow!("the server could not be set up"))?;
    let service = Rc::new(service);
    log::info!("listening on {listen}");
    loop {
        let permit = tokio::select! {
            biased;
            permit = connections.clone().acquire_owned() => permit?,
            _ = stage.wait_for(|s| *s == Stage::Closing) => break,
        };
        let stream = tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::error!("no connection accepted: {error}");
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
            // What waits to be accepted has been accepted already by the machine: it is taken first.
            _ = stage.wait_for(|s| *s == Stage::Closing) => break,
        };
        let over = connections.available_permits() < OVER;
        let mut stage = stage.clone();
        let service = service.clone();
        actix_rt::spawn(async move {
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!("connection not set up: {error}");
            }
            let state = Rc::new(ClientState { idle: Cell::new(true), over });
            let io = ClientIo { stream, state, stage: stage.clone(), _permit: permit };
            let mut connection = pin!(service.call((io, None)));
            loop {
                tokio::select! {
                    biased;
                    end = &mut connection => {
                        if let Err(error) = end {
                            log::debug!("connection of a client ended: {error}");
                        }
                        return;
                    }
                    // Polls the connection once more, which then sees that it is to close.
                    changed = stage.changed() => if changed.is_err() {
                        let _ = (&mut connection).await;
                        return;
                    },
                }
            }
        });
    }
    drop(listener);
    // All permits are back when all connections have ended.
    let _all = connections.acquire_many(most as u32).await?;
    Ok(())
}

/// Listens with a queue that holds as many connections as may be taken: beyond the usual one of 128 they did not
/// come up while the program stood still.
fn bind(listen: SocketAddr, most: usize) -> io::Result<TcpListener> {
    let socket = if listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(u32::try_from(most).unwrap_or(u32::MAX))
}

/// Takes one request and waits for its answer.
async fn handle(front: Rc<Front>, mut request: actix_http::Request) -> Result<Response<Bytes>, Infallible> {
    let received = Instant::now();
    let state = request.conn_data::<Rc<ClientState>>().cloned();
    let over = state.as_ref().is_some_and(|state| state.over);
    let mut response = if request.method() == Method::GET && request.path() == HEALTH {
        Response::with_body(StatusCode::OK, Bytes::from_static(b"ok\n"))
    } else if over {
        front.full.say(
            module_path!(),
            Level::Warn,
            "request refused: the bound on client connections is reached",
        );
        Answer::Refused { retry_after: None }.encode()
    } else {
        match front.take(&mut request, received).await {
            Ok(answer) => answer.encode(),
            Err(malformed) => {
                let line = format!("request not taken: {} ({})", malformed.what, malformed.status.as_u16());
                front.malformed.say(module_path!(), Level::Info, line);
                malformed.encode()
            }
        }
    };
    if over || *front.stage.borrow() > Stage::Serving {
        // It ends once the answer is written; nothing else may end it before.
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    } else if let Some(state) = state {
        state.idle.set(true);
    }
    Ok(response)
}

impl Front {
    async fn take(&self, request: &mut actix_http::Request, received: Instant) -> Result<Answer, Malformed> {
        let decoded = Request::decode(request.head(), &self.site)?;
        let body = read_body(&mut request.take_payload(), self.own.body_bytes).await?;
        let Ok(permit) = self.requests.clone().try_acquire_owned() else {
            self.full.say(
                module_path!(),
                Level::Warn,
                "request refused: the bound on requests in hand is reached",
            );
            return Ok(Answer::Refused { retry_after: None });
        };
        let id = RequestId(self.next.replace(self.next.get() + 1));
        let (slot, answer) = oneshot::channel();
        let mut taken = Taken { id, module: self.module.clone(), answered: false, _permit: permit };
        self.module.request(id, decoded.with_body(body), received, slot);
        let answer = answer.await;
        taken.answered = true;
        Ok(answer.unwrap_or_else(|_| {
            log::error!("a request was dropped without an answer");
            Answer::Failed
        }))
    }
}

/// A request in the module's hands. Dropped unanswered, as when its client closes, it tells the module so.
struct Taken {
    id: RequestId,
    module: module::Handle,
    answered: bool,
    _permit: OwnedSemaphorePermit,
}

impl Drop for Taken {
    fn drop(&mut self) {
        if !self.answered {
            self.module.gone(self.id);
        }
    }
}

/// What is known of a client's connection.
struct ClientState {
    /// No byte of a request has come since the last answer.
    idle: Cell<bool>,
    /// It is one too many.
    over: bool,
}

/// A client's connection. Dropping it closes the socket and gives its place back.
struct ClientIo {
    stream: TcpStream,
    state: Rc<ClientState>,
    stage: watch::Receiver<Stage>,
    _permit: OwnedSemaphorePermit,
}

impl AsyncRead for ClientIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            this.state.idle.set(false);
        }
        // An idle connection is closed only after its last byte was read: a request that crosses the
        // shutdown is served, not lost.
        let closing = *this.stage.borrow() == Stage::Closing && this.state.idle.get();
        if result.is_pending() && closing { Poll::Ready(Ok(())) } else { result }
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
