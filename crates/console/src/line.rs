//! The grammar of the console: one line per call. Pure.

/// Maximum length of a call in bytes, line end included.
pub const MAX_CALL_BYTES: usize = 256;

/// The calls of the console.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Report whether this process is ready to serve.
    Status,
    /// Report the metrics.
    Stats,
    /// Send clients elsewhere.
    Standby,
    /// Serve again.
    Active,
    /// Report the status of the duties.
    Duties,
    /// Release a duty, to another member if one is named.
    HandOver {
        /// The duty.
        duty: String,
        /// The member that is to hold it next.
        successor: Option<String>,
    },
}

/// The result of parsing the bytes received so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParsedCall {
    /// The line is not complete.
    Incomplete,
    /// A valid call.
    Complete(Call),
    /// No valid call, with the reason.
    Invalid(&'static str),
}

/// Parses the bytes received so far. CR LF and LF end a line; what follows the line is ignored.
#[must_use]
pub fn parse(bytes: &[u8]) -> ParsedCall {
    let Some(end) = bytes.iter().take(MAX_CALL_BYTES).position(|b| *b == b'\n') else {
        return if bytes.len() < MAX_CALL_BYTES {
            ParsedCall::Incomplete
        } else {
            ParsedCall::Invalid("the call is too long")
        };
    };
    let line = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]);
    match line.trim_ascii() {
        b"status" => ParsedCall::Complete(Call::Status),
        b"stats" => ParsedCall::Complete(Call::Stats),
        b"standby" => ParsedCall::Complete(Call::Standby),
        b"active" => ParsedCall::Complete(Call::Active),
        b"duties" => ParsedCall::Complete(Call::Duties),
        line if line.starts_with(b"hand ") => parse_hand_over(line),
        b"" => {
            ParsedCall::Invalid("the call is empty; there are status, stats, standby, active, duties, hand")
        }
        _ => ParsedCall::Invalid("no such call; there are status, stats, standby, active, duties, hand"),
    }
}

fn parse_hand_over(line: &[u8]) -> ParsedCall {
    let fields = std::str::from_utf8(line).unwrap_or_default().split_ascii_whitespace().collect::<Vec<_>>();
    match fields.as_slice() {
        [_, duty] => ParsedCall::Complete(Call::HandOver { duty: (*duty).to_owned(), successor: None }),
        [_, duty, successor] => ParsedCall::Complete(Call::HandOver {
            duty: (*duty).to_owned(),
            successor: Some((*successor).to_owned()),
        }),
        _ => ParsedCall::Invalid("a duty is handed on by: hand DUTY [MEMBER]"),
    }
}

#[cfg(test)]
mod tests;
