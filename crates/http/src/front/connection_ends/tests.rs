//! Tests of `connection_ends.rs`.

use super::*;

#[test]
fn ends_are_told_once_by_reason() {
    let ends = ConnectionEnds::default();
    assert_eq!(ends.take_line(), None);
    for (place, (reason, _)) in EndReason::ALL.into_iter().enumerate() {
        assert_eq!(reason as usize, place, "the counters are in the order of the reasons");
    }
    ends.count(EndReason::GaveWay);
    ends.count(EndReason::Client);
    ends.count(EndReason::from(Termination::Refused));
    assert_eq!(ends.take_line().as_deref(), Some("1 by the client, 2 gave way"));
    assert_eq!(ends.take_line(), None);
}
