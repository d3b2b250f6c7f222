//! Tests of `lifecycle.rs`.

use super::*;
use proptest::prelude::*;

const TIMING: StageTiming = StageTiming {
    standby_notice: Duration::from_millis(600),
    accept_after_shutdown: Duration::from_millis(500),
};

proptest! {
    /// Guards against a drain that an order in the wrong moment undoes or leaves half done.
    #[test]
    fn whatever_the_order_of_events_the_stage_follows_the_last_order(
        steps in prop::collection::vec((0_u8..6, 0_u64..900), 0..40)
    ) {
        let mut now = Instant::now();
        let mut machine = StageMachine::new(now, TIMING);
        let (mut ready, mut away, mut ended): (bool, Option<Instant>, Option<Instant>) = (false, None, None);
        for (kind, gap) in steps {
            now += Duration::from_millis(gap);
            let events =
                [Event::Ready, Event::Standby, Event::Active, Event::Shutdown, Event::Abort, Event::Tick];
            let event = events[kind as usize];
            // The shell wakes the machine when it is due.
            machine.apply(now, Event::Tick);
            let stage = machine.apply(now, event);
            match event {
                Event::Ready => ready = true,
                Event::Standby if ended.is_none() => away = away.or(Some(now)),
                Event::Active if ended.is_none() => away = None,
                Event::Shutdown => ended = ended.or(Some(now)),
                Event::Standby | Event::Active | Event::Abort | Event::Tick => {}
            }
            if ended.is_some() {
                prop_assert!(stage.is_shutting_down() && stage.closes_after_response());
            } else {
                prop_assert_eq!(stage.is_ready(), ready && away.is_none());
                prop_assert_eq!(stage.closes_after_response(), ready && away.is_some());
            }
            prop_assert_eq!(machine.apply(now, event), stage, "an order twice is one");
        }
        // Once its time is over, a drain empties and an end closes.
        now += Duration::from_secs(5);
        let stage = machine.apply(now, Event::Tick);
        prop_assert!(!matches!(stage, Stage::Standby | Stage::ShuttingDown | Stage::ShutdownClosingIdle));
        prop_assert_eq!(machine.next_transition(), None);
    }
}
