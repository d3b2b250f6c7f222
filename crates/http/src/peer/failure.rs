//! What an error of awc implies for the request.

use crate::line::NotSentError;
use awc::error::SendRequestError;
use dunlincleat::api::Status;
use std::io;

/// Errors of the system that say that this machine has no more to give.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;
const EADDRNOTAVAIL: i32 = 99;

/// What an error of awc's says about whether the request has run. In doubt it may have.
pub(super) fn error_status(error: SendRequestError) -> Status {
    let here = |error: &io::Error| {
        let bound = matches!(error.raw_os_error(), Some(EMFILE | ENFILE | EADDRNOTAVAIL));
        bound || error.get_ref().is_some_and(|e| e.is::<NotSentError>())
    };
    match error {
        // awc says this of a connection that ended before the answer, after the request was written.
        SendRequestError::Connect(awc::error::ConnectError::Disconnected) => Status::Reset,
        // Guards the module's figures: a bound reached here once counted as a server out of reach.
        SendRequestError::Connect(awc::error::ConnectError::Io(error)) if here(&error) => Status::NotSent,
        SendRequestError::Send(error) if here(&error) => Status::NotSent,
        SendRequestError::Connect(_) | SendRequestError::Url(_) | SendRequestError::Http(_) => {
            Status::ConnectFailed
        }
        // The client's body broke off: nothing of it can run, and no server is at fault.
        SendRequestError::Body(_) => Status::NotSent,
        // A write failed: the kernel did not take the last byte.
        SendRequestError::Send(_) => Status::ConnectFailed,
        _ => Status::Reset,
    }
}

#[cfg(test)]
mod tests;
