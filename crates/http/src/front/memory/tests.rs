//! Tests of `memory.rs`.

use super::*;

#[test]
fn memory_is_given_back_when_a_connection_is_dropped() {
    let budget = MemoryBudget::new(2 * CLIENT_CONNECTION_BYTES + 10_000);
    let (first, second) = (ConnectionMemory::new(&budget), ConnectionMemory::new(&budget));
    assert!(first.try_set(MemoryUse::Input, UNCOUNTED_BYTES) && budget.used() == 2 * CLIENT_CONNECTION_BYTES);
    assert!(first.try_set(MemoryUse::Body, 9_000));
    assert!(!second.try_set(MemoryUse::Body, UNCOUNTED_BYTES + 1_001));
    assert!(second.try_set(MemoryUse::Body, UNCOUNTED_BYTES), "small bodies are always received");
    assert!(!second.try_set(MemoryUse::Input, 1_001), "the uses of a connection count together");
    assert!(!budget.is_exhausted());
    second.set(MemoryUse::Response, 1_000);
    assert!(budget.is_exhausted());
    first.release_all();
    assert_eq!((first.counted(), budget.used()), (0, 2 * CLIENT_CONNECTION_BYTES + 1_000));
    drop(first);
    assert_eq!(budget.used(), CLIENT_CONNECTION_BYTES + 1_000);
    drop(second);
    assert_eq!(budget.used(), 0);
}
