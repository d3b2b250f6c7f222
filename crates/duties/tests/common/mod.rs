//! Members in simulated time, each with a clock of its own, on a network that loses, duplicates, delays and reorders
//! messages. Processes die, lose their memory and pause. An auditor that knows only who holds what and which effects
//! run checks the properties.

use dunlincleat_duties::fault::Fault;
use dunlincleat_duties::{
    Datagram, Destination, DutySpec, EffectOutcome, EffectPermit, Fence, Input, LeaseConfig, Member, Moment,
    Notice, Output, Schedule,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// The length of a lease, in microseconds.
pub const LEASE: u64 = 1_500_000;
/// The bound on clock rate errors, in parts per million.
pub const DRIFT: u64 = 10_000;
/// The interval of each duty's effect, in microseconds.
pub const PERIOD: u64 = 400_000;
/// The simulated time at which every world starts, in microseconds.
const START: u64 = 10_000_000;

/// The probabilities of network faults, for each message.
#[derive(Clone, Copy, Default)]
pub struct Network {
    pub loss: f64,
    pub duplication: f64,
    /// A delay of up to half a lease.
    pub short_delay: f64,
    /// A delay of up to four leases.
    pub long_delay: f64,
}

struct Process {
    member: Option<Member>,
    /// The rate error of its clock, in parts per million.
    drift_ppm: i64,
    /// What its clock showed at simulated time 0.
    clock_offset: u64,
    paused_until: u64,
    /// Cut off from all other processes.
    partitioned: bool,
    incarnation: u64,
}

struct InFlight {
    deliver_at: u64,
    order: u64,
    from: usize,
    to: usize,
    datagram: Datagram,
}

/// Something that happens in a process unless it dies first.
struct Scheduled {
    at: u64,
    process: usize,
    incarnation: u64,
    event: Event,
}

enum Event {
    StartEffect(EffectPermit),
    ReportEffect(Input),
}

/// An effect that ran: the duty and the number of its period.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EffectId {
    duty: String,
    period: u64,
}

/// When something happens, and its index; earlier ones first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: u64,
    index: usize,
}

pub struct World {
    pub now: u64,
    pub rng: SmallRng,
    network: Network,
    names: Vec<String>,
    config: LeaseConfig,
    duties: Vec<DutySpec>,
    fault: Fault,
    processes: Vec<Process>,
    in_flight: Vec<InFlight>,
    scheduled: Vec<Scheduled>,
    order: u64,
    /// The highest fence that the receiver of each duty's effects has seen.
    receiver_fences: BTreeMap<String, Fence>,
    /// How many times each effect ran.
    pub effects_run: BTreeMap<EffectId, u64>,
    /// The highest fence granted for each duty.
    pub granted: BTreeMap<String, Fence>,
    /// The violations of the properties found by the auditor.
    pub violations: Vec<String>,
    /// How long each duty without a holder waited for the next one.
    pub takeovers_us: Vec<u64>,
    /// Since when each duty has had no holder.
    vacant_since: BTreeMap<String, u64>,
    pub messages: u64,
    /// The number of effects refused by their receiver.
    pub fenced: u64,
}

impl World {
    pub fn new(
        seed: u64,
        members: usize,
        voters: usize,
        duties: usize,
        network: Network,
        fault: Fault,
    ) -> World {
        let names: Vec<String> = (0..members).map(|n| format!("n{n}")).collect();
        let config = LeaseConfig { lease_us: LEASE, drift_ppm: DRIFT, voters: names[..voters].to_vec() };
        let schedule = Some(Schedule { period_us: PERIOD, catch_up: seed.is_multiple_of(2) });
        let duties = (0..duties).map(|n| DutySpec { name: format!("d{n}"), schedule }).collect();
        let mut world = World {
            now: START,
            rng: SmallRng::seed_from_u64(seed),
            network,
            names,
            config,
            duties,
            fault,
            processes: Vec::new(),
            in_flight: Vec::new(),
            scheduled: Vec::new(),
            order: 0,
            receiver_fences: BTreeMap::new(),
            effects_run: BTreeMap::new(),
            granted: BTreeMap::new(),
            violations: Vec::new(),
            takeovers_us: Vec::new(),
            vacant_since: BTreeMap::new(),
            messages: 0,
            fenced: 0,
        };
        for n in 0..members {
            let bound = DRIFT as i64 - 1;
            let drift_ppm = match n % 3 {
                0 => bound,
                1 => -bound,
                _ => world.rng.random_range(-bound..=bound),
            };
            let clock_offset = world.rng.random_range(0..1_000_000_000);
            world.processes.push(Process {
                member: None,
                drift_ppm,
                clock_offset,
                paused_until: 0,
                partitioned: false,
                incarnation: 0,
            });
            world.start(n);
        }
        world
    }

