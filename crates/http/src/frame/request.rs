//! Framing of client requests. actix-http decodes every request that it has received, up to 128 KiB of them, before it
//! answers the first one, and a decoded request takes many times the memory of its bytes. So actix-http gets the bytes
//! of one request at a time, and those of its body no faster than they are consumed.

use super::body::{Framing, InvalidMessage, MAX_HEAD_BYTES, State, announced_body};
use bytes::BytesMut;
use httparse::Status::{Complete, Partial};

/// Minimum free space in the buffer for each read.
const READ_BYTES: usize = 8 * 1024;
/// Maximum number of headers of a request, as in actix-http.
const MAX_HEADERS: usize = 96;
/// Maximum number of bytes of a body that actix-http holds before they are consumed.
const BODY_WINDOW_BYTES: usize = 8 * 1024;
/// Memory of a header of a decoded request, in bytes, beside its text.
const DECODED_HEADER_BYTES: usize = 256;
/// A chunk size line that actix-http rejects, in place of a malformed part of a chunked body.
const MALFORMED_CHUNK_SIZE: &[u8] = b"!\r\n";

/// The head of a request exceeds the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadTooLong;

/// Why the bytes received can't be framed.
enum RequestError {
    HeadTooLong,
    Malformed,
}

impl From<InvalidMessage> for RequestError {
    fn from(_: InvalidMessage) -> RequestError {
        RequestError::Malformed
    }
}

/// Frames the requests of one connection.
#[derive(Debug)]
pub struct RequestFramer {
    framing: Framing,
    /// The size of the allocation behind the input.
    input_allocation: usize,
    /// The memory of the decoded head of the current request.
    decoded_head_bytes: usize,
}

impl Default for RequestFramer {
    fn default() -> RequestFramer {
        RequestFramer {
            framing: Framing::joining_chunks(State::Head, BODY_WINDOW_BYTES),
            input_allocation: 0,
            decoded_head_bytes: 0,
        }
    }
}

impl RequestFramer {
    /// Expects the next request, once the one before has been answered.
    pub fn expect_request(&mut self) {
        if self.framing.state == State::Complete {
            let input = std::mem::take(&mut self.framing.input);
            self.framing = Framing::joining_chunks(State::Head, BODY_WINDOW_BYTES);
            self.framing.input = input;
            self.decoded_head_bytes = 0;
            self.release_empty_buffers();
        }
    }

    /// Whether all bytes of the request have been framed.
    pub fn is_complete(&self) -> bool {
        self.framing.state == State::Complete
    }

    /// Whether bytes of the request can only be framed once some of its body has been consumed.
    pub fn is_window_closed(&self) -> bool {
        self.framing.window == 0
    }

    /// Some bytes of the body were consumed.
    pub fn body_consumed(&mut self, bytes: usize) {
        self.framing.window = (self.framing.window + bytes).min(BODY_WINDOW_BYTES);
    }

    /// The number of bytes received that have not been framed.
    pub fn unframed_bytes(&self) -> usize {
        self.framing.input.len()
    }

    /// The memory of what was received and has not been consumed, in bytes: both buffers, the decoded head and the
    /// part of the body that actix-http holds.
    pub fn held_bytes(&self) -> usize {
        let decoding = BODY_WINDOW_BYTES.saturating_sub(self.framing.window);
        self.input_allocation + self.framing.output.capacity() + self.decoded_head_bytes + decoding
    }

    /// The buffer for bytes read from the connection.
    pub fn input_buffer(&mut self) -> &mut BytesMut {
        self.reserve_input(READ_BYTES);
        &mut self.framing.input
    }

    /// The memory of the framer once as many more bytes have been received, in bytes.
    pub fn held_bytes_with(&self, additional: usize) -> usize {
        let input = self.input_allocation_with(additional).unwrap_or(self.input_allocation);
        self.held_bytes() - self.input_allocation + input
    }

    /// Adds received bytes to the input.
    pub fn append_input(&mut self, received: &[u8]) {
        self.reserve_input(received.len());
        self.framing.input.extend_from_slice(received);
    }

