//! Responses of servers and their load reports.

use super::{NOT_PROCESSED, SERVER_LOAD, header_text};
use actix_http::StatusCode;
use actix_http::header::{self, HeaderMap, HeaderValue};
use dunlincleat::api::Status;
use serde_json::Value;

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

#[cfg(test)]
mod tests;
