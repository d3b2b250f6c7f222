//! Tests of `config.rs`.

use super::*;

fn options(limits: &str, sidecar: &str) -> Result<Rc<HttpOptions>> {
    Ok(config(limits, sidecar)?.options)
}

fn config(limits: &str, sidecar: &str) -> Result<Config> {
    let text = format!(
        r#"{{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"a","limits":{limits},
            "sidecar":{sidecar},"settings":{{"safety":{{}},
            "classes":[{{"name":"a","aim":300000,"deadline":740000,"semantics":"retryable"}},
                       {{"name":"b","aim":400000,"deadline":2000000,"semantics":"retryable"}}],
            "limits":{{"conn_idle":5000000,"connect_timeout":200000,"max_open":40000}}}}}}"#
    );
    Config::parse(&text, Precedence::Variable, |_| Ok(None), None)
}

/// Shadow settings are validated like the active ones and must have the same classes.
#[test]
fn shadow_settings_are_merged_with_the_active_ones_and_validated() -> Result<()> {
    let with_watch = |watch: &str| config(&format!("{{}},\"watch\":{watch}"), "{}");
    let settings =
        with_watch(r#"{"weight_source":"live","limits":{"peers":true}}"#)?.shadow_settings.context("none")?;
    assert_eq!(settings.weights, dunlincleat::api::Weights::Live);
    assert_eq!(settings.classes.len(), 2, "keys that are not named stay");
    assert!(!settings.limits.peer_messages, "there is no protocol for messages between sidecars");
    assert!(config("{}", "{}")?.shadow_settings.is_none());
    for (watch, expected) in [
        ("7", "watch: 7 is not an object; expected the settings"),
        (r#"{"objective_mix":{"tail_part":2}}"#, "watch: settings: objective_mix.tail_part: 2 is no number"),
        (
            r#"{"classes":[{"name":"z","aim":1,"deadline":2,"semantics":"retryable"}]}"#,
            "watch: its classes or tenants differ",
        ),
    ] {
        let Err(error) = with_watch(watch) else { bail!("accepted: {watch}") };
        assert!(format!("{error:#}").contains(expected), "{error:#}");
    }
    Ok(())
}

#[test]
fn defaults_are_derived_from_the_settings() -> Result<()> {
    let options = options("{}", "{}")?;
    let ms = Duration::from_millis;
    assert_eq!(
        (options.server_idle_timeout, options.connect_timeout, options.probe_timeout),
        (ms(4000), ms(200), ms(75))
    );
    let config = config("{}", "{}")?;
    assert_eq!((config.accept_after_term, config.end_after_term), (ms(600), ms(2600)));
    assert_eq!((options.max_client_connections, options.max_server_connections), (492, 492));
    Ok(())
}

#[test]
fn the_default_request_limit_fits_the_memory() -> Result<()> {
    // 492 requests, one per connection, could have bodies larger than the available memory.
    assert_eq!(options(r#"{"memory_mb":192}"#, "{}")?.max_requests, 384);
    assert_eq!(options(r#"{"memory_mb":16}"#, "{}")?.max_requests, 32);
    assert_eq!(options(r#"{"memory_mb":2048}"#, "{}")?.max_requests, 492);
    assert_eq!(options(r#"{"memory_mb":192}"#, r#"{"requests":7}"#)?.max_requests, 7);
    Ok(())
}
