//! Bodies of requests and responses.

use crate::upload_clock::UploadClock;
use actix_http::body::{BodySize, MessageBody};
use actix_http::error::PayloadError;
use actix_http::header::HeaderValue;
use bytes::{Bytes, BytesMut};
use futures_util::stream::LocalBoxStream;
use futures_util::{Stream, StreamExt};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// The body of a server's response.
pub struct ResponseBody {
    /// Its bytes, as the server sent them.
    pub data: BodyData,
    /// Its `Content-Type`.
    pub content_type: Option<HeaderValue>,
}

/// The bytes of a response body.
pub enum BodyData {
    /// The complete body.
    Complete(Bytes),
    /// The first bytes; the rest is streamed.
    Streaming {
        /// The bytes received first.
        first: Bytes,
        /// What follows. A channel that closes without [`BodyChunk::End`] means that the body broke off.
        rest: mpsc::Receiver<BodyChunk>,
        /// The total length, if announced.
        length: Option<u64>,
    },
}

/// A part of a streamed response.
pub enum BodyChunk {
    /// The next bytes.
    Bytes(Bytes),
    /// The end of the body.
    End,
}

/// The chunks of a request body, as they are received.
pub type BodyChunks = LocalBoxStream<'static, Result<Bytes, PayloadError>>;

/// The part of a request body that has not been received yet. It can be read once, by the attempt that claims it; an
/// attempt that fails before that leaves it to the next one.
pub struct RemainingBody {
    /// The source of the chunks.
    chunks: RefCell<BodyChunks>,
    claimed: Cell<bool>,
    /// When its last byte may have been sent.
    pub clock: Rc<UploadClock>,
    /// The length of the whole body, if announced.
    pub length: Option<u64>,
}

impl RemainingBody {
    /// Creates the rest of a body of the given total length.
    pub fn new(chunks: BodyChunks, length: Option<u64>, clock: Rc<UploadClock>) -> RemainingBody {
        RemainingBody { chunks: RefCell::new(chunks), claimed: Cell::new(false), clock, length }
    }

    /// Whether an attempt has claimed it, so that no other can send it any more.
    pub fn is_claimed(&self) -> bool {
        self.claimed.get()
    }

    /// Claims it for the attempt that is about to send it; `None` if another attempt has claimed it.
    pub fn claim(self: Rc<Self>) -> Option<BodyReader> {
        (!self.claimed.replace(true)).then_some(BodyReader(self))
    }
}

/// The one reader of a [`RemainingBody`].
pub struct BodyReader(Rc<RemainingBody>);

impl Stream for BodyReader {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.chunks.borrow_mut().poll_next_unpin(cx)
    }
}

/// The body of a streamed response to a client. If it breaks off, so does the client's connection, so that it is
/// never taken for a complete one.
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
            None => Poll::Ready(Some(Err(io::Error::other("the server's response broke off")))),
        }
    }
}

/// A complete body, handed to the HTTP libraries in parts: their write buffers keep the size of the largest part.
pub struct CompleteBody {
    left: Bytes,
    /// Told how many bytes are left, with each part and when it is dropped.
    observer: Option<BodyObserver>,
}

/// Is told how many bytes of a body are left.
pub type BodyObserver = Box<dyn Fn(usize)>;

impl CompleteBody {
    /// A body whose observer, if any, is told how many bytes are left.
    pub fn new(bytes: Bytes, observer: Option<BodyObserver>) -> CompleteBody {
        let body = CompleteBody { left: bytes, observer };
        body.tell(body.left.len());
        body
    }

    fn tell(&self, left: usize) {
        if let Some(observer) = &self.observer {
            observer(left);
        }
    }
}

impl Drop for CompleteBody {
    fn drop(&mut self) {
        self.tell(0);
    }
}

/// The size of these parts, in bytes.
const BODY_PART_BYTES: usize = 8 * 1024;

impl MessageBody for CompleteBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.left.len() as u64)
    }

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Bytes, Infallible>>> {
        if self.left.is_empty() {
            return Poll::Ready(None);
        }
        let part_bytes = self.left.len().min(BODY_PART_BYTES);
        let part = self.left.split_to(part_bytes);
        self.tell(self.left.len());
        Poll::Ready(Some(Ok(part)))
    }
}

/// The connection broke off in the middle of a body.
#[derive(Debug, PartialEq, Eq)]
pub struct BodyAborted;

/// A body read up to a limit.
#[derive(Debug, PartialEq, Eq)]
pub struct LimitedBody {
    /// The bytes read.
    pub bytes: Bytes,
    /// Whether they are the complete body.
    pub complete: bool,
}

/// Reads a body until it is complete or exceeds `limit`.
pub async fn read_body<E>(
    chunks: &mut (impl Stream<Item = Result<Bytes, E>> + Unpin),
    limit: usize,
) -> Result<LimitedBody, BodyAborted> {
    let mut body = BytesMut::new();
    while body.len() <= limit {
        let Some(chunk) = chunks.next().await else {
            return Ok(LimitedBody { bytes: body.freeze(), complete: true });
        };
        let chunk = chunk.map_err(|_| BodyAborted)?;
        body.extend_from_slice(&chunk);
    }
    Ok(LimitedBody { bytes: body.freeze(), complete: false })
}
