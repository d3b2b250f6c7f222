//! Tests of `config.rs`.

use super::*;

fn own(limits: &str, sidecar: &str) -> Result<Rc<HttpOptions>> {
    Ok(config(limits, sidecar)?.own)
}

fn config(limits: &str, sidecar: &str) -> Result<Config> {
    let text = format!(
        r#"{{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"a","limits":{limits},
            "sidecar":{sidecar},"settings":{{"safety":{{}},
            "classes":[{{"name":"a","aim":300000,"deadline":740000,"semantics":"retryable"}},
                       {{"name":"b","aim":400000,"deadline":2000000,"semantics":"retryable"}}],
            "limits":{{"conn_idle":5000000,"connect_timeout":200000,"max_open":40000}}}}}}"#
    );
    Config::parse(&text, First::Variable, |_| Ok(None), None)
}

/// Settings that are only watched are proved like those in force, and must speak of the same classes.
#[test]
fn watched_settings_are_laid_over_those_in_force_and_proved() -> Result<()> {
    let watched = |watch: &str| config(&format!("{{}},\"watch\":{watch}"), "{}");
    let settings = watched(r#"{"weight_source":"live","limits":{"peers":true}}"#)?.watch.context("none")?;
    assert_eq!(settings.weights, dunlincleat::api::Weights::Live);
    assert_eq!(settings.classes.len(), 2, "what is not named stays as it is");
    assert!(!settings.limits.peer_messages, "there are no messages on sockets");
    assert!(config("{}", "{}")?.watch.is_none());
    for (watch, told) in [
        ("7", "watch: 7 is no object of settings"),
        (r#"{"objective_mix":{"tail_part":2}}"#, "watch: settings: objective_mix.tail_part: 2 is no number"),
        (r#"{"classes":[{"name":"z","aim":1,"deadline":2,"semantics":"retryable"}]}"#, "watch: its classes"),
    ] {
        let Err(error) = watched(watch) else { bail!("taken: {watch}") };
        assert!(format!("{error:#}").contains(told), "{error:#}");
    }
    Ok(())
}

#[test]
fn what_is_not_told_follows_from_the_settings() -> Result<()> {
    let own = own("{}", "{}")?;
    let ms = Duration::from_millis;
    assert_eq!(
        (own.server_idle_timeout, own.connect_timeout, own.probe_timeout),
        (ms(4000), ms(200), ms(75))
    );
    let config = config("{}", "{}")?;
    assert_eq!((config.accept_after_term, config.end_after_term), (ms(600), ms(2600)));
    assert_eq!((own.max_client_connections, own.max_server_connections), (492, 492));
    Ok(())
}

#[test]
fn requests_in_hand_fit_the_memory() -> Result<()> {
    // 492 requests, as many as connections, could hold more in bodies than the memory there is.
    assert_eq!(own(r#"{"memory_mb":192}"#, "{}")?.max_requests, 384);
    assert_eq!(own(r#"{"memory_mb":16}"#, "{}")?.max_requests, 32);
    assert_eq!(own(r#"{"memory_mb":2048}"#, "{}")?.max_requests, 492);
    assert_eq!(own(r#"{"memory_mb":192}"#, r#"{"requests":7}"#)?.max_requests, 7);
    Ok(())
}
