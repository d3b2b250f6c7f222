//! Cost of one duty's lease to all members together, over a simulated network without loss.

use super::{Context, thread_cpu_us};
use anyhow::{Result, bail};
use dunlincleat_duties::{Datagram, Destination, DutySpec, Input, LeaseConfig, Member, Moment, Output};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Length of a lease, in microseconds: the default.
const LEASE_US: u64 = 1_500_000;
/// Tolerated clock drift, in parts per million: the default.
const DRIFT_PPM: u64 = 10_000;
/// One-way delay of a datagram, in microseconds.
const NETWORK_DELAY_US: u64 = 500;
const FLEET: &str = "fleet";

/// A scheduled event at a member, ordered by time and then by insertion.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at: u64,
    sequence: u64,
    to: usize,
    /// Sender and bytes of a datagram; `None` for a timer.
    datagram: Option<(usize, Vec<u8>)>,
}

/// Datagrams sent and their bytes.
#[derive(Clone, Copy, Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
}

struct Fleet {
    members: Vec<Member>,
    names: Vec<String>,
    /// Earliest scheduled timer of each member, in microseconds; `u64::MAX` for none.
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

    /// Schedules a member's next timer, unless an earlier one is scheduled already.
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
                        bail!("member {to} received a datagram that does not decode")
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

/// Messages, bytes and processor time of all members together during one lease, with a holder that renews it.
pub fn lease(context: &Context, members: usize) -> Result<Vec<f64>> {
    let mut fleet = Fleet::new(members);
    // Voters spread the requests of the candidates over at most 32 leases; this is over after the warm-up.
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
