//! When the last byte of an attempt was written: the host writes its own heads, so they end at the first empty line.

/// How far an attempt is written.
#[derive(Clone, Copy, Debug)]
pub struct WriteProgress {
    /// How many bytes of the empty line that ends the head were seen.
    head_end_matched: usize,
    /// Bytes of the body that are not written yet; none where nobody told its length.
    body_remaining: Option<u64>,
    /// The last bytes written, to see the last chunk.
    tail: [u8; 5],
    complete: bool,
}

const HEAD_END: &[u8; 4] = b"\r\n\r\n";
/// What a body in chunks ends with.
const LAST_CHUNK: &[u8; 5] = b"0\r\n\r\n";

impl WriteProgress {
    /// An attempt whose body has so many bytes, or comes in chunks.
    pub fn new(body: Option<u64>) -> WriteProgress {
        WriteProgress { head_end_matched: 0, body_remaining: body, tail: [0; 5], complete: false }
    }

    /// Its last byte was written.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// These bytes were written; `last` says of a body in chunks that nothing more comes. True once, with the last byte.
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
