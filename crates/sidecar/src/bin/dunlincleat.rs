//! `dunlincleat`: the sidecar and its operator tools, such as validation of a limits file before it is used.

#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    dunlincleat_sidecar::cli::main()
}
