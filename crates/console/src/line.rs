//! The grammar of the console: one line a call. Pure.

/// The longest call, its line end included, in bytes.
pub const MAX_CALL_BYTES: usize = 256;

/// What operators call for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Status,
    /// The figures.
    Stats,
    /// Send clients away.
    Standby,
    /// Back to work.
    Active,
    /// What is known of the duties.
    Duties,
    /// Let a duty go, to a member where one is named.
    HandOver {
        /// The duty.
        duty: String,
        /// The member that is to hold it next.
        successor: Option<String>,
    },
}

/// What has come of a call so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParsedCall {
    /// Its line has not ended.
    Incomplete,
    /// A call.
    Complete(Call),
    /// None; why.
    Invalid(&'static str),
}

/// Reads what has come. CR LF and LF end a line; what comes behind it is passed over.
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
