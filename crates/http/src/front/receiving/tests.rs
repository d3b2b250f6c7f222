//! Tests of `receiving.rs`.

use super::*;

/// Guards against a body that is allocated at its announced length before its bytes have come.
#[test]
fn buffer_of_a_body_grows_with_what_was_received() {
    assert_eq!(grown_capacity(0, 10, Some(65_000)), MIN_CAPACITY_BYTES);
    assert_eq!(grown_capacity(0, 10, Some(100)), 100, "no more than the announced length");
    assert_eq!(grown_capacity(8192, 8200, None), 12_288);
    assert_eq!(grown_capacity(60_000, 60_001, Some(65_000)), 65_000);
    assert_eq!(grown_capacity(0, 9000, Some(65_000)), 9000, "enough for what has come");
    assert_eq!(grown_capacity(10, 20, Some(15)), 20, "whatever was announced");
}
