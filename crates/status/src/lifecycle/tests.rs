//! Tests of `lifecycle.rs`.

use super::*;
use proptest::prelude::*;

const TIMES: Times = Times { notice: Duration::from_millis(600), accept: Duration::from_millis(500) };

proptest! {
    /// Guards against a drain that an order in the wrong moment undoes or leaves half done.
    #[test]
    fn whatever_the_order_of_events_the_stage_follows_the_last_order(
        steps in prop::collection::vec((0_u8..6, 0_u64..900), 0..40)
    ) {
        let mut now = Instant::now();
        let mut machine = Machine::new(now, TIMES);
        let (mut ready, mut away, mut ended): (bool, Option<Instant>, Option<Instant>) = (false, None, None);
        for (kind, gap) in steps {
            now += Duration::from_millis(gap);
            let events =
                [Event::Ready, Event::Standby, Event::Active, Event::End, Event::Last, Event::Time];
            let event = events[kind as usize];
            // The shell wakes the machine when it is due.
            machine.on(now, Event::Time);
            let stage = machine.on(now, event);
            match event {
                Event::Ready => ready = true,
                Event::Standby if ended.is_none() => away = away.or(Some(now)),
                Event::Active if ended.is_none() => away = None,
                Event::End => ended = ended.or(Some(now)),
                Event::Standby | Event::Active | Event::Last | Event::Time => {}
            }
            if ended.is_some() {
                prop_assert!(stage.ends() && stage.sends_away());
            } else {
                prop_assert_eq!(stage.ready(), ready && away.is_none());
                prop_assert_eq!(stage.sends_away(), ready && away.is_some());
            }
            prop_assert_eq!(machine.on(now, event), stage, "an order twice is one");
        }
        // Once its time is over, a drain empties and an end closes.
        now += Duration::from_secs(5);
        let stage = machine.on(now, Event::Time);
        prop_assert!(!matches!(stage, Stage::Standby | Stage::Leaving | Stage::Parting));
        prop_assert_eq!(machine.due(), None);
    }
}
