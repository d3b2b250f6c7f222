//! Tests of `memory.rs`.

use super::super::clients::tests::options;
use super::*;

const SMALL: usize = UNCOUNTED_BYTES;

fn budget(max_connection_bytes: usize, max_receiving_bytes: usize) -> Rc<MemoryBudget> {
    let limits =
        HttpOptions { max_connection_bytes, max_receiving_bytes, max_responding_bytes: 1_000, ..options() };
    MemoryBudget::new(&HttpOptions { memory_limit_bytes: usize::MAX, ..limits })
}

#[test]
fn memory_is_given_back_when_a_connection_is_dropped() {
    let budget = budget(1 << 20, 10_000);
    let (first, second) = (ConnectionMemory::new(&budget), ConnectionMemory::new(&budget));
    assert!(first.try_set(MemoryUse::Input, SMALL) && budget.used() == 2 * CLIENT_CONNECTION_BYTES);
    assert!(first.try_set(MemoryUse::Body, 9_000));
    assert!(!second.try_set(MemoryUse::Body, SMALL + 1_001));
    assert!(second.try_set(MemoryUse::Body, SMALL), "small bodies are always received");
    assert!(!second.try_set(MemoryUse::Input, 1_001), "the uses of an account count together");
    assert!(!budget.is_exhausted(Account::Responding));
    second.set(MemoryUse::Response, SMALL);
    second.set(MemoryUse::ResponseBody, 1_000);
    assert!(budget.is_exhausted(Account::Responding));
    first.release_all();
    assert_eq!(first.counted(Account::Receiving), 0);
    assert_eq!(budget.used(), 2 * CLIENT_CONNECTION_BYTES + 1_000);
    drop(first);
    assert_eq!(budget.used(), CLIENT_CONNECTION_BYTES + 1_000);
    drop(second);
    assert_eq!(budget.used(), 0);
}

/// Guards against clients locked out: what some hold of requests and responses leaves room for the small requests of others.
#[test]
fn accounts_do_not_take_the_memory_of_each_other() {
    let budget = budget(2 * CLIENT_CONNECTION_BYTES + CLIENT_REQUEST_BYTES, 10_000);
    let (first, second) = (ConnectionMemory::new(&budget), ConnectionMemory::new(&budget));
    assert!(first.try_set(MemoryUse::Body, SMALL + 10_000) && budget.is_exhausted(Account::Receiving));
    assert!(second.try_hold_request() && second.try_hold_request(), "a request is held once");
    assert!(!first.try_hold_request());
    second.release_request();
    assert!(first.try_hold_request(), "an answered request is not held any more");
    second.hold_request();
    drop((first, second));
    assert_eq!(budget.used(), 0);
}

/// Guards against memory that counts as free while its connection still holds it.
#[test]
fn memory_of_an_evicted_connection_counts_until_it_is_freed() {
    let budget = budget(1 << 20, 10_000);
    let (first, second) = (ConnectionMemory::new(&budget), ConnectionMemory::new(&budget));
    first.set(MemoryUse::Body, SMALL + 8_000);
    assert!(budget.is_scarce(Account::Receiving));
    first.start_release();
    assert!(!budget.is_scarce(Account::Receiving), "nobody else has to give way");
    assert!(!second.try_set(MemoryUse::Body, SMALL + 4_000));
    first.release_all();
    assert!(second.try_set(MemoryUse::Body, SMALL + 4_000));
    assert!(!budget.is_scarce(Account::Receiving));
}
