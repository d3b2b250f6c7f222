//! `dunlincleat`: the sidecar, and what an operator asks of a file before it is used.

#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    dunlincleat_sidecar::cli::main()
}
