//! One exchange with a server, an attempt or a probe: from writing the request to the end of the response.

use super::failure::error_status;
use super::{PeerContext, classify_failure};
use crate::line::{ConnectionState, ServerConnection};
use crate::message::{
    BodyAborted, BodyChunk, BodyChunks, BodyData, RemainingBody, Reply, Request, ResponseBody, probe_uri,
    read_body,
};
use crate::options::HttpOptions;
use crate::write_progress::WriteProgress;
use crate::{Completion, Handle};
use bytes::{Bytes, BytesMut};
use dunlincleat::api::{Attempt, RequestId, ServerId, Span, Status};
use futures_util::{StreamExt, stream};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, ready};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Identifies an attempt.
#[derive(Clone, Copy)]
pub(super) struct AttemptId {
    pub(super) id: RequestId,
    pub(super) attempt: Attempt,
    pub(super) server: ServerId,
}

/// Reports to the engine that a request body is still being received, until it is dropped.
pub(super) struct UploadGuard {
    pub(super) of: AttemptId,
    pub(super) engine: Handle,
}

impl UploadGuard {
    pub(super) fn new(of: AttemptId, context: &PeerContext) -> UploadGuard {
        context.engine.upload(of.id, of.server, false);
        UploadGuard { of, engine: context.engine.clone() }
    }
}

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.engine.upload(self.of.id, self.of.server, true);
    }
}

/// Progress of a request body that was incomplete when the attempt started.
pub(super) struct RequestBody {
    /// Present until the last byte was handed to awc.
    pub(super) upload: RefCell<Option<UploadGuard>>,
    /// When the last byte was handed to awc.
    pub(super) completed_at: Cell<Option<Instant>>,
}

impl RequestBody {
    /// The rest of the body, as awc reads it. When it ends, the deadline of the attempt starts to run.
    pub(super) fn into_chunks(
        self: Rc<RequestBody>,
        rest: Rc<RemainingBody>,
        state: Rc<ConnectionState>,
    ) -> BodyChunks {
        let parts = stream::poll_fn(move |cx| {
            let part = ready!(rest.poll(cx));
            if part.is_none() {
                drop(self.upload.borrow_mut().take());
                self.completed_at.set(Some(Instant::now()));
                state.set_body_ended();
            }
            Poll::Ready(part)
        });
        parts.boxed_local()
    }
}

/// Interval between checks whether an upload has completed.
pub(super) const UPLOAD_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the start of a response of unknown length is buffered, relative to the stall timeout. A response that
/// breaks off or stalls while it is buffered can be retried.
pub(super) const BUFFER_TIME_FACTOR: f64 = 4.0 / 3.0;
/// Time a client has to accept the next chunk of a response.
pub(super) const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of response chunks in transit to the client.
pub(super) const STREAM_CHANNEL_CAPACITY: usize = 1;

/// Sends a request and waits for the response. The connection is returned if it can be reused.
///
/// If the body is still being received, the deadline runs from its last byte, as it does for the client. A response
/// is buffered up to the body size limit; a larger one is streamed from its first bytes on, and from then on no
/// deadline ends it.
pub(super) async fn send(
    connection: ServerConnection,
    endpoint: SocketAddr,
    request: &Request,
    (until, connect): (Instant, Option<Duration>),
    context: &PeerContext,
    of: AttemptId,
) -> (Completion, Option<ServerConnection>) {
    let started = Instant::now();
    let left = until.saturating_duration_since(started);
    let rest = request.remaining_body();
    // An incomplete body must not be sent as if it were complete: what another attempt has read of it is gone.
    if rest.as_ref().is_some_and(|rest| rest.read_started()) {
        return (Completion::without_response(Status::NotSent), Some(connection));
    }
    // The permission is checked where the effect starts, not where it was granted.
    if request.task().is_some_and(|task| !task.try_start()) {
        return (Completion::without_response(Status::NotSent), Some(connection));
    }
    let length = match &rest {
        Some(rest) => rest.length,
        None => Some(request.buffered_body().len() as u64),
    };
    connection.state.begin(Some(WriteProgress::new(length)));
    let body = Rc::new(RequestBody {
        upload: RefCell::new(rest.is_some().then(|| UploadGuard::new(of, context))),
        completed_at: Cell::new(None),
    });
    let rest = rest.map(|rest| body.clone().into_chunks(rest, connection.state.clone()));
    let exchange = async {
        let response =
            request.encode(&connection.client, endpoint, left, rest).await.map_err(error_status)?;
        let reply = Reply::decode(response.status(), response.headers(), &context.fields);
        request
            .task()
            .into_iter()
            .for_each(|task| task.record_response(response.status(), response.headers()));
        let (first, rest) =
            buffer_response(response, reply.length, &context.connections.options, &connection.state).await?;
        Ok::<_, Status>((reply, first, rest))
    };
    // If nothing was written in time, the connection was not established, and nothing can have run.
    let connecting = async {
        match connect {
            Some(connect) => sleep(connect).await,
            None => pending().await,
        }
        if !connection.state.nothing_sent() {
            pending::<()>().await;
        }
        Status::ConnectFailed
    };
    let over = async {
        while body.upload.borrow().is_some() {
            sleep(UPLOAD_POLL_INTERVAL).await;
            if connection.state.nothing_sent() && Instant::now() >= until {
                return;
            }
        }
        sleep_until(until).await;
        if let Some(completed_at) = body.completed_at.get() {
            sleep_until(completed_at + left).await;
        }
    };
    let exchange = async {
        tokio::select! {
            biased;
            done = exchange => Some(done),
            status = connecting => Some(Err(status)),
            () = over => None,
        }
    };
    match exchange.await {
        Some(Ok((reply, _, rest))) if reply.status != Status::Ok => {
            let connection = rest.is_none().then_some(connection);
            (Completion { status: reply.status, latency: Span(0), load: reply.load, body: None }, connection)
        }
        Some(Ok((reply, first, rest))) => {
            let since = body.completed_at.get().unwrap_or(started);
            let latency = Span((since.elapsed().as_micros() as u64).max(1));
            let Reply { status, load, content_type, length } = reply;
            let Some(mut response) = rest else {
                let body = Some(ResponseBody { data: BodyData::Complete(first), content_type });
                return (Completion { status, latency, load, body }, Some(connection));
            };
            let (sender, receiver) = mpsc::channel(STREAM_CHANNEL_CAPACITY);
            let body = Some(ResponseBody {
                data: BodyData::Streaming { first, rest: receiver, length },
                content_type,
            });
            connection.state.set_streaming();
            context.engine.response_started(
                of.id,
                of.attempt,
                of.server,
                Completion { status, latency, load, body },
            );
            let status = stream_response(&mut response, &sender, &connection.state).await;
            (Completion::without_response(status), (status == Status::Ok).then_some(connection))
        }
        // A request that broke off in the middle of its body never ran.
        Some(Err(Status::Reset)) if connection.state.invalid_response().is_none() => {
            (Completion::without_response(connection.state.status_if_written(Status::Reset)), None)
        }
        Some(Err(status)) => (
            Completion::without_response(classify_failure(status, endpoint, &connection.state, context)),
            None,
        ),
        None => (Completion::without_response(connection.state.status_if_written(Status::Timeout)), None),
    }
}

