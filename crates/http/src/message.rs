//! The messages of the protocol: headers and bodies are decoded once into typed values, and encoded once.

mod body;
mod fenced_task;
mod reply;
mod uri;

use crate::Answer;
use actix_http::body::{BodyStream, BoxBody, MessageBody, SizedStream};
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, Response, StatusCode};
pub use body::{
    BodyAborted, BodyChunk, BodyChunks, BodyData, BodyReader, LimitedBody, RemainingBody, ResponseBody,
    read_body,
};
use body::{BodyObserver, CompleteBody, StreamingBody};
use bytes::Bytes;
use dunlincleat::api::{Class, Effect, Span};
use dunlincleat_engine::RequestInfo;
use dunlincleat_limits::{RequestAttributes, RuleSet};
use dunlincleat_settings::{ClassLease, InstanceSettings, global_id};
pub use fenced_task::{FenceRejection, FencedTask};
pub use reply::Reply;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
pub use uri::{list_uri, probe_uri, server_address, watch_uri};

/// The health check of the sidecar for clients, and of servers for the sidecar.
pub const HEALTH_PATH: &str = "/healthz";
/// A probe that returns the load report.
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
    /// The client's identifier for it.
    pub id: HeaderValue,
    method: Method,
    /// Path and query, unchanged.
    target: String,
    key: Option<HeaderValue>,
    content_type: Option<HeaderValue>,
    body: Bytes,
    /// The part of the body after `body`, where the body is streamed.
    rest: Option<Rc<RemainingBody>>,
    /// The attributes that the engine needs.
    pub info: RequestInfo,
    /// The task that it belongs to, if it is a request of the sidecar itself.
    task: Option<Rc<FencedTask>>,
}

/// Why a request was rejected before it reached the engine.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed {
    /// The status of the response.
    pub status: StatusCode,
    /// The reason, which is the body of the response.
    pub reason: &'static str,
    /// The request was received completely, so it counts as failed.
    pub counts_as_failed: bool,
}

impl Request {
    /// Decodes the head of a request; `with_body` adds the body.
    pub fn decode(
        head: &RequestHead,
        site: &InstanceSettings,
        rules: Option<&RuleSet>,
    ) -> Result<Request, Malformed> {
        let path = head.uri.path();
        let unknown =
            Malformed { status: StatusCode::NOT_FOUND, reason: "no such class", counts_as_failed: true };
        let lease = class_of(path, site).and_then(|number| site.lease_class(number)).ok_or(unknown)?;
        let settings = &site.settings.classes[lease.number() as usize];
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
            return Err(bad_request("Idempotency-Key is missing"));
        }
        let id = head.headers.get(&REQUEST_ID).filter(|id| !id.is_empty()).cloned();
        let id = id.ok_or_else(|| bad_request("X-Request-ID is missing"))?;
        let mut info = request_info(head, settings, lease, site)?;
        info.rule = rules.map(|rules| {
            let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
            let attributes = RequestAttributes {
                path,
                method: method.as_str(),
                class: info.class.number(),
                tenant: info.tenant,
                header: &header,
            };
            rules.find(&attributes).clone()
        });
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

    /// Adds the body.
    pub fn with_body(mut self, body: Bytes, rest: Option<RemainingBody>) -> Request {
        self.body = body;
        self.rest = rest.map(Rc::new);
        self
    }

    /// Marks it as part of a task of the sidecar itself.
    pub fn with_task(mut self, task: Rc<FencedTask>) -> Request {
        self.task = Some(task);
        self
    }

    /// The task that it belongs to, if it is a request of the sidecar itself.
    pub fn task(&self) -> Option<&FencedTask> {
        self.task.as_deref()
    }

    /// The part of the body that had not been received when the request was accepted; `None` if it is complete.
    pub fn remaining_body(&self) -> Option<Rc<RemainingBody>> {
        self.rest.clone()
    }

    /// The buffered bytes of the body.
    pub fn buffered_body(&self) -> &Bytes {
        &self.body
    }

    /// The length of the body in bytes, as announced by the head.
    pub fn content_length(head: &RequestHead) -> Option<u64> {
        header_text(&head.headers, &header::CONTENT_LENGTH).and_then(|l| l.parse::<u64>().ok())
    }

