//! When the last byte of an attempt was written: the host writes its own heads, so they end at the first empty line.

/// How far an attempt is written.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    /// How many bytes of the empty line that ends the head were seen.
    matched: usize,
    /// Bytes of the body that are not written yet.
    left: usize,
    whole: bool,
}

const END: &[u8; 4] = b"\r\n\r\n";

impl Written {
    /// An attempt whose body has so many bytes.
    pub fn new(body: usize) -> Written {
        Written { matched: 0, left: body, whole: false }
    }

    /// These bytes were written; true once, with the last byte.
    pub fn more(&mut self, mut bytes: &[u8]) -> bool {
        while self.matched < END.len() {
            let Some((first, rest)) = bytes.split_first() else { return false };
            let start = usize::from(*first == END[0]);
            self.matched = if *first == END[self.matched] { self.matched + 1 } else { start };
            bytes = rest;
        }
        self.left = self.left.saturating_sub(bytes.len());
        self.left == 0 && !std::mem::replace(&mut self.whole, true)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the count of attempts: one that broke off before its last byte never ran and is none.
    #[test]
    fn an_attempt_counts_once_with_its_last_byte_in_whatever_pieces() {
        let head = "POST /x HTTP/1.1\r\nA: \rb\r\n\r\n";
        for body in ["", "body\r\n\r\nmore"] {
            let bytes = format!("{head}{body}");
            for piece in 1..bytes.len() {
                let mut written = Written::new(body.len());
                let (last, before) = bytes.as_bytes().split_last().unwrap();
                assert!(before.chunks(piece).all(|part| !written.more(part)), "{piece}");
                assert!(written.more(&[*last]));
                assert!(!written.more(b"x"), "once");
            }
        }
    }
}