/// Buffers a response until its end, so that one that breaks off can be retried, or until it has to be streamed: from
/// its first bytes if its announced length exceeds the limit, otherwise once it exceeds the limit or the buffering
/// time. Returns the bytes received, and the response itself if more is to come.
pub(super) async fn buffer_response(
    mut response: awc::ClientResponse,
    length: Option<u64>,
    options: &HttpOptions,
    state: &ConnectionState,
) -> Result<(Bytes, Option<awc::ClientResponse>), Status> {
    let most = if length.is_some_and(|length| length > options.max_body_bytes as u64) {
        0
    } else {
        options.max_body_bytes
    };
    let until = Instant::now() + options.response_stall_timeout.mul_f64(BUFFER_TIME_FACTOR);
    let mut first = BytesMut::new();
    while first.len() <= most {
        let part = if length.is_some() || first.is_empty() {
            response.next().await
        } else {
            match timeout_at(until, response.next()).await {
                Ok(part) => part,
                Err(_) => break,
            }
        };
        match part {
            Some(Ok(part)) => first.extend_from_slice(&part),
            // awc ends the body without an error when its connection breaks off: without this check, half a response
            // would be served as a complete one.
            None if state.response_complete() => return Ok((first.freeze(), None)),
            Some(Err(_)) | None => return Err(Status::Reset),
        }
    }
    Ok((first.freeze(), Some(response)))
}

/// Streams the rest of a response at the rate at which its client reads: nothing is read from the server that the
/// client has no room for.
pub(super) async fn stream_response(
    response: &mut awc::ClientResponse,
    client: &mpsc::Sender<BodyChunk>,
    state: &ConnectionState,
) -> Status {
    loop {
        let part = tokio::select! {
            biased;
            part = response.next() => part,
            // The client has left: the connection is released immediately, not when the server sends the next bytes.
            () = client.closed() => return Status::Cancelled,
        };
        let part = match part {
            Some(Ok(part)) => BodyChunk::Bytes(part),
            None if state.response_complete() => BodyChunk::End,
            Some(Err(_)) | None => return Status::Reset,
        };
        let ends = matches!(part, BodyChunk::End);
        match timeout(CLIENT_STALL_TIMEOUT, client.send(part)).await {
            Ok(Ok(())) if ends => return Status::Ok,
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return Status::Cancelled,
        }
    }
}

pub(super) async fn probe(
    connection: ServerConnection,
    endpoint: SocketAddr,
    context: &PeerContext,
) -> (Completion, Option<ServerConnection>) {
    connection.state.begin(None);
    let exchange = async {
        let request = connection.client.get(probe_uri(endpoint, context.load_probes));
        let response = request.send().await.map_err(error_status)?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = read_probe_body(response, context, &connection.state).await?;
        Ok::<_, Status>(Reply::decode_probe(status, &headers, &body, &context.fields))
    };
    match timeout_at(Instant::now() + context.connections.options.probe_timeout, exchange).await {
        Ok(Ok(reply)) => {
            let Reply { status, load, .. } = reply;
            (Completion { status, latency: Span(0), load, body: None }, Some(connection))
        }
        Ok(Err(status)) => (
            Completion::without_response(classify_failure(status, endpoint, &connection.state, context)),
            None,
        ),
        Err(_) => (Completion::without_response(Status::Timeout), None),
    }
}

/// Reads the body of the response to a probe. An incomplete one counts as a reset, one over the size limit as an
/// error.
pub(super) async fn read_probe_body(
    mut response: awc::ClientResponse,
    context: &PeerContext,
    state: &ConnectionState,
) -> Result<Bytes, Status> {
    match read_body(&mut response, context.connections.options.max_body_bytes).await {
        Ok((_, false)) => Err(Status::Error),
        Ok((body, true)) if state.response_complete() => Ok(body),
        Ok((_, true)) | Err(BodyAborted) => Err(Status::Reset),
    }
}
