//! What the soak draws from a seed: deadlines, clients, faults and signals.

use crate::audit::Bounds;
use crate::rig::{ClassTimes, sidecar_config};
use crate::schedule::{Fault, Step};
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// The only instance.
pub(super) const INSTANCE: &str = "n0";
/// Number of stub servers.
pub(super) const SERVER_COUNT: usize = 4;
/// How long clients send requests before the process is requested to terminate, in milliseconds.
pub(super) const SERVING_MS: u64 = 2500;
/// How long after that the process still accepts connections, in milliseconds: every second further signal is sent
/// within it.
const ACCEPTING_MS: u64 = 500;
/// The process's limit of sockets where there is a crowd.
const CROWDED_SOCKET_LIMIT: usize = 104;
/// The client connections within that limit.
const CROWDED_CLIENTS: usize = 36;
/// The server connections within that limit.
const CROWDED_SERVERS: usize = 8;

/// What is drawn from the seed.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The longest deadline.
    pub max_deadline: Duration,
    /// Number of clients.
    pub clients: usize,
    /// Whether idle clients take all free connections.
    pub crowd: bool,
    /// Whether discovery can't be reached from the start.
    pub discovery_down: bool,
    /// Servers that are stopped.
    pub hung: Vec<usize>,
    /// Servers whose answers are delayed.
    pub slow: Vec<SlowServer>,
    /// Signals by time; the first one that terminates the process is sent after `SERVING_MS`.
    pub signals: Vec<Step>,
}

/// A server whose answers are delayed.
#[derive(Clone, Copy, Debug)]
pub struct SlowServer {
    /// Its number.
    pub server: usize,
    /// The delay in milliseconds.
    pub delay_ms: u64,
}

impl Plan {
    /// Draws a plan.
    #[must_use]
    pub fn draw(rng: &mut SmallRng) -> Plan {
        let max_deadline_ms = rng.random_range(300..=3000);
        let mut servers: Vec<usize> = (0..SERVER_COUNT).collect();
        servers.shuffle(rng);
        let hung = servers.split_off(SERVER_COUNT - rng.random_range(0..=2));
        let slow_count = rng.random_range(0..=1);
        let slow = servers[..slow_count]
            .iter()
            .map(|server| SlowServer { server: *server, delay_ms: rng.random_range(20..=200) })
            .collect();
        let process = INSTANCE.to_owned();
        let terminate = |interrupt: bool| {
            if interrupt {
                Fault::Interrupt { process: process.clone() }
            } else {
                Fault::Term { process: process.clone() }
            }
        };
        let reload = || Fault::Reload { process: process.clone() };
        let step = |at_ms: f64, fault| Step { at_ms: at_ms as u64, fault };
        let serving_ms = SERVING_MS as f64;
        let mut signals = vec![step(serving_ms, terminate(rng.random_bool(0.3)))];
        // Signals in series, while the process serves and after it was requested to terminate.
        for _ in 0..rng.random_range(2..=5) {
            signals.push(step(serving_ms * rng.random_range(0.1..1.0), reload()));
        }
        for n in 0..rng.random_range(2..=5) {
            let within = if n % 2 == 0 { ACCEPTING_MS.min(max_deadline_ms) } else { max_deadline_ms };
            let at_ms = serving_ms + within as f64 * rng.random::<f64>();
            signals.push(step(
                at_ms,
                if rng.random_bool(0.4) { reload() } else { terminate(rng.random_bool(0.5)) },
            ));
        }
        // Signals at the same time as the terminating one.
        if rng.random_bool(0.5) {
            signals.push(step(serving_ms, reload()));
            signals.push(step(serving_ms, terminate(rng.random_bool(0.5))));
        }
        signals.sort_by_key(|step| step.at_ms);
        Plan {
            max_deadline: Duration::from_millis(max_deadline_ms),
            clients: rng.random_range(12..=24),
            crowd: rng.random_bool(0.3),
            discovery_down: rng.random_bool(0.3),
            hung,
            slow,
            signals,
        }
    }

    /// The configuration of the process, which differs at each reload.
    pub(super) fn sidecar_config(
        &self,
        discovery: SocketAddr,
        known: &Value,
        bounds: Bounds,
        rng: &mut SmallRng,
    ) -> Value {
        let aim = self.max_deadline.mul_f64(rng.random_range(0.3..1.0));
        let times = ClassTimes { aim, client_timeout: self.max_deadline, drain_grace: bounds.drain_grace };
        let mut config = sidecar_config(times, INSTANCE, discovery, known, rng.random());
        config["settings"]["limits"]["try_limit"] = json!(rng.random_range(2..=4));
        if self.crowd {
            config["limits"] = json!({"cores": 1.0, "memory_mb": 192, "sockets": CROWDED_SOCKET_LIMIT});
            config["sidecar"] =
                json!({"client_connections": CROWDED_CLIENTS, "server_connections": CROWDED_SERVERS});
        }
        config
    }
}
