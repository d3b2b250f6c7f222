//! The host on literal protocol text, valid and malformed.

use dunlincleat_wirehost::Host;

const ENV: &str = r#"{"balancers":1,"brand_new_key":[1,{"a":null}],"classes":[{"aim":300000,"deadline":740000,"gain":3.0,"group":"all","late_worth":0.0,"name":"a","semantics":"retryable","stream":false,"window":5000000},{"aim":300000,"deadline":740000,"gain":3.0,"name":"b","semantics":"fragile"}],"discovery":"pushed","limits":{"try_limit":3,"cancel":true,"made_up":7},"me":0,"safety":{"cold":8000000,"cold_from":0.3,"drain_grace":1000000},"stats":{"fields":["inflight","mystery"],"how":"inline"},"tick":1000}"#;

fn run(input: &str) -> (Result<(), String>, String) {
    let mut output = Vec::new();
    let result = Host::default().run(input.as_bytes(), &mut output).map_err(|error| format!("{error:#}"));
    (result, String::from_utf8(output).unwrap())
}

fn started() -> String {
    format!(
        "FRAME 5000000 1\nENLIST 3 99 {ENV}\nDIRECTORY 0 2\nENTRY - 10.18.74.7:11203 1 0 0 0 SERVING\n\
         ENTRY 4900000 10.144.17.242:11244 1.5 1 0 0 DRAINING\nREGISTRY 3 0 41 C\nEND\n"
    )
}

fn accepted(input: &str) -> String {
    let (result, output) = run(input);
    assert_eq!(result, Ok(()), "{output}");
    output
}

fn rejected(input: &str, expected: &str) {
    let (result, output) = run(&format!("{}{input}", started()));
    let message = result.expect_err(input);
    assert!(message.contains(expected), "'{message}' does not name '{expected}'");
    assert!(!output.contains("YIELD 2"), "no reply to a malformed batch");
}

#[test]
fn an_empty_batch_is_acknowledged() {
    assert_eq!(accepted("FRAME 8412250 1\nEND\n"), "YIELD 1\n");
    assert_eq!(accepted(""), "");
}

#[test]
fn a_request_is_sent_to_the_ready_server_and_ends_with_its_outcome() {
    let text = format!(
        "{}FRAME 5001000 2\nINBOUND 3 2447510152581572 240000 91f03b7c55d20a64 12000 0 1 0\nEND\n\
         FRAME 5020000 3\nRESPONSE 3 2447510152581572 0 1 0 18500 10.18.74.7:11203 7,0.5\nEND\n",
        started()
    );
    let output = accepted(&text);
    assert!(output.contains("DISPATCH 3 2447510152581572 10.18.74.7:11203 5241000\nYIELD 2\n"), "{output}");
    assert!(output.ends_with("YIELD 3\n"));
}

#[test]
fn absent_optional_values_are_accepted() {
    let text = format!("{}FRAME 5001000 2\nINBOUND 3 7 240000 - - 1 - -\nEND\n", started());
    assert!(accepted(&text).contains("DISPATCH 3 7 10.18.74.7:11203 "));
}

#[test]
fn a_failed_attempt_is_refused_or_failed_according_to_its_class() {
    for (lane, reply) in [(0, "SHED 3 7 0"), (1, "RESPOND_ERROR 3 7")] {
        let text = format!(
            "{}FRAME 5001000 2\nINBOUND 3 7 240000 - - {lane} 0 0\nEND\n\
             FRAME 5020000 3\nRESPONSE 3 7 255 0 0 18500 10.18.74.7:11203 -\nEND\n",
            started()
        );
        assert!(accepted(&text).contains(reply));
    }
}

#[test]
fn a_list_number_is_resolved_at_the_time_of_the_event() {
    let text = format!(
        "{}FRAME 5001000 2\nDIRECTORY 0 1\nENTRY - 10.1.1.1:11203 1 0 0 0 SERVING\nREGISTRY 3 0 42 F\n\
         INBOUND 3 7 240000 - - 0 0 0\nDIRECTORY 0 1\nENTRY - 10.2.2.2:11203 1 0 0 0 SERVING\nREGISTRY 3 0 43 F\n\
         INBOUND 3 8 240000 - - 0 0 0\nEND\n",
        started()
    );
    let output = accepted(&text);
    assert!(output.contains("DISPATCH 3 7 10.1.1.1:11203"), "{output}");
    assert!(output.contains("DISPATCH 3 8 10.2.2.2:11203"), "{output}");
}

