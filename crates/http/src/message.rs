//! The protocol's messages: headers and bodies are decoded once into small typed values, and encoded once.

use crate::Answer;
use actix_http::body::{BodySize, BodyStream, BoxBody, MessageBody, SizedStream};
use actix_http::error::PayloadError;
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, Response, StatusCode};
use awc::http::Uri;
use bytes::{Bytes, BytesMut};
use dunlincleat::api::{Effect, Span, Status};
use dunlincleat_directory::Interest;
use dunlincleat_engine::RequestInfo;
use dunlincleat_limits::{RequestAttributes, RuleSet};
use dunlincleat_settings::{InstanceSettings, global_id};
use futures_util::stream::{LocalBoxStream, once};
use futures_util::{Stream, StreamExt};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::mpsc;

/// Where clients ask whether the sidecar serves, and sidecars whether a server does.
pub const HEALTH_PATH: &str = "/healthz";
/// A probe that brings the load report.
pub const LOAD_PATH: &str = "/load";

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const TENANT: HeaderName = HeaderName::from_static("x-tenant-id");
const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");
const RETRIED: HeaderName = HeaderName::from_static("x-retried");
const COST: HeaderName = HeaderName::from_static("x-cost");
const ATTRS: HeaderName = HeaderName::from_static("x-attrs");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");
const DUTY_FENCE: HeaderName = HeaderName::from_static("x-duty-fence");
const DUTY_PERIOD: HeaderName = HeaderName::from_static("x-duty-period");
const NOT_PROCESSED: HeaderName = HeaderName::from_static("x-not-processed");

/// A client's request.
pub struct Request {
    /// The client's name for it.
    pub id: HeaderValue,
    method: Method,
    /// Path and query as they came.
    target: String,
    key: Option<HeaderValue>,
    content_type: Option<HeaderValue>,
    body: Bytes,
    /// What follows the bytes held, where the body is passed on as it comes.
    rest: Option<Rc<RemainingBody>>,
    /// What the engine is told of it.
    pub info: RequestInfo,
    /// What it is sent for, where it is no client's.
    task: Option<Rc<FencedTask>>,
}

/// A request that the sidecar sends on behalf of a duty: extra headers, a check whether it may still be sent, and the
/// fence with which a server rejected it.
pub struct FencedTask {
    headers: BTreeMap<&'static str, String>,
    permitted: Box<dyn Fn() -> bool>,
    started: Cell<bool>,
    rejection: Cell<Option<FenceRejection>>,
}

/// The newest fence and period that a server has seen, as reported in its rejection of an older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceRejection {
    /// The highest fence.
    pub fence: u64,
    /// The period reported with it; 0 if the server reported none.
    pub period: u64,
}

impl FencedTask {
    /// Creates a task with these headers; it may be sent as long as `permitted` returns true.
    pub fn new(
        headers: BTreeMap<&'static str, String>,
        permitted: impl Fn() -> bool + 'static,
    ) -> FencedTask {
        FencedTask {
            headers,
            permitted: Box::new(permitted),
            started: Cell::new(false),
            rejection: Cell::new(None),
        }
    }

    /// Whether an attempt was permitted to start.
    pub fn started(&self) -> bool {
        self.started.get()
    }

    /// The fence and period reported by a server that rejected the task.
    pub fn fence_rejection(&self) -> Option<FenceRejection> {
        self.rejection.get()
    }

    /// Whether an attempt may start now; checked immediately before its first byte is written.
    pub fn try_start(&self) -> bool {
        let permitted = (self.permitted)();
        self.started.set(self.started.get() || permitted);
        permitted
    }

    /// Records the response of a server: status 409 with a fence is a rejection.
    pub fn record_response(&self, status: StatusCode, headers: &HeaderMap) {
        let number = |name| header_text(headers, &name).and_then(|n| n.parse::<u64>().ok());
        if status == StatusCode::CONFLICT
            && let Some(fence) = number(DUTY_FENCE)
        {
            let period = number(DUTY_PERIOD).unwrap_or(0);
            self.rejection.set(Some(FenceRejection { fence, period }));
        }
    }
}

/// A server's answer.
pub struct ResponseBody {
    /// As the server sent it.
    pub data: BodyData,
    /// What it says the body is.
    pub content_type: Option<HeaderValue>,
}

/// The bytes of an answer.
pub enum BodyData {
    /// All of them.
    Complete(Bytes),
    /// What came first; the rest is passed on as it comes.
    Streaming {
        /// The first bytes.
        first: Bytes,
        /// What follows; an end without the last word is one that broke off.
        rest: mpsc::Receiver<BodyChunk>,
        /// How long it is in all, where that was told.
        length: Option<u64>,
    },
}

/// A part of an answer that is passed on.
pub enum BodyChunk {
    /// Bytes.
    Bytes(Bytes),
    /// It came to its end.
    End,
}

