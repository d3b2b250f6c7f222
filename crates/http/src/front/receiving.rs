//! Receives the body of a request, up to the size limit and within the memory for clients.

use super::clients::ClientConnection;
use super::memory::MemoryUse;
use crate::message::{BodyAborted, LimitedBody, Malformed, read_body, read_body_of_length};
use actix_http::{Payload, StatusCode};
use futures_util::StreamExt;
use std::cell::Cell;
use std::rc::Rc;

/// The memory of a body of unknown length, relative to its bytes: its buffer grows by doubling.
const GROWING_BUFFER_FACTOR: usize = 2;

/// Why no more of a body is received.
enum ReceiveError {
    Aborted,
    MemoryExhausted,
}

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
    let memory_exhausted = Cell::new(false);
    let factor = if length.is_some() { 1 } else { GROWING_BUFFER_FACTOR };
    let mut received = 0;
    let mut chunks = payload.by_ref().map(|chunk| {
        let chunk = chunk.map_err(|_| ReceiveError::Aborted)?;
        received += chunk.len();
        let Some(connection) = connection else { return Ok(chunk) };
        connection.body_consumed(chunk.len());
        if connection.hold(MemoryUse::Body, factor * received) {
            Ok(chunk)
        } else {
            memory_exhausted.set(true);
            Err(ReceiveError::MemoryExhausted)
        }
    });
    let body = match length {
        Some(length) => read_body_of_length(&mut chunks, limit, length).await,
        None => read_body(&mut chunks, limit).await,
    };
    match body {
        Err(BodyAborted) if memory_exhausted.get() => Err(Malformed {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: "no memory for the body",
            counts_as_failed: false,
        }),
        result => Ok(result?),
    }
}
