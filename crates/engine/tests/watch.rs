//! Tests of the shadow decision module: it does not affect the active one, and counts differences by kind.

use dunlincleat::api::{Attempt, ListKind, RequestId, ServerId, Span, State, Status, Time};
use dunlincleat_directory::{Delivery, Entry};
use dunlincleat_engine::shadow::ShadowCounts;
use dunlincleat_engine::{Completion, Engine, Input, Output, RequestInfo, Shadow};
use dunlincleat_settings::{ClassLease, InstanceSettings, read};

const MS: u64 = 1_000;

fn site(extra: &str) -> InstanceSettings {
    let text = format!(
        r#"{{"balancers":2,"zones":["a","b"],"safety":{{}},"limits":{{"try_limit":3,"cancel":true}},{extra}
        "classes":[{{"name":"read","aim":200000,"deadline":600000,"gain":1,"semantics":"retryable"}}]}}"#
    );
    read(&text).expect("valid settings")
}

fn entry(n: u32, weight: f64) -> Entry {
    let zone = if n < 4 { "a" } else { "b" }.to_owned();
    let endpoint = Some(([127, 0, 0, 1], 9_000 + n as u16).into());
    Entry {
        uid: format!("s{n}"),
        endpoint,
        zone,
        model: String::new(),
        cell: n,
        state: State::Ready,
        weight,
        boot_ms: 0,
    }
}

struct InFlight {
    /// Tick at which it ends.
    ends: u64,
    id: RequestId,
    attempt: Attempt,
    server: ServerId,
}

struct RunResult {
    /// All outputs as text.
    log: Vec<String>,
    counts: ShadowCounts,
}

/// Runs requests under `settings`, with or without a shadow module.
fn run(shadow: Option<&InstanceSettings>, settings: &InstanceSettings) -> RunResult {
    let mut engine: Engine<u64, u64> = Engine::new(settings, 7, 1_000);
    if let Some(shadow) = shadow {
        engine.set_shadow(Shadow::new(shadow.settings.clone(), &settings.settings.fields, 99));
    }
    let mut log = Vec::new();
    let mut outputs = Vec::new();
    let mut in_flight: Vec<InFlight> = Vec::new();
    for tick in 0..6_000_u64 {
        let now = Time(1_000_000_000 + tick * MS);
        if tick % 400 == 0 {
            // The list reports an ever higher load of server 0.
            let weight = |n: u32| if n == 0 { 1.0 / (1.0 + (tick / 400) as f64 * 4.0) } else { 1.0 };
            let kind = if tick == 0 { ListKind::Full } else { ListKind::Changes };
            let entries = (0..8).map(|n| entry(n, weight(n))).collect();
            engine.input(
                now,
                Input::ServerList(Delivery { kind, rev: tick, entries, anomalies: Vec::new() }),
                &mut outputs,
            );
        }
        engine.wake(now, &mut outputs);
        if tick % 7 == 0 {
            let info = RequestInfo {
                class: ClassLease::fixed(0),
                tenant: 0,
                wait: Span(600 * MS),
                hint: None,
                key: Some(tick % 5),
                repeat: false,
                rule: None,
            };
            engine.input(
                now,
                Input::Request { id: RequestId(tick), info, received: now, payload: tick },
                &mut outputs,
            );
        }
        let (due, later) = in_flight.into_iter().partition(|attempt| attempt.ends <= tick);
        in_flight = later;
        for InFlight { id, attempt, server, .. } in due {
            let status = if id.0 % 11 == 0 { Status::Error } else { Status::Ok };
            let body = (status == Status::Ok).then_some(id.0);
            let completion = Completion { status, latency: Span(20 * MS), load: Vec::new(), body };
            engine.input(now, Input::AttemptEnded { id, attempt, server, completion }, &mut outputs);
        }
        for output in outputs.drain(..) {
            if let Output::Attempt { id, attempt, server, .. } = &output {
                let ends = tick + 20 + id.0 % 30;
                in_flight.push(InFlight { ends, id: *id, attempt: *attempt, server: *server });
            }
            log.push(format!("{tick} {output:?}"));
        }
    }
    RunResult { log, counts: engine.take_shadow_counts().unwrap_or_default() }
}

/// The shadow module shares no random draws and no timers with the active module, so no output may differ.
#[test]
fn shadow_module_changes_no_output() {
    let (plain, other) = (site(""), site(r#""weight_source":"live","family_info":{"warm_keys":true},"#));
    let without_shadow = run(None, &plain);
    let with_shadow = run(Some(&other), &plain);
    let mut lines = without_shadow.log.iter().zip(&with_shadow.log);
    assert!(without_shadow.log == with_shadow.log, "first at {:?}", lines.find(|(a, b)| a != b));
    assert_eq!(without_shadow.counts, ShadowCounts::default());
    let counts = with_shadow.counts;
    assert!(counts.same_server > 0 && counts.other_server + counts.other_zone > 100, "{counts:?}");
}

/// Each kind of difference has its own count: with the same settings, with expensive cross-zone traffic, and with
/// inline load reports.
#[test]
fn differences_are_counted_by_kind() {
    let plain = site("");
    let counts = |extra: &str| run(Some(&site(extra)), &plain).counts;
    let same = counts("");
    assert_eq!((same.would_refuse, same.would_hedge, same.would_probe), (0, 0, 0), "{same:?}");
    let expensive_crossing = counts(r#""deductions":{"cross_zone":0.5},"#);
    assert!(
        expensive_crossing.other_zone > 2 * same.other_zone / 3 && expensive_crossing.other_zone > 200,
        "{expensive_crossing:?} against {same:?}"
    );
    let inline_reports = counts(r#""stats":{"how":"inline","fields":["inflight"]},"#);
    assert!(
        inline_reports.same_server + inline_reports.other_server + inline_reports.other_zone > 500,
        "{inline_reports:?}"
    );
}