#[test]
fn an_instance_is_removed_at_shutdown_and_can_be_started_again() {
    let restart = started().replace("FRAME 5000000 1", "FRAME 5001000 2\nSHUTDOWN 3");
    assert!(accepted(&format!("{}{restart}", started())).ends_with("YIELD 2\n"));
    rejected("FRAME 5001000 2\nSHUTDOWN 3\nTICK_DUE 3 1\nEND\n", "instance 3");
}

#[test]
fn a_failed_discovery_call_carries_no_list() {
    assert!(
        accepted(&format!("{}FRAME 5001000 2\nREGISTRY 3 - - X\nEND\n", started())).ends_with("YIELD 2\n")
    );
    assert!(
        accepted(&format!("{}FRAME 5001000 2\nREGISTRY 3 0 41 X\nEND\n", started())).ends_with("YIELD 2\n")
    );
}

#[test]
fn malformed_input_is_rejected_with_the_field_at_fault() {
    rejected("INBOUND 3 7 1 - - 0 0 0\n", "outside a batch");
    rejected("FRAME x 2\nEND\n", "clock");
    rejected("FRAME 1 2\nEND\n", "clock went back");
    rejected("FRAME 5001000 2\nHELLO 3\nEND\n", "HELLO");
    rejected("FRAME 5001000 2\nINBOUND 9 7 1 - - 0 0 0\nEND\n", "instance 9");
    rejected("FRAME 5001000 2\nINBOUND 3 seven 1 - - 0 0 0\nEND\n", "xid");
    rejected("FRAME 5001000 2\nINBOUND 3 7\nEND\n", "patience_left is missing");
    rejected("FRAME 5001000 2\nINBOUND 3 7 240000 - - 9 0 0\nEND\n", "lane 9");
    rejected("FRAME 5001000 2\nRESPONSE 3 7 1 0 0 5 10.18.74.7:11203 -\nEND\n", "verdict");
    rejected("FRAME 5001000 2\nRESPONSE 3 7 0 2 0 5 10.18.74.7:11203 -\nEND\n", "settled");
    rejected("FRAME 5001000 2\nRESPONSE 3 7 0 1 0 5 10.9.9.9:1 -\nEND\n", "10.9.9.9:1");
    rejected("FRAME 5001000 2\nRESPONSE 3 7 0 1 0 5 10.18.74.7:11203 a,b\nEND\n", "pressure");
    rejected("FRAME 5001000 2\nREGISTRY 3 12 1 Q\nEND\n", "scope");
    rejected("FRAME 5001000 2\nDIRECTORY 16 0\nEND\n", "16");
    rejected(
        "FRAME 5001000 2\nDIRECTORY 1 2\nENTRY - 10.1.1.1:1 1 0 0 0 SERVING\nEND\n",
        "entries are missing",
    );
    rejected("FRAME 5001000 2\nDIRECTORY 1 1\nENTRY - 10.1.1.1:1 1 0 0 0 ASLEEP\nEND\n", "ASLEEP");
    rejected("FRAME 5001000 2\nDATAGRAM 3 1 %%%\nEND\n", "base64");
    rejected("FRAME 5001000 2\nENLIST 4 1 {\"classes\":[]\nEND\n", "settings");
    rejected("FRAME 5001000 2\nTICK_DUE 3 1\n", "ended within a batch");
}

#[test]
fn events_for_unknown_requests_and_timers_are_accepted() {
    let text = format!(
        "{}FRAME 5001000 2\nWITHDRAWN 3 12345\nTICK_DUE 3 77\nPROBE_DONE 3 10 253 10.18.74.7:11203 -\n\
         RESPONSE 3 9 0 1 0 10 10.18.74.7:11203 -,0.5\nDATAGRAM 3 0 -\nDIRECTORY 5 0\nREGISTRY 3 5 9 D\n\
         ACK_FIRST 3 9 10.18.74.7:11203 10 0\nEND\n",
        started()
    );
    assert!(accepted(&text).ends_with("YIELD 2\n"));
}
