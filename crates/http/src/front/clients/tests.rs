//! Tests of `clients.rs`.

use super::*;
use dunlincleat::api::Span;
use dunlincleat_directory::{Interest, Timing};

const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

pub(in crate::front) fn options() -> HttpOptions {
    HttpOptions {
        max_body_bytes: 64 * 1024,
        max_client_connections: 10,
        client_request_timeout: Duration::from_secs(2),
        client_idle_timeout: IDLE_TIMEOUT,
        max_server_connections: 10,
        max_requests: 10,
        memory_limit_bytes: 32 << 20,
        max_connection_bytes: 1 << 20,
        max_receiving_bytes: 1 << 20,
        max_responding_bytes: 1 << 20,
        server_idle_timeout: Duration::from_secs(3),
        connect_timeout: Duration::from_secs(1),
        probe_timeout: Duration::from_secs(1),
        response_stall_timeout: Duration::from_millis(75),
        watch_timing: Timing::derive(Span(2_000_000), Span(6_000_000), Span(1_000_000)),
        interest: Interest::default(),
        list_file: None,
        limits_halved: Rc::default(),
    }
}

/// Guards against a long response cut off before its last bytes: when all of it had been read from the server, its
/// connection counted as idle, and was closed although the rest waited for room.
#[test]
fn connection_with_the_rest_of_a_response_is_not_idle() {
    let options = options();
    let client = ClientConnection::new(false, &MemoryBudget::new(&options), Weak::new());
    client.response_waits();
    for phase in [Phase::Idle, Phase::Draining] {
        client.enter(phase);
        for stage in [Stage::Active, Stage::StandbyClosingIdle, Stage::ShutdownClosingIdle] {
            let deadline = client.deadline(&options, stage).unwrap();
            assert!(deadline > Instant::now() + 2 * IDLE_TIMEOUT, "{phase:?}, {stage:?}");
        }
        assert_eq!(client.eviction_rank(Instant::now() + 2 * IDLE_TIMEOUT), None);
    }
    client.response_bytes_taken(false);
    client.enter(Phase::Idle);
    assert!(client.deadline(&options, Stage::Active).unwrap() <= Instant::now() + IDLE_TIMEOUT);
}

/// Each byte that the client takes gives it the whole time again; one that takes none is given up.
#[test]
fn client_is_given_up_when_it_takes_nothing_of_its_response() {
    let options = options();
    let client = ClientConnection::new(false, &MemoryBudget::new(&options), Weak::new());
    client.enter(Phase::Processing);
    assert_eq!(client.deadline(&options, Stage::Active), None);
    client.response_waits();
    let first = client.deadline(&options, Stage::Active).unwrap();
    client.response_waits();
    assert_eq!(client.deadline(&options, Stage::Active), Some(first));
    client.response_bytes_taken(true);
    assert!(client.deadline(&options, Stage::Active).unwrap() > first);
    let now = Instant::now() + CLIENT_STALL_TIMEOUT;
    client.request_close();
    client.after_sweep(now);
    assert_eq!(client.termination.get(), Some(Termination::ClientLeft));
}

/// Guards against clients locked out by others that write slowly: where many bodies are being received and nothing else
/// may give way, the slowest one does, and no request that was received completely.
#[test]
fn slowest_of_many_bodies_gives_way() {
    let options = Rc::new(options());
    let clients = Rc::new(Clients {
        memory: MemoryBudget::new(&options),
        options,
        connections: RefCell::default(),
        next_id: Cell::new(0),
        accepting: Cell::new(true),
        ends: ConnectionEnds::default(),
    });
    let places = std::sync::Arc::new(tokio::sync::Semaphore::new(3));
    let slots: Vec<ClientSlot> =
        (0..3).map(|_| clients.register(places.clone().try_acquire_owned().unwrap())).collect();
    let now = Instant::now() + Duration::from_millis(100);
    assert!(!clients.evict_one(now), "silent connections have longer");
    for (slot, received) in slots.iter().zip([9_000, 10, 0]) {
        slot.state.start_body(Some(10_000));
        slot.state.phase_bytes.set(received);
    }
    // The request of the third connection was received completely and waits for its place.
    let mut framer = slots[2].state.framer.borrow_mut();
    framer.append_input(b"GET / HTTP/1.1\r\n\r\n");
    framer.parse_input().unwrap();
    drop(framer);
    assert!(clients.evict_one(now));
    let evicted = |slot: &ClientSlot| slot.state.closing_since.get().is_some();
    assert_eq!(slots.iter().map(evicted).collect::<Vec<_>>(), [false, true, false]);
}
