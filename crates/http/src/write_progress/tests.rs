//! Tests of `write_progress.rs`.

use super::*;

/// Guards the count of attempts: one that broke off before its last byte never ran and is not counted.
#[test]
fn attempt_is_counted_once_with_its_last_byte() {
    let head = "POST /x HTTP/1.1\r\nA: \rb\r\n\r\n";
    for (body, known_length) in [("", true), ("body\r\n\r\nmore", true), ("1\r\nx\r\n0\r\n\r\n", false)] {
        let bytes = format!("{head}{body}");
        for piece in 1..bytes.len() {
            let mut progress = WriteProgress::new(known_length.then_some(body.len() as u64));
            let (last, before) = bytes.as_bytes().split_last().unwrap();
            assert!(before.chunks(piece).all(|part| !progress.record(part, true)), "{piece}");
            assert!(progress.record(&[*last], true));
            assert!(!progress.record(b"x", true) && progress.is_complete(), "once");
        }
    }
    let mut progress = WriteProgress::new(None);
    assert!(
        !progress.record(format!("{head}0\r\n\r\n").as_bytes(), false),
        "the bytes of a chunk may look like the last chunk"
    );
}
