//! Maps errors of awc to the status of an attempt.

use crate::line::NotSentError;
use awc::error::SendRequestError;
use dunlincleat::api::Status;
use std::io;

/// Operating system errors that report exhausted local resources.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;

/// What an error of awc implies about whether the request has run. In doubt, it may have.
pub(super) fn error_status(error: SendRequestError) -> Status {
    let is_local = |error: &io::Error| {
        let exhausted = matches!(error.raw_os_error(), Some(EMFILE | ENFILE | EADDRNOTAVAIL));
        exhausted || error.get_ref().is_some_and(|e| e.is::<NotSentError>())
    };
    match error {
        // awc returns this for a connection that ended before the response, after the request was written.
        SendRequestError::Connect(awc::error::ConnectError::Disconnected) => Status::Reset,
        // A local limit must not enter the statistics of the decision module as an unreachable server, as it once
        // did.
        SendRequestError::Connect(awc::error::ConnectError::Io(error)) if is_local(&error) => Status::NotSent,
        SendRequestError::Send(error) if is_local(&error) => Status::NotSent,
        SendRequestError::Connect(_) | SendRequestError::Url(_) | SendRequestError::Http(_) => {
            Status::ConnectFailed
        }
        // The client's body broke off: the request can't run, and the server is not at fault.
        SendRequestError::Body(_) => Status::NotSent,
        // A write failed: the kernel did not accept the last byte.
        SendRequestError::Send(_) => Status::ConnectFailed,
        _ => Status::Reset,
    }
}

#[cfg(test)]
mod tests;
