//! Bodies of requests and responses.

use actix_http::body::{BodySize, MessageBody};
use actix_http::error::PayloadError;
use actix_http::header::HeaderValue;
use bytes::{Bytes, BytesMut};
use futures_util::stream::LocalBoxStream;
use futures_util::{Stream, StreamExt};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

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

/// An answer that is passed on as it comes. Where it breaks off, so does the client's connection: it is never taken for
/// a whole one.
pub(super) struct StreamingBody {
    pub(super) first: Bytes,
    pub(super) rest: mpsc::Receiver<BodyChunk>,
    pub(super) length: Option<u64>,
    pub(super) ended: bool,
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
