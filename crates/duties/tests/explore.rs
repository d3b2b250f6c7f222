//! Exhaustive exploration of three voters, two of them candidates: every execution that deviates from the fault-free
//! one at most a bounded number of times. A deviation is a lost, duplicated or delayed message, a paused process, or a
//! process that restarts without its memory. This is delay-bounded exploration (Emmi, Qadeer, Rakamaric, POPL 2011):
//! complete for its bound, in discrete time.

use dunlincleat_duties::fault::Fault;
use dunlincleat_duties::{
    Datagram, Destination, DutySpec, EffectOutcome, Fence, Input, LeaseConfig, Member, Moment, Notice,
    Output, Schedule,
};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, HashSet};
use std::hash::{Hash, Hasher};

/// The length of a lease, in ticks of the discrete clock.
const LEASE: u64 = 8;
/// The tick at which executions start, and the one at which they end.
const START: u64 = 10;
const HORIZON: u64 = 36;

#[derive(Clone, Hash)]
struct InFlight {
    deliver_at: u64,
    /// Messages that can be delivered are delivered in the order in which they were sent.
    order: u64,
    from: usize,
    to: usize,
    datagram: Datagram,
}

#[derive(Clone, Hash)]
struct State {
    now: u64,
    members: Vec<Member>,
    paused_until: Vec<u64>,
    network: Vec<InFlight>,
    messages_sent: u64,
    incarnations: u64,
    highest: Fence,
    periods_run: BTreeSet<u64>,
    deviations: u32,
    violation: Option<String>,
}

fn config() -> LeaseConfig {
    LeaseConfig { lease_us: LEASE, drift_ppm: 0, voters: ["a", "b", "c"].map(str::to_owned).to_vec() }
}

fn member(n: usize, incarnation: u64, now: u64, first_start: bool, fault: Fault) -> Member {
    let schedule = Some(Schedule { period_us: 6, catch_up: false });
    let duties = if n < 2 { vec![DutySpec { name: "d".to_owned(), schedule }] } else { Vec::new() };
    let config = config();
    let name = config.voters[n].clone();
    Member::new(&name, incarnation, config, &duties, Moment(now), first_start).with_fault(fault)
}

impl State {
    fn initial(fault: Fault) -> State {
        let members = (0..3).map(|n| member(n, n as u64 + 1, START, true, fault)).collect();
        State {
            now: START,
            members,
            paused_until: vec![0; 3],
            network: Vec::new(),
            messages_sent: 0,
            incarnations: 3,
            highest: Fence(0),
            periods_run: BTreeSet::new(),
            deviations: 0,
            violation: None,
        }
    }

    /// Has a member handle an input; `sender` is the member that a reply goes to.
    fn handle(&mut self, n: usize, sender: usize, input: Input) {
        let mut out = Vec::new();
        let incarnation = self.members[n].incarnation();
        self.members[n].handle(Moment(self.now), input, &mut out);
        for output in out {
            match output {
                Output::Send { to, in_reply_to, message } => {
                    let to = if let Destination::Voter(voter) = to { voter } else { sender };
                    let datagram = Datagram::new("f", &config().voters[n], incarnation, in_reply_to, message);
                    self.messages_sent += 1;
                    self.network.push(InFlight {
                        deliver_at: self.now,
                        order: self.messages_sent,
                        from: n,
                        to,
                        datagram,
                    });
                }
                Output::RunEffect(permit) if permit.is_valid_at(Moment(self.now)) => {
                    if !self.periods_run.insert(permit.period) {
                        self.violation = Some(format!("once a period: {} ran again", permit.period));
                    }
                    let input = Input::EffectFinished {
                        duty: permit.duty,
                        fence: permit.fence,
                        period: permit.period,
                        outcome: EffectOutcome::Done,
                    };
                    self.handle(n, n, input);
                }
                Output::Notify(Notice::Acquired { fence, unproven, .. }) => {
                    if fence <= self.highest && !unproven {
                        self.violation = Some(format!("fences rise: {fence:?} after {:?}", self.highest));
                    }
                    self.highest = self.highest.max(fence);
                }
                Output::RunEffect(_) | Output::Notify(_) => {}
            }
        }
        let now = Moment(self.now);
        let holders = self.members.iter().filter(|member| member.held_fence("d", now).is_some()).count();
        if holders > 1 {
            self.violation = Some(format!("one holder: {holders} at {}", self.now));
        }
    }

    fn deliver(&mut self, index: usize) {
        let InFlight { from, to, datagram, .. } = self.network.remove(index);
        let input = Input::Received {
            from: datagram.from,
            incarnation: datagram.incarnation,
            in_reply_to: datagram.in_reply_to,
            message: datagram.message,
        };
        self.handle(to, from, input);
    }

