//! Tests of `failure.rs`.

use super::*;

fn io(error: io::Error) -> SendRequestError {
    SendRequestError::Send(error)
}

#[test]
fn failed_write_maps_to_connect_failed() {
    assert_eq!(error_status(io(io::ErrorKind::ConnectionReset.into())), Status::ConnectFailed);
    assert_eq!(error_status(io(io::ErrorKind::BrokenPipe.into())), Status::ConnectFailed);
}

#[test]
fn local_failures_map_to_not_sent() {
    assert_eq!(error_status(io(io::Error::other(NotSentError("x")))), Status::NotSent);
    for code in [EMFILE, ENFILE, EADDRNOTAVAIL] {
        let error = awc::error::ConnectError::Io(io::Error::from_raw_os_error(code));
        assert_eq!(error_status(SendRequestError::Connect(error)), Status::NotSent);
    }
    let refused = awc::error::ConnectError::Io(io::ErrorKind::ConnectionRefused.into());
    assert_eq!(error_status(SendRequestError::Connect(refused)), Status::ConnectFailed);
}

#[test]
fn ambiguous_errors_map_to_reset() {
    let ended = SendRequestError::Connect(awc::error::ConnectError::Disconnected);
    assert_eq!(error_status(ended), Status::Reset);
    let garbled = SendRequestError::Response(actix_http::error::ParseError::Header);
    assert_eq!(error_status(garbled), Status::Reset);
    assert_eq!(error_status(SendRequestError::Timeout), Status::Reset);
}
