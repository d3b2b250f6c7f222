//! Tests of `discovery.rs`.

use super::*;
use crate::scenario::Time;
use dunlincleat::api::Span;
use rand::SeedableRng;

fn process(node: usize) -> NodeProcess {
    NodeProcess { node, incarnation: 0 }
}

fn service(calls_per_s: f64, queue: usize) -> DiscoveryService {
    let delay = Time(Span(100_000));
    let entry = Entry { state: State::Ready, ..Entry::leaving("n0".to_owned(), State::Ready) };
    let change = ListChange { rev: 1, entry, process: process(0) };
    DiscoveryService::new(
        DiscoveryLimits { delay, calls_per_s, max_queued: queue, on_request: false },
        vec![change],
    )
}

/// Guards against calls that cost nothing once they are abandoned. Sixty instances that abandoned and repeated their
/// calls kept each other from being answered for good, because a call takes time even if nobody waits for it.
#[test]
fn calls_are_served_in_order_and_abandoned_calls_still_take_time() {
    let mut service = service(10.0, 4);
    let mut at = Vec::new();
    for n in 0..6 {
        let watch = WatchId(n);
        match service.call(0, 0, watch, CallKind::FullList) {
            CallOutcome::Opened(line) => at.push(line.at),
            CallOutcome::Refused(_) => at.push(0),
            CallOutcome::NoAnswer => panic!("it is not silent"),
        }
        service.close(0, watch);
    }
    assert_eq!(at, [110_000, 210_000, 310_000, 410_000, 0, 0]);
    assert_eq!(service.take_calls(), CallCounts { received: 6, refused: 2 });
}

#[test]
fn a_watch_receives_each_change_once_in_order_across_silence() {
    let mut service = service(1000.0, 1000);
    let mut rng = SmallRng::seed_from_u64(5);
    let watch = WatchId(1);
    assert!(
        matches!(service.call(0, 7, watch, CallKind::ChangesAfter(1)), CallOutcome::Opened(line) if line.processes.is_empty())
    );
    let (mut lines, mut received) = (Vec::new(), Vec::new());
    for n in 1..200_u32 {
        if n % 40 == 0 {
            service.set_silent(n % 80 == 0);
        }
        service.change(process(n as usize), Entry::leaving(format!("n{n}"), State::Draining));
        service.publish(u64::from(n) * 1000, n % 7 == 0, &mut rng, &mut lines);
    }
    service.set_silent(false);
    service.publish(300_000, true, &mut rng, &mut lines);
    assert!(lines.windows(2).all(|w| w[0].at <= w[1].at), "lines keep their order");
    lines.iter().for_each(|line| received.extend(line.processes.iter().map(|listed| listed.process.node)));
    assert_eq!(received, (1..200).collect::<Vec<_>>());
}
