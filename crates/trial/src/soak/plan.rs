//! What a seed of the soak draws: deadlines, clients, what goes wrong, and the signals.

use crate::audit::Bounds;
use crate::rig::{ClassTimes, sidecar_config};
use crate::schedule::{Fault, Step};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// The one instance.
pub(super) const NAME: &str = "n0";
/// Stand-in servers.
pub(super) const SERVERS: usize = 4;
/// How long clients ask before the process is told to end, in milliseconds.
pub(super) const SERVES_MS: u64 = 2500;
/// For how long after that the process still takes new connections: every second further signal comes within it.
const STILL_SERVES_MS: u64 = 500;
/// What the process is told that it may hold where a crowd comes, and what clients and servers have of it.
const CROWDED_SOCKETS: usize = 104;
const CROWDED_CLIENTS: usize = 36;
const CROWDED_SERVERS: usize = 8;

/// What the seed draws.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The longest deadline.
    pub max_deadline: Duration,
    /// Clients that ask.
    pub clients: usize,
    /// Idle clients hold every place that there is.
    pub crowd: bool,
    /// Discovery can't be reached from here on.
    pub discovery_down: bool,
    /// Servers that stand still.
    pub hung: Vec<usize>,
    /// Servers whose answers come late.
    pub slow: Vec<SlowServer>,
    /// Signals, by time; the first that ends the process is sent after `SERVES_MS`.
    pub signals: Vec<Step>,
}

/// A server whose answers come late.
#[derive(Clone, Copy, Debug)]
pub struct SlowServer {
    /// Which.
    pub server: usize,
    /// By how much, in milliseconds.
    pub delay_ms: u64,
}

impl Plan {
    /// Draws a plan.
    #[must_use]
    pub fn draw(rng: &mut SmallRng) -> Plan {
        let wait_ms = rng.random_range(300..=3000);
        let mut servers: Vec<usize> = (0..SERVERS).collect();
        servers.shuffle(rng);
        let hung = servers.split_off(SERVERS - rng.random_range(0..=2));
        let late = rng.random_range(0..=1);
        let slow = servers[..late]
            .iter()
            .map(|server| SlowServer { server: *server, delay_ms: rng.random_range(20..=200) })
            .collect();
        let process = NAME.to_owned();
        let ends = |interrupt: bool| {
            if interrupt {
                Fault::Interrupt { process: process.clone() }
            } else {
                Fault::Term { process: process.clone() }
            }
        };
        let reload = || Fault::Reload { process: process.clone() };
        let step = |at_ms: f64, fault| Step { at_ms: at_ms as u64, fault };
        let serves = SERVES_MS as f64;
        let mut signals = vec![step(serves, ends(rng.random_bool(0.3)))];
        // In series, while it serves and after it was told to end.
        for _ in 0..rng.random_range(2..=5) {
            signals.push(step(serves * rng.random_range(0.1..1.0), reload()));
        }
        for n in 0..rng.random_range(2..=5) {
            let within = if n % 2 == 0 { STILL_SERVES_MS.min(wait_ms) } else { wait_ms };
            let at_ms = serves + within as f64 * rng.random::<f64>();
            signals
                .push(step(at_ms, if rng.random_bool(0.4) { reload() } else { ends(rng.random_bool(0.5)) }));
        }
        // At once with the one that ends it.
        if rng.random_bool(0.5) {
            signals.push(step(serves, reload()));
            signals.push(step(serves, ends(rng.random_bool(0.5))));
        }
        signals.sort_by_key(|step| step.at_ms);
        Plan {
            max_deadline: Duration::from_millis(wait_ms),
            clients: rng.random_range(12..=24),
            crowd: rng.random_bool(0.3),
            discovery_down: rng.random_bool(0.3),
            hung,
            slow,
            signals,
        }
    }

    /// The configuration of the process, another at each reload.
    pub(super) fn sidecar_config(
        &self,
        discovery: SocketAddr,
        known: &Value,
        bounds: Bounds,
        rng: &mut SmallRng,
    ) -> Value {
        let aim = self.max_deadline.mul_f64(rng.random_range(0.3..1.0));
        let times = ClassTimes { aim, client_timeout: self.max_deadline, grace: bounds.drain_grace };
        let mut config = sidecar_config(times, NAME, discovery, known, rng.random());
        config["settings"]["limits"]["try_limit"] = json!(rng.random_range(2..=4));
        if self.crowd {
            config["limits"] = json!({"cores": 1.0, "memory_mb": 192, "sockets": CROWDED_SOCKETS});
            config["sidecar"] =
                json!({"client_connections": CROWDED_CLIENTS, "server_connections": CROWDED_SERVERS});
        }
        config
    }
}
