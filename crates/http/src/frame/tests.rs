//! Tests of `frame.rs`.

use super::*;

/// Frames an answer that comes in pieces of so many bytes; gives what awc would read.
fn read(answer: &str, piece: usize) -> (Result<String, InvalidResponse>, ResponseFramer) {
    let mut framer = ResponseFramer::new();
    framer.expect_response();
    for bytes in answer.as_bytes().chunks(piece) {
        framer.input_buffer().extend_from_slice(bytes);
        if let Err(invalid) = framer.parse_input() {
            return (Err(invalid), framer);
        }
    }
    let read = String::from_utf8_lossy(&framer.output().split()).into_owned();
    (Ok(read), framer)
}

#[test]
fn one_final_answer_passes_unchanged_in_whatever_pieces() {
    for answer in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 X\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nhalf\r\n01;x=y\r\n!\r\n0\r\n\r\n",
    ] {
        for piece in [1, 7, 1000] {
            let (read, framer) = read(answer, piece);
            assert_eq!(read.as_deref(), Ok(answer));
            assert!(framer.is_complete() && !framer.has_stray_bytes(), "{answer}");
        }
    }
}

#[test]
fn answers_ahead_are_passed_over() {
    let hints = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n";
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    for piece in [1, 1000] {
        assert_eq!(read(&format!("{hints}{answer}"), piece).0.as_deref(), Ok(answer));
    }
    assert!(read(&format!("{}{answer}", hints.repeat(20)), 1000).0.is_err(), "not without end");
    assert!(read("HTTP/1.1 101 Switching Protocols\r\n\r\n", 1000).0.is_err());
}

#[test]
fn an_answer_without_a_length_lasts_until_its_connection_ends() {
    let answer = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nwhatever comes";
    for piece in [1, 7, 1000] {
        let (read, mut framer) = read(answer, piece);
        assert_eq!(read.as_deref(), Ok(answer.replace("1.1", "1.0").as_str()));
        assert!(!framer.is_complete() && framer.connection_closed() && framer.is_complete());
    }
    let (_, mut half) = read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell", 1000);
    assert!(!half.connection_closed() && !half.is_complete(), "a length is a promise");
}

#[test]
fn bytes_behind_an_answer_are_seen_and_not_passed_on() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    for behind in [answer, "\r\n", "\0"] {
        for piece in [1, 1000] {
            let (read, framer) = read(&format!("{answer}{behind}"), piece);
            assert_eq!(read.as_deref(), Ok(answer));
            assert!(framer.is_complete() && framer.has_stray_bytes());
        }
    }
}

#[test]
fn what_is_no_whole_answer_is_not_taken_for_one() {
    for half in ["HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell", "HTTP/1.1 200 OK\r\nContent-Le", ""] {
        let (read, framer) = read(half, 1000);
        assert!(read.is_ok() && !framer.is_complete(), "{half}");
    }
}

#[test]
fn odd_answers_are_spoilt_before_their_bodies_are_read() {
    let head = |lines: &str| format!("HTTP/1.1 200 OK\r\n{lines}\r\n\r\n");
    let chunked = "Transfer-Encoding: chunked";
    for answer in [
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
        assert!(read(&answer, 5).0.is_err(), "{answer:.80}");
    }
}
