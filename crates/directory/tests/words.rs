//! How the server table handles irregular updates, as specified in docs/list.md.

use dunlincleat::api::{ListKind, State, Time};
use dunlincleat_directory::entry::MAX_ENTRIES;
use dunlincleat_directory::{Anomaly, Delivery, Interest, Listing, ServerTable, Snapshot};
use serde_json::{Value, json};
use std::collections::BTreeMap;

const NOW: Time = Time(1_800_000_000_000_000);

/// An entry in the format of discovery.
fn server(uid: &str, state: &str, port: u16, boot_ms: u64) -> Value {
    json!({"uid": uid, "endpoint": format!("127.0.0.1:{port}"), "az": "a", "state": state, "boot_ms": boot_ms})
}

struct Harness {
    table: ServerTable,
    /// What a consumer holds after applying all deliveries.
    applied: BTreeMap<String, AppliedServer>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct AppliedServer {
    state: State,
    boot_ms: u64,
}

impl Harness {
    fn new(rev: u64, entries: &[Value]) -> Harness {
        let (table, first) = ServerTable::new(NOW, list(rev, true, entries));
        let mut harness = Harness { table, applied: BTreeMap::new() };
        harness.apply(first);
        harness
    }

    fn apply(&mut self, delivery: Delivery) -> Vec<Anomaly> {
        if delivery.kind != ListKind::Changes {
            self.applied.clear();
        }
        let entries = delivery.entries.into_iter();
        self.applied.extend(entries.map(|entry| {
            let server = AppliedServer { state: entry.state, boot_ms: entry.boot_ms };
            (entry.uid, server)
        }));
        delivery.anomalies
    }

    fn receive(&mut self, rev: u64, whole: bool, entries: &[Value]) -> Vec<Anomaly> {
        let delivery = self.table.apply(NOW, list(rev, whole, entries), false);
        self.apply(delivery)
    }

