//! Tests of `memory.rs`.

use super::*;

#[test]
fn budget_is_given_back_when_a_share_is_dropped() {
    let budget = MemoryBudget::new(10_000);
    let (first, second) = (budget.share(), budget.share());
    assert!(first.try_add(UNCOUNTED_BYTES) && budget.used() == 0);
    assert!(first.try_add(9_000) && !second.try_add(UNCOUNTED_BYTES + 1_001));
    assert!(second.try_add(UNCOUNTED_BYTES), "small bodies are always received");
    assert!(!budget.is_exhausted());
    second.set(UNCOUNTED_BYTES + 1_000);
    assert!(budget.is_exhausted());
    drop(first);
    assert_eq!(budget.used(), 1_000);
    drop(second);
    assert_eq!(budget.used(), 0);
}
