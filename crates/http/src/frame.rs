//! Where a server's answer begins and ends. awc reads answers, but it takes a 1xx answer for the final one,
//! reads no answer that lasts until its connection ends, and drops bytes that come behind an answer with its buffer. So
//! what a connection brings is framed here first: awc sees one final answer, or an error. Nothing is held for its length:
//! what has come is handed on before more is read.

use bytes::{Buf, BytesMut};
use httparse::Status::{Complete, Partial};

/// The longest head of an answer, and of a chunk with its trailers.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The version whose answers last until the end of their connection.
const HTTP_1_0: &[u8; 8] = b"HTTP/1.0";
/// What is read at once.
const READ_BYTES: usize = 16 * 1024;
/// The most headers of an answer.
const MAX_HEADERS: usize = 64;
/// The most 1xx answers ahead of the final one.
const MAX_INFORMATIONAL_RESPONSES: usize = 16;

/// Why an answer is of no use. The request has run, or may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidResponse(pub &'static str);

impl std::fmt::Display for InvalidResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for InvalidResponse {}

/// What is due next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    /// So many bytes of a body, then its end.
    FixedLength(u64),
    /// A body that lasts until the connection ends.
    UntilClose,
    /// The size of a chunk.
    ChunkSize,
    /// So many bytes of a chunk, then the line end behind it.
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    Complete,
}

/// Frames the answers of one connection, one answer a request.
#[derive(Debug)]
pub struct ResponseFramer {
    state: State,
    informational: usize,
    /// What came and is not framed yet.
    input: BytesMut,
    /// What awc may read.
    output: BytesMut,
}

impl ResponseFramer {
    /// A connection on which nothing is due yet.
    pub fn new() -> ResponseFramer {
        let (input, output) = (BytesMut::new(), BytesMut::new());
        ResponseFramer { state: State::Complete, informational: 0, input, output }
    }

    /// A request goes out: its answer is due.
    pub fn expect_response(&mut self) {
        (self.state, self.informational) = (State::Head, 0);
    }

    /// The answer has come to its end.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// The final answer has begun and not come to its end.
    pub fn has_started(&self) -> bool {
        match self.state {
            State::Head => !self.input.is_empty(),
            State::FixedLength(_)
            | State::UntilClose
            | State::ChunkSize
            | State::ChunkData(_)
            | State::ChunkEnd
            | State::Trailers => true,
            State::Complete => false,
        }
    }

    /// The connection ended: where the body lasts until then, it is whole. Tells whether that was its end.
    pub fn connection_closed(&mut self) -> bool {
        let until_close = self.state == State::UntilClose;
        if until_close {
            self.state = State::Complete;
        }
        until_close
    }

    /// Bytes came that belong to no answer.
    pub fn has_stray_bytes(&self) -> bool {
        self.is_complete() && !self.input.is_empty()
    }

    /// Where bytes from the connection go.
    pub fn input_buffer(&mut self) -> &mut BytesMut {
        self.input.reserve(READ_BYTES);
        &mut self.input
    }

