//! `capacity`: writes the capacity page from a plan and the results of runs. The tables between the page's marks are
//! generated; `--check` reports the tables of a page that differ.

mod figures;
mod page;
mod results;
mod show;
mod tables;

use crate::plan::Plan;
use anyhow::{Context, Result};
use clap::Args;
use results::Results;
use std::path::PathBuf;
use std::process::ExitCode;

/// Prose and table marks of a new page.
const PAGE_TEMPLATE: &str = include_str!("../../../docs/CAPACITY.md");

/// Command-line options of `capacity`.
#[derive(Args)]
pub struct Options {
    /// The plan, such as deploy/plans/fleet-ahead.toml
    plan: PathBuf,
    /// JSON results of `slopes`, `scale` and `added`
    results: Vec<PathBuf>,
    /// Update the tables of this page; a new page gets the prose of docs/CAPACITY.md. Without this option the whole page is
    /// printed
    #[arg(long, value_name = "FILE")]
    page: Option<PathBuf>,
    /// Do not write; exit with 1 and the names of the tables that differ
    #[arg(long, requires = "page")]
    check: bool,
}

/// Writes or checks the page.
pub fn run(options: &Options) -> Result<ExitCode> {
    let plan = Plan::read(&options.plan)?;
    let results = Results::read(&options.results)?;
    let tables = tables::all(&plan, &results);
    let Some(path) = &options.page else {
        crate::print_line(page::filled(PAGE_TEMPLATE, &tables)?.0.trim_end());
        return Ok(ExitCode::SUCCESS);
    };
    let shown = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound && !options.check => {
            PAGE_TEMPLATE.to_owned()
        }
        text => text.with_context(|| shown.clone())?,
    };
    let (filled, differ) = page::filled(&text, &tables).with_context(|| shown.clone())?;
    if !options.check {
        std::fs::write(path, filled).with_context(|| shown.clone())?;
        return Ok(ExitCode::SUCCESS);
    }
    for name in &differ {
        crate::print_line(&format!("{shown}: table '{name}' is not what the plan and the results give"));
    }
    Ok(if differ.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}
