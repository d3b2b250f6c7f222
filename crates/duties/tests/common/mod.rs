//! Members in simulated time, each with a clock of its own, over a network that loses, doubles, delays and reorders; processes
//! that die, lose their memory and stand still; an auditor that knows only what is held and what is run.

#![allow(dead_code)]

use dunlincleat_duties::fault::Fault;
use dunlincleat_duties::member::EffectPermit;
use dunlincleat_duties::{
    Datagram, Destination, EffectOutcome, Fence, Input, LeaseConfig, Member, Message, Moment, Notice, Output,
    Schedule,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub const LEASE: u64 = 1_500_000;
pub const DRIFT: u64 = 10_000;
pub const PERIOD: u64 = 400_000;

#[derive(Clone, Copy, Default)]
pub struct Net {
    pub lose: f64,
    pub twice: f64,
    pub slow: f64,
    pub late: f64,
}

struct Process {
    member: Option<Member>,
    /// Its clock: real time times this, in millionths off.
    off: i64,
    from: u64,
    /// Stands still until then.
    still: u64,
    /// Asked for by the schedule while it stood still.
    cut: bool,
    life: u64,
}

struct Flying {
    at: u64,
    order: u64,
    from: usize,
    to: usize,
    datagram: Datagram,
}

enum Later {
    Run(usize, u64, EffectPermit),
    Ran(usize, u64, Input),
}

pub struct World {
    pub now: u64,
    pub rng: SmallRng,
    net: Net,
    names: Vec<String>,
    terms: LeaseConfig,
    duties: Vec<(String, Option<Schedule>)>,
    plant: Fault,
    processes: Vec<Process>,
    flying: Vec<Flying>,
    later: Vec<(u64, Later)>,
    order: u64,
    /// For each duty: the highest fence that its receiver has seen, and what it ran.
    seen: BTreeMap<String, Fence>,
    pub ran: BTreeMap<(String, u64), u64>,
    pub granted: BTreeMap<String, Fence>,
    /// Every voter lost its memory since the last grant.
    pub broken: Vec<String>,
    pub takeovers: Vec<u64>,
    vacant: BTreeMap<String, u64>,
    pub messages: u64,
    /// Lives that began without memory.
    lost: BTreeSet<usize>,
    pub fenced: u64,
}

impl World {
    pub fn new(seed: u64, members: usize, voters: usize, duties: usize, net: Net, plant: Fault) -> World {
        let names: Vec<String> = (0..members).map(|n| format!("n{n}")).collect();
        let terms = LeaseConfig { lease: LEASE, drift: DRIFT, voters: names[..voters].to_vec() };
        let effect = Some(Schedule { period: PERIOD, catch_up: seed.is_multiple_of(2) });
        let duties = (0..duties).map(|n| (format!("d{n}"), effect)).collect();
        let mut world = World {
            now: 10_000_000,
            rng: SmallRng::seed_from_u64(seed),
            net,
            names,
            terms,
            duties,
            plant,
            processes: Vec::new(),
            flying: Vec::new(),
            later: Vec::new(),
            order: 0,
            seen: BTreeMap::new(),
            ran: BTreeMap::new(),
            granted: BTreeMap::new(),
            broken: Vec::new(),
            takeovers: Vec::new(),
            vacant: BTreeMap::new(),
            messages: 0,
            lost: BTreeSet::new(),
            fenced: 0,
        };
        for n in 0..members {
            let drift = DRIFT as i64 - 1;
            let off = if n % 3 == 0 {
                drift
            } else if n % 3 == 1 {
                -drift
            } else {
                world.rng.random_range(-drift..=drift)
            };
            let from = world.rng.random_range(0..1_000_000_000);
            world.processes.push(Process { member: None, off, from, still: 0, cut: false, life: 0 });
            world.start(n);
        }
        world
    }

    fn clock(&self, n: usize) -> Moment {
        let p = &self.processes[n];
        Moment((p.from as i128 + self.now as i128 + self.now as i128 * i128::from(p.off) / 1_000_000) as u64)
    }

    /// The real time of a moment of a process's clock.
    fn real(&self, n: usize, at: Moment) -> u64 {
        if at.0 == u64::MAX {
            return u64::MAX;
        }
        let p = &self.processes[n];
        let passed = i128::from(at.0) - i128::from(p.from);
        (passed * 1_000_000 / (1_000_000 + i128::from(p.off))).max(0) as u64 + 1
    }

    pub fn start(&mut self, n: usize) {
        let (life, now) = (self.rng.random_range(1..u64::MAX), self.clock(n));
        let first = self.processes[n].life == 0 && self.now == 10_000_000;
        let member = Member::new(&self.names[n], life, self.terms.clone(), &self.duties, now, first)
            .with_fault(self.plant);
        self.processes[n].member = Some(member);
        (self.processes[n].life, self.processes[n].still) = (life, 0);
    }

    pub fn kill(&mut self, n: usize) {
        self.processes[n].member = None;
        self.lost.insert(n);
    }

    pub fn pause(&mut self, n: usize, until: u64) {
        self.processes[n].still = until;
    }

    pub fn cut(&mut self, n: usize, cut: bool) {
        self.processes[n].cut = cut;
    }

    pub fn lives(&self, n: usize) -> bool {
        self.processes[n].member.is_some()
    }

    pub fn tell(&mut self, n: usize, input: Input) {
        let now = self.clock(n);
        let mut out = Vec::new();
        if let Some(member) = &mut self.processes[n].member {
            member.handle(now, input, &mut out);
        }
        self.carry_out(n, None, out);
    }

    fn carry_out(&mut self, n: usize, back: Option<usize>, out: Vec<Output>) {
        let life = self.processes[n].life;
        for output in out {
            match output {
                Output::Send { to, answers, message } => {
                    let to = match to {
                        Destination::Voter(voter) => Some(voter),
                        Destination::Sender => back,
                    };
                    let Some(to) = to else { continue };
                    self.messages += 1;
                    let datagram = Datagram::new("fleet", &self.names[n], life, answers, message);
                    // What does not survive its encoding would not arrive.
                    let bytes = datagram.encode().expect("a datagram within its bound");
                    assert_eq!(Datagram::decode(&bytes, "fleet").as_ref(), Some(&datagram));
                    self.fly(n, to, datagram);
                }
                Output::RunEffect(held) => {
                    // The effect itself begins a little later, sometimes much later.
                    let after =
                        if self.rng.random_bool(0.1) { self.rng.random_range(0..2 * LEASE) } else { 200 };
                    self.later.push((self.now + after, Later::Run(n, life, held)));
                }
                Output::Notify(Notice::Acquired(duty, fence, unproven)) => {
                    if let Some(since) = self.vacant.remove(&duty) {
                        self.takeovers.push(self.now - since);
                    }
                    let highest = self.granted.entry(duty.clone()).or_default();
                    if fence <= *highest && !unproven {
                        self.broken.push(format!("fences rise: {duty} granted {fence:?} after {highest:?}"));
                    }
                    *highest = (*highest).max(fence);
                }
                Output::Notify(
                    Notice::Released(..) | Notice::OutcomeUnknown(..) | Notice::PeriodsSkipped(..),
                ) => {}
            }
        }
        self.audit();
    }

    fn fly(&mut self, from: usize, to: usize, datagram: Datagram) {
        if self.processes[from].cut || self.processes[to].cut || self.rng.random_bool(self.net.lose) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.net.twice));
        for _ in 0..copies {
            let mut after = self.rng.random_range(100..2_000);
            if self.rng.random_bool(self.net.slow) {
                after += self.rng.random_range(0..LEASE / 2);
            }
            if self.rng.random_bool(self.net.late) {
                after += self.rng.random_range(0..4 * LEASE);
            }
            self.order += 1;
            self.flying.push(Flying {
                at: self.now + after,
                order: self.order,
                from,
                to,
                datagram: datagram.clone(),
            });
        }
    }

    /// What an outsider sees: who believes that it holds what, at this moment, by its own clock.
    fn audit(&mut self) {
        for (duty, _) in &self.duties {
            let holds = |n: &usize| {
                let now = self.clock(*n);
                self.processes[*n].member.as_ref().is_some_and(|m| m.held_fence(duty, now).is_some())
            };
            let holders: Vec<usize> = (0..self.processes.len()).filter(holds).collect();
            if holders.len() > 1 {
                self.broken.push(format!("one holder: {duty} is held by {holders:?} at {}", self.now));
            }
            if holders.is_empty() {
                self.vacant.entry(duty.clone()).or_insert(self.now);
            }
        }
    }

    fn effect(&mut self, n: usize, held: EffectPermit) -> Option<EffectOutcome> {
        let now = self.clock(n);
        if !held.is_valid_at(now) {
            return Some(EffectOutcome::NotStarted);
        }
        let seen = self.seen.entry(held.duty.clone()).or_default();
        if held.fence < *seen {
            self.fenced += 1;
            return Some(EffectOutcome::Fenced(*seen, 0));
        }
        *seen = held.fence;
        let times = self.ran.entry((held.duty.clone(), held.period)).or_default();
        *times += 1;
        if *times > 1 {
            self.broken.push(format!("once a period: {} ran {} {times} times", held.duty, held.period));
        }
        // Its answer is lost at times.
        Some(if self.rng.random_bool(0.1) { EffectOutcome::Unknown } else { EffectOutcome::Done })
    }

    /// Goes on to the next thing that happens, but no further than that.
    pub fn step(&mut self, until: u64) -> bool {
        let due = |n: usize| {
            self.processes[n].member.as_ref().map(|m| self.real(n, m.wake_at()).max(self.processes[n].still))
        };
        let tick = (0..self.processes.len()).filter_map(|n| Some((due(n)?, n))).min();
        let flies = self
            .flying
            .iter()
            .enumerate()
            .min_by_key(|(_, f)| (f.at.max(self.processes[f.to].still), f.order));
        let flies = flies.map(|(n, f)| (f.at.max(self.processes[f.to].still), n));
        let later = self.later.iter().enumerate().map(|(n, (at, what))| {
            let (Later::Run(p, ..) | Later::Ran(p, ..)) = what;
            ((*at).max(self.processes[*p].still), n)
        });
        let later = later.min();
        let next = [tick.map(|t| t.0), flies.map(|f| f.0), later.map(|l| l.0)].into_iter().flatten().min();
        let Some(next) = next.filter(|next| *next <= until) else {
            self.now = self.now.max(until);
            return false;
        };
        self.now = self.now.max(next);
        if later.is_some_and(|l| l.0 == next) {
            let (_, what) = self.later.swap_remove(later.unwrap().1);
            match what {
                Later::Run(n, life, held) => {
                    let (duty, fence, period) = (held.duty.clone(), held.fence, held.period);
                    if self.processes[n].life == life
                        && self.lives(n)
                        && let Some(ended) = self.effect(n, held)
                    {
                        let at = self.now + self.rng.random_range(100..3_000);
                        self.later.push((
                            at,
                            Later::Ran(n, life, Input::EffectFinished { duty, fence, period, ended }),
                        ));
                    }
                }
                Later::Ran(n, life, input) => {
                    if self.processes[n].life == life && self.lives(n) {
                        self.tell(n, input);
                    }
                }
            }
        } else if flies.is_some_and(|f| f.0 == next) {
            let Flying { from, to, datagram, .. } = self.flying.swap_remove(flies.unwrap().1);
            let now = self.clock(to);
            let mut out = Vec::new();
            if let Some(member) = &mut self.processes[to].member {
                let Datagram { from, life, to, message, .. } = datagram;
                member.handle(now, Input::Received { from, life, to, message }, &mut out);
            }
            self.carry_out(to, Some(from), out);
        } else if let Some((_, n)) = tick {
            self.tell(n, Input::Tick);
        }
        true
    }

    pub fn run(&mut self, until: u64) {
        while self.broken.is_empty() && self.step(until) {}
    }

    pub fn held(&self, duty: &str) -> Option<usize> {
        let holds = |n: &usize| {
            self.processes[*n].member.as_ref().is_some_and(|m| m.held_fence(duty, self.clock(*n)).is_some())
        };
        (0..self.processes.len()).find(holds)
    }

    /// Nothing that a message brings may be more than a bounded number of bytes.
    pub fn asks(message: &Message) -> bool {
        matches!(message, Message::LeaseRequest { .. })
    }
}

