//! Framing of server responses. awc parses responses, but it takes a 1xx response for the final one, does not read
//! responses that last until the connection closes, and drops bytes that follow a response along with its buffer. So
//! the bytes received on a connection are framed here first, and awc sees exactly one final response, or an error.
//! Nothing is buffered because of its length: received bytes are forwarded before more are read.

use bytes::{Buf, BytesMut};
use httparse::Status::{Complete, Partial};

/// Maximum size of a response head, of a chunk size line, and of the trailers.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The version whose responses may last until the connection closes.
const HTTP_1_0: &[u8; 8] = b"HTTP/1.0";
/// Minimum free space in the buffer for each read.
const READ_BYTES: usize = 16 * 1024;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 64;
/// Maximum number of 1xx responses before the final one.
const MAX_INFORMATIONAL_RESPONSES: usize = 16;

/// Why a response is invalid. The request has run, or may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidResponse(pub &'static str);

impl std::fmt::Display for InvalidResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for InvalidResponse {}

/// What is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    /// The given number of bytes of a body, then its end.
    FixedLength(u64),
    /// A body that lasts until the connection closes.
    UntilClose,
    /// The size line of a chunk.
    ChunkSize,
    /// The given number of bytes of a chunk, then the line end after it.
    ChunkData(u64),
    ChunkEnd,
    Trailers,
    Complete,
}

/// Frames the responses of one connection, one per request.
#[derive(Debug)]
pub struct ResponseFramer {
    state: State,
    informational: usize,
    /// Bytes received and not framed yet.
    input: BytesMut,
    /// Bytes that awc may read.
    output: BytesMut,
}

impl ResponseFramer {
    /// Creates a framer that expects no response yet.
    pub fn new() -> ResponseFramer {
        ResponseFramer {
            state: State::Complete,
            informational: 0,
            input: BytesMut::new(),
            output: BytesMut::new(),
        }
    }

    /// Expects the response to a request that is being sent.
    pub fn expect_response(&mut self) {
        self.state = State::Head;
        self.informational = 0;
    }

    /// Whether the response is complete.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Whether the final response has started and is incomplete.
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

    /// Handles the end of the connection. Returns whether it is the end of the body, which is then complete.
    pub fn connection_closed(&mut self) -> bool {
        let until_close = self.state == State::UntilClose;
        if until_close {
            self.state = State::Complete;
        }
        until_close
    }

    /// Whether bytes were received that belong to no response.
    pub fn has_stray_bytes(&self) -> bool {
        self.is_complete() && !self.input.is_empty()
    }

    /// The buffer for bytes read from the connection.
    pub fn input_buffer(&mut self) -> &mut BytesMut {
        self.input.reserve(READ_BYTES);
        &mut self.input
    }

    /// The bytes that awc may read.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.output
    }

    /// Parses the bytes received so far.
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

    /// Forwards up to `left` bytes; returns how many of them are still to come, or `None` if nothing was received.
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
            Ok(Partial) => return self.await_more("the response head exceeds 16 KiB"),
            Err(_) => return Err(InvalidResponse("the response head is malformed")),
        };
        let status = response.code.unwrap_or_default();
        if (100..200).contains(&status) {
            self.informational += 1;
            if status == 101 || self.informational > MAX_INFORMATIONAL_RESPONSES {
                return Err(InvalidResponse("unexpected 1xx response"));
            }
            self.input.advance(length);
            return Ok(Some(State::Head));
        }
        let next = body_framing(response.headers, status)?;
        self.forward(length);
        if next == State::UntilClose {
            // awc reads until the connection closes only for HTTP/1.0, where that is the rule. The version is at the
            // start of the head.
            let at = self.output.len() - length;
            self.output[at..at + HTTP_1_0.len()].copy_from_slice(HTTP_1_0);
        }
        Ok(Some(next))
    }

    fn parse_chunk_size(&mut self) -> Result<Option<State>, InvalidResponse> {
        let (line, size) = match httparse::parse_chunk_size(&self.input) {
            Ok(Complete(found)) => found,
            Ok(Partial) => return self.await_more("a chunk size line exceeds 16 KiB"),
            Err(_) => return Err(InvalidResponse("a chunk size line is malformed")),
        };
        self.forward(line);
        Ok(Some(if size == 0 { State::Trailers } else { State::ChunkData(size) }))
    }

    fn parse_chunk_end(&mut self) -> Result<Option<State>, InvalidResponse> {
        if self.input.len() < 2 {
            return Ok(None);
        }
        if !self.input.starts_with(b"\r\n") {
            return Err(InvalidResponse("a chunk is not followed by CRLF"));
        }
        self.forward(2);
        Ok(Some(State::ChunkSize))
    }

    fn parse_trailers(&mut self) -> Result<Option<State>, InvalidResponse> {
        let length = match httparse::parse_headers(&self.input, &mut [httparse::EMPTY_HEADER; MAX_HEADERS]) {
            Ok(Complete((length, _))) => length,
            Ok(Partial) => return self.await_more("the trailers exceed 16 KiB"),
            Err(_) => return Err(InvalidResponse("the trailers are malformed")),
        };
        // The trailers are not needed, and awc does not parse trailers.
        self.input.advance(length);
        self.output.extend_from_slice(b"\r\n");
        Ok(Some(State::Complete))
    }
}

/// How the body after a head is framed. A length must be given at most once, in digits. Without one, the body lasts
/// until the connection closes, and only a reset shows that it is incomplete.
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
            length.map(State::FixedLength).ok_or(InvalidResponse("the Content-Length is malformed"))
        }
        (None, None, None, None) if matches!(status, 204 | 304) => Ok(State::Complete),
        (None, None, None, None) => Ok(State::UntilClose),
        _ => Err(InvalidResponse("the length of the body is ambiguous")),
    }
}

#[cfg(test)]
mod tests;
