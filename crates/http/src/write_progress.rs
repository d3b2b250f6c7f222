//! Detects when the last byte of an attempt has been written. The host encodes the heads of requests itself, so a
//! head ends at the first empty line.

/// How much of an attempt has been written.
#[derive(Clone, Copy, Debug)]
pub struct WriteProgress {
    /// Number of bytes matched of the empty line that ends the head.
    head_end_matched: usize,
    /// Bytes of the body that are still to be written; `None` for a chunked body.
    body_remaining: Option<u64>,
    /// The last bytes written, to detect the last chunk.
    tail: [u8; 5],
    complete: bool,
}

/// The end of a head.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";
/// The end of a chunked body.
const LAST_CHUNK: &[u8; 5] = b"0\r\n\r\n";

impl WriteProgress {
    /// Starts an attempt with a body of the given length, or with a chunked body.
    pub fn new(body: Option<u64>) -> WriteProgress {
        WriteProgress { head_end_matched: 0, body_remaining: body, tail: [0; 5], complete: false }
    }

    /// Whether the last byte has been written.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Records written bytes; `last` tells that a chunked body has no more chunks. Returns true once, for the last
    /// byte.
    pub fn record(&mut self, mut bytes: &[u8], last: bool) -> bool {
        while self.head_end_matched < HEAD_END.len() {
            let Some((first, rest)) = bytes.split_first() else { return false };
            let start = usize::from(*first == HEAD_END[0]);
            self.head_end_matched =
                if *first == HEAD_END[self.head_end_matched] { self.head_end_matched + 1 } else { start };
            bytes = rest;
        }
        let ends = match &mut self.body_remaining {
            Some(remaining) => {
                *remaining = remaining.saturating_sub(bytes.len() as u64);
                *remaining == 0
            }
            None => {
                for byte in &bytes[bytes.len().saturating_sub(LAST_CHUNK.len())..] {
                    self.tail.rotate_left(1);
                    self.tail[LAST_CHUNK.len() - 1] = *byte;
                }
                last && self.tail == *LAST_CHUNK
            }
        };
        ends && !std::mem::replace(&mut self.complete, true)
    }
}

#[cfg(test)]
mod tests;
