//! `dunlincleat-sidecar`: the sidecar as the deployment starts it, configured by its environment alone.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    match dunlincleat_sidecar::serve(None) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunlincleat-sidecar: {error:#}");
            ExitCode::FAILURE
        }
    }
}
