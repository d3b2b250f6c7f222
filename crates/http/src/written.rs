//! When the last byte of an attempt was written: the host writes its own heads, so they end at the first empty line.

/// How far an attempt is written.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    /// How many bytes of the empty line that ends the head were seen.
    matched: usize,
    /// Bytes of the body that are not written yet; none where nobody told its length.
    left: Option<u64>,
    /// The last bytes written, to see the last chunk.
    tail: [u8; 5],
    whole: bool,
}

const END: &[u8; 4] = b"\r\n\r\n";
/// What a body in chunks ends with.
const LAST: &[u8; 5] = b"0\r\n\r\n";

impl Written {
    /// An attempt whose body has so many bytes, or comes in chunks.
    pub fn new(body: Option<u64>) -> Written {
        Written { matched: 0, left: body, tail: [0; 5], whole: false }
    }

    /// Its last byte was written.
    pub fn whole(&self) -> bool {
        self.whole
    }

    /// These bytes were written; `last` says of a body in chunks that nothing more comes. True once, with the last byte.
    pub fn more(&mut self, mut bytes: &[u8], last: bool) -> bool {
        while self.matched < END.len() {
            let Some((first, rest)) = bytes.split_first() else { return false };
            let start = usize::from(*first == END[0]);
            self.matched = if *first == END[self.matched] { self.matched + 1 } else { start };
            bytes = rest;
        }
        let ends = match &mut self.left {
            Some(left) => {
                *left = left.saturating_sub(bytes.len() as u64);
                *left == 0
            }
            None => {
                for byte in &bytes[bytes.len().saturating_sub(LAST.len())..] {
                    self.tail.rotate_left(1);
                    self.tail[LAST.len() - 1] = *byte;
                }
                last && self.tail == *LAST
            }
        };
        ends && !std::mem::replace(&mut self.whole, true)
    }
}

#[cfg(test)]
mod tests;
