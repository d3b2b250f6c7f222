//! Tests of `reply.rs`.

use super::*;

fn fields() -> Vec<String> {
    ["inflight", "queue", "util"].map(str::to_owned).to_vec()
}

#[test]
fn load_report_fields_follow_the_order_of_the_settings() {
    assert_eq!(
        parse_load_report(br#"{"util":0.5,"queue":2,"inflight":7,"new":"x"}"#, &fields()),
        [7.0, 2.0, 0.5]
    );
    let partial = parse_load_report(br#"{"queue":2,"inflight":"many"}"#, &fields());
    assert!(partial[0].is_nan() && partial[1] == 2.0 && partial[2].is_nan());
    for none in
        ["", "{}", "[1]", "not JSON", r#"{"new":1}"#, r#"{"queue":-1}"#, r#"{"util":0.5,"queue":1e300}"#]
    {
        assert!(parse_load_report(none.as_bytes(), &fields()).is_empty(), "{none}");
    }
}

#[test]
fn probe_response_shows_whether_the_server_accepts_work() {
    let probe = |status| {
        let reply = Reply::decode_probe(status, &HeaderMap::new(), br#"{"inflight":3}"#, &fields());
        (reply.status, reply.load[0])
    };
    assert_eq!(probe(StatusCode::OK), (Status::Ok, 3.0));
    assert_eq!(probe(StatusCode::SERVICE_UNAVAILABLE), (Status::Rejected, 3.0));
    assert_eq!(probe(StatusCode::NOT_FOUND), (Status::Error, 3.0));
}