    /// Servers that would receive requests.
    fn ready(&self) -> Vec<&str> {
        let ready = self.applied.iter().filter(|(_, server)| server.state == State::Ready);
        ready.map(|(uid, _)| uid.as_str()).collect()
    }
}

fn list(rev: u64, all: bool, entries: &[Value]) -> Listing {
    let line = json!({"rev": rev, "all": all, "targets": entries}).to_string();
    Listing::decode(line.as_bytes()).unwrap()
}

#[test]
fn stale_changes_remove_servers_but_add_none() {
    let mut harness =
        Harness::new(9, &[server("a", "up", 1, 0), server("b", "up", 2, 0), server("c", "draining", 3, 0)]);
    let anomalies = harness.receive(
        7,
        false,
        &[server("a", "draining", 1, 0), server("c", "up", 3, 0), server("d", "up", 4, 0)],
    );
    assert_eq!(anomalies, [Anomaly::StaleChanges { received: 7, current: 9 }]);
    assert_eq!((harness.ready(), harness.table.rev()), (vec!["b"], 9));
    // Repeating an update changes nothing.
    harness.receive(9, false, &[server("b", "up", 2, 0)]);
    harness.receive(9, false, &[server("b", "up", 2, 0)]);
    assert_eq!(harness.ready(), ["b"]);
}

#[test]
fn revision_reset_does_not_restore_drained_or_removed_servers() {
    let first = [server("a", "up", 1, 0), server("b", "draining", 2, 0), server("c", "up", 3, 5)];
    let mut harness = Harness::new(90, &first);
    harness.receive(91, false, &[server("c", "removed", 3, 5)]);
    let stale =
        [server("a", "up", 1, 0), server("b", "up", 2, 0), server("c", "up", 3, 5), server("d", "up", 4, 0)];
    let anomalies = harness.receive(2, true, &stale);
    assert_eq!(anomalies, [Anomaly::RevisionReset { received: 2, previous: 91, suppressed: 2 }]);
    assert_eq!(
        (harness.ready(), harness.table.rev(), harness.table.has_suppressed()),
        (vec!["a", "d"], 2, true)
    );
    // A new start time is a new process; a later update of the new sequence applies.
    harness.receive(3, false, &[server("c", "up", 3, 6)]);
    assert_eq!(harness.ready(), ["a", "c", "d"]);
    harness.receive(3, true, &stale);
    assert_eq!((harness.ready(), harness.table.has_suppressed()), (vec!["a", "b", "c", "d"], false));
}

#[test]
fn full_list_that_removes_most_servers_is_applied_and_reported() {
    let all = ["a", "b", "c", "d"].map(|uid| server(uid, "up", u16::from(uid.as_bytes()[0]), 0));
    let mut harness = Harness::new(1, &all);
    assert_eq!(harness.receive(2, true, &all[..1]), [Anomaly::MassRemoval { before: 4, after: 1 }]);
    assert_eq!(harness.ready(), ["a"]);
    // Requested again, a full list of the same revision applies.
    assert_eq!(harness.receive(2, true, &all), []);
    assert_eq!(harness.ready(), ["a", "b", "c", "d"]);
    assert_eq!(harness.receive(3, true, &[]), [Anomaly::MassRemoval { before: 4, after: 0 }]);
}

#[test]
fn shared_address_belongs_to_the_server_started_last() {
    let mut harness = Harness::new(1, &[server("old", "up", 1, 0)]);
    let anomalies = harness.receive(2, false, &[server("new", "up", 1, 77)]);
    let [Anomaly::SharedAddress { owner, displaced, .. }] = &anomalies[..] else { panic!("{anomalies:?}") };
    assert_eq!((owner.as_str(), displaced.as_str()), ("new", "old"));
    assert_eq!(harness.ready(), ["new"]);
    // The conflict is reported once, though every list shows it.
    assert_eq!(harness.receive(3, true, &[server("old", "up", 1, 0), server("new", "up", 1, 77)]), []);
    assert_eq!(harness.ready(), ["new"]);
    // The new server moves to another address: the old one is present again.
    harness.receive(4, false, &[server("new", "up", 2, 77)]);
    assert_eq!(harness.ready(), ["new", "old"]);
}

#[test]
fn boot_time_in_the_future_is_clamped_to_first_receipt() {
    let mut harness = Harness::new(1, &[]);
    let ahead = NOW.0 / 1000 + 3_600_000;
    assert!(matches!(
        &harness.receive(2, false, &[server("a", "up", 1, ahead)])[..],
        [Anomaly::StartInFuture { .. }]
    ));
    let clamped = AppliedServer { state: State::Ready, boot_ms: NOW.0 / 1000 };
    assert_eq!(harness.applied["a"], clamped);
    let later = Time(NOW.0 + 60_000_000);
    let delivery = harness.table.apply(later, list(3, true, &[server("a", "up", 1, ahead)]), false);
    assert_eq!(harness.apply(delivery), [], "reported as a restart");
    assert_eq!(harness.applied["a"], clamped);
}

#[test]
fn invalid_entries_do_not_discard_valid_entries_or_drains() {
    let mut harness =
        Harness::new(1, &[server("a", "up", 1, 0), server("b", "up", 2, 0), server("c", "up", 3, 0)]);
    let line = br#"{"rev":2,"all":false,"targets":[
        {"uid":"a","state":"draining","endpoint":"nowhere"}, 7, {"uid":"b","state":"resting","az":[]},
        {"uid":"x","state":"up","endpoint":"127.0.0.1:70000"}, {"state":"up"},
        {"uid":"d","state":"up","endpoint":"127.0.0.1:9","capacity_hint":-3.0}]}"#;
    let listing = Listing::decode(line).unwrap();
    assert_eq!(listing.decode_errors.len(), 5);
    let delivery = harness.table.apply(NOW, listing, false);
    assert_eq!(harness.apply(delivery).len(), 5);
    assert_eq!(harness.ready(), ["c", "d"]);
    for no_list in [&b"{}"[..], b"[]", b"7", b"{\"rev\":-1,\"targets\":[]}", b"{\"rev\":1,\"targets\":{}}"] {
        assert!(Listing::decode(no_list).is_err());
    }
}

#[test]
fn snapshot_round_trips_and_rejects_any_damage() {
    let listing = list(9, true, &[server("a", "up", 1, 5), server("b", "draining", 2, 0)]);
    let snapshot = Snapshot { fresh_at: NOW, listing, interest: Interest::default() };
    let bytes = snapshot.encode();
    assert_eq!(Snapshot::decode(&bytes).unwrap(), snapshot);
    // Truncated or altered at any byte, it is rejected.
    for at in 0..bytes.len() {
        assert!(Snapshot::decode(&bytes[..at]).is_err(), "cut at {at}");
        let mut damaged = bytes.clone();
        damaged[at] ^= 1;
        assert!(Snapshot::decode(&damaged).is_err(), "changed at {at}");
    }
}

/// Guards against a process killed for its memory, and held up for seconds: a message of 4 MiB had two million entries.
#[test]
fn message_with_too_many_entries_is_an_error() {
    let message = |entries: usize| format!(r#"{{"rev":2,"targets":[0{}]}}"#, ",0".repeat(entries - 1));
    assert!(Listing::decode(message(MAX_ENTRIES).as_bytes()).is_ok());
    assert!(Listing::decode(message(MAX_ENTRIES + 1).as_bytes()).is_err());
}
