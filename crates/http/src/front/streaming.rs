//! Streamed bodies: request bodies from a client, and responses to a client.

use super::clients::{ClientConnection, Phase};
use crate::message::BodyChunks;
use actix_http::Payload;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use bytes::Bytes;
use dunlincleat_status::metrics::{ClassOutcomes, InProgress};
use futures_util::{StreamExt, stream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

/// Time without progress after which a client is considered gone while its body is streamed to a server.
const UPLOAD_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The remaining chunks of a request body. A client that stalls in the middle is considered gone.
pub(super) fn upload_chunks(payload: Payload, state: Option<Rc<ClientConnection>>) -> BodyChunks {
    let parts = stream::unfold((payload, state), |(mut payload, state)| async move {
        let chunk = timeout(UPLOAD_STALL_TIMEOUT, payload.next()).await;
        let chunk = chunk.unwrap_or_else(|_| Some(Err(PayloadError::Incomplete(None))));
        if let (Some(Ok(bytes)), Some(state)) = (&chunk, &state) {
            state.body_consumed(bytes.len());
        }
        if chunk.is_none()
            && let Some(state) = state.as_ref().filter(|state| state.phase.get() == Phase::ReadingBody)
        {
            state.enter(Phase::Processing);
        }
        chunk.map(|chunk| (chunk, (payload, state)))
    });
    parts.boxed_local()
}

/// The body of a streamed response, which is counted when it ends.
pub(super) struct CountedBody {
    pub(super) body: BoxBody,
    pub(super) guard: ResponseGuard,
}

impl MessageBody for CountedBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let chunk = ready!(Pin::new(&mut self.body).poll_next(cx));
        self.guard.complete |= chunk.is_none();
        Poll::Ready(chunk)
    }
}

/// Counts a streamed response and starts the next phase of its connection when it is dropped.
pub(super) struct ResponseGuard {
    pub(super) state: Option<Rc<ClientConnection>>,
    pub(super) next_phase: Phase,
    pub(super) outcomes: Arc<ClassOutcomes>,
    pub(super) complete: bool,
    pub(super) _counted: InProgress,
    /// The place of its request in the limit of open requests: the buffers of the response are held as long.
    pub(super) _permit: OwnedSemaphorePermit,
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        let count = if self.complete { &self.outcomes.served } else { &self.outcomes.failed };
        count.increment();
        if let Some(state) = &self.state {
            state.enter(self.next_phase);
        }
    }
}