/// The parts of a request's body, as they come.
pub type BodyChunks = LocalBoxStream<'static, Result<Bytes, PayloadError>>;

/// The part of a request's body that has not come yet. It can be read once: an attempt that failed before it read any
/// of it leaves it to the next.
pub struct RemainingBody {
    /// Where it comes from.
    chunks: RefCell<BodyChunks>,
    read_started: Cell<bool>,
    /// How long the whole body is, where that was told.
    pub length: Option<u64>,
}

impl RemainingBody {
    /// The rest of a body of this length.
    pub fn new(chunks: BodyChunks, length: Option<u64>) -> RemainingBody {
        RemainingBody { chunks: RefCell::new(chunks), read_started: Cell::new(false), length }
    }

    /// Some of it was read: what is left is not the whole of it any more.
    pub fn read_started(&self) -> bool {
        self.read_started.get()
    }

    /// Reads on.
    pub fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, PayloadError>>> {
        self.read_started.set(true);
        self.chunks.borrow_mut().poll_next_unpin(cx)
    }
}

/// Why a request was not taken.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed {
    /// The status of the answer.
    pub status: StatusCode,
    /// What was wrong, for the body of the answer.
    pub reason: &'static str,
    /// Its last byte came: it counts as one that failed.
    pub counts_as_failed: bool,
}

impl Request {
    /// Reads a request's head; the body is added by `with_body`.
    pub fn decode(
        head: &RequestHead,
        site: &InstanceSettings,
        rules: Option<&RuleSet>,
    ) -> Result<Request, Malformed> {
        let bad = |reason| Malformed { status: StatusCode::BAD_REQUEST, reason, counts_as_failed: true };
        let path = head.uri.path();
        let unknown =
            Malformed { status: StatusCode::NOT_FOUND, reason: "no such class", counts_as_failed: true };
        let class = class_of(path, site).ok_or(unknown)?;
        let settings = &site.settings.classes[class];
        let key = head.headers.get(&IDEMPOTENCY_KEY).cloned();
        let method = match settings.effect {
            Effect::Safe => Method::GET,
            Effect::Keyed { .. } | Effect::Unsafe => Method::POST,
        };
        if head.method != method {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(Malformed {
                status,
                reason: "the class is not asked for by this method",
                counts_as_failed: true,
            });
        }
        if matches!(settings.effect, Effect::Keyed { .. }) && key.is_none() {
            return Err(bad("Idempotency-Key is missing"));
        }
        let id = head.headers.get(&REQUEST_ID).filter(|id| !id.is_empty()).cloned();
        let id = id.ok_or_else(|| bad("X-Request-ID is missing"))?;
        let wait = match header_text(&head.headers, &TIMEOUT) {
            None => settings.deadline,
            // Nobody waits longer than the class allows over all tries: a huge one would hold its place for good.
            Some(wait) => {
                let wait = parse_seconds(wait).ok_or_else(|| bad("X-Timeout is no number of seconds"))?;
                wait.min(settings.deadline)
            }
        };
        let tenant = header_text(&head.headers, &TENANT);
        let tenant = site.tenants.iter().position(|t| Some(t.as_str()) == tenant);
        // A hint is advice: one that can't be read is none.
        let hint = header_text(&head.headers, &COST).and_then(|c| c.parse::<f64>().ok());
        let mut attrs = header_text(&head.headers, &ATTRS).into_iter().flat_map(|attrs| attrs.split(','));
        let object = attrs.find_map(|attr| attr.trim().strip_prefix("object="));
        let info = RequestInfo {
            class: class as u32,
            tenant: tenant.unwrap_or(site.tenants.len()) as u32,
            wait,
            hint: hint.filter(|c| c.is_finite() && *c >= 0.0).map(|c| Span(c as u64)),
            key: object.filter(|object| !object.is_empty()).map(global_id),
            repeat: header_text(&head.headers, &RETRIED) == Some("1"),
            rule: None,
        };
        let rule = rules.map(|rules| {
            let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
            let (class, tenant) = (info.class, info.tenant);
            let facts = RequestAttributes { path, method: method.as_str(), class, tenant, header: &header };
            rules.find(&facts).clone()
        });
        let info = RequestInfo { rule, ..info };
        Ok(Request {
            id,
            method,
            target: head.uri.path_and_query().map_or(path, |t| t.as_str()).to_owned(),
            key,
            content_type: head.headers.get(header::CONTENT_TYPE).cloned(),
            body: Bytes::new(),
            rest: None,
            info,
            task: None,
        })
    }

    /// The same with its body.
    pub fn with_body(mut self, body: Bytes, rest: Option<RemainingBody>) -> Request {
        (self.body, self.rest) = (body, rest.map(Rc::new));
        self
    }

