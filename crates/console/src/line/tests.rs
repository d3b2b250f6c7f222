//! Tests of `line.rs`.

use super::*;
use proptest::prelude::*;

#[test]
fn calls_are_read_by_either_line_end() {
    for (bytes, call) in [
        (&b"status\n"[..], Call::Status),
        (b"stats\r\n", Call::Stats),
        (b" standby \n", Call::Standby),
        (b"active\nstatus\n", Call::Active),
        (b"duties\n", Call::Duties),
        (b"hand d n2\n", Call::Hand("d".into(), Some("n2".into()))),
    ] {
        assert_eq!(hear(bytes), Heard::Call(call));
        assert_eq!(hear(&bytes[..4]), Heard::Partial);
    }
    for wrong in [&b"\n"[..], b"STATUS\n", b"status now\n", b"\0\xff\n", &[b'x'; MOST]] {
        assert!(matches!(hear(wrong), Heard::Wrong(_)), "{wrong:?}");
    }
}

proptest! {
    /// Whatever comes, more of it changes nothing once the line has ended, and a line is never waited for in vain.
    #[test]
    fn a_call_is_decided_at_its_line_end(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let heard = hear(&bytes);
        if bytes.len() >= MOST || bytes.contains(&b'\n') {
            prop_assert_ne!(&heard, &Heard::Partial);
            let mut more = bytes.clone();
            more.extend_from_slice(b"active\n");
            prop_assert_eq!(&hear(&more), &heard);
        }
    }
}
