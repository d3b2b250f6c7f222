//! The watching module beside the deciding one: it changes nothing, and counts by kind.

use dunlincleat::api::{Attempt, RequestId, ServerId, Span, State, Status, Time};
use dunlincleat_directory::{Delivery, Entry};
use dunlincleat_engine::watch::Watched;
use dunlincleat_engine::{Ask, Ended, Engine, Input, Output, Watch};
use dunlincleat_settings::{Site, read};

const MS: u64 = 1_000;

fn site(more: &str) -> Site {
    let text = format!(
        r#"{{"balancers":2,"zones":["a","b"],"safety":{{}},"limits":{{"try_limit":3,"cancel":true}},{more}
        "classes":[{{"name":"read","aim":200000,"deadline":600000,"gain":1,"semantics":"retryable"}}]}}"#
    );
    read(&text).expect("settings of this test")
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

/// A day of requests under `settings`, watched or not: all outputs in words, and the counts.
fn day(watched: Option<&Site>, settings: &Site) -> (Vec<String>, Watched) {
    let mut engine: Engine<u64, u64> = Engine::new(settings, 7, 1_000);
    if let Some(other) = watched {
        engine.watch(Watch::new(other.settings.clone(), &settings.settings.fields, 99));
    }
    let (mut words, mut out, mut flying) =
        (Vec::new(), Vec::new(), Vec::<(u64, RequestId, Attempt, ServerId)>::new());
    for tick in 0..6_000_u64 {
        let now = Time(1_000_000_000 + tick * MS);
        if tick % 400 == 0 {
            // Server 0 is told to be crowded ever more.
            let weight = |n: u32| if n == 0 { 1.0 / (1.0 + (tick / 400) as f64 * 4.0) } else { 1.0 };
            let kind = if tick == 0 {
                dunlincleat::api::ListKind::Full
            } else {
                dunlincleat::api::ListKind::Changes
            };
            let entries = (0..8).map(|n| entry(n, weight(n))).collect();
            engine.input(
                now,
                Input::Listed(Delivery { kind, rev: tick, entries, odd: Vec::new() }),
                &mut out,
            );
        }
        engine.wake(now, &mut out);
        if tick % 7 == 0 {
            let ask = Ask {
                class: 0,
                tenant: 0,
                wait: Span(600 * MS),
                hint: None,
                key: Some(tick % 5),
                repeat: false,
                rule: None,
            };
            engine.input(
                now,
                Input::Request { id: RequestId(tick), ask, received: now, payload: tick },
                &mut out,
            );
        }
        let (due, rest) = flying.into_iter().partition(|(at, ..)| *at <= tick);
        flying = rest;
        for (_, id, attempt, server) in due {
            let status = if id.0 % 11 == 0 { Status::Error } else { Status::Ok };
            let body = (status == Status::Ok).then_some(id.0);
            let ended = Ended { status, latency: Span(20 * MS), load: Vec::new(), body };
            engine.input(now, Input::Ended { id, attempt, server, ended }, &mut out);
        }
        for output in out.drain(..) {
            if let Output::Attempt { id, attempt, server, .. } = &output {
                flying.push((tick + 20 + id.0 % 30, *id, *attempt, *server));
            }
            words.push(format!("{tick} {output:?}"));
        }
    }
    (words, engine.take_watched().unwrap_or_default())
}

/// Watching shares no draw and no timer with deciding: not one output may differ.
#[test]
fn no_output_changes_for_being_watched() {
    let (plain, other) = (site(""), site(r#""weight_source":"live","family_info":{"warm_keys":true},"#));
    let (unwatched, none) = day(None, &plain);
    let (watched, counted) = day(Some(&other), &plain);
    assert!(unwatched == watched, "first at {:?}", unwatched.iter().zip(&watched).find(|(a, b)| a != b));
    assert_eq!(none, Watched::default());
    assert!(counted.alike > 0 && counted.other_server + counted.other_zone > 100, "{counted:?}");
}

/// Each kind has its own count: what is dear to cross, what may be copied, what would be probed.
#[test]
fn what_would_have_been_otherwise_is_counted_by_kind() {
    let plain = site("");
    let counts = |more: &str| day(Some(&site(more)), &plain).1;
    let same = counts("");
    assert_eq!((same.would_refuse, same.would_copy, same.would_probe), (0, 0, 0), "{same:?}");
    let dear = counts(r#""deductions":{"cross_zone":0.5},"#);
    assert!(dear.other_zone > 2 * same.other_zone / 3 && dear.other_zone > 200, "{dear:?} against {same:?}");
    let looks = counts(r#""stats":{"how":"inline","fields":["inflight"]},"#);
    assert!(looks.alike + looks.other_server + looks.other_zone > 500, "{looks:?}");
}
