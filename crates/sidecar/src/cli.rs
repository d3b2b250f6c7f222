//! The command line: `serve` and the tools for operators. Output is text for people or JSON for programs; the exit code
//! is 0 for success, 1 for faults found, 2 for input that can't be read.

mod duties;
mod route;

use crate::config::parse_settings;
use anyhow::{Context, Result, anyhow};
use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use dunlincleat_limits::{Code, Fault, Severity, check, check_without_settings};
use dunlincleat_settings::InstanceSettings;
use serde_json::json;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A client-side load balancer that runs as a sidecar.
#[derive(Parser)]
#[command(name = "dunlincleat", version, about, propagate_version = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    /// Text for people
    Text,
    /// JSON for programs
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run the sidecar with the configuration of the environment, as dunlincleat-sidecar does
    Serve {
        /// The limits file; takes precedence over EDGE_LIMITS and the configuration's key `limits_file`
        #[arg(long, value_name = "FILE")]
        limits: Option<PathBuf>,
    },
    /// Validate a limits file; exits with 0 if valid, 1 if faults were found, 2 if unreadable
    Check {
        /// The limits file
        file: PathBuf,
        /// The settings to validate it against: a settings object, or a configuration that contains one
        #[arg(long, value_name = "FILE", env = "EDGE_CONFIG")]
        settings: Option<PathBuf>,
        /// Output format
        #[arg(long, value_enum, default_value = "text")]
        format: Format,
    },
    /// Show the route that applies to a request, and the lines that set its values
    Route {
        /// The limits file
        file: PathBuf,
        /// The settings: a settings object, or a configuration that contains one
        #[arg(long, value_name = "FILE", env = "EDGE_CONFIG")]
        settings: PathBuf,
        /// The class of the request
        #[arg(long)]
        class: String,
        /// The tenant of the request
        #[arg(long)]
        tenant: Option<String>,
        /// The path of the request; default: / and the class
        #[arg(long)]
        path: Option<String>,
        /// The method of the request; default: GET for a safe class, else POST
        #[arg(long)]
        method: Option<String>,
        /// A header of the request, may be repeated
        #[arg(long = "header", value_name = "NAME=VALUE")]
        headers: Vec<String>,
        /// Output format
        #[arg(long, value_enum, default_value = "text")]
        format: Format,
    },
    /// Show the duties of the fleet as a running sidecar knows them; with `hand`, release one
    Duties {
        /// The address of the sidecar's console
        #[arg(long, value_name = "ADDRESS", env = "EDGE_CONSOLE", global = true)]
        console: Option<SocketAddr>,
        /// Output format
        #[arg(long, value_enum, default_value = "text", global = true)]
        format: Format,
        /// A command for a duty
        #[command(subcommand)]
        order: Option<DutiesOrder>,
    },
    /// Explain a fault code that check reports, or list all codes
    Explain {
        /// The fault code, such as DL033
        code: Option<String>,
    },
    /// Write the completion script of a shell to standard output
    Completions {
        /// The shell
        shell: Shell,
    },
    /// Write the manual page to standard output
    Manual,
}

#[derive(Subcommand)]
enum DutiesOrder {
    /// Release a duty that this sidecar holds
    Hand {
        /// The duty
        duty: String,
        /// The voter that is to hold it next; default: any
        to: Option<String>,
    },
}

/// Runs the command line and returns the exit code.
#[must_use]
pub fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Serve { limits } => return run_serve(limits.as_deref()),
        Command::Check { file, settings, format } => run_check(&file, settings.as_deref(), format),
        Command::Route { file, settings, class, tenant, path, method, headers, format } => {
            let query = route::RouteQuery { class, tenant, path, method, headers };
            route::run(&file, &settings, &query, format)
        }
        Command::Duties { console, format, order } => duties::run(console, format, order),
        Command::Explain { code } => run_explain(code.as_deref()),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "dunlincleat", &mut std::io::stdout());
            Ok(ExitCode::SUCCESS)
        }
        Command::Manual => clap_mangen::Man::new(Cli::command())
            .render(&mut std::io::stdout())
            .context("standard output")
            .map(|()| ExitCode::SUCCESS),
    };
    result.unwrap_or_else(|error| {
        eprintln!("dunlincleat: {error:#}");
        ExitCode::from(2)
    })
}

fn run_serve(limits: Option<&Path>) -> ExitCode {
    match crate::serve(limits) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dunlincleat: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_file(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).with_context(|| file.display().to_string())
}

fn read_settings(file: &Path) -> Result<InstanceSettings> {
    parse_settings(&read_file(file)?).with_context(|| file.display().to_string())
}

/// Writes a line to standard output. A closed pipe is not an error.
fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

fn run_check(file: &Path, settings: Option<&Path>, format: Format) -> Result<ExitCode> {
    let text = read_file(file)?;
    let faults: Vec<Fault> = match settings {
        Some(settings) => check(&text, &read_settings(settings)?).faults,
        None => check_without_settings(&text),
    };
    let errors = faults.iter().filter(|fault| fault.severity == Severity::Error).count();
    match format {
        Format::Json => print_line(
            &json!({
                "file": file.display().to_string(), "proved_against_settings": settings.is_some(),
                "errors": errors, "faults": faults,
            })
            .to_string(),
        ),
        Format::Text => {
            faults.iter().for_each(|fault| print_line(&format!("{}:{fault}", file.display())));
            let against = if settings.is_some() { "" } else { " (its form alone: no settings were named)" };
            let warnings = faults.len() - errors;
            print_line(&format!("{}: {errors} errors, {warnings} warnings{against}", file.display()));
        }
    }
    Ok(if errors == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn run_explain(code: Option<&str>) -> Result<ExitCode> {
    let Some(name) = code else {
        Code::ALL.iter().for_each(|code| print_line(&format!("{code}  {}", code.title())));
        return Ok(ExitCode::SUCCESS);
    };
    let code = Code::from_name(name)
        .ok_or_else(|| anyhow!("unknown code '{name}'; 'dunlincleat explain' lists all"))?;
    print_line(&format!("{code}: {}\n\n{}", code.title(), code.explain()));
    Ok(ExitCode::SUCCESS)
}
