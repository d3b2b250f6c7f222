//! Tests of the parser.

use super::*;
use dunlincleat::api::{Effect, Field, Group, Tail, Weights};

const EXAMPLE: &str = r#"{"balancers":2,"me":1,"locality":1,"zones":["a","b"],"new":1,
    "classes":[{"name":"pay","aim":300000,"deadline":740000,"gain":10.0,"semantics":"dedup","group":"all",
                "window":7500000}],
    "tenants":[{"name":"acme","share":0.2,"quota_per_s":26.0}],
    "stats":{"fields":["inflight","latency_ms"],"how":"inline"},
    "limits":{"conn_idle":5000000,"max_open":40000,"try_limit":6},
    "safety":{"drain_grace":1000000,"cold":8600000}}"#;

#[test]
fn module_settings_and_host_values_are_read() -> Result<()> {
    for instance in [read(EXAMPLE)?, read_value(serde_json::from_str(EXAMPLE)?)?] {
        assert_eq!((instance.classes, instance.tenants), (vec!["pay".to_owned()], vec!["acme".to_owned()]));
        assert_eq!((instance.zones.len(), instance.fields.len()), (2, 2));
        assert_eq!((instance.conn_idle, instance.max_open), (Some(Span(5_000_000)), Some(40_000)));
        assert_eq!(instance.drain_grace, Some(Span(1_000_000)));
        assert_eq!((instance.settings.instance_index, instance.settings.zone), (1, 1));
        assert_eq!(instance.settings.fields, [Field::Inflight, Field::Other]);
        let effect = Effect::Keyed { group: Group::All, window: Span(7_500_000) };
        assert_eq!(instance.settings.classes[0].effect, effect);
    }
    Ok(())
}

#[test]
fn invalid_values_are_reported_with_their_keys() {
    let error = |from: &str, to: &str| format!("{:#}", read(&EXAMPLE.replace(from, to)).unwrap_err());
    assert!(error("dedup", "odd").contains("unknown semantics 'odd'"));
    assert!(error("\"all\"", "\"some\"").contains("unknown group 'some'"));
    assert!(error("inline", "aloud").contains("unknown stats.how 'aloud'"));
    assert!(error("\"aim\"", "\"goal\"").contains("missing field `aim`"));
    for (text, expected) in [
        (r#""weight_source":"odd""#, r#"weight_source: "odd" is none of "off", "nominal""#),
        (r#""weight_source":3"#, "weight_source: 3 is none of"),
        (r#""family_info":{"warm_keys":1}"#, "family_info.warm_keys: 1 is neither true nor false"),
        (r#""objective_mix":{"tail_part":-0.1}"#, "objective_mix.tail_part: -0.1 is no number from 0 to 1"),
        (r#""objective_mix":{"borne_misses":1.5}"#, "objective_mix.borne_misses: 1.5 is no number"),
        (r#""objective_mix":{"borne_misses":"few"}"#, r#"objective_mix.borne_misses: "few" is no number"#),
    ] {
        let message = error("\"me\":1", &format!("\"me\":1,{text}"));
        assert!(message.contains(expected), "{message}");
    }
    let text = r#""me":1,"weight_source":"live","family_info":{"warm_keys":true},
        "objective_mix":{"tail_part":0.3,"borne_misses":0.01}"#;
    let settings = read(&EXAMPLE.replace("\"me\":1", text)).unwrap().settings;
    assert_eq!((settings.weights, settings.key_affinity), (Weights::Live, true));
    assert_eq!(settings.tail, Tail { share: 0.3, allowed_misses: 0.01 });
    let defaults = read(EXAMPLE).unwrap().settings;
    assert_eq!((defaults.weights, defaults.key_affinity), (Weights::Off, false));
    assert_eq!(defaults.tail, Tail::default());
    let price = |text: &str| error("\"me\":1", &format!("\"me\":1,\"deductions\":{{\"handshake\":{text}}}"));
    assert!(price("-0.1").contains("deductions.handshake: -0.1 is negative"));
    assert!(price("\"high\"").contains("deductions.handshake: \"high\" is not a number"));
    assert!(price("null").contains("deductions.handshake: null is not a number"));
    assert_eq!(read(EXAMPLE).unwrap().settings.prices.handshake, 0.0);
}