    fn restart(&mut self, n: usize, fault: Fault) {
        self.incarnations += 1;
        self.members[n] = member(n, self.incarnations, self.now, false, fault);
    }

    /// The message to be delivered next in the fault-free execution, if there is one.
    fn next_message(&self) -> Option<usize> {
        let deliverable =
            |message: &InFlight| message.deliver_at <= self.now && self.paused_until[message.to] <= self.now;
        let messages = self.network.iter().enumerate().filter(|(_, message)| deliverable(message));
        messages.min_by_key(|(_, message)| message.order).map(|(index, _)| index)
    }

    /// The successors of this state: the fault-free step, and each deviation from it.
    fn successors(&self, max_deviations: u32, fault: Fault) -> Vec<State> {
        let mut successors = Vec::new();
        let mut deviate = |change: &dyn Fn(&mut State)| {
            let mut state = self.clone();
            state.deviations += 1;
            change(&mut state);
            successors.push(state);
        };
        let due_member =
            (0..3).find(|n| self.paused_until[*n] <= self.now && self.members[*n].wake_at().0 <= self.now);
        let may_deviate = self.deviations < max_deviations;
        if let Some(index) = self.next_message() {
            let to = self.network[index].to;
            if may_deviate {
                deviate(&|state| drop(state.network.remove(index)));
                deviate(&|state| state.network[index].deliver_at = state.now + 1);
                deviate(&|state| state.network[index].deliver_at = state.now + LEASE + 1);
                deviate(&|state| {
                    let mut duplicate = state.network[index].clone();
                    duplicate.deliver_at = state.now + LEASE + 1;
                    state.deliver(index);
                    state.network.push(duplicate);
                });
                deviate(&|state| {
                    state.deliver(index);
                    state.restart(to, fault);
                });
                deviate(&|state| state.paused_until[to] = state.now + LEASE + 2);
            }
            let mut state = self.clone();
            state.deliver(index);
            successors.push(state);
        } else if let Some(n) = due_member {
            if may_deviate {
                deviate(&|state| state.paused_until[n] = state.now + 3);
                deviate(&|state| state.paused_until[n] = state.now + LEASE + 2);
                deviate(&|state| state.restart(n, fault));
            }
            let mut state = self.clone();
            state.handle(n, n, Input::Tick);
            successors.push(state);
        } else if self.now < HORIZON {
            let mut state = self.clone();
            // No member has an input, but one that held a lease by its clock may now hold it together with another.
            state.now += 1;
            successors.push(state);
        }
        successors
    }

    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

struct Exploration {
    states: usize,
    /// The first property that was violated.
    violation: Option<String>,
    /// The number of periods that ran in the fault-free execution.
    periods_run: usize,
}

fn explore(max_deviations: u32, fault: Fault) -> Exploration {
    let mut seen = HashSet::new();
    let mut open = vec![State::initial(fault)];
    let mut periods_run = 0;
    while let Some(state) = open.pop() {
        if state.violation.is_some() {
            return Exploration { states: seen.len(), violation: state.violation, periods_run };
        }
        if state.deviations == 0 {
            periods_run = periods_run.max(state.periods_run.len());
        }
        let successors = state.successors(max_deviations, fault);
        open.extend(successors.into_iter().filter(|state| seen.insert(state.key())));
    }
    Exploration { states: seen.len(), violation: None, periods_run }
}

#[test]
fn all_executions_within_two_deviations_keep_the_properties() {
    let deviations = std::env::var("DEPARTURES").ok().and_then(|n| n.parse().ok()).unwrap_or(2);
    let Exploration { states, violation, periods_run } = explore(deviations, Fault::None);
    println!(
        "{states} states within {deviations} deviations; the fault-free execution ran {periods_run} periods"
    );
    assert_eq!(violation, None);
    assert!(periods_run >= 3 && states > 10_000, "{states} states, {periods_run} periods");
}

#[test]
fn injected_faults_are_detected_within_two_deviations() {
    for (fault, property) in [
        (Fault::VotesAtOnce, "fences rise"),
        (Fault::MajorityOfTheLiving, "one holder"),
        (Fault::LeaseFromAnswer, "one holder"),
        (Fault::PeriodAgain, "once a period"),
    ] {
        let Exploration { states, violation, .. } = explore(2, fault);
        println!("{fault:?}: {violation:?} after {states} states");
        assert!(
            violation.as_ref().is_some_and(|text| text.starts_with(property)),
            "{fault:?}: {violation:?}"
        );
    }
}
