//! Receives the body of a request, up to the size limit and within the memory for clients.

use super::clients::ClientConnection;
use super::memory::MemoryBudget;
use crate::message::{LimitedBody, Malformed, read_body};
use actix_http::{Payload, StatusCode};
use futures_util::StreamExt;
use std::cell::Cell;
use std::rc::Rc;

/// Why no more of a body is received.
enum ReceiveError {
    Aborted,
    MemoryExhausted,
}

/// Receives a body until it is complete or exceeds `limit`.
///
/// # Errors
///
/// The body broke off, or there is no memory for it. Nothing was sent to a server.
pub(super) async fn receive_body(
    payload: &mut Payload,
    connection: Option<&Rc<ClientConnection>>,
    limit: usize,
    memory: &Rc<MemoryBudget>,
) -> Result<LimitedBody, Malformed> {
    let share = memory.share();
    let memory_exhausted = Cell::new(false);
    let mut chunks = payload.by_ref().map(|chunk| {
        let chunk = chunk.map_err(|_| ReceiveError::Aborted)?;
        if let Some(connection) = connection {
            connection.body_consumed(chunk.len());
        }
        if share.try_add(chunk.len()) {
            Ok(chunk)
        } else {
            memory_exhausted.set(true);
            Err(ReceiveError::MemoryExhausted)
        }
    });
    match read_body(&mut chunks, limit).await {
        Err(_) if memory_exhausted.get() => Err(Malformed {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: "no memory for the body",
            counts_as_failed: false,
        }),
        result => Ok(result?),
    }
}
