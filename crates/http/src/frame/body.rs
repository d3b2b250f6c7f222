//! Framing of message bodies, the part that requests and responses share.

use bytes::{Buf, BytesMut};
use httparse::Status::{Complete, Partial};

/// Maximum size of a message head, of a chunk size line, and of the trailers.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The end of a line.
const LINE_END: &[u8] = b"\r\n";
/// Maximum number of trailers.
const MAX_TRAILERS: usize = 64;

/// Why a message is invalid. If it is a response, the request has run, or may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidMessage(pub &'static str);

impl std::fmt::Display for InvalidMessage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for InvalidMessage {}

/// What is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
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

/// The bytes of one connection, on their way to the parser of the HTTP library.
#[derive(Debug)]
pub(super) struct Framing {
    pub(super) state: State,
    /// Bytes received and not framed yet.
    pub(super) input: BytesMut,
    /// Bytes that the HTTP library may read.
    pub(super) output: BytesMut,
    /// How many more bytes of the body may be forwarded until some of those before are consumed.
    pub(super) window: usize,
    /// Whether the chunks of a body are joined: a library that queues each of them takes many times their bytes.
    join_chunks: bool,
    /// The data of joined chunks that has not been forwarded.
    joined: BytesMut,
}

impl Framing {
    pub(super) fn new(state: State, window: usize) -> Framing {
        Framing {
            state,
            input: BytesMut::new(),
            output: BytesMut::new(),
            window,
            join_chunks: false,
            joined: BytesMut::new(),
        }
    }

    /// The same, but the chunks received at a time are forwarded as one.
    pub(super) fn joining_chunks(state: State, window: usize) -> Framing {
        Framing { join_chunks: true, ..Framing::new(state, window) }
    }

    /// Takes the next step within a body. Returns what is expected then, or `None` if more has to be received.
    pub(super) fn parse_body(&mut self) -> Result<Option<State>, InvalidMessage> {
        Ok(match self.state {
            State::FixedLength(0) => Some(State::Complete),
            State::FixedLength(left) => self.forward_up_to(left).map(State::FixedLength),
            State::UntilClose => self.forward_up_to(u64::MAX).map(|_| State::UntilClose),
            State::ChunkSize => self.parse_chunk_size()?,
            State::ChunkData(0) => Some(State::ChunkEnd),
            State::ChunkData(left) if self.join_chunks => self.join_up_to(left).map(State::ChunkData),
            State::ChunkData(left) => self.forward_up_to(left).map(State::ChunkData),
            State::ChunkEnd => self.parse_chunk_end()?,
            State::Trailers => self.parse_trailers()?,
            State::Head | State::Complete => None,
        })
    }

    /// Forwards up to `left` bytes of a body; returns how many of them are still to come, or `None` if nothing may be
    /// forwarded.
    fn forward_up_to(&mut self, left: u64) -> Option<u64> {
        let count = self.take_window(left)?;
        self.forward(count);
        Some(left - count as u64)
    }

    /// The same for the data of a chunk that is joined with others.
    fn join_up_to(&mut self, left: u64) -> Option<u64> {
        let count = self.take_window(left)?;
        self.joined.extend_from_slice(&self.input[..count]);
        self.input.advance(count);
        Some(left - count as u64)
    }

    /// Takes as much of the window as there is input for, up to `left`; `None` if that is nothing.
    fn take_window(&mut self, left: u64) -> Option<usize> {
        let count = usize::try_from(left).unwrap_or(usize::MAX).min(self.input.len()).min(self.window);
        self.window -= count;
        (count > 0).then_some(count)
    }

    /// Forwards the data of joined chunks as one chunk.
    pub(super) fn forward_joined(&mut self) {
        let data = std::mem::take(&mut self.joined);
        if !data.is_empty() {
            self.output.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
            self.output.extend_from_slice(&data);
            self.output.extend_from_slice(b"\r\n");
        }
    }

    /// Forwards a part of the chunked framing, which joined chunks do without.
    fn forward_chunk_framing(&mut self, count: usize) {
        if self.join_chunks { self.input.advance(count) } else { self.forward(count) }
    }

    pub(super) fn forward(&mut self, count: usize) {
        self.output.extend_from_slice(&self.input[..count]);
        self.input.advance(count);
    }

    /// The result for an element that is incomplete.
    pub(super) fn await_more(&self, message: &'static str) -> Result<Option<State>, InvalidMessage> {
        if self.input.len() > MAX_HEAD_BYTES { Err(InvalidMessage(message)) } else { Ok(None) }
    }

