//! The capacity page: hand-written prose, and generated tables between marks.

use anyhow::{Result, bail};
use std::collections::BTreeMap;

const OPEN: &str = "<!-- table ";
const CLOSE: &str = "<!-- end -->";

/// Replaces each marked table of a page, and returns the page with the names of the tables that changed.
///
/// # Errors
///
/// A mark is not closed or names no table, or a table has no mark or more than one.
pub fn filled(page: &str, tables: &BTreeMap<&'static str, String>) -> Result<(String, Vec<String>)> {
    let (mut out, mut differ, mut met) = (String::new(), Vec::new(), Vec::new());
    let mut lines = page.lines().enumerate();
    while let Some((n, line)) = lines.next() {
        out.push_str(line);
        out.push('\n');
        let Some(name) = line.strip_prefix(OPEN).and_then(|rest| rest.strip_suffix(" -->")) else { continue };
        let known = || tables.keys().copied().collect::<Vec<_>>().join(", ");
        let Some(table) = tables.get(name) else {
            bail!("line {}: table '{name}' isn't known; right would be one of {}", n + 1, known())
        };
        if met.contains(&name) {
            bail!("line {}: table '{name}' has a mark already", n + 1);
        }
        met.push(name);
        let mut held = String::new();
        loop {
            match lines.next() {
                None => bail!("line {}: table '{name}' has no '{CLOSE}'", n + 1),
                Some((_, CLOSE)) => break,
                Some((n, line)) if line.starts_with(OPEN) => {
                    bail!("line {}: table '{name}' has no '{CLOSE}' before this", n + 1)
                }
                Some((_, line)) => {
                    held.push_str(line);
                    held.push('\n');
                }
            }
        }
        if held != *table {
            differ.push(name.to_owned());
        }
        out.push_str(table);
        out.push_str(CLOSE);
        out.push('\n');
    }
    match tables.keys().find(|name| !met.contains(*name)) {
        Some(name) => bail!("table '{name}' has no mark '{OPEN}{name} -->'"),
        None => Ok((out, differ)),
    }
}
