//! Requests whose bodies arrive for far longer than any deadline, while lists and limits files change.

use dunlincleat::api::{Attempt, ListKind, RequestId, ServerId, Span, State, Status, Time};
use dunlincleat_directory::{Delivery, Entry};
use dunlincleat_engine::{Answer, Completion, Engine, Input, Output, RequestInfo};
use dunlincleat_limits::{RequestAttributes, Rule, check};
use dunlincleat_settings::{InstanceSettings, read};
use std::sync::Arc;

const START_US: u64 = 5_000_000_000;
/// Far more than the deadline of any class.
const LONG_UPLOAD_US: u64 = 60_000_000;

fn site() -> InstanceSettings {
    let text = r#"{"zones":["a","b"],"safety":{},"limits":{"try_limit":4,"cancel":true},"classes":[
        {"name":"once","aim":300000,"deadline":740000,"semantics":"fragile"},
        {"name":"pay","aim":300000,"deadline":740000,"semantics":"dedup","group":"zone","window":600000000}]}"#;
    read(text).unwrap()
}

#[derive(Clone, Copy)]
struct SentAttempt {
    request: RequestId,
    attempt: Attempt,
    server: ServerId,
}

struct World {
    now: u64,
    site: InstanceSettings,
    engine: Engine<u64, u64>,
    attempts: Vec<SentAttempt>,
    answers: Vec<Answer<u64>>,
}

impl World {
    /// An engine that knows these servers, each with its zone.
    fn new(servers: &[(&str, &str)]) -> World {
        let site = site();
        let engine = Engine::new(&site, 7, 100);
        let mut world = World { now: START_US, site, engine, attempts: Vec::new(), answers: Vec::new() };
        world.list(ListKind::Cached, servers);
        world
    }

    fn input(&mut self, input: Input<u64, u64>) {
        let mut outputs = Vec::new();
        self.now += 1000;
        self.engine.input(Time(self.now), input, &mut outputs);
        for output in outputs {
            match output {
                Output::Attempt { id, attempt, server, .. } => {
                    self.attempts.push(SentAttempt { request: id, attempt, server });
                }
                Output::Answer { answer, .. } => self.answers.push(answer),
                _ => {}
            }
        }
    }

    fn list(&mut self, kind: ListKind, servers: &[(&str, &str)]) {
        let entries = servers.iter().zip(1..).map(|((uid, zone), port)| Entry {
            uid: (*uid).to_owned(),
            endpoint: Some(([127, 0, 0, 1], port).into()),
            zone: (*zone).to_owned(),
            model: String::new(),
            cell: 0,
            state: State::Ready,
            weight: 1.0,
            boot_ms: 0,
        });
        let entries = entries.collect();
        self.input(Input::ServerList(Delivery { kind, rev: 1, entries, anomalies: Vec::new() }));
    }

    /// Applies a limits file and returns its rule for requests of the class.
    fn apply_limits(&mut self, text: &str, class: u32) -> Arc<Rule> {
        let rules = check(text, &self.site).rules.expect("a valid limits file");
        let path = format!("/{}", self.site.classes[class as usize]);
        let attributes =
            RequestAttributes { path: &path, method: "POST", class, tenant: 0, header: &|_: &str| None };
        let rule = rules.find(&attributes).clone();
        self.input(Input::Rules(Arc::new(rules)));
        rule
    }

    /// Submits a request whose body is still being received; returns its first attempt.
    fn submit_long(&mut self, class: usize, rule: Option<Arc<Rule>>) -> SentAttempt {
        let class = self.site.lease_class(class).unwrap();
        let info = RequestInfo { class, wait: Span(740_000), rule, ..RequestInfo::default() };
        let received = Time(self.now);
        self.input(Input::Request { id: RequestId(1), info, received, payload: 1 });
        let sent = *self.attempts.last().expect("an attempt");
        self.input(Input::Upload { id: sent.request, server: sent.server, finished: false });
        sent
    }

