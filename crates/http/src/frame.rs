//! Framing of messages: [`request`] frames those of clients, this module the responses of servers.
//!
//! awc parses responses, but it takes a 1xx response for the final one, does not read responses that last until the
//! connection closes, and drops bytes that follow a response along with its buffer. So the bytes received on a
//! connection are framed here first, and awc sees exactly one final response, or an error. Nothing is buffered because
//! of its length: received bytes are forwarded before more are read.

mod body;
pub mod request;

pub use body::InvalidMessage;
use body::{Framing, State, announced_body};
use bytes::{Buf, BytesMut};
use httparse::Status::{Complete, Partial};

/// The version whose responses may last until the connection closes.
const HTTP_1_0: &[u8; 8] = b"HTTP/1.0";
/// Minimum free space in the buffer for each read.
const READ_BYTES: usize = 8 * 1024;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 64;
/// Maximum number of 1xx responses before the final one.
const MAX_INFORMATIONAL_RESPONSES: usize = 16;

/// The length of the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// Its head tells it, in bytes.
    Announced(u64),
    /// It shows only at the end.
    Unknown,
}

/// Frames the responses of one connection, one per request.
#[derive(Debug)]
pub struct ResponseFramer {
    framing: Framing,
    informational: usize,
    /// The announced length of the body of the final response.
    length: Option<u64>,
}

impl ResponseFramer {
    /// Creates a framer that expects no response yet.
    pub fn new() -> ResponseFramer {
        ResponseFramer { framing: Framing::new(State::Complete, usize::MAX), informational: 0, length: None }
    }

    /// Expects the response to a request that is being sent.
    pub fn expect_response(&mut self) {
        self.framing.state = State::Head;
        self.informational = 0;
    }

    /// Whether the response is complete.
    pub fn is_complete(&self) -> bool {
        self.framing.state == State::Complete
    }

    /// Whether the final response has started and is incomplete.
    pub fn has_started(&self) -> bool {
        match self.framing.state {
            State::Head => !self.framing.input.is_empty(),
            State::FixedLength(_)
            | State::UntilClose
            | State::ChunkSize
            | State::ChunkData(_)
            | State::ChunkEnd
            | State::Trailers => true,
            State::Complete => false,
        }
    }

    /// What is known of the length of the final response, once its head was received.
    pub fn body_length(&self) -> Option<BodyLength> {
        match self.framing.state {
            State::Head | State::Complete => None,
            State::FixedLength(_) => self.length.map(BodyLength::Announced),
            State::UntilClose
            | State::ChunkSize
            | State::ChunkData(_)
            | State::ChunkEnd
            | State::Trailers => Some(BodyLength::Unknown),
        }
    }

    /// Handles the end of the connection. Returns whether it is the end of the body, which is then complete.
    pub fn connection_closed(&mut self) -> bool {
        let until_close = self.framing.state == State::UntilClose;
        if until_close {
            self.framing.state = State::Complete;
        }
        until_close
    }

    /// Whether bytes were received that belong to no response.
    pub fn has_stray_bytes(&self) -> bool {
        self.is_complete() && !self.framing.input.is_empty()
    }

    /// The buffer for bytes read from the connection.
    pub fn input_buffer(&mut self) -> &mut BytesMut {
        self.framing.input.reserve(READ_BYTES);
        &mut self.framing.input
    }

    /// Gives back the memory of buffers that hold nothing.
    pub fn release_empty_buffers(&mut self) {
        if self.framing.input.is_empty() {
            self.framing.input = BytesMut::new();
        }
        if self.framing.output.is_empty() {
            self.framing.output = BytesMut::new();
        }
    }

    /// The bytes that awc may read.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.framing.output
    }

    /// Parses the bytes received so far.
    pub fn parse_input(&mut self) -> Result<(), InvalidMessage> {
        loop {
            let next = match self.framing.state {
                State::Head => self.parse_head()?,
                _ => self.framing.parse_body()?,
            };
            match next {
                Some(next) => self.framing.state = next,
                None => return Ok(()),
            }
        }
    }

    fn parse_head(&mut self) -> Result<Option<State>, InvalidMessage> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(&self.framing.input) {
            Ok(Complete(length)) => length,
            Ok(Partial) => return self.framing.await_more("the response head exceeds 16 KiB"),
            Err(_) => return Err(InvalidMessage("the response head is malformed")),
        };
        let status = response.code.unwrap_or_default();
        if (100..200).contains(&status) {
            self.informational += 1;
            if status == 101 || self.informational > MAX_INFORMATIONAL_RESPONSES {
                return Err(InvalidMessage("unexpected 1xx response"));
            }
            self.framing.input.advance(length);
            return Ok(Some(State::Head));
        }
        let next = body_framing(response.headers, status)?;
        self.length = if let State::FixedLength(length) = next { Some(length) } else { None };
        self.framing.forward(length);
        if next == State::UntilClose {
            // awc reads until the connection closes only for HTTP/1.0, where that is the rule. The version is at the
            // start of the head.
            let at = self.framing.output.len() - length;
            self.framing.output[at..at + HTTP_1_0.len()].copy_from_slice(HTTP_1_0);
        }
        Ok(Some(next))
    }
}

/// How the body after a head is framed. Without a length, the body lasts until the connection closes, and only a reset
/// shows that it is incomplete.
fn body_framing(headers: &[httparse::Header<'_>], status: u16) -> Result<State, InvalidMessage> {
    Ok(match announced_body(headers)? {
        Some(announced) => announced,
        None if matches!(status, 204 | 304) => State::Complete,
        None => State::UntilClose,
    })
}

#[cfg(test)]
mod tests;
