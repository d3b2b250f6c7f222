//! Tests of `page.rs`.

use super::*;

#[test]
fn a_page_shows_who_held_what_and_escapes_what_it_shows() {
    let event = |at, what| Event { at, what };
    let holds =
        |process: &str, fence| EventKind::DutyAcquired { process: process.into(), duty: "d".into(), fence };
    let history = [
        event(10, EventKind::Up { process: "n0".into(), pid: 1 }),
        event(20, holds("n0", 3)),
        event(50, EventKind::FaultInjected { fault: Fault::Kill { process: "n0".into() } }),
        event(51, EventKind::Down { process: "n0".into(), how: "ended <9>".into(), expected: true }),
        event(60, holds("n1", 4)),
    ];
    let page = page("a & b", "kept", &history, 0);
    assert_eq!(page.matches("holds it, fence").count(), 4, "two bars, two lines: {page}");
    assert!(page.contains("a &amp; b") && page.contains("ended &lt;9&gt;"));
}