    /// The present time by the clock of a process.
    fn clock(&self, n: usize) -> Moment {
        let process = &self.processes[n];
        let now = i128::from(self.now);
        let error = now * i128::from(process.drift_ppm) / 1_000_000;
        Moment((i128::from(process.clock_offset) + now + error) as u64)
    }

    /// The simulated time at which the clock of a process shows a moment.
    fn simulated_time(&self, n: usize, at: Moment) -> u64 {
        if at.0 == u64::MAX {
            return u64::MAX;
        }
        let process = &self.processes[n];
        let elapsed = i128::from(at.0) - i128::from(process.clock_offset);
        (elapsed * 1_000_000 / (1_000_000 + i128::from(process.drift_ppm))).max(0) as u64 + 1
    }

    pub fn start(&mut self, n: usize) {
        let incarnation = self.rng.random_range(1..u64::MAX);
        let now = self.clock(n);
        let first_start = self.processes[n].incarnation == 0 && self.now == START;
        let config = self.config.clone();
        let member = Member::new(&self.names[n], incarnation, config, &self.duties, now, first_start)
            .with_fault(self.fault);
        let process = &mut self.processes[n];
        process.member = Some(member);
        process.incarnation = incarnation;
        process.paused_until = 0;
    }

    pub fn kill(&mut self, n: usize) {
        self.processes[n].member = None;
    }

    pub fn pause(&mut self, n: usize, until: u64) {
        self.processes[n].paused_until = until;
    }

    pub fn set_partitioned(&mut self, n: usize, partitioned: bool) {
        self.processes[n].partitioned = partitioned;
    }

    fn is_running(&self, n: usize, incarnation: u64) -> bool {
        let process = &self.processes[n];
        process.incarnation == incarnation && process.member.is_some()
    }

    pub fn handle(&mut self, n: usize, input: Input) {
        self.handle_from(n, None, input);
    }

    /// Has a member handle an input and carries out its outputs. `sender` is the source of a received message.
    fn handle_from(&mut self, n: usize, sender: Option<usize>, input: Input) {
        let now = self.clock(n);
        let mut out = Vec::new();
        if let Some(member) = &mut self.processes[n].member {
            member.handle(now, input, &mut out);
        }
        for output in out {
            self.carry_out(n, sender, output);
        }
        self.audit();
    }

