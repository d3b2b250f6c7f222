//! Splits the byte stream of a watch into messages. Buffers the incomplete message; the buffer lives as long as the
//! watch.

/// The longest message accepted, in bytes. A list of ten thousand servers fits.
pub const MAX_LINE_BYTES: usize = 4 << 20;

/// A message exceeded [`MAX_LINE_BYTES`]; the rest of the watch cannot be split into messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

/// Splits the byte stream of a watch into messages, independent of how the bytes are chunked. A JSON object that is
/// indented over several lines is one message: a line end within its brackets does not terminate it.
#[derive(Debug, Default)]
pub struct Lines {
    line: Vec<u8>,
    /// Nesting depth of brackets outside of strings.
    open_brackets: usize,
    string: StringState,
}

/// Position of the last byte relative to JSON strings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StringState {
    #[default]
    Outside,
    Inside,
    /// After a backslash within a string.
    Escaped,
}

impl Lines {
    /// Appends bytes and returns the messages that they complete, trimmed of whitespace. A message cut off by the end
    /// of the watch is never returned. An empty line terminates a message whose brackets are still open, so that a
    /// truncated object is not kept waiting while heartbeats arrive.
    ///
    /// # Errors
    ///
    /// [`TooLong`] if a message exceeds [`MAX_LINE_BYTES`]; the watch must not be read any further.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, TooLong> {
        let mut lines = Vec::new();
        for segment in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.line.len() + segment.len() > MAX_LINE_BYTES {
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
