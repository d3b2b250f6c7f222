//! The fleet of a scale run, drawn from its seed: the entries of the list, and the services that each sidecar calls.

use dunlincleat_trial::control::Entry;
use rand::rngs::SmallRng;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

/// What the fleet is drawn by: the letter's figures, and assumptions of our own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Endpoints, each with its sidecar.
    pub endpoints: usize,
    /// Services at that size.
    pub services: usize,
    /// Zones.
    pub zones: usize,
    /// Services that a sidecar calls, in the mean.
    pub calls: f64,
    /// And at the most, but for the hub that calls all.
    pub most_calls: usize,
    /// Changes a day.
    pub changes_a_day: f64,
    /// Changes a second at peak.
    pub peak: f64,
    /// Restarts a day.
    pub restarts_a_day: f64,
    /// Control machines.
    pub controls: usize,
}

impl Default for Figures {
    fn default() -> Figures {
        Figures {
            endpoints: 3100,
            services: 490,
            zones: 8,
            calls: 6.0,
            most_calls: 60,
            changes_a_day: 7700.0,
            peak: 10.0,
            restarts_a_day: 780.0,
            controls: 7,
        }
    }
}

/// A fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The list at the start; the server of a number is the neighbour of the sidecar of that number.
    pub entries: Vec<Entry>,
    /// The services that each sidecar calls.
    pub calls: Vec<BTreeSet<String>>,
    /// The names of the zones.
    pub zones: Vec<String>,
}

fn service(number: usize) -> String {
    format!("svc-{number:03}")
}

impl Fleet {
    /// A fleet of so many endpoints, of which the first have sidecars that are played.
    pub fn draw(seed: u64, figures: &Figures, endpoints: usize, sidecars: usize) -> Fleet {
        let mut rng = SmallRng::seed_from_u64(seed);
        let services = (figures.services * endpoints).div_ceil(figures.endpoints).max(2);
        let zones: Vec<String> = (0..figures.zones).map(|zone| format!("zone-{zone}")).collect();
        let entries = (0..endpoints).map(|n| {
            // Each service has an endpoint; of the others a third is of the first services, which are large.
            let of = match n {
                n if n < services => n,
                _ if rng.random_bool(1.0 / 3.0) => rng.random_range(0..services.div_ceil(50)),
                _ => rng.random_range(0..services),
            };
            // Nobody listens there; and were it called, it is this machine.
            let at = Ipv4Addr::new(127, 200, (n >> 8) as u8, n as u8);
            Entry {
                uid: format!("s-{:08x}", rng.random::<u32>()),
                endpoint: SocketAddr::from((at, 5000)),
                az: zones[n % zones.len()].clone(),
                model: service(of),
                pod_group: (n / 64) as u32,
                state: "up".to_owned(),
                capacity_hint: 1.0,
                boot_ms: 0,
            }
        });
        let entries = entries.collect();
        let most = figures.most_calls.min(services);
        let calls = (0..sidecars).map(|n| {
            let wanted = match n {
                // The hub that calls all, and in each hundred one that calls many.
                0 => services,
                n if n % 100 == 50 => most,
                // Geometric, so that many call few.
                _ => {
                    let part = 1.0 / figures.calls.max(1.0);
                    let drawn = (1.0 - rng.random::<f64>()).ln() / (1.0 - part).ln().min(-1e-9);
                    (drawn.ceil() as usize).clamp(1, most)
                }
            };
            sample(&mut rng, services, wanted).into_iter().map(service).collect()
        });
        Fleet { entries, calls: calls.collect(), zones }
    }
}
