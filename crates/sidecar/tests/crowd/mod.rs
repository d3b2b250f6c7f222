//! Crowds of bad clients drawn from a seed, played against a sidecar process beside good clients.

#![allow(dead_code)]

pub mod bad_client;
pub mod good_client;
pub mod plan;
pub mod server;

use super::common::{Setup, entry};
use bad_client::{BadClient, Behaviour};
use good_client::{GoodCounts, GoodKind};
use plan::{CrowdPlan, Wave};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use server::LongServer;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Number of servers behind the sidecar.
const SERVERS: usize = 4;
/// Interval between two looks at all bad clients, and between two readings of memory.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time after the last crowd in which good clients go on.
const AFTERMATH: Duration = Duration::from_secs(1);

/// What was measured while a plan was played.
pub struct Outcome {
    /// The plan.
    pub plan: CrowdPlan,
    /// The highest resident memory of the process, in bytes.
    pub peak: usize,
    /// Resident memory at the end of each wave, in bytes.
    pub after_wave: Vec<usize>,
    /// The requests of good clients by kind of client.
    pub good: Vec<(GoodKind, GoodCounts)>,
    /// Connections that bad clients opened.
    pub bad_connections: usize,
}

impl Outcome {
    /// The memory limit, in bytes.
    pub fn limit(&self) -> usize {
        self.plan.memory_mib << 20
    }

    /// The requests of all good clients.
    pub fn all_good(&self) -> GoodCounts {
        self.good.iter().fold(GoodCounts::default(), |sum, (_, counts)| sum + *counts)
    }
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} of {} KiB at the peak; after each wave",
            self.plan,
            self.peak >> 10,
            self.limit() >> 10
        )?;
        for memory in &self.after_wave {
            write!(f, " {}", memory >> 10)?;
        }
        write!(f, "; {} bad connections; good", self.bad_connections)?;
        for (kind, counts) in &self.good {
            write!(f, ", {kind:?} {counts}")?;
        }
        Ok(())
    }
}

/// Plays a plan and measures. The process and all clients have ended when this returns.
pub fn play(plan: CrowdPlan) -> Outcome {
    let servers: Vec<LongServer> = (0..SERVERS).map(|_| LongServer::start()).collect();
    let known =
        servers.iter().enumerate().map(|(n, server)| entry(&format!("s{n}"), server.address, "up")).collect();
    let setup = Setup::new(known)
        .set("/limits/memory_mb", json!(plan.memory_mib))
        .set("/limits/sockets", json!(plan.descriptors))
        .set("/settings/tenants", json!([]))
        .set("/sidecar/log", json!("info"));
    let listen: SocketAddr = setup.config["listen"].as_str().unwrap().parse().unwrap();
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        let mut waves = plan.waves.iter();
        // The first crowd is there before the process listens.
        let early = plan.present_at_start.then(|| {
            let wave = waves.next().unwrap();
            let rng = SmallRng::from_rng(&mut rng);
            scope.spawn(move || play_wave(wave, listen, rng))
        });
        let sidecar = if early.is_some() { setup.spawn() } else { setup.start() };
        let good: Vec<_> = GoodKind::ALL
            .into_iter()
            .map(|kind| {
                (
                    kind,
                    scope.spawn({
                        let over = &over;
                        move || good_client::run(kind, listen, over)
                    }),
                )
            })
            .collect();
        let mut bad_connections = early.map_or(0, |wave| wave.join().unwrap());
        let mut after_wave = Vec::new();
        if plan.present_at_start {
            after_wave.push(sidecar.resident_memory());
        }
        for wave in waves {
            bad_connections += play_wave(wave, listen, SmallRng::from_rng(&mut rng));
            after_wave.push(sidecar.resident_memory());
            thread::sleep(wave.pause_after);
        }
        thread::sleep(AFTERMATH);
        over.store(true, Ordering::SeqCst);
        let good = good.into_iter().map(|(kind, thread)| (kind, thread.join().unwrap())).collect();
        if std::env::var_os("CROWD_LOG").is_some() {
            println!("{}", sidecar.log.all().join("\n"));
        }
        // The system's figure of the peak lags behind.
        let peak = after_wave.iter().copied().fold(sidecar.peak_resident_memory(), usize::max);
        Outcome { peak, plan: plan.clone(), after_wave, good, bad_connections }
    })
}

/// Plays one crowd; returns how many connections it opened.
fn play_wave(wave: &Wave, listen: SocketAddr, mut rng: SmallRng) -> usize {
    let start = Instant::now();
    let bodies: Vec<Arc<[u8]>> = wave.behaviours.iter().map(Behaviour::body).collect();
    let mut clients: Vec<BadClient> = (0..wave.clients)
        .map(|_| {
            let drawn = rng.random_range(0..wave.behaviours.len());
            let begins = start + wave.ramp.mul_f64(rng.random());
            BadClient::new(wave.behaviours[drawn].clone(), bodies[drawn].clone(), begins, rng.random())
        })
        .collect();
    while start.elapsed() < wave.duration {
        let now = Instant::now();
        for client in &mut clients {
            client.step(listen, now);
        }
        thread::sleep(POLL_INTERVAL);
    }
    clients.iter().map(BadClient::connections).sum()
}

/// Whether the process keeps its promises; what it broke otherwise.
pub fn verdict(outcome: &Outcome, min_served_percent: usize) -> Result<(), String> {
    let good = outcome.all_good();
    if outcome.peak >= outcome.limit() {
        return Err(format!("over the memory limit: {outcome}"));
    }
    if 100 * good.served < min_served_percent * good.sent {
        return Err(format!("good clients not served: {outcome}"));
    }
    Ok(())
}
