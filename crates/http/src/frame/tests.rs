//! Tests of `frame.rs`.

use super::body::MAX_HEAD_BYTES;
use super::*;

/// Frames a response received in pieces of the given size; returns what awc would read.
fn read(response: &str, piece: usize) -> (Result<String, InvalidMessage>, ResponseFramer) {
    let mut framer = ResponseFramer::new();
    framer.expect_response();
    for bytes in response.as_bytes().chunks(piece) {
        framer.input_buffer().extend_from_slice(bytes);
        if let Err(invalid) = framer.parse_input() {
            return (Err(invalid), framer);
        }
    }
    let read = String::from_utf8_lossy(&framer.output().split()).into_owned();
    (Ok(read), framer)
}

#[test]
fn final_response_passes_unchanged() {
    for response in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 X\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nhalf\r\n01;x=y\r\n!\r\n0\r\n\r\n",
    ] {
        for piece in [1, 7, 1000] {
            let (read, framer) = read(response, piece);
            assert_eq!(read.as_deref(), Ok(response));
            assert!(framer.is_complete() && !framer.has_stray_bytes(), "{response}");
        }
    }
}

#[test]
fn informational_responses_are_skipped() {
    let informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n";
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    for piece in [1, 1000] {
        assert_eq!(read(&format!("{informational}{response}"), piece).0.as_deref(), Ok(response));
    }
    assert!(
        read(&format!("{}{response}", informational.repeat(20)), 1000).0.is_err(),
        "their number is limited"
    );
    assert!(read("HTTP/1.1 101 Switching Protocols\r\n\r\n", 1000).0.is_err());
}

#[test]
fn response_without_length_ends_with_the_connection() {
    let response = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nwhatever comes";
    for piece in [1, 7, 1000] {
        let (read, mut framer) = read(response, piece);
        assert_eq!(read.as_deref(), Ok(response.replace("1.1", "1.0").as_str()));
        assert!(!framer.is_complete() && framer.connection_closed() && framer.is_complete());
    }
    let (_, mut truncated) = read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell", 1000);
    assert!(!truncated.connection_closed() && !truncated.is_complete(), "a truncated body is not complete");
}

#[test]
fn stray_bytes_are_detected_and_not_forwarded() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    for stray in [response, "\r\n", "\0"] {
        for piece in [1, 1000] {
            let (read, framer) = read(&format!("{response}{stray}"), piece);
            assert_eq!(read.as_deref(), Ok(response));
            assert!(framer.is_complete() && framer.has_stray_bytes());
        }
    }
}

#[test]
fn truncated_responses_are_incomplete() {
    for truncated in ["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell", "HTTP/1.1 200 OK\r\nContent-Le", ""]
    {
        let (read, framer) = read(truncated, 1000);
        assert!(read.is_ok() && !framer.is_complete(), "{truncated}");
    }
}

#[test]
fn malformed_responses_are_rejected() {
    let head = |lines: &str| format!("HTTP/1.1 200 OK\r\n{lines}\r\n\r\n");
    let chunked = "Transfer-Encoding: chunked";
    for response in [
        "\0\x01\x02noise noise\r\n\r\n".to_owned(),
        "HTTP/1.1 2x0 OK\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nno colon\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(MAX_HEAD_BYTES)),
        head("Content-Length: -1"),
        head("Content-Length: +1"),
        head("Content-Length: 1x"),
        head("Content-Length: "),
        head("Content-Length: 99999999999999999999999999"),
        head("Content-Length: 1\r\nContent-Length: 1"),
        head(&format!("Content-Length: 1\r\n{chunked}")),
        head(&format!("{chunked}\r\n{chunked}")),
        head("Transfer-Encoding: gzip, chunked"),
        head(chunked) + "zz\r\n",
        head(chunked) + "ffffffffffffffffff\r\n",
        head(chunked) + "1\r\nxyz",
        head(chunked) + &"1;".repeat(MAX_HEAD_BYTES),
    ] {
        assert!(read(&response, 5).0.is_err(), "{response:.80}");
    }
}
