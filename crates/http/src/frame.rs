//! Where a server's answer begins and ends. awc reads answers, but it takes a 1xx answer for the final one,
//! reads no answer that lasts until its connection ends, and drops bytes that come behind an answer with its buffer. So
//! what a connection brings is framed here first: awc sees one final answer, or an error. Nothing is held for its length:
//! what has come is handed on before more is read.

use bytes::{Buf, BytesMut};
use httparse::Status::{Complete, Partial};

/// The longest head of an answer, and of a chunk with its trailers.
const HEAD_BYTES: usize = 16 * 1024;
/// The version whose answers last until the end of their connection.
const VERSION: &[u8; 8] = b"HTTP/1.0";
/// What is read at once.
const ROOM: usize = 16 * 1024;
/// The most headers of an answer.
const HEADERS: usize = 64;
/// The most 1xx answers ahead of the final one.
const HINTS: usize = 16;

/// Why an answer is of no use. The request has run, or may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spoilt(pub &'static str);

impl std::fmt::Display for Spoilt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Spoilt {}

/// What is due next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Head,
    /// So many bytes of a body, then its end.
    Body(u64),
    /// A body that lasts until the connection ends.
    Rest,
    /// The size of a chunk.
    Size,
    /// So many bytes of a chunk, then the line end behind it.
    Chunk(u64),
    ChunkEnd,
    Trailers,
    Nothing,
}

/// Frames the answers of one connection, one answer a request.
#[derive(Debug)]
pub struct Frame {
    next: Next,
    hints: usize,
    /// What came and is not framed yet.
    held: BytesMut,
    /// What awc may read.
    ready: BytesMut,
}

impl Frame {
    /// A connection on which nothing is due yet.
    pub fn new() -> Frame {
        let (held, ready) = (BytesMut::new(), BytesMut::new());
        Frame { next: Next::Nothing, hints: 0, held, ready }
    }

    /// A request goes out: its answer is due.
    pub fn expect(&mut self) {
        (self.next, self.hints) = (Next::Head, 0);
    }

    /// The answer has come to its end.
    pub fn whole(&self) -> bool {
        self.next == Next::Nothing
    }

    /// The final answer has begun and not come to its end.
    pub fn begun(&self) -> bool {
        match self.next {
            Next::Head => !self.held.is_empty(),
            Next::Body(_) | Next::Rest | Next::Size | Next::Chunk(_) | Next::ChunkEnd | Next::Trailers => {
                true
            }
            Next::Nothing => false,
        }
    }

    /// The connection ended: where the body lasts until then, it is whole. Tells whether that was its end.
    pub fn end(&mut self) -> bool {
        let lasts = self.next == Next::Rest;
        if lasts {
            self.next = Next::Nothing;
        }
        lasts
    }

    /// Bytes came that belong to no answer.
    pub fn stray(&self) -> bool {
        self.whole() && !self.held.is_empty()
    }

    /// Where bytes from the connection go.
    pub fn room(&mut self) -> &mut BytesMut {
        self.held.reserve(ROOM);
        &mut self.held
    }

    /// What awc may read.
    pub fn ready(&mut self) -> &mut BytesMut {
        &mut self.ready
    }

    /// Takes in what has come.
    pub fn advance(&mut self) -> Result<(), Spoilt> {
        loop {
            let next = match self.next {
                Next::Head => self.head()?,
                Next::Body(0) => Some(Next::Nothing),
                Next::Body(left) => self.pass(left).map(Next::Body),
                Next::Rest => self.pass(u64::MAX).map(|_| Next::Rest),
                Next::Size => self.size()?,
                Next::Chunk(0) => Some(Next::ChunkEnd),
                Next::Chunk(left) => self.pass(left).map(Next::Chunk),
                Next::ChunkEnd => self.chunk_end()?,
                Next::Trailers => self.trailers()?,
                Next::Nothing => None,
            };
            match next {
                Some(next) => self.next = next,
                None => return Ok(()),
            }
        }
    }

