//! `capacity`: a plan and the results of runs come to a page. What is between its marks is written from both;
//! `--check` tells where a page says something else.

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

/// The page that another one begins with: its prose, and marks for the tables.
const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

/// What is wanted of the writer.
#[derive(Args)]
pub struct Wanted {
    /// The plan, as deploy/plans/fleet-ahead.toml
    plan: PathBuf,
    /// Results of `slopes`, `scale` and of what a call has added, as JSON
    results: Vec<PathBuf>,
    /// The page whose tables are written; where there is none yet, one with the prose of docs/CAPACITY.md.
    /// Without it the whole page is printed
    #[arg(long, value_name = "FILE")]
    page: Option<PathBuf>,
    /// Write nothing; exit 1 with the name of each table in which the page differs
    #[arg(long, requires = "page")]
    check: bool,
}

/// Writes or checks.
pub fn run(wanted: &Wanted) -> Result<ExitCode> {
    let plan = Plan::read(&wanted.plan)?;
    let results = Results::read(&wanted.results)?;
    let tables = tables::all(&plan, &results);
    let Some(path) = &wanted.page else {
        crate::print_line(page::filled(PAGE, &tables)?.0.trim_end());
        return Ok(ExitCode::SUCCESS);
    };
    let shown = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound && !wanted.check => PAGE.to_owned(),
        text => text.with_context(|| shown.clone())?,
    };
    let (filled, differ) = page::filled(&text, &tables).with_context(|| shown.clone())?;
    if !wanted.check {
        std::fs::write(path, filled).with_context(|| shown.clone())?;
        return Ok(ExitCode::SUCCESS);
    }
    for name in &differ {
        crate::print_line(&format!("{shown}: table '{name}' is not what the plan and the results give"));
    }
    Ok(if differ.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}
