//! One duty and its members, over a network that loses nothing: what a lease costs all of them together.

use super::{Context, thread_cpu_us};
use anyhow::{Result, bail};
use dunlincleat_duties::{Datagram, Destination, DutySpec, Input, LeaseConfig, Member, Moment, Output};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The default lease, and by how many millionths clocks may run off.
const LEASE_US: u64 = 1_500_000;
const DRIFT_PPM: u64 = 10_000;
/// A datagram's way.
const NETWORK_DELAY_US: u64 = 500;
const FLEET: &str = "fleet";

/// What is to happen to a member, in order of time and then of saying.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at: u64,
    sequence: u64,
    to: usize,
    /// Who said it, and its bytes; nothing where the member is to be woken.
    datagram: Option<(usize, Vec<u8>)>,
}

/// What was said.
#[derive(Clone, Copy, Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
}

struct Fleet {
    members: Vec<Member>,
    names: Vec<String>,
    /// The next waking that is set for each.
    wake_times: Vec<u64>,
    events: BinaryHeap<Reverse<Event>>,
    sequence: u64,
    traffic: Traffic,
}

impl Fleet {
    fn new(members: usize) -> Fleet {
        let names: Vec<String> = (0..members).map(|n| format!("sidecar-{n:04}")).collect();
        let voters = names.iter().take(if members < 5 { 3 } else { 5 }).cloned().collect();
        let lease_config = LeaseConfig { lease_us: LEASE_US, drift_ppm: DRIFT_PPM, voters };
        let duties = [DutySpec { name: "settle".to_owned(), schedule: None }];
        let member = |(n, name): (usize, &String)| {
            Member::new(name, n as u64 + 1, lease_config.clone(), &duties, Moment(0), true)
        };
        let members: Vec<Member> = names.iter().enumerate().map(member).collect();
        let wake_times = vec![u64::MAX; members.len()];
        let mut fleet = Fleet {
            members,
            names,
            wake_times,
            events: BinaryHeap::new(),
            sequence: 0,
            traffic: Traffic::default(),
        };
        (0..fleet.members.len()).for_each(|n| fleet.schedule_wake(n));
        fleet
    }

    fn push(&mut self, at: u64, to: usize, datagram: Option<(usize, Vec<u8>)>) {
        self.sequence += 1;
        self.events.push(Reverse(Event { at, sequence: self.sequence, to, datagram }));
    }

    /// Has a member woken when it wants to be.
    fn schedule_wake(&mut self, n: usize) {
        let wake_at = self.members[n].wake_at().0;
        if wake_at < self.wake_times[n] {
            self.wake_times[n] = wake_at;
            self.push(wake_at, n, None);
        }
    }

    fn run_until(&mut self, until: u64) -> Result<()> {
        while self.events.peek().is_some_and(|Reverse(event)| event.at <= until) {
            let Some(Reverse(Event { at, to, datagram, .. })) = self.events.pop() else { break };
            let (sender, input) = match datagram {
                None => {
                    self.wake_times[to] = u64::MAX;
                    (None, Input::Tick)
                }
                Some((from, bytes)) => {
                    let Some(read) = Datagram::decode(&bytes, FLEET) else {
                        bail!("a datagram can't be read")
                    };
                    let Datagram { from: name, incarnation, in_reply_to, message, .. } = read;
                    (Some(from), Input::Received { from: name, incarnation, in_reply_to, message })
                }
            };
            let mut out = Vec::new();
            self.members[to].handle(Moment(at), input, &mut out);
            for output in out {
                let Output::Send { to: recipient, in_reply_to, message } = output else { continue };
                let recipient = match recipient {
                    Destination::Voter(voter) => Some(voter),
                    Destination::Sender => sender,
                };
                let incarnation = self.members[to].incarnation();
                let datagram = Datagram::new(FLEET, &self.names[to], incarnation, in_reply_to, message);
                let (Some(recipient), Some(bytes)) = (recipient, datagram.encode()) else { continue };
                self.traffic.messages += 1;
                self.traffic.bytes += bytes.len() as u64;
                self.push(at + NETWORK_DELAY_US, recipient, Some((to, bytes)));
            }
            self.schedule_wake(to);
        }
        Ok(())
    }
}

/// Messages, bytes and processor time of all members together in one lease, with a holder that renews.
pub fn lease(context: &Context, members: usize) -> Result<Vec<f64>> {
    let mut fleet = Fleet::new(members);
    // Until those that ask have spread as voters tell them to: at the most over 32 leases.
    let (warm_up_leases, measured_leases) = (64, 64);
    fleet.run_until(warm_up_leases * LEASE_US)?;
    let (before, first) = (fleet.traffic, thread_cpu_us());
    fleet.run_until((warm_up_leases + measured_leases) * LEASE_US)?;
    let took = thread_cpu_us() - first;
    let holds = |member: &&Member| {
        member.held_fence("settle", Moment((warm_up_leases + measured_leases) * LEASE_US)).is_some()
    };
    if fleet.members.iter().filter(holds).count() != 1 {
        bail!("the duty has no holder among {members} members, or more than one, seed {}", context.seed);
    }
    let each = |n: u64| n as f64 / measured_leases as f64;
    Ok(vec![
        each(fleet.traffic.messages - before.messages),
        each(fleet.traffic.bytes - before.bytes),
        took / measured_leases as f64,
    ])
}
