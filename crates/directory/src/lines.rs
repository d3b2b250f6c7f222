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
    open_brackets: usize,
    string: StringState,
}

/// Where in a text the last byte stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StringState {
    #[default]
    Outside,
    Inside,
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
        let mut lines = Vec::new();
        for segment in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.line.len() + segment.len() > LINE_BYTES {
                return Err(TooLong);
            }
            let starts_line = self.line.last().is_none_or(|last| *last == b'\n');
            self.line.extend_from_slice(segment);
            segment.iter().for_each(|byte| self.track_nesting(*byte));
            let is_blank = starts_line && segment.trim_ascii().is_empty();
            let is_closed = self.open_brackets == 0 || self.string != StringState::Outside;
            if self.line.ends_with(b"\n") && (is_closed || is_blank) {
                lines.push(self.line.trim_ascii().to_vec());
                *self = Lines::default();
            }
        }
        Ok(lines)
    }

    fn track_nesting(&mut self, byte: u8) {
        self.string = match (self.string, byte) {
            (StringState::Outside, b'{' | b'[') => {
                self.open_brackets += 1;
                StringState::Outside
            }
            (StringState::Outside, b'}' | b']') => {
                self.open_brackets = self.open_brackets.saturating_sub(1);
                StringState::Outside
            }
            (StringState::Outside, b'"') | (StringState::Escaped, _) => StringState::Inside,
            (StringState::Inside, b'"') => StringState::Outside,
            (StringState::Inside, b'\\') => StringState::Escaped,
            (state, _) => state,
        };
    }
}

#[cfg(test)]
mod tests;