/// A day of faults: kills without memory, pauses around the lease, cuts; then quiet, at the end of which the duty is held.
pub fn day(seed: u64, members: usize, voters: usize, plant: Fault) -> World {
    let mut draw = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let net = Net { lose: [0.0, 0.05, 0.2][draw.random_range(0..3)], twice: 0.05, slow: 0.05, late: 0.02 };
    let mut world = World::new(seed, members, voters, 1, net, plant);
    let mut plan: Vec<(u64, u8, usize)> = Vec::new();
    let mut at = world.now + 1_000_000;
    // Voters without memory: never so many at a time that no majority of the others remembers. What is beyond is another test.
    let mut down_until = 0;
    for _ in 0..10 {
        at += draw.random_range(50_000..1_500_000);
        let who = if draw.random_bool(0.5) { usize::MAX } else { draw.random_range(0..members) };
        plan.push((at, draw.random_range(0..4), who));
    }
    for (at, what, who) in plan {
        world.run(at);
        if !world.broken.is_empty() {
            return world;
        }
        // The holder is hit half of the time.
        let who = if who == usize::MAX { world.held("d0").unwrap_or(0) } else { who };
        match what {
            0 if who >= voters || world.now > down_until => {
                if who < voters {
                    // Silent for a lease after it is back, and learning.
                    down_until = world.now + 8 * LEASE;
                }
                world.kill(who);
                let back = world.now + draw.random_range(1_000..LEASE);
                world.run(back);
                world.start(who);
            }
            1 => world.pause(who, at + draw.random_range(1_000..4 * LEASE)),
            2 => world.cut(who, true),
            _ => (0..members).for_each(|n| world.cut(n, false)),
        }
    }
    (0..members).for_each(|n| world.cut(n, false));
    world
}
