//! One exchange with a server, an attempt or a probe: from writing the request to the end of the response.

use super::failure::error_status;
use super::{PeerContext, classify_failure};
use crate::line::{ConnectionState, ServerConnection};
use crate::message::{
    BodyAborted, BodyChunk, BodyChunks, BodyData, LimitedBody, RemainingBody, Reply, Request, ResponseBody,
    probe_uri, read_body,
};
use crate::upload_clock::UploadClock;
use crate::write_progress::WriteProgress;
use crate::{Completion, Handle};
use actix_http::error::PayloadError;
use bytes::{Bytes, BytesMut};
use dunlincleat::api::{Attempt, RequestId, ServerId, Span, Status};
use futures_util::{StreamExt, TryStreamExt, stream};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Identifies an attempt.
#[derive(Clone, Copy)]
pub(super) struct AttemptId {
    pub(super) id: RequestId,
    pub(super) attempt: Attempt,
    pub(super) server: ServerId,
}

/// The time limits of an attempt.
#[derive(Clone, Copy)]
pub(super) struct Deadlines {
    /// The deadline of the attempt.
    pub(super) until: Instant,
    /// The connect timeout, where it is lower than the configured one.
    pub(super) connect_timeout: Option<Duration>,
}

/// The result of an exchange.
pub(super) struct ExchangeResult {
    pub(super) completion: Completion,
    /// The connection, if it can be reused.
    pub(super) connection: Option<ServerConnection>,
}

impl ExchangeResult {
    /// An exchange that ended without a response and closed its connection.
    pub(super) fn failed(status: Status) -> ExchangeResult {
        ExchangeResult { completion: Completion::without_response(status), connection: None }
    }

    /// An attempt that was not sent; its connection can be reused.
    fn not_sent(connection: ServerConnection) -> ExchangeResult {
        let completion = Completion::without_response(Status::NotSent);
        ExchangeResult { completion, connection: Some(connection) }
    }
}

/// The buffered part of a response.
struct BufferedResponse {
    /// The bytes received.
    first: Bytes,
    /// The response, if more is to come.
    rest: Option<awc::ClientResponse>,
}

/// Reports to the engine that a request body is still being received, until it is dropped.
struct UploadGuard {
    attempt: AttemptId,
    engine: Handle,
}

impl UploadGuard {
    fn new(attempt: AttemptId, context: &PeerContext) -> UploadGuard {
        context.engine.upload(attempt.id, attempt.server, false);
        UploadGuard { attempt, engine: context.engine.clone() }
    }
}

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.engine.upload(self.attempt.id, self.attempt.server, true);
    }
}

/// Progress of a request body that was incomplete when the attempt started.
struct RequestBody {
    /// Present until the last byte was handed to awc.
    upload: RefCell<Option<UploadGuard>>,
    /// When the last byte was handed to awc.
    completed_at: Cell<Option<Instant>>,
    /// When the last byte may have been sent by the client; `None` if the body was complete.
    clock: Option<Rc<UploadClock>>,
}

impl RequestBody {
    /// The body, its buffered part first, as awc reads it once the connection is established. Several attempts may wait
    /// for their connections at the same time: the first one that gets there claims the body, and the others fail here,
    /// before anything is written. When the body ends, the deadline of the attempt starts to run.
    fn into_chunks(
        self: Rc<RequestBody>,
        buffered: Bytes,
        rest: Rc<RemainingBody>,
        state: Rc<ConnectionState>,
    ) -> BodyChunks {
        let claimed = stream::once(async move { rest.claim().ok_or(PayloadError::Incomplete(None)) });
        let chunks = claimed.map_ok(move |reader| {
            let buffered = buffered.clone();
            stream::once(async move { Ok(buffered) }).chain(reader)
        });
        let ended = stream::poll_fn(move |_| {
            drop(self.upload.borrow_mut().take());
            self.completed_at.set(Some(Instant::now()));
            state.set_body_ended();
            Poll::Ready(None)
        });
        chunks.try_flatten().chain(ended).boxed_local()
    }
}

/// Interval between checks whether an upload has completed.
const UPLOAD_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the start of a response of unknown length is buffered, relative to the stall timeout. A response that
/// breaks off or stalls while it is buffered can be retried.
const BUFFER_TIME_FACTOR: f64 = 4.0 / 3.0;
/// How long before its deadline a response that may be long is streamed at the latest.
const STREAM_BEFORE_DEADLINE: Duration = Duration::from_millis(10);
/// Number of response chunks in transit to the client.
const STREAM_CHANNEL_CAPACITY: usize = 1;