    /// What awc may read.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.output
    }

    /// Takes in what has come.
    pub fn parse_input(&mut self) -> Result<(), InvalidResponse> {
        loop {
            let next = match self.state {
                State::Head => self.parse_head()?,
                State::FixedLength(0) => Some(State::Complete),
                State::FixedLength(left) => self.forward_up_to(left).map(State::FixedLength),
                State::UntilClose => self.forward_up_to(u64::MAX).map(|_| State::UntilClose),
                State::ChunkSize => self.parse_chunk_size()?,
                State::ChunkData(0) => Some(State::ChunkEnd),
                State::ChunkData(left) => self.forward_up_to(left).map(State::ChunkData),
                State::ChunkEnd => self.parse_chunk_end()?,
                State::Trailers => self.parse_trailers()?,
                State::Complete => None,
            };
            match next {
                Some(next) => self.state = next,
                None => return Ok(()),
            }
        }
    }

    /// Hands on up to so many bytes; tells how many are left, or nothing where none came.
    fn forward_up_to(&mut self, left: u64) -> Option<u64> {
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(self.input.len());
        self.forward(count);
        (count > 0).then_some(left - count as u64)
    }

    fn forward(&mut self, count: usize) {
        self.output.extend_from_slice(&self.input[..count]);
        self.input.advance(count);
    }

    fn await_more(&self, message: &'static str) -> Result<Option<State>, InvalidResponse> {
        if self.input.len() > MAX_HEAD_BYTES { Err(InvalidResponse(message)) } else { Ok(None) }
    }

    fn parse_head(&mut self) -> Result<Option<State>, InvalidResponse> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(&self.input) {
            Ok(Complete(length)) => length,
            Ok(Partial) => return self.await_more("its head does not end"),
            Err(_) => return Err(InvalidResponse("its head can't be read")),
        };
        let status = response.code.unwrap_or_default();
        if (100..200).contains(&status) {
            self.informational += 1;
            if status == 101 || self.informational > MAX_INFORMATIONAL_RESPONSES {
                return Err(InvalidResponse("its status is none that was asked for"));
            }
            self.input.advance(length);
            return Ok(Some(State::Head));
        }
        let next = body_framing(response.headers, status)?;
        self.forward(length);
        if next == State::UntilClose {
            // awc reads until the end for HTTP/1.0 alone: there it is the rule. The version stands at the head's start.
            let at = self.output.len() - length;
            self.output[at..at + HTTP_1_0.len()].copy_from_slice(HTTP_1_0);
        }
        Ok(Some(next))
    }

    fn parse_chunk_size(&mut self) -> Result<Option<State>, InvalidResponse> {
        let (line, size) = match httparse::parse_chunk_size(&self.input) {
            Ok(Complete(found)) => found,
            Ok(Partial) => return self.await_more("the size of a chunk does not end"),
            Err(_) => return Err(InvalidResponse("the size of a chunk can't be read")),
        };
        self.forward(line);
        Ok(Some(if size == 0 { State::Trailers } else { State::ChunkData(size) }))
    }

    fn parse_chunk_end(&mut self) -> Result<Option<State>, InvalidResponse> {
        if self.input.len() < 2 {
            return Ok(None);
        }
        if !self.input.starts_with(b"\r\n") {
            return Err(InvalidResponse("a chunk does not end where it should"));
        }
        self.forward(2);
        Ok(Some(State::ChunkSize))
    }

    fn parse_trailers(&mut self) -> Result<Option<State>, InvalidResponse> {
        let length = match httparse::parse_headers(&self.input, &mut [httparse::EMPTY_HEADER; MAX_HEADERS]) {
            Ok(Complete((length, _))) => length,
            Ok(Partial) => return self.await_more("its trailers do not end"),
            Err(_) => return Err(InvalidResponse("its trailers can't be read")),
        };
        // They are of no use here, and awc knows of none.
        self.input.advance(length);
        self.output.extend_from_slice(b"\r\n");
        Ok(Some(State::Complete))
    }
}

/// What body follows a head. A length is told once, in digits. Without one the body lasts until the connection ends,
/// and only a reset shows that it broke off.
fn body_framing(headers: &[httparse::Header<'_>], status: u16) -> Result<State, InvalidResponse> {
    let named = |name: &'static str| headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    let mut codings = named("transfer-encoding");
    let mut lengths = named("content-length");
    match (codings.next(), codings.next(), lengths.next(), lengths.next()) {
        (Some(coding), None, None, None) if coding.value.eq_ignore_ascii_case(b"chunked") => {
            Ok(State::ChunkSize)
        }
        (None, None, Some(length), None) if length.value.iter().all(u8::is_ascii_digit) => {
            let length = std::str::from_utf8(length.value).ok().and_then(|l| l.parse().ok());
            length.map(State::FixedLength).ok_or(InvalidResponse("its length can't be read"))
        }
        (None, None, None, None) if matches!(status, 204 | 304) => Ok(State::Complete),
        (None, None, None, None) => Ok(State::UntilClose),
        _ => Err(InvalidResponse("its length is in doubt")),
    }
}

#[cfg(test)]
mod tests;
