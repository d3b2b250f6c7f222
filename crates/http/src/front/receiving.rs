//! Receives the body of a request, up to the size limit.

use super::clients::ClientConnection;
use crate::message::{LimitedBody, Malformed, read_body};
use actix_http::Payload;
use futures_util::StreamExt;
use std::rc::Rc;

/// Receives a body until it is complete or exceeds `limit`.
///
/// # Errors
///
/// The body broke off. Nothing was sent to a server.
pub(super) async fn receive_body(
    payload: &mut Payload,
    connection: Option<&Rc<ClientConnection>>,
    limit: usize,
) -> Result<LimitedBody, Malformed> {
    let mut chunks = payload.by_ref().map(|chunk| {
        if let (Ok(chunk), Some(connection)) = (&chunk, connection) {
            connection.body_consumed(chunk.len());
        }
        chunk
    });
    Ok(read_body(&mut chunks, limit).await?)
}
