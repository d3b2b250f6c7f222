//! Tests of `recent_ids.rs`.

use super::*;

fn id(number: usize) -> HeaderValue {
    HeaderValue::from_str(&format!("r{number}")).unwrap()
}

#[test]
fn ids_are_forgotten_after_a_time_and_beyond_a_number() {
    let start = Instant::now();
    let mut ids = RecentIds::default();
    ids.insert(&id(0), start);
    assert!(ids.contains(&id(0), start + REMEMBER_FOR / 2));
    assert!(!ids.contains(&id(0), start + REMEMBER_FOR) && ids.added.is_empty());
    (0..=MAX_IDS).for_each(|number| ids.insert(&id(number), start));
    assert!(!ids.contains(&id(0), start) && ids.contains(&id(MAX_IDS), start));
    assert_eq!((ids.digests.len(), ids.added.len()), (MAX_IDS, MAX_IDS));
}