    /// Joins the complete chunks at the start of the input, as far as they are written plainly and the window allows. Each
    /// step of the parser costs many times what a small chunk does here.
    fn join_plain_chunks(&mut self) {
        let mut consumed = 0;
        while let Some(chunk) = PlainChunk::parse(&self.input[consumed..])
            && chunk.data.len() <= self.window
        {
            self.joined.extend_from_slice(chunk.data);
            self.window -= chunk.data.len();
            consumed += chunk.length;
        }
        self.input.advance(consumed);
    }

    fn parse_chunk_size(&mut self) -> Result<Option<State>, InvalidMessage> {
        if self.join_chunks {
            self.join_plain_chunks();
        }
        let (line, size) = match httparse::parse_chunk_size(&self.input) {
            Ok(Complete(found)) => found,
            Ok(Partial) => return self.await_more("a chunk size line exceeds 16 KiB"),
            Err(_) => return Err(InvalidMessage("a chunk size line is malformed")),
        };
        self.forward_chunk_framing(line);
        Ok(Some(if size == 0 { State::Trailers } else { State::ChunkData(size) }))
    }

    fn parse_chunk_end(&mut self) -> Result<Option<State>, InvalidMessage> {
        if self.input.len() < 2 {
            return Ok(None);
        }
        if !self.input.starts_with(b"\r\n") {
            return Err(InvalidMessage("a chunk is not followed by CRLF"));
        }
        self.forward_chunk_framing(2);
        Ok(Some(State::ChunkSize))
    }

    fn parse_trailers(&mut self) -> Result<Option<State>, InvalidMessage> {
        let length = match httparse::parse_headers(&self.input, &mut [httparse::EMPTY_HEADER; MAX_TRAILERS]) {
            Ok(Complete((length, _))) => length,
            Ok(Partial) => return self.await_more("the trailers exceed 16 KiB"),
            Err(_) => return Err(InvalidMessage("the trailers are malformed")),
        };
        // The trailers are not needed, and actix-http and awc do not parse trailers.
        self.input.advance(length);
        if self.join_chunks {
            self.forward_joined();
            self.output.extend_from_slice(b"0\r\n");
        }
        self.output.extend_from_slice(b"\r\n");
        Ok(Some(State::Complete))
    }
}

/// A complete chunk whose size line holds nothing but its size.
struct PlainChunk<'a> {
    data: &'a [u8],
    /// The bytes of the whole chunk.
    length: usize,
}

/// The digits of the size of a plain chunk, at most.
const MAX_PLAIN_SIZE_DIGITS: usize = 4;

impl PlainChunk<'_> {
    /// The chunk at the start of the input, unless it is the last one, incomplete or not plain.
    fn parse(input: &[u8]) -> Option<PlainChunk<'_>> {
        let digits =
            input.iter().take(MAX_PLAIN_SIZE_DIGITS).take_while(|byte| byte.is_ascii_hexdigit()).count();
        let size = input[..digits]
            .iter()
            .filter_map(|digit| char::from(*digit).to_digit(16))
            .fold(0, |size, digit| size * 16 + digit as usize);
        let rest = input[digits..].strip_prefix(LINE_END)?;
        let (data, end) = rest.split_at_checked(size)?;
        let is_plain = size > 0 && end.starts_with(LINE_END);
        is_plain.then_some(PlainChunk { data, length: digits + LINE_END.len() + size + LINE_END.len() })
    }
}

/// The body that the headers announce: `None` without a length. A length must be given at most once, in digits.
pub(super) fn announced_body(headers: &[httparse::Header<'_>]) -> Result<Option<State>, InvalidMessage> {
    let named = |name: &'static str| headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    let mut codings = named("transfer-encoding");
    let mut lengths = named("content-length");
    match (codings.next(), codings.next(), lengths.next(), lengths.next()) {
        (Some(coding), None, None, None) if coding.value.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(State::ChunkSize))
        }
        (None, None, Some(length), None) if length.value.iter().all(u8::is_ascii_digit) => {
            let length = std::str::from_utf8(length.value).ok().and_then(|l| l.parse().ok());
            let length = length.ok_or(InvalidMessage("the Content-Length is malformed"))?;
            Ok(Some(State::FixedLength(length)))
        }
        (None, None, None, None) => Ok(None),
        _ => Err(InvalidMessage("the length of the body is ambiguous")),
    }
}
