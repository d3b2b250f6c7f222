//! Tests of `discovery.rs`.

use super::*;
use crate::scenario::Time;
use dunlincleat::api::Span;
use rand::SeedableRng;

fn service(calls_per_s: f64, queue: usize) -> Service {
    let late = Time(Span(100_000));
    let entry = Entry { state: State::Ready, ..Entry::leaving("n0".to_owned(), State::Ready) };
    let word = Word { rev: 1, entry, node: 0, starts: 0 };
    Service::new(Limits { late, calls_per_s, queue, on_request: false }, vec![word])
}

/// Sixty that gave up and called again once kept each other out for good: a call is work also when nobody waits.
#[test]
fn calls_wait_in_turn_and_those_given_up_still_cost() {
    let mut service = service(10.0, 4);
    let mut at = Vec::new();
    for n in 0..6 {
        let watch = WatchId(n);
        match service.call(0, 0, watch, CallKind::FullList) {
            Answered::Opens(line) => at.push(line.at),
            Answered::Refused(_) => at.push(0),
            Answered::Nothing => panic!("it is not silent"),
        }
        service.close(0, watch);
    }
    assert_eq!(at, [110_000, 210_000, 310_000, 410_000, 0, 0]);
    assert_eq!(service.take_calls(), (6, 2));
}

#[test]
fn a_watch_hears_each_change_once_in_order_and_silence_loses_none() {
    let mut service = service(1000.0, 1000);
    let mut rng = SmallRng::seed_from_u64(5);
    let watch = WatchId(1);
    assert!(
        matches!(service.call(0, 7, watch, CallKind::ChangesAfter(1)), Answered::Opens(line) if line.words.is_empty())
    );
    let (mut out, mut heard) = (Vec::new(), Vec::new());
    for n in 1..200_u32 {
        if n % 40 == 0 {
            service.silence(n % 80 == 0);
        }
        service.change(n as usize, 0, Entry::leaving(format!("n{n}"), State::Draining));
        service.tell(u64::from(n) * 1000, n % 7 == 0, &mut rng, &mut out);
    }
    service.silence(false);
    service.tell(300_000, true, &mut rng, &mut out);
    assert!(out.windows(2).all(|w| w[0].at <= w[1].at), "lines keep their order");
    out.iter().for_each(|line| heard.extend(line.words.iter().map(|(node, _, _)| *node)));
    assert_eq!(heard, (1..200).collect::<Vec<_>>());
}