    fn carry_out(&mut self, n: usize, sender: Option<usize>, output: Output) {
        let incarnation = self.processes[n].incarnation;
        match output {
            Output::Send { to, in_reply_to, message } => {
                let to = match to {
                    Destination::Voter(voter) => Some(voter),
                    Destination::Sender => sender,
                };
                let Some(to) = to else { return };
                self.messages += 1;
                let datagram = Datagram::new("fleet", &self.names[n], incarnation, in_reply_to, message);
                // Every message must survive its encoding.
                let bytes = datagram.encode().expect("a datagram within its bound");
                assert_eq!(Datagram::decode(&bytes, "fleet").as_ref(), Some(&datagram));
                self.send(n, to, &datagram);
            }
            Output::RunEffect(permit) => {
                // The effect starts shortly after, or much later.
                let delay = if self.rng.random_bool(0.1) { self.rng.random_range(0..2 * LEASE) } else { 200 };
                let at = self.now + delay;
                let event = Event::StartEffect(permit);
                self.scheduled.push(Scheduled { at, process: n, incarnation, event });
            }
            Output::Notify(Notice::Acquired { duty, fence, unproven }) => {
                if let Some(since) = self.vacant_since.remove(&duty) {
                    self.takeovers_us.push(self.now - since);
                }
                let highest = self.granted.entry(duty.clone()).or_default();
                if fence <= *highest && !unproven {
                    self.violations.push(format!("fences rise: {duty} granted {fence:?} after {highest:?}"));
                }
                *highest = (*highest).max(fence);
            }
            Output::Notify(
                Notice::Released { .. } | Notice::OutcomeUnknown { .. } | Notice::PeriodsSkipped { .. },
            ) => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: &Datagram) {
        let partitioned = self.processes[from].partitioned || self.processes[to].partitioned;
        if partitioned || self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplication));
        for _ in 0..copies {
            let mut delay = self.rng.random_range(100..2_000);
            if self.rng.random_bool(self.network.short_delay) {
                delay += self.rng.random_range(0..LEASE / 2);
            }
            if self.rng.random_bool(self.network.long_delay) {
                delay += self.rng.random_range(0..4 * LEASE);
            }
            self.order += 1;
            self.in_flight.push(InFlight {
                deliver_at: self.now + delay,
                order: self.order,
                from,
                to,
                datagram: datagram.clone(),
            });
        }
    }

    fn holds(&self, n: usize, duty: &str) -> bool {
        let member = self.processes[n].member.as_ref();
        member.is_some_and(|member| member.held_fence(duty, self.clock(n)).is_some())
    }

    /// Checks from outside who believes to hold each duty at this moment, each by its own clock.
    fn audit(&mut self) {
        for DutySpec { name: duty, .. } in &self.duties {
            let holders: Vec<usize> = (0..self.processes.len()).filter(|n| self.holds(*n, duty)).collect();
            if holders.len() > 1 {
                self.violations.push(format!("one holder: {duty} is held by {holders:?} at {}", self.now));
            }
            if holders.is_empty() {
                self.vacant_since.entry(duty.clone()).or_insert(self.now);
            }
        }
    }

    /// Runs an effect at its receiver, as far as its permit and its fence allow.
    fn run_effect(&mut self, n: usize, permit: EffectPermit) -> EffectOutcome {
        if !permit.is_valid_at(self.clock(n)) {
            return EffectOutcome::NotStarted;
        }
        let highest = self.receiver_fences.entry(permit.duty.clone()).or_default();
        if permit.fence < *highest {
            self.fenced += 1;
            return EffectOutcome::Fenced { highest: *highest, period: 0 };
        }
        *highest = permit.fence;
        let effect = EffectId { duty: permit.duty.clone(), period: permit.period };
        let times = self.effects_run.entry(effect).or_default();
        *times += 1;
        if *times > 1 {
            let violation = format!("once a period: {} ran {} {times} times", permit.duty, permit.period);
            self.violations.push(violation);
        }
        // Some replies of the receiver are lost.
        if self.rng.random_bool(0.1) { EffectOutcome::Unknown } else { EffectOutcome::Done }
    }

    /// The member that is to be woken next.
    fn next_tick(&self) -> Option<Due> {
        let due = |index: usize| {
            let process = &self.processes[index];
            let wake_at = process.member.as_ref()?.wake_at();
            let at = self.simulated_time(index, wake_at).max(process.paused_until);
            Some(Due { at, index })
        };
        (0..self.processes.len()).filter_map(due).min()
    }

    /// The message that is delivered next; of those due at the same time, the one that was sent first.
    fn next_delivery(&self) -> Option<Due> {
        let deliver_at = |message: &InFlight| message.deliver_at.max(self.processes[message.to].paused_until);
        let messages = self.in_flight.iter().enumerate();
        let (index, message) = messages.min_by_key(|(_, message)| (deliver_at(message), message.order))?;
        Some(Due { at: deliver_at(message), index })
    }

    /// The scheduled event that happens next.
    fn next_scheduled(&self) -> Option<Due> {
        let due = |(index, event): (usize, &Scheduled)| {
            let at = event.at.max(self.processes[event.process].paused_until);
            Due { at, index }
        };
        self.scheduled.iter().enumerate().map(due).min()
    }

    /// Advances to the next event, but no further than `until`. Returns whether there was one.
    pub fn step(&mut self, until: u64) -> bool {
        let tick = self.next_tick();
        let delivery = self.next_delivery();
        let scheduled = self.next_scheduled();
        let next = [tick, delivery, scheduled].into_iter().flatten().map(|due| due.at).min();
        let Some(next) = next.filter(|next| *next <= until) else {
            self.now = self.now.max(until);
            return false;
        };
        self.now = self.now.max(next);
        if let Some(due) = scheduled.filter(|due| due.at == next) {
            let scheduled = self.scheduled.swap_remove(due.index);
            self.run_scheduled(scheduled);
        } else if let Some(due) = delivery.filter(|due| due.at == next) {
            let InFlight { from, to, datagram, .. } = self.in_flight.swap_remove(due.index);
            let input = Input::Received {
                from: datagram.from,
                incarnation: datagram.incarnation,
                in_reply_to: datagram.in_reply_to,
                message: datagram.message,
            };
            self.handle_from(to, Some(from), input);
        } else if let Some(due) = tick {
            self.handle(due.index, Input::Tick);
        }
        true
    }

    fn run_scheduled(&mut self, scheduled: Scheduled) {
        let Scheduled { process, incarnation, event, .. } = scheduled;
        if !self.is_running(process, incarnation) {
            return;
        }
        match event {
            Event::StartEffect(permit) => {
                let EffectPermit { duty, fence, period, .. } = permit.clone();
                let outcome = self.run_effect(process, permit);
                let at = self.now + self.rng.random_range(100..3_000);
                let event = Event::ReportEffect(Input::EffectFinished { duty, fence, period, outcome });
                self.scheduled.push(Scheduled { at, process, incarnation, event });
            }
            Event::ReportEffect(input) => self.handle(process, input),
        }
    }

    /// Runs until a time, or until a property is violated.
    pub fn run(&mut self, until: u64) {
        while self.violations.is_empty() && self.step(until) {}
    }

    /// The member that holds a duty.
    pub fn holder(&self, duty: &str) -> Option<usize> {
        (0..self.processes.len()).find(|n| self.holds(*n, duty))
    }
}

