//! Verdicts of points with a planted fault each, and the quantiles that they stand on.

use super::*;
use dunlincleat_trial::audit::{Broken, Property};
use dunlincleat_trial::callers::Side;

/// A round of 400 calls each way, in two seconds: the direct way takes 1 to 400 us, the sidecar so many more.
fn round(more: u64) -> Seen {
    let side = |more: u64| {
        let seconds = [1, 2].map(|odd| (0..200).map(|n| 2 * n + odd + more).collect()).to_vec();
        Side { asked: 400, refused: 0, lost: 0, seconds }
    };
    let (direct, through) = (side(0), side(more));
    let (late, processor) = (vec![100; 800], Duration::from_millis(80));
    Seen { direct, through, late, processor, resident: 5, listed: 60, verdict: Verdict::Kept }
}

fn wanted() -> Wanted {
    Wanted {
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

fn said(of: impl Fn(&mut Seen)) -> (Said, String) {
    let mut rounds = [round(1000), round(1000), round(1000)];
    rounds.iter_mut().for_each(of);
    let point = point(&wanted(), 60, &rounds);
    (point.verdict, point.why.join("; "))
}

#[test]
fn a_point_has_what_the_rounds_tell() {
    let point = point(&wanted(), 60, &[round(1000), round(1000), round(1000)]);
    assert_eq!((point.direct_p50_us, point.direct_p99_us), (200.0, 396.0));
    assert_eq!((point.through_p50_us, point.through_p99_us), (1200.0, 1396.0));
    assert_eq!((point.added_p50_us, point.added_p99_us, point.cpu_us_a_call), (1000.0, 1000.0, 200.0));
    // Both ways have the same seconds drawn, so that what differs between seconds alone adds nothing to the interval.
    assert_eq!((point.added_p99_low_us, point.added_p99_high_us), (1000.0, 1000.0));
    assert_eq!((point.answered, point.refused, point.lost), (1200, 0, 0));
}

#[test]
fn each_planted_fault_has_its_verdict() {
    let unserve = |side: &mut Side, n: usize| {
        side.seconds[0].truncate(200 - n);
        side.refused = n as u64;
    };
    let slower = |seen: &mut Seen, by: u64, second: usize| {
        seen.through.seconds[second].iter_mut().for_each(|time| *time += by);
    };
    assert_eq!(said(|_| {}), (Said::Kept, String::new()));
    let (verdict, why) = said(|seen| (0..2).for_each(|second| slower(seen, 700, second)));
    assert_eq!(verdict, Said::Broken);
    assert!(why.contains("1700 us added for 99 in 100") && why.ends_with("over 1600"), "{why}");
    // One slow second of the six: drawn once or more often, or not at all.
    let mut rounds = [round(1000), round(1000), round(1000)];
    slower(&mut rounds[1], 700, 0);
    let point = point(&wanted(), 60, &rounds);
    let why = point.why.join("; ");
    assert_eq!((point.verdict, point.added_p99_low_us), (Said::Void, 1000.0), "{why}");
    assert!(why.contains("the limit of 1600 lies within"), "{why}");
    assert_eq!(said(|seen| unserve(&mut seen.through, 4)), (Said::Kept, String::new()));
    let (verdict, why) = said(|seen| unserve(&mut seen.through, 5));
    assert_eq!(verdict, Said::Broken);
    assert!(why.contains("15 refused and 0 lost of 1200 calls, over 1 in 100"), "{why}");
    let (verdict, why) = said(|seen| unserve(&mut seen.direct, 1));
    assert!(verdict == Said::Void && why.contains("direct calls had no 200"), "{why}");
    let (verdict, why) = said(|seen| seen.late = vec![5001; 800]);
    assert!(verdict == Said::Void && why.contains("5001 us late"), "{why}");
    let (verdict, why) = said(|seen| seen.direct.seconds[1].iter_mut().for_each(|time| *time += 5000));
    assert!(verdict == Said::Void && why.contains("the direct way has"), "{why}");
    let (verdict, why) = said(|seen| seen.verdict = Verdict::Void(160_000));
    assert!(verdict == Said::Void && why.contains("160 ms late"), "{why}");
    // A broken rule is one on any machine.
    let fault =
        || Broken { property: Property::OneAnswer, at: 0, what: "request 7 of n0 got none".to_owned() };
    let (verdict, why) = said(|seen| {
        seen.late = vec![5001; 800];
        seen.verdict = Verdict::Broken(vec![fault()]);
    });
    assert!(verdict == Said::Broken && why.contains("one answer: request 7 of n0 got none"), "{why}");
}