    /// Encodes it for a server. `left` is how long the sidecar will wait; `chunks` is the whole body, if it was not
    /// received completely when the request was accepted.
    pub fn encode(
        &self,
        client: &awc::Client,
        server: SocketAddr,
        left: Duration,
        chunks: Option<BodyChunks>,
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
        match chunks {
            Some(chunks) => match self.rest.as_ref().and_then(|rest| rest.length) {
                Some(length) => request.send_body(SizedStream::new(length, chunks)),
                None => request.send_body(BodyStream::new(chunks)),
            },
            None if self.method == Method::GET && self.body.is_empty() => request.send(),
            None => request.send_body(CompleteBody::new(self.body.clone(), None)),
        }
    }
}

/// The attributes of a request that the engine needs, without the rule that it is admitted under.
fn request_info(
    head: &RequestHead,
    class: &Class,
    lease: ClassLease,
    site: &InstanceSettings,
) -> Result<RequestInfo, Malformed> {
    let deadline = class.deadline;
    let wait = match header_text(&head.headers, &TIMEOUT) {
        None => deadline,
        // The deadline of the class covers all attempts: a longer timeout gains nothing, and a huge one would hold
        // its request permit forever.
        Some(wait) => {
            let wait = parse_seconds(wait).ok_or_else(|| bad_request("X-Timeout is no number of seconds"))?;
            wait.min(deadline)
        }
    };
    let tenant = header_text(&head.headers, &TENANT);
    let tenant = site.tenants.iter().position(|t| Some(t.as_str()) == tenant);
    // The cost is a hint: an unreadable one is ignored.
    let hint = header_text(&head.headers, &COST).and_then(|c| c.parse::<f64>().ok());
    let mut attrs = header_text(&head.headers, &ATTRS).into_iter().flat_map(|attrs| attrs.split(','));
    let object = attrs.find_map(|attr| attr.trim().strip_prefix("object="));
    Ok(RequestInfo {
        class: lease,
        tenant: tenant.unwrap_or(site.tenants.len()) as u32,
        wait,
        hint: hint.filter(|c| c.is_finite() && *c >= 0.0).map(|c| Span(c as u64)),
        key: object.filter(|object| !object.is_empty()).map(global_id),
        repeat: header_text(&head.headers, &RETRIED) == Some("1"),
        rule: None,
    })
}

fn bad_request(reason: &'static str) -> Malformed {
    Malformed { status: StatusCode::BAD_REQUEST, reason, counts_as_failed: true }
}

/// The number of the class named by the first segment of a path.
pub fn class_of(path: &str, site: &InstanceSettings) -> Option<usize> {
    let name = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    site.classes.iter().position(|c| c == name && !name.is_empty())
}

/// Encodes the final answer to a client; `observer` is told how much of a complete body is left.
pub fn encode_answer(answer: Answer, observer: Option<BodyObserver>) -> Response<BoxBody> {
    match answer {
        Answer::Served(ResponseBody { data, content_type }) => {
            let body = match data {
                BodyData::Complete(body) => BoxBody::new(CompleteBody::new(body, observer)),
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

/// Encodes a response as the bytes that end a connection; gives it back if its body has no bytes at hand.
pub fn encode_rejection(response: Response<BoxBody>) -> Result<Vec<u8>, Response<BoxBody>> {
    let (response, body) = response.into_parts();
    let body = match body.try_into_bytes() {
        Ok(body) => body,
        Err(body) => return Err(response.set_body(body)),
    };
    let mut bytes =
        format!("HTTP/1.1 {}\r\nContent-Length: {}\r\n", response.status(), body.len()).into_bytes();
    for (name, value) in response.headers() {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"Connection: close\r\n\r\n");
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

impl From<BodyAborted> for Malformed {
    fn from(BodyAborted: BodyAborted) -> Malformed {
        Malformed { status: StatusCode::BAD_REQUEST, reason: "the body broke off", counts_as_failed: false }
    }
}

impl Malformed {
    /// Encodes the response.
    pub fn encode(self) -> Response<BoxBody> {
        Response::with_body(self.status, BoxBody::new(Bytes::from_static(self.reason.as_bytes())))
    }
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