enum RunFault {
    /// The process dies, and starts again without its memory.
    Restart,
    Pause,
    Partition,
    /// All partitions end.
    HealPartitions,
}

struct PlannedFault {
    at: u64,
    fault: RunFault,
    /// The member it hits; the holder if none.
    member: Option<usize>,
}

fn plan_faults(rng: &mut SmallRng, start: u64, members: usize) -> Vec<PlannedFault> {
    let mut at = start;
    let mut plan = Vec::new();
    for _ in 0..10 {
        at += rng.random_range(50_000..1_500_000);
        let hits_holder = rng.random_bool(0.5);
        let member = if hits_holder { None } else { Some(rng.random_range(0..members)) };
        let fault = match rng.random_range(0..4_u8) {
            0 => RunFault::Restart,
            1 => RunFault::Pause,
            2 => RunFault::Partition,
            _ => RunFault::HealPartitions,
        };
        plan.push(PlannedFault { at, fault, member });
    }
    plan
}

/// A run with random faults: restarts without memory, pauses around the length of a lease, and partitions. All
/// partitions are healed at its end.
pub fn faulty_run(seed: u64, members: usize, voters: usize, fault: Fault) -> World {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let network = Network {
        loss: [0.0, 0.05, 0.2][rng.random_range(0..3)],
        duplication: 0.05,
        short_delay: 0.05,
        long_delay: 0.02,
    };
    let mut world = World::new(seed, members, voters, 1, network, fault);
    let plan = plan_faults(&mut rng, world.now + 1_000_000, members);
    // A majority of the other voters always has its memory; the loss of more than that is the subject of another test.
    let mut voter_recovered_at = 0;
    for planned in plan {
        world.run(planned.at);
        if !world.violations.is_empty() {
            return world;
        }
        let n = planned.member.unwrap_or_else(|| world.holder("d0").unwrap_or(0));
        match planned.fault {
            RunFault::Restart if n >= voters || world.now > voter_recovered_at => {
                if n < voters {
                    // Silent for a lease after its restart, and learning.
                    voter_recovered_at = world.now + 8 * LEASE;
                }
                world.kill(n);
                let restart_at = world.now + rng.random_range(1_000..LEASE);
                world.run(restart_at);
                world.start(n);
            }
            RunFault::Pause => world.pause(n, planned.at + rng.random_range(1_000..4 * LEASE)),
            RunFault::Partition => world.set_partitioned(n, true),
            RunFault::Restart | RunFault::HealPartitions => {
                (0..members).for_each(|n| world.set_partitioned(n, false));
            }
        }
    }
    (0..members).for_each(|n| world.set_partitioned(n, false));
    world
}