/// Sends a request and waits for the response. The connection is returned if it can be reused.
///
/// If the body is still being received, the deadline runs from its last byte, as it does for the client. A response
/// is buffered up to the body size limit; a larger one is streamed from its first bytes on, and from then on no
/// deadline ends it.
pub(super) async fn send(
    connection: ServerConnection,
    endpoint: SocketAddr,
    request: &Request,
    deadlines: Deadlines,
    context: &PeerContext,
    attempt: AttemptId,
) -> ExchangeResult {
    let started = Instant::now();
    let left = deadlines.until.saturating_duration_since(started);
    let rest = request.remaining_body();
    // What another attempt has read of the body is gone.
    if rest.as_ref().is_some_and(|rest| rest.is_claimed()) {
        return ExchangeResult::not_sent(connection);
    }
    // The permission is checked where the effect starts, not where it was granted.
    if request.task().is_some_and(|task| !task.try_start()) {
        return ExchangeResult::not_sent(connection);
    }
    let length = match &rest {
        Some(rest) => rest.length,
        None => Some(request.buffered_body().len() as u64),
    };
    connection.state.begin(Some(WriteProgress::new(length)));
    let body = Rc::new(RequestBody {
        upload: RefCell::new(rest.is_some().then(|| UploadGuard::new(attempt, context))),
        completed_at: Cell::new(None),
        clock: rest.as_ref().map(|rest| rest.clock.clone()),
    });
    let buffered = request.buffered_body().clone();
    let chunks = rest.map(|rest| body.clone().into_chunks(buffered, rest, connection.state.clone()));
    let exchange = async {
        let response =
            request.encode(&connection.client, endpoint, left, chunks).await.map_err(error_status)?;
        let reply = Reply::decode(response.status(), response.headers(), &context.fields);
        if let Some(task) = request.task() {
            task.record_response(response.status(), response.headers());
        }
        let buffered =
            buffer_response(response, reply.length, deadlines.until, context, &connection.state).await?;
        Ok::<_, Status>((reply, buffered))
    };
    let exchange = async {
        tokio::select! {
            biased;
            result = exchange => Some(result),
            status = connect_timed_out(deadlines.connect_timeout, &connection.state) => Some(Err(status)),
            () = deadline_passed(deadlines.until, left, &body, &connection.state) => None,
        }
    };
    match exchange.await {
        Some(Ok((reply, buffered))) if reply.status != Status::Ok => {
            let connection = buffered.rest.is_none().then_some(connection);
            let Reply { status, load, .. } = reply;
            let completion = Completion { status, latency: Span(0), load, body: None };
            ExchangeResult { completion, connection }
        }
        Some(Ok((reply, buffered))) => {
            let since = body.completed_at.get().unwrap_or(started);
            let latency = Span((since.elapsed().as_micros() as u64).max(1));
            deliver(reply, buffered, latency, connection, context, attempt).await
        }
        // A request that broke off in the middle of its body never ran.
        Some(Err(Status::Reset)) if connection.state.invalid_response().is_none() => {
            ExchangeResult::failed(connection.state.status_if_written(Status::Reset))
        }
        Some(Err(status)) => {
            ExchangeResult::failed(classify_failure(status, endpoint, &connection.state, context))
        }
        // Its client was too slow: the server, which can't run it, is not at fault.
        None if body.upload.borrow().is_some() && connection.state.awaits_request() => {
            ExchangeResult::failed(Status::NotSent)
        }
        None => ExchangeResult::failed(connection.state.status_if_written(Status::Timeout)),
    }
}

/// Completes when nothing of the request was written within the connect timeout: the connection was not established,
/// and nothing can have run.
async fn connect_timed_out(connect_timeout: Option<Duration>, state: &ConnectionState) -> Status {
    match connect_timeout {
        Some(connect_timeout) => sleep(connect_timeout).await,
        None => pending().await,
    }
    if !state.nothing_sent() {
        pending::<()>().await;
    }
    Status::ConnectFailed
}

/// Completes when the deadline has passed; for a body that is uploaded, it is `left` after the earliest time at which
/// the client may have sent its last byte, even if that has not been received yet.
async fn deadline_passed(until: Instant, left: Duration, body: &RequestBody, state: &ConnectionState) {
    let upload_deadline = || body.clock.as_ref().and_then(|clock| clock.earliest_end()).map(|end| end + left);
    while body.upload.borrow().is_some() {
        sleep(UPLOAD_POLL_INTERVAL).await;
        let now = Instant::now();
        let overdue = upload_deadline().is_some_and(|deadline| deadline <= now);
        if (overdue || state.nothing_sent()) && until <= now {
            return;
        }
    }
    sleep_until(until).await;
    if let Some(deadline) = upload_deadline() {
        sleep_until(deadline).await;
    }
}