    /// The same on an errand of the sidecar's own.
    pub fn with_task(mut self, task: Rc<FencedTask>) -> Request {
        self.task = Some(task);
        self
    }

    /// What it is sent for, where it is no client's.
    pub fn task(&self) -> Option<&FencedTask> {
        self.task.as_deref()
    }

    /// What had not come of its body when it was taken; none where it is whole.
    pub fn remaining_body(&self) -> Option<Rc<RemainingBody>> {
        self.rest.clone()
    }

    /// The bytes of its body that are held.
    pub fn buffered_body(&self) -> &Bytes {
        &self.body
    }

    /// The length of its body, in bytes, as the head told it.
    pub fn content_length(head: &RequestHead) -> Option<u64> {
        header_text(&head.headers, &header::CONTENT_LENGTH).and_then(|l| l.parse::<u64>().ok())
    }

    /// Encodes it for a server; `left` is how long the sidecar will wait, `rest` what follows the bytes held.
    pub fn encode(
        &self,
        client: &awc::Client,
        server: SocketAddr,
        left: Duration,
        rest: Option<BodyChunks>,
    ) -> awc::SendClientRequest {
        let uri = format!("http://{server}{}", self.target);
        let request = client
            .request(self.method.clone(), uri)
            .insert_header((REQUEST_ID, self.id.clone()))
            .insert_header((TIMEOUT, format!("{:.6}", left.as_secs_f64())));
        let request = match &self.key {
            Some(key) => request.insert_header((IDEMPOTENCY_KEY, key.clone())),
            None => request,
        };
        let request = match &self.content_type {
            Some(kind) => request.insert_header((header::CONTENT_TYPE, kind.clone())),
            None => request,
        };
        let extra = self.task.iter().flat_map(|task| &task.headers);
        let request =
            extra.fold(request, |request, (name, value)| request.insert_header((*name, value.as_str())));
        let first = self.body.clone();
        match rest {
            Some(chunks) => {
                let chunks = once(async move { Ok(first) }).chain(chunks);
                match self.rest.as_ref().and_then(|rest| rest.length) {
                    Some(length) => request.send_body(SizedStream::new(length, chunks)),
                    None => request.send_body(BodyStream::new(chunks)),
                }
            }
            None if self.method == Method::GET && first.is_empty() => request.send(),
            None => request.send_body(first),
        }
    }
}

/// The number of the class that a path names by its first part.
pub fn class_of(path: &str, site: &InstanceSettings) -> Option<usize> {
    let name = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    site.classes.iter().position(|c| c == name && !name.is_empty())
}

/// Encodes the final answer to a client.
pub fn encode_answer(answer: Answer) -> Response<BoxBody> {
    match answer {
        Answer::Served(ResponseBody { data, content_type }) => {
            let body = match data {
                BodyData::Complete(body) => BoxBody::new(body),
                BodyData::Streaming { first, rest, length } => {
                    BoxBody::new(StreamingBody { first, rest, length, ended: false })
                }
            };
            let mut response = Response::with_body(StatusCode::OK, body);
            if let Some(kind) = content_type {
                response.headers_mut().insert(header::CONTENT_TYPE, kind);
            }
            response
        }
        Answer::Refused { retry_after } => {
            let mut response = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, BoxBody::new(()));
            let after = retry_after.map(|s| format!("{:.3}", s.as_f64() / 1e6));
            if let Some(after) = after.and_then(|a| HeaderValue::try_from(a).ok()) {
                response.headers_mut().insert(header::RETRY_AFTER, after);
            }
            response
        }
        Answer::Failed => Response::with_body(StatusCode::BAD_GATEWAY, BoxBody::new(())),
    }
}

/// An answer that is passed on as it comes. Where it breaks off, so does the client's connection: it is never taken for
/// a whole one.
struct StreamingBody {
    first: Bytes,
    rest: mpsc::Receiver<BodyChunk>,
    length: Option<u64>,
    ended: bool,
}

impl MessageBody for StreamingBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        self.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if !self.first.is_empty() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.first))));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        match ready!(self.rest.poll_recv(cx)) {
            Some(BodyChunk::Bytes(bytes)) => Poll::Ready(Some(Ok(bytes))),
            Some(BodyChunk::End) => {
                self.ended = true;
                Poll::Ready(None)
            }
            None => Poll::Ready(Some(Err(io::Error::other("the server's answer broke off")))),
        }
    }
}

impl From<BodyAborted> for Malformed {
    fn from(BodyAborted: BodyAborted) -> Malformed {
        Malformed { status: StatusCode::BAD_REQUEST, reason: "the body broke off", counts_as_failed: false }
    }
}

impl Malformed {
    /// Encodes the answer.
    pub fn encode(self) -> Response<BoxBody> {
        Response::with_body(self.status, BoxBody::new(Bytes::from_static(self.reason.as_bytes())))
    }
}

