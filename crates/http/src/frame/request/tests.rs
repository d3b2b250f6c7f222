//! Tests of `request.rs`.

use super::*;

/// Receives these bytes in pieces of the given size and consumes every body at once; returns what actix-http would read
/// of each request.
fn requests(bytes: &str, piece: usize) -> Vec<String> {
    let mut framer = RequestFramer::default();
    let mut requests = vec![String::new()];
    for piece in bytes.as_bytes().chunks(piece) {
        framer.input_buffer().extend_from_slice(piece);
        loop {
            assert_eq!(framer.parse_input(), Ok(()));
            framer.body_consumed(BODY_WINDOW_BYTES);
            let output = framer.output().split();
            requests.last_mut().unwrap().push_str(std::str::from_utf8(&output).unwrap());
            if framer.is_complete() {
                framer.expect_request();
                requests.push(String::new());
            } else if output.is_empty() {
                break;
            }
        }
    }
    requests
}

#[test]
fn each_request_is_framed_by_itself() {
    let expected = [
        "GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
        "POST /b HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
        "POST /c HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        "\r\nGET /e HTTP/1.0\r\n\r\n",
        "",
    ];
    for piece in [1, 7, 1000] {
        assert_eq!(requests(&expected.concat(), piece), expected, "in pieces of {piece}");
    }
}

/// Guards against a queue of chunks that takes many times their bytes: those received at a time are forwarded as one.
#[test]
fn chunks_of_a_body_are_joined() {
    let head = "POST /d HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n";
    let next = "GET /e HTTP/1.1\r\n\r\n";
    let body = "4\r\nhalf\r\n01;x=y\r\n!\r\n3\r\n...\r\n0\r\nTrailer: 1\r\n\r\n";
    let received = format!("{head}{body}{next}");
    assert_eq!(requests(&received, 1000), [&format!("{head}8\r\nhalf!...\r\n0\r\n\r\n"), next, ""]);
    for piece in [1, 7] {
        let framed = requests(&received, piece);
        assert_eq!(framed[1..], [next, ""], "in pieces of {piece}");
        let chunks = framed[0].strip_prefix(head).unwrap().strip_suffix("0\r\n\r\n").unwrap();
        assert_eq!(chunk_data(chunks), "half!...", "in pieces of {piece}");
    }
}

/// Chunks of any size and form are joined to the same data, and what follows them is left alone.
#[test]
fn plain_and_other_chunks_are_joined_alike() {
    let head = "POST /d HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunks = ["1\r\na\r\n", "0002\r\nbc\r\n", "00003\r\ndef\r\n", "A;x\r\n0123456789\r\n", "1\r\n\r\r\n"];
    let body = chunks.concat().repeat(300);
    let data = "abcdef0123456789\r".repeat(300);
    for piece in [1, 5, 64, 9000] {
        let framed = requests(&format!("{head}{body}0\r\n\r\nGET /e HTTP/1.1\r\n\r\n"), piece);
        let joined = framed[0].strip_prefix(head).unwrap().strip_suffix("0\r\n\r\n").unwrap();
        assert_eq!(chunk_data(joined), data, "in pieces of {piece}");
        assert_eq!(framed[1..], ["GET /e HTTP/1.1\r\n\r\n", ""], "in pieces of {piece}");
    }
}

/// The data of complete chunks.
fn chunk_data(mut chunks: &str) -> String {
    let mut data = String::new();
    while let Some((size, rest)) = chunks.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        data.push_str(&rest[..size]);
        chunks = rest[size..].strip_prefix("\r\n").unwrap();
    }
    data
}

/// Joining must not make a malformed body look sound.
#[test]
fn malformed_chunks_stay_malformed() {
    let head = "POST /d HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for malformed in ["x\r\n", "1\r\nab\r\n", "1\r\na1\r\nb\r\n0\r\n\r\n", "0\r\n\0: x\r\n\r\n"] {
        let framed = &requests(&format!("{head}{malformed}"), 1000)[0];
        assert!(framed.ends_with("!\r\n"), "{malformed:?} is framed as {framed:?}");
    }
}

#[test]
fn body_is_forwarded_as_it_is_consumed() {
    let mut framer = RequestFramer::default();
    let head = "POST /a HTTP/1.1\r\nContent-Length: 100000\r\n\r\n";
    framer.input_buffer().extend_from_slice(head.as_bytes());
    framer.input_buffer().extend_from_slice(&[b'x'; 64 * 1024]);
    assert_eq!(framer.parse_input(), Ok(()));
    assert_eq!(framer.output().split().len(), head.len() + BODY_WINDOW_BYTES);
    assert!(framer.is_window_closed() && !framer.is_complete());
    framer.body_consumed(10);
    assert_eq!(framer.parse_input(), Ok(()));
    assert_eq!(framer.output().split().len(), 10);
}

#[test]
fn malformed_requests_are_forwarded_for_rejection() {
    for malformed in
        ["no HTTP\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello"]
    {
        assert_eq!(requests(malformed, 1000)[0], malformed);
    }
}

#[test]
fn head_over_the_limit_is_an_error() {
    let mut framer = RequestFramer::default();
    framer.input_buffer().extend_from_slice(b"GET / HTTP/1.1\r\nCookie: ");
    assert_eq!(framer.parse_input(), Ok(()));
    framer.input_buffer().extend_from_slice(&[b'x'; MAX_HEAD_BYTES]);
    assert_eq!(framer.parse_input(), Err(HeadTooLong));
}

/// Guards against a bound that depends on how a head arrives: one received at once was accepted at any length.
#[test]
fn head_over_the_limit_is_an_error_in_any_pieces() {
    let head = |bytes: usize| format!("GET / HTTP/1.1\r\nCookie: {}\r\n\r\n", "x".repeat(bytes));
    for piece in [1000, usize::MAX] {
        let mut framer = RequestFramer::default();
        let results: Vec<_> = head(MAX_HEAD_BYTES)
            .as_bytes()
            .chunks(piece)
            .map(|bytes| {
                framer.input_buffer().extend_from_slice(bytes);
                framer.parse_input()
            })
            .collect();
        assert!(results.contains(&Err(HeadTooLong)), "in pieces of {piece}");
        let under = head(MAX_HEAD_BYTES - 100);
        assert_eq!(requests(&under, piece)[0], under);
    }
}

#[test]
fn connection_that_is_taken_over_has_one_request() {
    for head in ["CONNECT x HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nUpgrade: WebSocket\r\n\r\n"] {
        let rest = "GET /a HTTP/1.1\r\n\r\n";
        assert_eq!(requests(&format!("{head}{rest}"), 1000), [format!("{head}{rest}")]);
    }
}