/// Delivers the response of a served request. One that is not buffered completely is announced to the engine and
/// streamed to its end.
async fn deliver(
    reply: Reply,
    buffered: BufferedResponse,
    latency: Span,
    connection: ServerConnection,
    context: &PeerContext,
    attempt: AttemptId,
) -> ExchangeResult {
    let Reply { status, load, content_type, length } = reply;
    let BufferedResponse { first, rest } = buffered;
    let Some(mut response) = rest else {
        let body = Some(ResponseBody { data: BodyData::Complete(first), content_type });
        let completion = Completion { status, latency, load, body };
        return ExchangeResult { completion, connection: Some(connection) };
    };
    let (sender, receiver) = mpsc::channel(STREAM_CHANNEL_CAPACITY);
    let data = BodyData::Streaming { first, rest: receiver, length };
    let body = Some(ResponseBody { data, content_type });
    connection.state.set_streaming();
    let started = Completion { status, latency, load, body };
    context.engine.response_started(attempt.id, attempt.attempt, attempt.server, started);
    let status = stream_response(&mut response, &sender, &connection.state).await;
    let connection = (status == Status::Ok).then_some(connection);
    ExchangeResult { completion: Completion::without_response(status), connection }
}

/// Buffers a response until its end, so that one that breaks off can be retried, or until it has to be streamed: from
/// its first bytes if its announced length exceeds the limit, otherwise once it exceeds the limit. One that may be long
/// is streamed after the buffering time, whatever it has brought until then.
async fn buffer_response(
    mut response: awc::ClientResponse,
    length: Option<u64>,
    deadline: Instant,
    context: &PeerContext,
    state: &ConnectionState,
) -> Result<BufferedResponse, Status> {
    let options = &context.connections.options;
    let is_long = length.is_some_and(|length| length > options.max_body_bytes as u64);
    let limit = if is_long { 0 } else { options.max_body_bytes };
    let buffered_until = Instant::now() + options.response_stall_timeout.mul_f64(BUFFER_TIME_FACTOR);
    let until = buffered_until.min(deadline - STREAM_BEFORE_DEADLINE);
    let mut first = BytesMut::new();
    while first.len() <= limit {
        let chunk = if length.is_some() && !is_long {
            response.next().await
        } else {
            match timeout_at(until, response.next()).await {
                Ok(chunk) => chunk,
                Err(_) => break,
            }
        };
        match chunk {
            Some(Ok(chunk)) => first.extend_from_slice(&chunk),
            // awc ends the body without an error when its connection breaks off: without this check, half a response
            // would be served as a complete one.
            None if state.response_complete() => {
                return Ok(BufferedResponse { first: first.freeze(), rest: None });
            }
            Some(Err(_)) | None => return Err(Status::Reset),
        }
    }
    Ok(BufferedResponse { first: first.freeze(), rest: Some(response) })
}

/// Streams the rest of a response at the rate at which its client reads: nothing is read from the server that the
/// client has no room for. Whether the client still reads is judged by its connection, which drops the receiver of a
/// client that does not.
async fn stream_response(
    response: &mut awc::ClientResponse,
    client: &mpsc::Sender<BodyChunk>,
    state: &ConnectionState,
) -> Status {
    loop {
        let chunk = tokio::select! {
            biased;
            chunk = response.next() => chunk,
            // The client has left: the connection is released immediately, not when the server sends the next bytes.
            () = client.closed() => return Status::Cancelled,
        };
        let chunk = match chunk {
            Some(Ok(bytes)) => BodyChunk::Bytes(bytes),
            None if state.response_complete() => BodyChunk::End,
            Some(Err(_)) | None => return Status::Reset,
        };
        let ends = matches!(chunk, BodyChunk::End);
        match client.send(chunk).await {
            Ok(()) if ends => return Status::Ok,
            Ok(()) => {}
            Err(_) => return Status::Cancelled,
        }
    }
}

/// Sends a probe and waits for the response.
pub(super) async fn probe(
    connection: ServerConnection,
    endpoint: SocketAddr,
    context: &PeerContext,
) -> ExchangeResult {
    connection.state.begin(None);
    let exchange = async {
        let request = connection.client.get(probe_uri(endpoint, context.load_probes));
        let response = request.send().await.map_err(error_status)?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = read_probe_body(response, context, &connection.state).await?;
        Ok::<_, Status>(Reply::decode_probe(status, &headers, &body, &context.fields))
    };
    match timeout_at(Instant::now() + context.connections.options.probe_timeout, exchange).await {
        Ok(Ok(reply)) => {
            let Reply { status, load, .. } = reply;
            let completion = Completion { status, latency: Span(0), load, body: None };
            ExchangeResult { completion, connection: Some(connection) }
        }
        Ok(Err(status)) => {
            ExchangeResult::failed(classify_failure(status, endpoint, &connection.state, context))
        }
        Err(_) => ExchangeResult::failed(Status::Timeout),
    }
}

/// Reads the body of the response to a probe. An incomplete one counts as a reset, one over the size limit as an
/// error.
async fn read_probe_body(
    mut response: awc::ClientResponse,
    context: &PeerContext,
    state: &ConnectionState,
) -> Result<Bytes, Status> {
    match read_body(&mut response, context.connections.options.max_body_bytes).await {
        Ok(LimitedBody { complete: false, .. }) => Err(Status::Error),
        Ok(LimitedBody { bytes, complete: true }) if state.response_complete() => Ok(bytes),
        Ok(LimitedBody { complete: true, .. }) | Err(BodyAborted) => Err(Status::Reset),
    }
}
