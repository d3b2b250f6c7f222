//! The grammar of the console: one line a call. Pure.

/// The longest call, its line end included, in bytes.
pub const MOST: usize = 256;

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
    Hand(String, Option<String>),
}

/// What has come of a call so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Its line has not ended.
    Partial,
    /// A call.
    Call(Call),
    /// None; why.
    Wrong(&'static str),
}

/// Reads what has come. CR LF and LF end a line; what comes behind it is passed over.
#[must_use]
pub fn hear(bytes: &[u8]) -> Heard {
    let Some(end) = bytes.iter().take(MOST).position(|b| *b == b'\n') else {
        return if bytes.len() < MOST { Heard::Partial } else { Heard::Wrong("the call is too long") };
    };
    let line = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]);
    match line.trim_ascii() {
        b"status" => Heard::Call(Call::Status),
        b"stats" => Heard::Call(Call::Stats),
        b"standby" => Heard::Call(Call::Standby),
        b"active" => Heard::Call(Call::Active),
        b"duties" => Heard::Call(Call::Duties),
        line if line.starts_with(b"hand ") => hand(line),
        b"" => Heard::Wrong("the call is empty; there are status, stats, standby, active, duties, hand"),
        _ => Heard::Wrong("no such call; there are status, stats, standby, active, duties, hand"),
    }
}

fn hand(line: &[u8]) -> Heard {
    let words = std::str::from_utf8(line).unwrap_or_default().split_ascii_whitespace().collect::<Vec<_>>();
    match words.as_slice() {
        [_, duty] => Heard::Call(Call::Hand((*duty).to_owned(), None)),
        [_, duty, to] => Heard::Call(Call::Hand((*duty).to_owned(), Some((*to).to_owned()))),
        _ => Heard::Wrong("a duty is handed on by: hand DUTY [MEMBER]"),
    }
}

#[cfg(test)]
mod tests;
