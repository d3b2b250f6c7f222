//! Stage: bytes of a watch to lines. Owns the bytes of the line that is being read; they go with the watch.

/// The longest line that is read, in bytes. A list of ten thousand servers fits.
pub const LINE_BYTES: usize = 4 << 20;

/// A line was longer than [`LINE_BYTES`]; what the watch says from here on can't be told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

/// Cuts what a watch brings into lines, however its bytes are grouped.
#[derive(Debug, Default)]
pub struct Lines {
    line: Vec<u8>,
}

impl Lines {
    /// Takes in bytes and gives the lines that they end, without their ends and without blanks around them. A
    /// line cut off by the end of the watch is never given.
    ///
    /// # Errors
    ///
    /// [`TooLong`] where a line grows over its bound; nothing more is to be read of this watch.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, TooLong> {
        let mut whole = Vec::new();
        for piece in bytes.split_inclusive(|b| *b == b'\n') {
            if self.line.len() + piece.len() > LINE_BYTES {
                return Err(TooLong);
            }
            self.line.extend_from_slice(piece);
            if self.line.ends_with(b"\n") {
                whole.push(self.line.trim_ascii().to_vec());
                self.line.clear();
            }
        }
        Ok(whole)
    }
}