    fn finish_upload(&mut self, sent: SentAttempt) {
        self.input(Input::Upload { id: sent.request, server: sent.server, finished: true });
    }

    fn end_attempt(&mut self, sent: SentAttempt, status: Status) {
        let SentAttempt { request: id, attempt, server } = sent;
        let completion = Completion::without_response(status);
        self.input(Input::AttemptEnded { id, attempt, server, completion });
    }
}

/// A limits file that sends the requests of a class to a pool with these zones.
fn limits_with_pool(zones: &str) -> String {
    format!(
        "[[route]]\nname = 'orders'\nmatch = {{ class = 'once' }}\npool = 'near'\n\
         [[pool]]\nname = 'near'\nzones = {zones}"
    )
}

/// Guards against a request that is never answered: the pool that it belonged to was removed while its body came, a
/// deadline and some seconds after a new limits file had another definition of the pool.
#[test]
fn pool_outlives_the_requests_that_were_admitted_to_it() {
    let servers = [("s1", "a"), ("s2", "b")];
    let mut world = World::new(&servers);
    let rule = world.apply_limits(&limits_with_pool("['a']"), 0);
    let sent = world.submit_long(0, Some(rule));
    world.apply_limits(&limits_with_pool("['a', 'b']"), 0);
    world.now += LONG_UPLOAD_US;
    world.list(ListKind::Full, &servers);
    world.finish_upload(sent);
    world.end_attempt(sent, Status::Error);
    assert_eq!(world.answers, [Answer::Failed]);
    assert_eq!(world.engine.open_requests(), 0);
}

/// Guards against a request in the wrong pool: one that was read under an older file, and submitted later, got the
/// servers of the pool that has the same name in the newer file.
#[test]
fn request_uses_the_pool_of_the_file_that_it_was_read_under() {
    let servers = [("s1", "a"), ("s2", "b")];
    let mut world = World::new(&servers);
    let rule = world.apply_limits(&limits_with_pool("['a']"), 0);
    world.apply_limits(&limits_with_pool("['b']"), 0);
    world.now += LONG_UPLOAD_US;
    world.list(ListKind::Full, &servers);
    let sent = world.submit_long(0, Some(rule));
    assert_eq!(world.engine.servers().uid(sent.server), "s1");
}

/// Guards against a keyed request that runs again outside the group that knows its key: its first server was removed
/// while its body came, and the id of that server was given to a server of another zone.
#[test]
fn server_id_outlives_the_requests_that_were_sent_to_it() {
    let mut world = World::new(&[("a1", "a"), ("a2", "a")]);
    let first = world.submit_long(1, None);
    let remaining = if world.engine.servers().uid(first.server) == "a1" { "a2" } else { "a1" };
    world.list(ListKind::Full, &[(remaining, "a"), ("b1", "b")]);
    world.now += LONG_UPLOAD_US;
    world.finish_upload(first);
    world.end_attempt(first, Status::Reset);
    assert_eq!(world.attempts.len(), 2, "a repeat within the zone of the first attempt");
    let second = world.attempts[1];
    assert_eq!(world.engine.servers().uid(second.server), remaining);
    world.list(ListKind::Full, &[(remaining, "a"), ("b1", "b"), ("b2", "b")]);
    world.end_attempt(second, Status::Reset);
    let servers = world.attempts.iter().map(|sent| world.engine.servers().uid(sent.server).to_owned());
    assert_eq!(servers.skip(1).collect::<Vec<_>>(), [remaining], "a repeat outside the zone");
    assert_eq!(world.answers, [Answer::Failed]);
    // Once the request has ended, the id is free again.
    world.now += LONG_UPLOAD_US;
    world.list(ListKind::Full, &[(remaining, "a"), ("b1", "b"), ("b3", "b")]);
    assert_eq!(world.engine.servers().id_of("b3"), Some(first.server));
}