/// A server's answer to a request or a probe, without its body.
pub struct Reply {
    /// What it means.
    pub status: Status,
    /// The load report, in the order of the settings' fields; empty where none came.
    pub load: Vec<f64>,
    /// What it says its body is.
    pub content_type: Option<HeaderValue>,
    /// How long it says its body is, in bytes.
    pub length: Option<u64>,
}

impl Reply {
    /// Reads the head of an answer.
    pub fn decode(status: StatusCode, headers: &HeaderMap, fields: &[String]) -> Reply {
        let not_processed = header_text(headers, &NOT_PROCESSED) == Some("1");
        let status = match status {
            StatusCode::OK => Status::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => {
                Status::Rejected
            }
            // Whatever is no word of the protocol's may have run.
            _ => Status::Error,
        };
        let load = header_text(headers, &SERVER_LOAD)
            .map(|l| parse_load_report(l.as_bytes(), fields))
            .unwrap_or_default();
        let length = header_text(headers, &header::CONTENT_LENGTH).and_then(|l| l.parse().ok());
        Reply { status, load, content_type: headers.get(header::CONTENT_TYPE).cloned(), length }
    }

    /// Reads the head and the body of a probe's answer: 503 is a probe's word for a server that is busy.
    pub fn decode_probe(status: StatusCode, headers: &HeaderMap, body: &[u8], fields: &[String]) -> Reply {
        let mut reply = Reply::decode(status, headers, fields);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            reply.status = Status::Rejected;
        }
        if reply.load.is_empty() {
            reply.load = parse_load_report(body, fields);
        }
        reply
    }
}

/// No server has this much of anything that a load report counts.
const MAX_LOAD_VALUE: f64 = 1e9;

/// Reads a load report; a figure that lacks becomes no number. A report without any of them is none, and so is one
/// with a figure that can't be true: a load under nothing would draw every request there.
fn parse_load_report(json: &[u8], fields: &[String]) -> Vec<f64> {
    let Ok(Value::Object(report)) = serde_json::from_slice(json) else { return Vec::new() };
    let value = |name: &String| report.get(name).and_then(Value::as_f64).unwrap_or(f64::NAN);
    let load: Vec<f64> = fields.iter().map(value).collect();
    let readable = load.iter().all(|v| v.is_nan() || (0.0..=MAX_LOAD_VALUE).contains(v));
    if readable && load.iter().any(|v| !v.is_nan()) { load } else { Vec::new() }
}

/// The connection of a body broke off.
#[derive(Debug, PartialEq, Eq)]
pub struct BodyAborted;

/// Reads a body until it is whole or over so many bytes; tells whether it is whole.
pub async fn read_body<E>(
    chunks: &mut (impl Stream<Item = Result<Bytes, E>> + Unpin),
    limit: usize,
) -> Result<(Bytes, bool), BodyAborted> {
    let mut body = BytesMut::new();
    while body.len() <= limit {
        let Some(chunk) = chunks.next().await else { return Ok((body.freeze(), true)) };
        let chunk = chunk.map_err(|_| BodyAborted)?;
        if body.is_empty() {
            body = BytesMut::from(chunk);
        } else {
            body.extend_from_slice(&chunk);
        }
    }
    Ok((body.freeze(), false))
}

/// The address of the whole list, or of that of some services. Discovery may pass over which, and tell of all.
pub fn list_uri(discovery: SocketAddr, interest: &Interest) -> String {
    let models = models_parameter(interest).map(|models| format!("?{models}"));
    format!("http://{discovery}/v1/servers{}", models.unwrap_or_default())
}

/// The address of a watch for what changed after a version, in the same way.
pub fn watch_uri(discovery: SocketAddr, after: u64, interest: &Interest) -> String {
    let models = models_parameter(interest).map(|models| format!("&{models}"));
    format!("http://{discovery}/v1/servers?watch=1&after={after}{}", models.unwrap_or_default())
}

/// What a name needs no escape for in a query; a comma parts names.
const QUERY_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

fn models_parameter(interest: &Interest) -> Option<String> {
    let names = interest.services()?.map(|name| utf8_percent_encode(name, QUERY_ESCAPES).to_string());
    Some(format!("models={}", names.collect::<Vec<_>>().join(",")))
}

/// The address of a probe.
pub fn probe_uri(server: SocketAddr, with_load: bool) -> String {
    format!("http://{server}{}", if with_load { LOAD_PATH } else { HEALTH_PATH })
}

/// The address and port of a URI that this program made.
pub fn server_address(uri: &Uri) -> Option<SocketAddr> {
    uri.authority()?.as_str().parse().ok()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}

fn parse_seconds(text: &str) -> Option<Span> {
    let seconds: f64 = text.parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some(Span((seconds * 1e6).min(1e15) as u64))
}

#[cfg(test)]
mod tests;
