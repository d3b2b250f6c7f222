//! Stage: bytes of a watch to lines. Owns the bytes of the line that is being read; they go with the watch.

/// The longest line that is read, in bytes. A list of ten thousand servers fits.
pub const LINE_BYTES: usize = 4 << 20;

/// A line was longer than [`LINE_BYTES`]; what the watch says from here on can't be told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

/// Cuts what a watch brings into lines, however its bytes are grouped. An object that is indented over several lines is one:
/// a line end within its brackets does not end it.
#[derive(Debug, Default)]
pub struct Lines {
    line: Vec<u8>,
    /// Brackets that are open, outside of strings.
    open: usize,
    text: Text,
}

/// Where in a text the last byte stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Text {
    #[default]
    Outside,
    Within,
    /// Behind a backslash.
    Escaped,
}

impl Lines {
    /// Takes in bytes and gives the lines that they end, without their ends and without blanks around them. A
    /// line cut off by the end of the watch is never given. An empty line ends one whose brackets are still open, so
    /// that half an object never waits for the rest of it while signs of life come.
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
            let starts = self.line.last().is_none_or(|last| *last == b'\n');
            self.line.extend_from_slice(piece);
            piece.iter().for_each(|byte| self.count(*byte));
            let empty = starts && piece.trim_ascii().is_empty();
            if self.line.ends_with(b"\n") && (self.open == 0 || self.text != Text::Outside || empty) {
                whole.push(self.line.trim_ascii().to_vec());
                *self = Lines::default();
            }
        }
        Ok(whole)
    }

    fn count(&mut self, byte: u8) {
        self.text = match (self.text, byte) {
            (Text::Outside, b'{' | b'[') => {
                self.open += 1;
                Text::Outside
            }
            (Text::Outside, b'}' | b']') => {
                self.open = self.open.saturating_sub(1);
                Text::Outside
            }
            (Text::Outside, b'"') | (Text::Escaped, _) => Text::Within,
            (Text::Within, b'"') => Text::Outside,
            (Text::Within, b'\\') => Text::Escaped,
            (text, _) => text,
        };
    }
}

#[cfg(test)]
mod tests;
