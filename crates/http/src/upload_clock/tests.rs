//! Tests of `upload_clock.rs`.

use super::*;
use std::time::Duration;

const MIB: usize = 1 << 20;

#[test]
fn last_byte_is_not_earlier_than_the_last_time_without_input() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let clock = UploadClock::new(None, start);
    clock.received(MIB, at(1));
    assert_eq!(clock.earliest_end(), Some(start), "all may have been sent at once");
    clock.caught_up(at(2));
    clock.received(MIB, at(3));
    assert_eq!(clock.earliest_end(), Some(at(2)));
}

#[test]
fn last_byte_is_not_earlier_than_the_system_can_hold() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let clock = UploadClock::new(None, start);
    (1..=5).for_each(|second| clock.received(MIB, at(second)));
    assert_eq!(clock.earliest_end(), Some(start));
    (6..=8).for_each(|second| clock.received(MIB, at(second)));
    assert_eq!(clock.earliest_end(), Some(at(2)), "6 MiB were read since then, of which 5 may have waited");
    let clock = UploadClock::new(Some(7 << 20), start);
    (1..=5).for_each(|second| clock.received(MIB, at(second)));
    assert_eq!(clock.earliest_end(), Some(at(1)), "6 MiB were missing then");
}
