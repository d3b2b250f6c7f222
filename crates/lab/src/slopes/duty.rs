//! One duty and its members, over a network that loses nothing: what a lease costs all of them together.

use super::{Context, cpu};
use anyhow::{Result, bail};
use dunlincleat_duties::{Datagram, Destination, DutySpec, Input, LeaseConfig, Member, Moment, Output};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The default lease, and by how many millionths clocks may run off.
const LEASE: u64 = 1_500_000;
const DRIFT: u64 = 10_000;
/// A datagram's way.
const WAY: u64 = 500;
const FLEET: &str = "fleet";

/// What is to happen to a member, in order of time and then of saying.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: u64,
    order: u64,
    to: usize,
    /// Who said it, and its bytes; nothing where the member is to be woken.
    datagram: Option<(usize, Vec<u8>)>,
}

/// What was said.
#[derive(Clone, Copy, Default)]
struct Said {
    messages: u64,
    bytes: u64,
}

struct Fleet {
    members: Vec<Member>,
    names: Vec<String>,
    /// The next waking that is set for each.
    woken: Vec<u64>,
    due: BinaryHeap<Reverse<Due>>,
    order: u64,
    said: Said,
}

impl Fleet {
    fn new(members: usize) -> Fleet {
        let names: Vec<String> = (0..members).map(|n| format!("sidecar-{n:04}")).collect();
        let voters = names.iter().take(if members < 5 { 3 } else { 5 }).cloned().collect();
        let terms = LeaseConfig { lease_us: LEASE, drift_ppm: DRIFT, voters };
        let duties = [DutySpec { name: "settle".to_owned(), schedule: None }];
        let member = |(n, name): (usize, &String)| {
            Member::new(name, n as u64 + 1, terms.clone(), &duties, Moment(0), true)
        };
        let members: Vec<Member> = names.iter().enumerate().map(member).collect();
        let woken = vec![u64::MAX; members.len()];
        let mut fleet =
            Fleet { members, names, woken, due: BinaryHeap::new(), order: 0, said: Said::default() };
        (0..fleet.members.len()).for_each(|n| fleet.plan(n));
        fleet
    }

    fn push(&mut self, at: u64, to: usize, datagram: Option<(usize, Vec<u8>)>) {
        self.order += 1;
        self.due.push(Reverse(Due { at, order: self.order, to, datagram }));
    }

    /// Has a member woken when it wants to be.
    fn plan(&mut self, n: usize) {
        let due = self.members[n].wake_at().0;
        if due < self.woken[n] {
            self.woken[n] = due;
            self.push(due, n, None);
        }
    }

    fn play(&mut self, until: u64) -> Result<()> {
        while self.due.peek().is_some_and(|Reverse(due)| due.at <= until) {
            let Some(Reverse(Due { at, to, datagram, .. })) = self.due.pop() else { break };
            let (back, input) = match datagram {
                None => {
                    self.woken[to] = u64::MAX;
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
                let Output::Send { to: hears, in_reply_to, message } = output else { continue };
                let hears = match hears {
                    Destination::Voter(voter) => Some(voter),
                    Destination::Sender => back,
                };
                let incarnation = self.members[to].incarnation();
                let datagram = Datagram::new(FLEET, &self.names[to], incarnation, in_reply_to, message);
                let (Some(hears), Some(bytes)) = (hears, datagram.encode()) else { continue };
                self.said.messages += 1;
                self.said.bytes += bytes.len() as u64;
                self.push(at + WAY, hears, Some((to, bytes)));
            }
            self.plan(to);
        }
        Ok(())
    }
}

/// Messages, bytes and processor time of all members together in one lease, with a holder that renews.
pub fn lease(context: &Context, members: usize) -> Result<Vec<f64>> {
    let mut fleet = Fleet::new(members);
    // Until those that ask have spread as voters tell them to: at the most over 32 leases.
    let (warm, leases) = (64, 64);
    fleet.play(warm * LEASE)?;
    let (before, first) = (fleet.said, cpu());
    fleet.play((warm + leases) * LEASE)?;
    let took = cpu() - first;
    let holds = |member: &&Member| member.held_fence("settle", Moment((warm + leases) * LEASE)).is_some();
    if fleet.members.iter().filter(holds).count() != 1 {
        bail!("the duty has no holder among {members} members, or more than one, seed {}", context.seed);
    }
    let each = |n: u64| n as f64 / leases as f64;
    Ok(vec![
        each(fleet.said.messages - before.messages),
        each(fleet.said.bytes - before.bytes),
        took / leases as f64,
    ])
}
