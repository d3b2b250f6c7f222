//! Tests of `message.rs`.

use super::*;

#[test]
fn timeouts_are_decimal_seconds() {
    assert_eq!(parse_seconds("0.480"), Some(Span(480_000)));
    assert_eq!(parse_seconds("3"), Some(Span(3_000_000)));
    for none in ["", "-1", "NaN", "inf", "1s"] {
        assert_eq!(parse_seconds(none), None, "{none}");
    }
}
