//! Tests of `memory_pressure.rs`.

use super::*;

/// Guards against a process killed for memory that no account knows of.
#[test]
fn nothing_is_admitted_while_the_process_is_near_its_limit() {
    const UNACCOUNTED_BYTES: usize = 64 << 20;
    let pressure = MemoryPressure::new(0);
    assert!(
        pressure.has_room_to_hold(0) && pressure.has_room_for_request(),
        "what an idle process takes is admitted"
    );
    assert!(!pressure.has_room_to_hold(2 * MIN_ADMITTED_BYTES));
    let unaccounted = vec![1_u8; UNACCOUNTED_BYTES];
    pressure.growing(READING_VALID_FOR_BYTES);
    assert!(!pressure.has_room_to_hold(0) && !pressure.has_room_for_request());
    assert_eq!(unaccounted.len(), UNACCOUNTED_BYTES);
}

/// Growth since the last reading counts before it shows.
#[test]
fn growth_counts_before_it_is_read() {
    let pressure = MemoryPressure::new(usize::MAX);
    pressure.reading.set(Reading { at: Instant::now(), resident: 0, growth: 0 });
    let before = pressure.expected();
    pressure.growing(READING_VALID_FOR_BYTES - 1);
    assert_eq!(pressure.expected(), before + READING_VALID_FOR_BYTES - 1);
    pressure.growing(1);
    assert!(pressure.expected() > READING_VALID_FOR_BYTES, "it is read again");
}
