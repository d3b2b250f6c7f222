//! Receives the body of a request, up to the size limit and within the memory for what is received.

use super::clients::ClientConnection;
use super::memory::MemoryUse;
use crate::message::{BodyAborted, LimitedBody, Malformed};
use actix_http::{Payload, StatusCode};
use bytes::Bytes;
use futures_util::StreamExt;
use std::rc::Rc;

/// The least capacity of the buffer of a body, in bytes.
const MIN_CAPACITY_BYTES: usize = 4 * 1024;

/// Receives a body until it is complete or exceeds `limit`; `length` is the announced one. The connection holds the
/// memory until the request is answered.
///
/// # Errors
///
/// The body broke off, or there is no memory for it. Nothing was sent to a server.
pub(super) async fn receive_body(
    payload: &mut Payload,
    connection: Option<&Rc<ClientConnection>>,
    limit: usize,
    length: Option<u64>,
) -> Result<LimitedBody, Malformed> {
    let mut body = Vec::new();
    while body.len() <= limit {
        let Some(chunk) = payload.next().await else {
            return Ok(LimitedBody { bytes: Bytes::from(body), complete: true });
        };
        let chunk = chunk.map_err(|_| BodyAborted)?;
        if let Some(connection) = connection {
            connection.body_consumed(chunk.len());
        }
        reserve(&mut body, chunk.len(), connection, length)?;
        body.extend_from_slice(&chunk);
    }
    Ok(LimitedBody { bytes: Bytes::from(body), complete: false })
}

/// Makes room in the buffer of a body. What the buffer takes is held before it is allocated.
fn reserve(
    body: &mut Vec<u8>,
    additional: usize,
    connection: Option<&Rc<ClientConnection>>,
    length: Option<u64>,
) -> Result<(), Malformed> {
    let needed = body.len() + additional;
    if needed <= body.capacity() {
        return Ok(());
    }
    let capacity = grown_capacity(body.capacity(), needed, length);
    if connection.is_some_and(|connection| !connection.hold(MemoryUse::Body, capacity)) {
        return Err(Malformed {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: "no memory for the body",
            counts_as_failed: false,
        });
    }
    body.reserve_exact(capacity - body.len());
    Ok(())
}

/// The next capacity of a buffer: half as much again, but no more than the announced length.
fn grown_capacity(capacity: usize, needed: usize, length: Option<u64>) -> usize {
    let grown = (capacity + capacity / 2).max(MIN_CAPACITY_BYTES);
    let announced = length.and_then(|length| usize::try_from(length).ok()).unwrap_or(usize::MAX);
    grown.min(announced).max(needed)
}

#[cfg(test)]
mod tests;
