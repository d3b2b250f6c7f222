//! Verdicts on points with one injected fault each, and the quantiles behind them.

use super::*;
use dunlincleat_trial::audit::{Property, Violation};
use dunlincleat_trial::callers::PathStats;

/// A round of 400 calls on each path in two seconds: direct calls take 1 to 400 us, calls through the sidecar `more` longer.
fn round(more: u64) -> Measurements {
    let second = |odd: u64| {
        let path = |more: u64| {
            let latencies_us = (0..200).map(|n| 2 * n + odd + more).collect();
            PathStats { due: 200, refused: 0, lost: 0, latencies_us }
        };
        SecondSample { max_send_delay_us: 100, direct: path(0), via_sidecar: path(more) }
    };
    let cpu_time = Duration::from_millis(80);
    Measurements {
        seconds: vec![second(1), second(2)],
        cpu_time,
        max_resident_bytes: 5,
        verdict: Verdict::Kept,
    }
}

fn options() -> Options {
    Options {
        known: vec![60],
        real: 1,
        rate: 200,
        depth: 1,
        lasts: 2,
        rounds: 3,
        seed: 1,
        program: None,
        interest: false,
        counts_only: false,
        out: PathBuf::new(),
    }
}

fn judged(of: impl Fn(&mut Measurements)) -> (PointVerdict, String) {
    let mut rounds = [round(1000), round(1000), round(1000)];
    rounds.iter_mut().for_each(of);
    let point = summarize(&options(), 60, &rounds);
    (point.verdict, point.why.join("; "))
}

#[test]
fn point_summarizes_its_rounds() {
    let point = summarize(&options(), 60, &[round(1000), round(1000), round(1000)]);
    assert_eq!((point.direct_p50_us, point.direct_p99_us), (200.0, 396.0));
    assert_eq!((point.through_p50_us, point.through_p99_us), (1200.0, 1396.0));
    assert_eq!((point.added_p50_us, point.added_p99_us, point.cpu_us_a_call), (1000.0, 1000.0, 200.0));
    // Both paths have the same seconds resampled, so differences between seconds do not widen the interval.
    assert_eq!((point.added_p99_low_us, point.added_p99_high_us), (1000.0, 1000.0));
    assert_eq!((point.answered, point.refused, point.lost), (1200, 0, 0));
}

#[test]
fn each_injected_fault_has_its_verdict() {
    let refuse = |path: &mut PathStats, n: usize| {
        path.latencies_us.truncate(200 - n);
        path.refused = n as u64;
    };
    let slower = |path: &mut PathStats, by: u64| path.latencies_us.iter_mut().for_each(|time| *time += by);
    assert_eq!(judged(|_| {}), (PointVerdict::Kept, String::new()));
    let (verdict, why) =
        judged(|measurements| measurements.seconds.iter_mut().for_each(|s| slower(&mut s.via_sidecar, 700)));
    assert_eq!(verdict, PointVerdict::Broken);
    assert!(why.contains("1700 us added for 99 in 100") && why.ends_with("over 1600"), "{why}");
    // One slow second of six: the resamples contain it several times, once or not at all.
    let mut rounds = [round(1000), round(1000), round(1000)];
    slower(&mut rounds[1].seconds[0].via_sidecar, 700);
    let point = summarize(&options(), 60, &rounds);
    let why = point.why.join("; ");
    assert_eq!((point.verdict, point.added_p99_low_us), (PointVerdict::Void, 1000.0), "{why}");
    assert!(why.contains("the limit of 1600 lies within"), "{why}");
    assert_eq!(
        judged(|measurements| refuse(&mut measurements.seconds[0].via_sidecar, 4)),
        (PointVerdict::Kept, String::new())
    );
    let (verdict, why) = judged(|measurements| refuse(&mut measurements.seconds[0].via_sidecar, 5));
    assert_eq!(verdict, PointVerdict::Broken);
    assert!(why.contains("15 refused and 0 lost of 1200 calls, over 1 in 100"), "{why}");
    // A violated rule counts on any machine.
    let fault =
        || Violation { property: Property::OneAnswer, at: 0, what: "request 7 of n0 got none".to_owned() };
    let (verdict, why) = judged(|measurements| {
        measurements.seconds.iter_mut().for_each(|second| second.max_send_delay_us = 5001);
        measurements.verdict = Verdict::Broken(vec![fault()]);
    });
    assert!(verdict == PointVerdict::Broken && why.contains("one answer: request 7 of n0 got none"), "{why}");
    let (verdict, why) = judged(|measurements| measurements.verdict = Verdict::Void(160_000));
    assert!(verdict == PointVerdict::Void && why.contains("rules could be judged in no round"), "{why}");
}

/// Slow calls are attributed to the sidecar only in seconds that the machine did not disturb.
#[test]
fn seconds_disturbed_by_the_machine_are_left_out() {
    let disturbances: [fn(&mut SecondSample); 3] = [
        |second| second.max_send_delay_us = 5001,
        |second| second.direct.latencies_us[197..].iter_mut().for_each(|time| *time += 5000),
        |second| second.direct.latencies_us.truncate(199),
    ];
    for disturb in disturbances {
        let slow = |second: &mut SecondSample| {
            second.via_sidecar.latencies_us.iter_mut().for_each(|time| *time += 900_000)
        };
        let (verdict, why) = judged(|measurements| {
            disturb(&mut measurements.seconds[0]);
            slow(&mut measurements.seconds[0]);
        });
        assert_eq!((verdict, why.contains("3 of 6 seconds count")), (PointVerdict::Kept, true), "{why}");
        let (verdict, why) = judged(|measurements| {
            disturb(&mut measurements.seconds[0]);
            slow(&mut measurements.seconds[1]);
        });
        assert_eq!(verdict, PointVerdict::Broken, "{why}");
        let (verdict, why) = judged(|measurements| measurements.seconds.iter_mut().for_each(disturb));
        assert!(verdict == PointVerdict::Void && why.contains("fewer than half"), "{why}");
    }
}
