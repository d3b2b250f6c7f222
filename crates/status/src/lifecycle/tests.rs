//! Tests of `lifecycle.rs`.

use super::*;
use proptest::prelude::*;

const TIMING: StageTiming = StageTiming {
    standby_notice: Duration::from_millis(600),
    accept_after_shutdown: Duration::from_millis(500),
};

proptest! {
    /// Guards against a command at an unfortunate moment that undoes a drain or leaves it half done.
    #[test]
    fn stage_follows_the_latest_command_in_any_order_of_events(
        steps in prop::collection::vec((0_u8..6, 0_u64..900), 0..40)
    ) {
        let mut now = Instant::now();
        let mut machine = StageMachine::new(now, TIMING);
        let mut ready = false;
        let mut standby_since: Option<Instant> = None;
        let mut shutdown_since: Option<Instant> = None;
        for (kind, gap) in steps {
            now += Duration::from_millis(gap);
            let events =
                [Event::Ready, Event::Standby, Event::Active, Event::Shutdown, Event::Abort, Event::Tick];
            let event = events[kind as usize];
            // The driver wakes the state machine when a transition is due.
            machine.apply(now, Event::Tick);
            let stage = machine.apply(now, event);
            match event {
                Event::Ready => ready = true,
                Event::Standby if shutdown_since.is_none() => standby_since = standby_since.or(Some(now)),
                Event::Active if shutdown_since.is_none() => standby_since = None,
                Event::Shutdown => shutdown_since = shutdown_since.or(Some(now)),
                Event::Standby | Event::Active | Event::Abort | Event::Tick => {}
            }
            if shutdown_since.is_some() {
                prop_assert!(stage.is_shutting_down() && stage.closes_after_response());
            } else {
                prop_assert_eq!(stage.is_ready(), ready && standby_since.is_none());
                prop_assert_eq!(stage.closes_after_response(), ready && standby_since.is_some());
            }
            prop_assert_eq!(machine.apply(now, event), stage, "commands are idempotent");
        }
        // After its delay, standby closes idle connections and a shutdown closes the listener.
        now += Duration::from_secs(5);
        let stage = machine.apply(now, Event::Tick);
        prop_assert!(!matches!(stage, Stage::Standby | Stage::ShuttingDown | Stage::ShutdownClosingIdle));
        prop_assert_eq!(machine.next_transition(), None);
    }
}