    /// Hands on up to so many bytes; tells how many are left, or nothing where none came.
    fn pass(&mut self, left: u64) -> Option<u64> {
        let come = usize::try_from(left).unwrap_or(usize::MAX).min(self.held.len());
        self.pass_all(come);
        (come > 0).then_some(left - come as u64)
    }

    fn pass_all(&mut self, count: usize) {
        self.ready.extend_from_slice(&self.held[..count]);
        self.held.advance(count);
    }

    fn partial(&self, what: &'static str) -> Result<Option<Next>, Spoilt> {
        if self.held.len() > HEAD_BYTES { Err(Spoilt(what)) } else { Ok(None) }
    }

    fn head(&mut self) -> Result<Option<Next>, Spoilt> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut answer = httparse::Response::new(&mut headers);
        let length = match answer.parse(&self.held) {
            Ok(Complete(length)) => length,
            Ok(Partial) => return self.partial("its head does not end"),
            Err(_) => return Err(Spoilt("its head can't be read")),
        };
        let status = answer.code.unwrap_or_default();
        if (100..200).contains(&status) {
            self.hints += 1;
            if status == 101 || self.hints > HINTS {
                return Err(Spoilt("its status is none that was asked for"));
            }
            self.held.advance(length);
            return Ok(Some(Next::Head));
        }
        let next = body(answer.headers, status)?;
        self.pass_all(length);
        if next == Next::Rest {
            // awc reads until the end for HTTP/1.0 alone: there it is the rule. The version stands at the head's start.
            let at = self.ready.len() - length;
            self.ready[at..at + VERSION.len()].copy_from_slice(VERSION);
        }
        Ok(Some(next))
    }

    fn size(&mut self) -> Result<Option<Next>, Spoilt> {
        let (line, size) = match httparse::parse_chunk_size(&self.held) {
            Ok(Complete(found)) => found,
            Ok(Partial) => return self.partial("the size of a chunk does not end"),
            Err(_) => return Err(Spoilt("the size of a chunk can't be read")),
        };
        self.pass_all(line);
        Ok(Some(if size == 0 { Next::Trailers } else { Next::Chunk(size) }))
    }

    fn chunk_end(&mut self) -> Result<Option<Next>, Spoilt> {
        if self.held.len() < 2 {
            return Ok(None);
        }
        if !self.held.starts_with(b"\r\n") {
            return Err(Spoilt("a chunk does not end where it should"));
        }
        self.pass_all(2);
        Ok(Some(Next::Size))
    }

    fn trailers(&mut self) -> Result<Option<Next>, Spoilt> {
        let length = match httparse::parse_headers(&self.held, &mut [httparse::EMPTY_HEADER; HEADERS]) {
            Ok(Complete((length, _))) => length,
            Ok(Partial) => return self.partial("its trailers do not end"),
            Err(_) => return Err(Spoilt("its trailers can't be read")),
        };
        // They are of no use here, and awc knows of none.
        self.held.advance(length);
        self.ready.extend_from_slice(b"\r\n");
        Ok(Some(Next::Nothing))
    }
}

/// What body follows a head. A length is told once, in digits. Without one the body lasts until the connection ends,
/// and only a reset shows that it broke off.
fn body(headers: &[httparse::Header<'_>], status: u16) -> Result<Next, Spoilt> {
    let named = |name: &'static str| headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    let mut codings = named("transfer-encoding");
    let mut lengths = named("content-length");
    match (codings.next(), codings.next(), lengths.next(), lengths.next()) {
        (Some(coding), None, None, None) if coding.value.eq_ignore_ascii_case(b"chunked") => Ok(Next::Size),
        (None, None, Some(length), None) if length.value.iter().all(u8::is_ascii_digit) => {
            let length = std::str::from_utf8(length.value).ok().and_then(|l| l.parse().ok());
            length.map(Next::Body).ok_or(Spoilt("its length can't be read"))
        }
        (None, None, None, None) if matches!(status, 204 | 304) => Ok(Next::Nothing),
        (None, None, None, None) => Ok(Next::Rest),
        _ => Err(Spoilt("its length is in doubt")),
    }
}

#[cfg(test)]
mod tests;
