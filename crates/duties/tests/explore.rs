//! Every execution of three voters, two of them candidates, that departs from the orderly one a bounded number of times:
//! a message lost, doubled, or delivered later; a process that stands still, or dies and returns without its memory. Known
//! as delay-bounded exploration (Emmi, Qadeer, Rakamaric, POPL 2011): complete for its bound, in discrete time.

use dunlincleat_duties::fault::Fault;
use dunlincleat_duties::{
    Datagram, Destination, Fence, Input, LeaseConfig, Member, Moment, Notice, Output, Schedule,
};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashSet};
use std::hash::{Hash, Hasher};

const LEASE: u64 = 8;
const HORIZON: u64 = 36;

#[derive(Clone, Hash)]
struct State {
    now: u64,
    members: Vec<Member>,
    still: Vec<u64>,
    /// When it may be delivered, in which order, from whom, to whom.
    net: Vec<(u64, u64, usize, usize, Datagram)>,
    sent: u64,
    lives: u64,
    highest: Fence,
    ran: BTreeSet<u64>,
    departures: u32,
    broken: Option<String>,
}

fn terms() -> LeaseConfig {
    LeaseConfig { lease: LEASE, drift: 0, voters: ["a", "b", "c"].map(str::to_owned).to_vec() }
}

fn member(n: usize, life: u64, now: u64, first: bool, plant: Fault) -> Member {
    let effect = Schedule { period: 6, catch_up: false };
    let duties = if n < 2 { vec![("d".to_owned(), Some(effect))] } else { Vec::new() };
    Member::new(&terms().voters[n], life, terms(), &duties, Moment(now), first).with_fault(plant)
}

impl State {
    fn begin(plant: Fault) -> State {
        let members = (0..3).map(|n| member(n, n as u64 + 1, 10, true, plant)).collect();
        State {
            now: 10,
            members,
            still: vec![0; 3],
            net: Vec::new(),
            sent: 0,
            lives: 3,
            highest: Fence(0),
            ran: BTreeSet::new(),
            departures: 0,
            broken: None,
        }
    }

    fn tell(&mut self, n: usize, back: usize, input: Input) {
        let mut out = Vec::new();
        let life = self.members[n].incarnation();
        self.members[n].handle(Moment(self.now), input, &mut out);
        for output in out {
            match output {
                Output::Send { to, answers, message } => {
                    let to = if let Destination::Voter(voter) = to { voter } else { back };
                    let datagram = Datagram::new("f", &terms().voters[n], life, answers, message);
                    self.sent += 1;
                    self.net.push((self.now, self.sent, n, to, datagram));
                }
                Output::RunEffect(held) if held.is_valid_at(Moment(self.now)) => {
                    if !self.ran.insert(held.period) {
                        self.broken = Some(format!("once a period: {} ran again", held.period));
                    }
                    let (duty, fence, period) = (held.duty, held.fence, held.period);
                    let ended = dunlincleat_duties::EffectOutcome::Done;
                    self.tell(n, n, Input::EffectFinished { duty, fence, period, ended });
                }
                Output::Notify(Notice::Acquired(_, fence, unproven)) => {
                    if fence <= self.highest && !unproven {
                        self.broken = Some(format!("fences rise: {fence:?} after {:?}", self.highest));
                    }
                    self.highest = self.highest.max(fence);
                }
                Output::RunEffect(_) | Output::Notify(_) => {}
            }
        }
        let holds = (0..3).filter(|n| self.members[*n].held_fence("d", Moment(self.now)).is_some()).count();
        if holds > 1 {
            self.broken = Some(format!("one holder: {holds} at {}", self.now));
        }
    }

    fn deliver(&mut self, at: usize) {
        let (_, _, from, to, datagram) = self.net.remove(at);
        let Datagram { from: name, life, to: answers, message, .. } = datagram;
        self.tell(to, from, Input::Received { from: name, life, to: answers, message });
    }

    fn die(&mut self, n: usize, plant: Fault) {
        self.lives += 1;
        self.members[n] = member(n, self.lives, self.now, false, plant);
    }

    /// What may come next: the orderly step, and each departure from it.
    fn next(&self, most: u32, plant: Fault) -> Vec<State> {
        let mut all = Vec::new();
        let mut depart = |change: &dyn Fn(&mut State)| {
            let mut state = self.clone();
            state.departures += 1;
            change(&mut state);
            all.push(state);
        };
        let ready =
            self.net.iter().enumerate().filter(|(_, m)| m.0 <= self.now && self.still[m.3] <= self.now);
        let ready = ready.min_by_key(|(_, m)| m.1).map(|(n, _)| n);
        let tick = (0..3).find(|n| self.still[*n] <= self.now && self.members[*n].wake_at().0 <= self.now);
        let may = self.departures < most;
        if let Some(at) = ready {
            let to = self.net[at].3;
            if may {
                depart(&|s| drop(s.net.remove(at)));
                depart(&|s| s.net[at].0 = s.now + 1);
                depart(&|s| s.net[at].0 = s.now + LEASE + 1);
                depart(&|s| {
                    let mut copy = s.net[at].clone();
                    copy.0 = s.now + LEASE + 1;
                    s.deliver(at);
                    s.net.push(copy);
                });
                depart(&|s| {
                    s.deliver(at);
                    s.die(to, plant);
                });
                depart(&|s| s.still[to] = s.now + LEASE + 2);
            }
            let mut state = self.clone();
            state.deliver(at);
            all.push(state);
        } else if let Some(n) = tick {
            if may {
                depart(&|s| s.still[n] = s.now + 3);
                depart(&|s| s.still[n] = s.now + LEASE + 2);
                depart(&|s| s.die(n, plant));
            }
            let mut state = self.clone();
            state.tell(n, n, Input::Tick);
            all.push(state);
        } else if self.now < HORIZON {
            let mut state = self.clone();
            state.now += 1;
            // Nobody is told anything, but who held by the clock may now hold with another.
            all.push(state);
        }
        all
    }

    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// The number of states, what was broken, and how many were held at the end of the orderly execution.
fn explore(departures: u32, plant: Fault) -> (usize, Option<String>, usize) {
    let (mut seen, mut open, mut most) = (HashSet::new(), vec![State::begin(plant)], 0);
    while let Some(state) = open.pop() {
        if let Some(broken) = &state.broken {
            return (seen.len(), Some(broken.clone()), most);
        }
        if state.departures == 0 {
            most = most.max(state.ran.len());
        }
        let next = state.next(departures, plant);
        open.extend(next.into_iter().filter(|state| seen.insert(state.key())));
    }
    (seen.len(), None, most)
}

#[test]
fn every_execution_within_two_departures_keeps_the_properties() {
    let departures = std::env::var("DEPARTURES").ok().and_then(|n| n.parse().ok()).unwrap_or(2);
    let (states, broken, ran) = explore(departures, Fault::None);
    println!("{states} states within {departures} departures; the orderly execution ran {ran} periods");
    assert_eq!(broken, None);
    assert!(ran >= 3 && states > 10_000, "{states} states, {ran} periods");
}

#[test]
fn planted_faults_are_found_within_two_departures() {
    for (plant, property) in [
        (Fault::VotesAtOnce, "fences rise"),
        (Fault::MajorityOfTheLiving, "one holder"),
        (Fault::LeaseFromAnswer, "one holder"),
        (Fault::PeriodAgain, "once a period"),
    ] {
        let (states, broken, _) = explore(2, plant);
        println!("{plant:?}: {broken:?} after {states} states");
        assert!(broken.as_ref().is_some_and(|b| b.starts_with(property)), "{plant:?}: {broken:?}");
    }
}
