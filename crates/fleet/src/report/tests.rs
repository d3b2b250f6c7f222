//! Tests of `report.rs`.

use super::*;

#[test]
fn recovery_is_measured_from_the_end_of_the_last_fault() {
    let seconds_of = |served: &[f64]| -> Vec<Second> {
        served.iter().map(|s| Second { wanted: 10.0, served: *s, ..Second::default() }).collect()
    };
    let seconds = seconds_of(&[2.0, 9.0, 9.0, 1.0, 1.0, 5.0, 9.0, 5.0, 8.9, 9.0, 9.0, 9.0]);
    let at = |begin: u64, end: u64| recovery_seconds(&seconds, Some(Period { begin, end }), 12_000_000);
    // One good second between two bad ones is not a recovery.
    assert_eq!(at(3_000_000, 4_500_000), Some(3.5));
    assert_eq!(at(3_000_000, 9_000_000), Some(0.0));
    assert_eq!(recovery_seconds(&seconds, None, 12_000_000), None);
    assert_eq!(
        recovery_seconds(&seconds_of(&[9.0; 4]), Some(Period { begin: 0, end: 1_000_000 }), 4_000_000),
        None,
        "nothing was before"
    );
    let lost = seconds_of(&[9.0, 9.0, 9.0, 1.0, 1.0, 1.0]);
    assert_eq!(
        recovery_seconds(&lost, Some(Period { begin: 3_000_000, end: 3_500_000 }), 6_000_000),
        None,
        "it never came back"
    );
}
