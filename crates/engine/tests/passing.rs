//! Tests of streamed responses, changes of settings and server counts, on a simulated clock.

use dunlincleat::api::{Attempt, ListKind, RequestId, ServerId, Span, State, Status, Time};
use dunlincleat_directory::{Delivery, Entry};
use dunlincleat_engine::{Answer, Completion, Engine, Input, Output, RequestInfo};
use dunlincleat_settings::InstanceSettings;
use std::sync::Arc;

const START: u64 = 5_000_000_000;

fn site(max_attempts: u32) -> InstanceSettings {
    let text = format!(
        r#"{{"classes":[{{"name":"a","aim":300000,"deadline":740000,"semantics":"retryable"}}],
            "limits":{{"try_limit":{max_attempts},"cancel":true}},"safety":{{}}}}"#
    );
    dunlincleat_settings::read(&text).unwrap()
}

#[derive(Clone, Copy)]
struct SentAttempt {
    request: u64,
    attempt: Attempt,
    server: ServerId,
}

struct World {
    now: u64,
    engine: Engine<u64, u64>,
    attempts: Vec<SentAttempt>,
    answers: Vec<(u64, Answer<u64>)>,
    cancels: usize,
}

impl World {
    fn new() -> World {
        let engine = Engine::new(&site(3), 7, 100);
        let mut world = World { now: START, engine, attempts: Vec::new(), answers: Vec::new(), cancels: 0 };
        let entries = (1..=4).map(|n| Entry {
            uid: format!("s{n}"),
            endpoint: Some(([127, 0, 0, 1], n).into()),
            zone: String::new(),
            model: String::new(),
            cell: 0,
            state: State::Ready,
            weight: 1.0,
            boot_ms: 0,
        });
        let entries = entries.collect();
        world.input(Input::ServerList(Delivery {
            kind: ListKind::Cached,
            rev: 1,
            entries,
            anomalies: Vec::new(),
        }));
        world
    }

    fn input(&mut self, input: Input<u64, u64>) {
        let mut outputs = Vec::new();
        self.now += 1000;
        self.engine.input(Time(self.now), input, &mut outputs);
        for output in outputs {
            match output {
                Output::Attempt { id, attempt, server, .. } => {
                    self.attempts.push(SentAttempt { request: id.0, attempt, server });
                }
                Output::Answer { id, answer } => self.answers.push((id.0, answer)),
                Output::Cancel { .. } => self.cancels += 1,
                _ => {}
            }
        }
    }

    /// Submits a request and returns its first attempt.
    fn submit_request(&mut self, id: u64) -> SentAttempt {
        let info = RequestInfo { wait: Span(740_000), ..RequestInfo::default() };
        let received = Time(self.now);
        self.input(Input::Request { id: RequestId(id), info, received, payload: id });
        let sent = *self.attempts.last().unwrap();
        assert_eq!(sent.request, id);
        sent
    }

    fn end_attempt(&mut self, sent: SentAttempt, status: Status) {
        let SentAttempt { request, attempt, server } = sent;
        let completion = Completion::without_response(status);
        self.input(Input::AttemptEnded { id: RequestId(request), attempt, server, completion });
    }
}

/// A streamed response is the final answer as soon as it starts. It must not cancel its own attempt, and the later end
/// of the attempt, whatever its status, must cause neither a second answer nor another attempt.
#[test]
fn streamed_response_is_final_and_its_attempt_ends_once() {
    for end_status in [Status::Ok, Status::Reset, Status::Cancelled] {
        for client_left in [false, true] {
            let mut world = World::new();
            let sent = world.submit_request(1);
            let SentAttempt { attempt, server, .. } = sent;
            let completion =
                Completion { status: Status::Ok, latency: Span(900), load: Vec::new(), body: Some(1) };
            world.input(Input::ResponseStarted { id: RequestId(1), attempt, server, completion });
            assert_eq!(world.answers, [(1, Answer::Served(1))]);
            assert_eq!(
                (world.cancels, world.engine.open_requests()),
                (0, 1),
                "its transport has not finished"
            );
            if client_left {
                world.input(Input::ClientLeft(RequestId(1)));
            }
            world.end_attempt(sent, end_status);
            assert_eq!((world.answers.len(), world.attempts.len(), world.engine.open_requests()), (1, 1, 0));
            let counters = world.engine.take_counters();
            assert_eq!((counters.served, counters.client_left), (1, 0));
        }
    }
}

/// An open request keeps the maximum number of attempts of the settings that it was received under.
#[test]
fn open_requests_keep_their_maximum_number_of_attempts() {
    let mut world = World::new();
    let old_attempt = world.submit_request(1);
    world.input(Input::Settings { site: Arc::new(site(1)), shadow: None });
    let new_attempt = world.submit_request(2);
    world.end_attempt(old_attempt, Status::Reset);
    world.end_attempt(new_attempt, Status::Reset);
    let attempts = |request| world.attempts.iter().filter(|sent| sent.request == request).count();
    assert_eq!((attempts(1), attempts(2)), (2, 1));
    assert_eq!(world.answers, [(2, Answer::Refused { retry_after: None })]);
}

#[test]
fn listed_and_avoided_servers_are_counted() {
    let mut world = World::new();
    assert_eq!((world.engine.listed_servers(), world.engine.avoided(Time(world.now))), (4, 0));
    let attempt = world.submit_request(1);
    world.end_attempt(attempt, Status::ConnectFailed);
    assert_eq!(world.engine.avoided(Time(world.now)), 1);
    assert_eq!(world.engine.avoided(Time(world.now + 60_000_000)), 0, "the failure has expired");
}
