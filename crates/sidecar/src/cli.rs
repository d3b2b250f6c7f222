//! The command line: `serve` and the tools for operators. Output is text for people or JSON for programs; the exit code
//! is 0 for success, 1 for faults found, 2 for input that can't be read.

use crate::config::parse_settings;
use anyhow::{Context, Result, anyhow};
use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use dunlincleat_limits::{
    Checked, Code, Fault, HedgeDelay, RequestAttributes, Rule, Severity, check, check_without_settings,
    format_duration,
};
use dunlincleat_settings::InstanceSettings;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

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
            let query = RouteQuery { class, tenant, path, method, headers };
            run_route(&file, &settings, &query, format)
        }
        Command::Duties { console, format, order } => run_duties(console, format, order),
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

struct RouteQuery {
    class: String,
    tenant: Option<String>,
    path: Option<String>,
    method: Option<String>,
    headers: Vec<String>,
}

fn run_route(file: &Path, settings: &Path, query: &RouteQuery, format: Format) -> Result<ExitCode> {
    let text = read_file(file)?;
    let settings = read_settings(settings)?;
    let Checked { faults, rules } = check(&text, &settings);
    let Some(rules) = rules else {
        faults.iter().for_each(|fault| eprintln!("{}:{fault}", file.display()));
        return Ok(ExitCode::from(1));
    };
    let class = settings.classes.iter().position(|name| *name == query.class);
    let class = class.ok_or_else(|| {
        anyhow!("no class '{}'; expected one of {}", query.class, settings.classes.join(", "))
    })?;
    let tenant =
        match &query.tenant {
            None => settings.tenants.len(),
            Some(name) => settings.tenants.iter().position(|tenant| tenant == name).ok_or_else(|| {
                anyhow!("no tenant '{name}'; expected one of {}", settings.tenants.join(", "))
            })?,
        };
    let headers = query.headers.iter().map(|header| {
        header.split_once('=').map(|(name, value)| (name.to_ascii_lowercase(), value)).ok_or(header)
    });
    let headers =
        headers.collect::<Result<Vec<_>, _>>().map_err(|header| anyhow!("'{header}' is not NAME=VALUE"))?;
    let header =
        |name: &str| headers.iter().find(|(header_name, _)| header_name == name).map(|(_, value)| *value);
    let path = query.path.clone().unwrap_or_else(|| format!("/{}", query.class));
    let safe = settings.settings.classes[class].effect == dunlincleat::api::Effect::Safe;
    let method = query.method.as_deref().unwrap_or(if safe { "GET" } else { "POST" });
    let attributes = RequestAttributes {
        path: &path,
        method,
        class: class as u32,
        tenant: tenant as u32,
        header: &header,
    };
    print_rule(rules.find(&attributes), format);
    Ok(ExitCode::SUCCESS)
}

fn print_rule(rule: &Rule, format: Format) {
    let hedge_delay = rule.hedge_delay.as_ref().map(|delay| match delay {
        HedgeDelay::Fixed(delay) => format_duration(*delay),
        HedgeDelay::Quantile(quantile) => format!("quantile {quantile}"),
    });
    let budget = rule.retry_budget.map(|budget| {
        format!(
            "{} of first tries, {} a second at least",
            budget.retries_per_attempt, budget.min_retries_per_s
        )
    });
    let pools: Vec<&str> = rule.pools.iter().map(|pool| pool.name.as_str()).collect();
    let pool = (!pools.is_empty()).then(|| pools.join(", then "));
    let number = |value: Option<u32>| value.map(|value| value.to_string());
    let keys = [
        ("attempt_timeout", rule.attempt_timeout.map(format_duration)),
        ("timeout", rule.timeout.map(format_duration)),
        ("connect_timeout", rule.connect_timeout.map(format_duration)),
        ("attempts", number(rule.attempts)),
        ("second_copy", hedge_delay),
        ("retry_budget", budget),
        ("max_in_hand", number(rule.max_in_hand)),
        ("max_waiting", number(rule.max_waiting)),
        ("priority", number(rule.priority)),
        ("pool", pool),
    ];
    let line = |key: &str| rule.key_lines.iter().find(|set| set.key == key).map(|set| set.line);
    match format {
        Format::Json => {
            let set = keys.iter().filter_map(|(key, value)| {
                let value = value.as_ref()?;
                Some(((*key).to_owned(), json!({"value": value, "line": line(key)})))
            });
            let set: serde_json::Map<String, serde_json::Value> = set.collect();
            print_line(&json!({"route": rule.name, "line": rule.line, "set": set}).to_string());
        }
        Format::Text => {
            let at = rule.line.map_or_else(|| "no route matches".to_owned(), |line| format!("line {line}"));
            print_line(&format!("route {} ({at})", rule.name));
            for (key, value) in keys {
                match value {
                    Some(value) => {
                        let source = line(key).map(|line| format!("line {line}")).unwrap_or_default();
                        print_line(&format!("  {key:<16} {value}  ({source})"));
                    }
                    None => {
                        print_line(&format!("  {key:<16} as the settings and the decision module have it"))
                    }
                }
            }
        }
    }
}

/// Time limit for connecting to a console, and for each read of its reply.
const CONSOLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends one call to a console and returns the reply.
fn call_console(console: SocketAddr, call: &str) -> Result<String> {
    let mut stream = TcpStream::connect_timeout(&console, CONSOLE_TIMEOUT)
        .with_context(|| format!("--console: '{console}'"))?;
    stream.set_read_timeout(Some(CONSOLE_TIMEOUT))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).with_context(|| format!("--console: no reply from '{console}'"))?;
    Ok(reply)
}

/// Shows the duties, or releases one.
fn run_duties(console: Option<SocketAddr>, format: Format, order: Option<DutiesOrder>) -> Result<ExitCode> {
    let console = console.context(
        "--console is missing; expected the address of the sidecar's console, such as 127.0.0.1:7300",
    )?;
    if let Some(DutiesOrder::Hand { duty, to }) = order {
        let reply = call_console(console, &format!("hand {duty} {}", to.unwrap_or_default()))?;
        print_line(reply.trim_end());
        return Ok(if reply.starts_with("YES") { ExitCode::SUCCESS } else { ExitCode::from(1) });
    }
    let reply = call_console(console, "duties")?;
    let lines: Vec<serde_json::Value> =
        reply.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    if format == Format::Json {
        lines.iter().for_each(|line| print_line(&line.to_string()));
        return Ok(ExitCode::SUCCESS);
    }
    if lines.is_empty() {
        print_line("no duties: the sidecar's operator's file has no [fleet], or no [[duty]]");
    }
    for line in &lines {
        let text = |key: &str| line[key].as_str().unwrap_or("nobody").to_owned();
        let number = |key: &str| line[key].as_u64().unwrap_or(0);
        let proved = if line["proved"] == false { ", not proved" } else { "" };
        print_line(&format!(
            "{}: held by {} under fence {}{proved}, {} ms left, for {} ms; period {}{}; last: {}",
            text("duty"),
            text("holder"),
            number("fence"),
            number("left_ms"),
            number("since_ms"),
            number("period"),
            if line["done"] == true { " done" } else { " begun" },
            text("why"),
        ));
    }
    Ok(ExitCode::SUCCESS)
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
