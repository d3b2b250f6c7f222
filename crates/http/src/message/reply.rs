//! Server responses and load reports.

use super::{NOT_PROCESSED, SERVER_LOAD, header_text};
use actix_http::StatusCode;
use actix_http::header::{self, HeaderMap, HeaderValue};
use dunlincleat::api::Status;
use serde_json::Value;

/// A server's response to a request or a probe, without its body.
pub struct Reply {
    /// What it means for the attempt.
    pub status: Status,
    /// The load report, in the order of the configured fields; empty if there is none.
    pub load: Vec<f64>,
    /// Its `Content-Type`.
    pub content_type: Option<HeaderValue>,
    /// Its `Content-Length`, in bytes.
    pub length: Option<u64>,
}

impl Reply {
    /// Decodes the head of a response.
    pub fn decode(status: StatusCode, headers: &HeaderMap, fields: &[String]) -> Reply {
        let not_processed = header_text(headers, &NOT_PROCESSED) == Some("1");
        let status = match status {
            StatusCode::OK => Status::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => {
                Status::Rejected
            }
            // A request with any other status may have run.
            _ => Status::Error,
        };
        let load = header_text(headers, &SERVER_LOAD)
            .map(|l| parse_load_report(l.as_bytes(), fields))
            .unwrap_or_default();
        let length = header_text(headers, &header::CONTENT_LENGTH).and_then(|l| l.parse().ok());
        Reply { status, load, content_type: headers.get(header::CONTENT_TYPE).cloned(), length }
    }

    /// Decodes the head and the body of the response to a probe, where 503 means that the server is busy.
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

/// Upper limit of plausible values in a load report.
const MAX_LOAD_VALUE: f64 = 1e9;

/// Parses a load report; missing fields become NaN. A report without any field is ignored, and so is one with an
/// implausible value: a negative load would attract every request.
fn parse_load_report(json: &[u8], fields: &[String]) -> Vec<f64> {
    let Ok(Value::Object(report)) = serde_json::from_slice(json) else { return Vec::new() };
    let value = |name: &String| report.get(name).and_then(Value::as_f64).unwrap_or(f64::NAN);
    let load: Vec<f64> = fields.iter().map(value).collect();
    let readable = load.iter().all(|v| v.is_nan() || (0.0..=MAX_LOAD_VALUE).contains(v));
    if readable && load.iter().any(|v| !v.is_nan()) { load } else { Vec::new() }
}

#[cfg(test)]
mod tests;