    /// The size of the allocation that the input needs for as many more bytes; `None` if the present one has room.
    fn input_allocation_with(&self, additional: usize) -> Option<usize> {
        let input = &self.framing.input;
        let needed = input.len() + additional;
        (needed > input.capacity()).then(|| needed.next_multiple_of(READ_BYTES))
    }

    /// Makes room in steps: a buffer that grows by doubling takes up to twice its bytes, and before anyone is asked.
    fn reserve_input(&mut self, additional: usize) {
        if let Some(allocation) = self.input_allocation_with(additional) {
            let mut input = BytesMut::with_capacity(allocation);
            input.extend_from_slice(&self.framing.input);
            self.framing.input = input;
            self.input_allocation = allocation;
        }
    }

    /// Gives back the memory of buffers that hold nothing.
    pub fn release_empty_buffers(&mut self) {
        if self.framing.input.is_empty() {
            self.framing.input = BytesMut::new();
            self.input_allocation = 0;
        }
        if self.framing.output.is_empty() {
            self.framing.output = BytesMut::new();
        }
    }

    /// The bytes that actix-http may read.
    pub fn output(&mut self) -> &mut BytesMut {
        &mut self.framing.output
    }

    /// Takes what was received and not framed, where the connection is about to close.
    pub fn take_unframed(&mut self) -> BytesMut {
        self.input_allocation = 0;
        std::mem::take(&mut self.framing.input)
    }

    /// Frames the bytes received so far, up to the end of the request. A malformed request is forwarded as it is:
    /// actix-http rejects it.
    ///
    /// # Errors
    ///
    /// The head exceeds the limit.
    pub fn parse_input(&mut self) -> Result<(), HeadTooLong> {
        loop {
            match self.next_state() {
                Ok(Some(next)) => self.framing.state = next,
                Ok(None) => {
                    self.framing.forward_joined();
                    return Ok(());
                }
                Err(RequestError::HeadTooLong) => return Err(HeadTooLong),
                Err(RequestError::Malformed) => self.forward_malformed(),
            }
        }
    }

    fn forward_malformed(&mut self) {
        if self.framing.state == State::Head {
            self.framing.forward(self.framing.input.len());
        } else {
            self.framing.forward_joined();
            self.framing.output.extend_from_slice(MALFORMED_CHUNK_SIZE);
            self.framing.input.clear();
        }
        self.framing.state = State::Complete;
    }

    fn next_state(&mut self) -> Result<Option<State>, RequestError> {
        match self.framing.state {
            State::Head => self.parse_head(),
            _ => Ok(self.framing.parse_body()?),
        }
    }

    fn parse_head(&mut self) -> Result<Option<State>, RequestError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(&self.framing.input) {
            Ok(Complete(length)) => length,
            Ok(Partial) if self.framing.input.len() > MAX_HEAD_BYTES => {
                return Err(RequestError::HeadTooLong);
            }
            Ok(Partial) => return Ok(None),
            Err(_) => return Err(RequestError::Malformed),
        };
        // However much of it was received at once.
        if length > MAX_HEAD_BYTES {
            return Err(RequestError::HeadTooLong);
        }
        let announced = announced_body(request.headers)?;
        let next = if takes_over_connection(&request) {
            State::UntilClose
        } else {
            announced.unwrap_or(State::Complete)
        };
        self.decoded_head_bytes = length + request.headers.len() * DECODED_HEADER_BYTES;
        self.framing.forward(length);
        Ok(Some(next))
    }
}

/// Whether actix-http takes all that follows the head for one body.
fn takes_over_connection(request: &httparse::Request<'_, '_>) -> bool {
    let upgrades = |header: &httparse::Header<'_>| {
        header.name.eq_ignore_ascii_case("upgrade") && header.value.eq_ignore_ascii_case(b"websocket")
    };
    request.method == Some("CONNECT") || request.headers.iter().any(upgrades)
}

#[cfg(test)]
mod tests;
