//! Tests of `line.rs`.

use super::*;
use proptest::prelude::*;

#[test]
fn calls_end_with_lf_or_crlf() {
    for (bytes, call) in [
        (&b"status\n"[..], Call::Status),
        (b"stats\r\n", Call::Stats),
        (b" standby \n", Call::Standby),
        (b"active\nstatus\n", Call::Active),
        (b"duties\n", Call::Duties),
        (b"hand d n2\n", Call::HandOver { duty: "d".into(), successor: Some("n2".into()) }),
    ] {
        assert_eq!(parse(bytes), ParsedCall::Complete(call));
        assert_eq!(parse(&bytes[..4]), ParsedCall::Incomplete);
    }
    for invalid in [&b"\n"[..], b"STATUS\n", b"status now\n", b"\0\xff\n", &[b'x'; MAX_CALL_BYTES]] {
        assert!(matches!(parse(invalid), ParsedCall::Invalid(_)), "{invalid:?}");
    }
}

proptest! {
    /// Bytes after the line end never change the result, and a call of the maximum length is never left incomplete.
    #[test]
    fn a_call_is_parsed_at_its_line_end_or_maximum_length(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let parsed = parse(&bytes);
        if bytes.len() >= MAX_CALL_BYTES || bytes.contains(&b'\n') {
            prop_assert_ne!(&parsed, &ParsedCall::Incomplete);
            let mut more = bytes.clone();
            more.extend_from_slice(b"active\n");
            prop_assert_eq!(&parse(&more), &parsed);
        }
    }
}
