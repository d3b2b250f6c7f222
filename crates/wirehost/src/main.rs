//! `dunlincleat-wirehost`: the bench's line protocol on standard input and output.

#![forbid(unsafe_code)]

use dunlincleat_wirehost::Host;
use std::io::{BufReader, BufWriter, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, stdin().lock());
    let output = BufWriter::with_capacity(1 << 16, stdout().lock());
    match Host::default().run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunlincleat-wirehost: {error:#}");
            ExitCode::FAILURE
        }
    }
}
