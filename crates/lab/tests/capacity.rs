//! The capacity page: the committed page matches the committed plan and results, another plan gives another page,
//! synthetic results give known figures, and invalid inputs are reported.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dunlincleat-lab")).args(args).output().unwrap()
}

fn output_text(out: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr))
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn plan() -> PathBuf {
    root().join("deploy/plans/fleet-ahead.toml")
}

/// The result files of a folder in order of name; none where the folder does not exist.
fn results(folder: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(folder).into_iter().flatten();
    let paths = entries.map(|entry| entry.unwrap().path());
    let mut paths: Vec<String> = paths
        .filter(|path| path.extension().is_some_and(|ending| ending == "json"))
        .map(|path| path.display().to_string())
        .collect();
    paths.sort();
    paths
}

fn synthetic_results() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/capacity")
}

fn capacity(plan: &Path, results: &[String], more: &[&str]) -> Output {
    let plan = plan.display().to_string();
    let mut args = vec!["capacity", &plan];
    args.extend(results.iter().map(String::as_str));
    args.extend(more);
    lab(&args)
}

/// The page written from a plan and results.
fn page(plan: &Path, results: &[String]) -> String {
    let out = capacity(plan, results, &[]);
    assert_eq!(out.status.code(), Some(0), "{}", output_text(&out));
    String::from_utf8(out.stdout).unwrap()
}

/// The rows of a table of a page, each as its cells.
fn table(page: &str, name: &str) -> Vec<Vec<String>> {
    let begin = format!("<!-- table {name} -->\n");
    let (_, rest) = page.split_once(&begin).unwrap_or_else(|| panic!("no table {name}"));
    let (table, _) = rest.split_once("<!-- end -->").unwrap();
    let cells = |line: &str| line.trim_matches('|').split(" | ").map(|cell| cell.trim().to_owned()).collect();
    table.lines().skip(2).map(cells).collect()
}

/// The only row of a table whose first cells begin with these texts.
fn row(page: &str, name: &str, begins: &[&str]) -> Vec<String> {
    let rows = table(page, name);
    let fits =
        |row: &&Vec<String>| begins.iter().zip(row.iter()).all(|(begin, cell)| cell.starts_with(begin));
    let found: Vec<&Vec<String>> = rows.iter().filter(fits).collect();
    assert_eq!(found.len(), 1, "{name}: {begins:?} in {rows:#?}");
    found[0].clone()
}

/// A copy of the plan with each of these texts replaced once.
fn changed(folder: &Path, changes: &[(&str, &str)]) -> PathBuf {
    let mut text = std::fs::read_to_string(plan()).unwrap();
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replacen(from, to, 1);
    }
    let path = folder.join("plan.toml");
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn committed_page_matches_committed_plan_and_results() {
    let page = root().join("docs/CAPACITY.md").display().to_string();
    let results = results(&root().join("deploy/plans/results"));
    let out = capacity(&plan(), &results, &["--page", &page, "--check"]);
    assert_eq!(out.status.code(), Some(0), "{}", output_text(&out));
    assert_eq!(output_text(&out), "");
}

#[test]
fn check_names_each_differing_table_and_writes_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("page.md");
    let shown = path.display().to_string();
    let results = results(&synthetic_results());
    let whole = page(&plan(), &results);
    // An edited figure, a removed row, and edited prose, which is not checked.
    let by_hand = whole
        .replacen("| services | 490 |", "| services | 491 |", 1)
        .replacen("| all | 7,700 |", "| sum | 7,700 |", 1)
        .replacen("# Capacity of", "# The capacity of", 1);
    std::fs::write(&path, &by_hand).unwrap();
    let out = capacity(&plan(), &results, &["--page", &shown, "--check"]);
    assert_eq!(out.status.code(), Some(1), "{}", output_text(&out));
    let named = |name: &str| format!("{shown}: table '{name}' is not what the plan and the results give\n");
    assert_eq!(output_text(&out), named("drivers") + &named("changes"));
    assert_eq!(std::fs::read_to_string(&path).unwrap(), by_hand);
    let out = capacity(&plan(), &results, &["--page", &shown]);
    assert_eq!(out.status.code(), Some(0), "{}", output_text(&out));
    let written = std::fs::read_to_string(&path).unwrap();
    assert_eq!(written, whole.replacen("# Capacity of", "# The capacity of", 1));
}

#[test]
fn plan_with_doubled_figures_gives_its_own_page() {
    let folder = tempfile::tempdir().unwrap();
    let doubled = changed(
        folder.path(),
        &[
            ("endpoints = 3100", "endpoints = 6200"),
            ("services = 490", "services = 980"),
            ("calls_a_second = 690000", "calls_a_second = 1380000"),
            ("changes_a_day = 7700", "changes_a_day = 15400"),
            ("restarts_a_day = 780", "restarts_a_day = 1560"),
        ],
    );
    let results = results(&synthetic_results());
    let path = folder.path().join("twice.md");
    let out = capacity(&doubled, &results, &["--page", &path.display().to_string()]);
    assert_eq!(out.status.code(), Some(0), "{}", output_text(&out));
    let twice = std::fs::read_to_string(&path).unwrap();
    let once = page(&plan(), &results);
    let driver = |page: &str, name: &str| row(page, "drivers", &[name])[1].clone();
    for (name, a, b) in [
        ("endpoints, each", "3,100", "6,200"),
        ("services", "490", "980"),
        ("sidecars on a control machine", "443 and 517", "886 and 1,034"),
    ] {
        let driver = |page: &str| {
            let rows = table(page, "drivers");
            rows.into_iter().find(|row| row[0].starts_with(name)).unwrap()[1].clone()
        };
        assert_eq!((driver(&once).as_str(), driver(&twice).as_str()), (a, b), "{name}");
    }
    assert_eq!(driver(&twice, "calls of a sidecar a second, mean"), "223");
    // Nothing was run at that size; measured figures are extrapolated and marked.
    assert!(table(&twice, "answer").iter().all(|row| row[1] != "played" || row[0].starts_with("added")));
    let list = row(&twice, "recovery", &["all sidecars anew"]);
    assert!(list[1].starts_with("558 KB and "), "{list:?}");
    let whole = row(&twice, "role-follower", &["the whole list, told anew", "all sidecars anew"]);
    assert!(whole[2].ends_with('†'), "{whole:?}");
}

/// Figures calculated by hand from the synthetic lines: 3,100 servers known without the interest set, and with it 60 of the
/// hub, 200 of the largest and 38 × 2,840 / 488 of other services: 481.1.
#[test]
fn synthetic_results_give_figures_calculated_by_hand() {
    let page = page(&plan(), &results(&synthetic_results()));
    // 5 MB + 6 KB × 3,100 = 23.6 MB; × 481.1: 7.89 MB. Limits of 128 MB: 5.42 and 16.2.
    let memory = row(&page, "role-follower", &["idle, the list held", "changes at mean"]);
    assert_eq!(memory[2], "5 MB + 6 KB × 3,100 = 23.6 MB");
    assert_eq!(memory[3], "5 MB + 6 KB × 481 = 7.89 MB");
    assert_eq!(memory[5], "5.42, 16.2");
    assert_eq!((memory[6].as_str(), memory[7].as_str()), ("worked out", "slopes-before"));
    // Windows 10 × 320 us, draws 222.6 × 621 us: 14.1% of a core, a third of which is allowed.
    let draws = row(&page, "role-caller", &["windows and draws", "changes at mean", "windows 0.32%"]);
    assert!(draws[2].ends_with("= 14.1%"), "{draws:?}");
    assert!(draws[5].starts_with("**0.332 missed**, "), "{draws:?}");
    // A figure that is not linear is interpolated between its points: 0.9% at 3,100.
    let control = row(&page, "role-follower", &["control without windows", "changes at mean"]);
    assert!(control[2].starts_with("idle 0.9% (0.9% by its points, at 3,100)"), "{control:?}");
    // Beyond the points its form is not clear, so it is left out and the rest of the sum is a lower bound.
    let grown = row(&page, "growth", &["a sidecar's processor time", "a zone at once"]);
    assert_eq!(grown[2], "4.28, 14.5");
    assert!(grown[3].starts_with("at most ") && grown[3].ends_with(", 12.4"), "{grown:?}");
    // A reopened watch: 100 + 90 × 3,100 bytes, a tenth of it each second for 10 s, plus ordinary changes.
    let anew = row(&page, "rank", &["", "a sidecar's bytes", "follower of discovery: a watch opened anew"]);
    assert_eq!((anew[5].as_str(), anew[6].as_str()), ("27.9 KB/s", "**0.358 missed**"));
    // The whole process is the strictest interpretation: shown here and in no other table.
    let whole = row(&page, "role-caller", &["the whole process", "changes at mean", "", "", "4.7%"]);
    assert!(whole[5].starts_with("**0.27 missed**"), "{whole:?}");
    let strict = row(&page, "role-follower", &["were it paced to the bytes allowed", "all sidecars anew"]);
    assert_eq!(strict[2], "279 KB / 10 KB/s = 27.9 s");
    assert!(strict[5].starts_with("**0.179 missed**"), "{strict:?}");
    for name in ["rank", "failures", "answer", "growth"] {
        let cells: Vec<String> = table(&page, name).concat();
        assert!(!cells.iter().any(|cell| cell.contains("strictest") || cell.contains("27.9 s")), "{name}");
    }
}

#[test]
fn run_figures_are_compared_with_limits_and_void_ones_are_not() {
    let page = page(&plan(), &results(&synthetic_results()));
    let answer = |limit: &str, how: &str| row(&page, "answer", &[limit, how]);
    let bytes = answer("a sidecar's bytes", "played");
    assert_eq!(
        bytes[2..],
        [
            "29 KB/s, all sidecars anew",
            "**0.345 missed**",
            "5.8 KB/s, all sidecars anew",
            "1.72",
            "holds with it"
        ]
    );
    let added = answer("added to a call", "played");
    assert_eq!(
        added[2..],
        ["3.2 ms, changes at mean", "**0.5 missed**", "1 ms, changes at mean", "1.6", "holds with it"]
    );
    // The time in force is recorded in milliseconds and compared in seconds.
    assert_eq!(answer("a change in force", "played")[2], "2.2 s, all sidecars anew");
    let restarts = row(&page, "failures", &["restarts of a day", "780 a day", "a sidecar's bytes"]);
    assert_eq!(restarts[4..8], ["900 B/s", "11.1", "void", "-"]);
    assert_eq!(restarts[8], "scale-before");
    let day = row(&page, "sizes", &["3,100", "with", "restarts", "3,092 hollow", "void"]);
    assert_eq!((day[4].as_str(), day[10].as_str()), ("void, void, void", "void"));
    // A control machine's bytes: the largest value in a second.
    let control = row(&page, "role-control", &["bytes out", "a zone at once"]);
    assert_eq!(control[2], "most of any in any second = 20 MB/s");
    // Its reason is shown, with its bar escaped.
    let broken = row(&page, "verdicts", &["310", "without", "zone"]);
    assert_eq!(broken[5], "bytes-in: 10 KB/s, seed 1, at 3.2 s, h17 \\| first");
    assert_eq!(row(&page, "hollow-real", &["scale-before"])[1..3], ["41 and 41", "90,210 and 90,210: equal"]);
    // A void point of calls shows its counts and reasons but no figures, and neither does the answer.
    let folder = tempfile::tempdir().unwrap();
    let text = std::fs::read_to_string(synthetic_results().join("added-before.json")).unwrap();
    let void = folder.path().join("added-void.json");
    std::fs::write(&void, text.replace("\"broken\"", "\"void\"")).unwrap();
    let void = self::page(&plan(), &[void.display().to_string()]);
    let point = row(&void, "added", &["3,100", "without", "223", "1"]);
    assert_eq!(point[4..8], ["void", "void", "void", "void"]);
    assert_eq!(point[9..11], ["97%; 30; 0", "void: added p99"]);
    assert_eq!(row(&void, "answer", &["added to a call"])[1..4], ["played", "void", "-"]);
    // Ranked by the headroom without the mechanism.
    let rooms: Vec<f64> = table(&page, "rank")
        .iter()
        .filter_map(|row| row[6].trim_matches('*').split(' ').next()?.replace(',', "").parse().ok())
        .collect();
    assert!(rooms.len() > 10 && rooms.is_sorted(), "{rooms:?}");
}

/// A sum without one of its parts is shown as a lower bound, and a quantity measured on one side only is not compared with
/// another quantity on the other side.
#[test]
fn unmeasured_parts_show_in_sums_and_verdicts() {
    let folder = tempfile::tempdir().unwrap();
    let text = std::fs::read_to_string(synthetic_results().join("slopes-before.json")).unwrap();
    let path = folder.path().join("slopes-parts.json");
    let text = text.replace("cpu-idle", "another").replace("memory-in-service", "state-by-services");
    assert!(text.contains("\"intercept\": 6000000.0"));
    std::fs::write(&path, text.replace("\"intercept\": 6000000.0", "\"intercept\": 60000000.0")).unwrap();
    let page = page(&plan(), &[path.display().to_string()]);
    let control = row(&page, "role-follower", &["control without windows", "changes at mean"]);
    assert!(control[2].starts_with("idle not measured (cpu-idle) + changes"), "{control:?}");
    assert!(control[2].contains(" = at least "), "{control:?}");
    let answer = row(&page, "answer", &["a sidecar's processor time", "worked out"]);
    assert!(answer[2].starts_with("at least "), "{answer:?}");
    let memory = row(&page, "answer", &["a sidecar's memory", "worked out"]);
    assert_eq!(memory[2], "60.4 MB, changes at mean");
    assert_eq!(memory[4], "7.89 MB, changes at mean");
    assert_eq!(memory[6], "holds with it; what was most without it was not measured with it");
    let pools = row(&page, "role-caller", &["state, a pool for each service"]);
    assert_eq!(pools[3], "not measured (state-by-services)");
    // It applies to a fleet of the measured size only and must not stay constant as the fleet grows.
    let grown = row(&page, "growth", &["a sidecar's memory"]);
    assert_eq!(grown[2..4], ["5.42, 16.2", "3.03 †, 13.6"]);
}

#[test]
fn figures_without_results_show_as_not_measured() {
    let page = page(&plan(), &[]);
    let answer = row(&page, "answer", &["added to a call"]);
    assert_eq!(answer[1..], ["-", "not measured", "-", "not measured", "-", "nothing can be said"]);
    let memory = row(&page, "answer", &["a sidecar's memory"]);
    assert_eq!(memory[1..4], ["worked out", "not measured", "-"]);
    for name in ["added", "sizes", "verdicts", "hollow-real", "slopes", "runs", "role-voter"] {
        let rows = table(&page, name);
        assert_eq!((rows.len(), rows[0][0].as_str()), (1, "not measured"), "{name}");
    }
    assert!(!table(&page, "answer").iter().any(|row| row[1] == "played"));
    assert!(!page.contains("NaN") && !page.contains("inf "));
}

#[test]
fn invalid_plan_is_reported_by_line_key_value_and_range() {
    let folder = tempfile::tempdir().unwrap();
    for (from, to, said_is) in [
        ("endpoints = 3100", "endpoints = 3", "line 12: told.endpoints: 3 is not from 10 to 1000000"),
        ("services = 490", "services = 4000", "line 13: told.services: 4000 is not from 3 to 3100"),
        (
            "changes_a_day = 7700",
            "changes_a_day = 2000",
            "told.changes_a_day: 2000 is not from 2370 to 10000000",
        ),
        ("added_ms = 1.6", "added_ms = nan", "told.limits.added_ms: NaN is not from 0.01 to 1000"),
        ("added_ms = 1.6", "added = 1.6", "unknown field `added`"),
        ("{ depth = 24, share = 0.01 }", "{ depth = 25, share = 0.01 }", "is[5]: 25 is not from 1 to 24"),
        ("{ depth = 24, share = 0.01 }", "{ depth = 24, share = 0.02 }", "come to 1.010000, not to 1"),
        ("services = 40, share = 0.05", "services = 40, share = -0.05", "-0.05 is not from 0 to 1"),
        (
            "is = 2.0\nwhy = \"690",
            "is = 0.5\nwhy = \"690",
            "assumed.peak_over_mean.is: 0.5 is not from 1 to 100",
        ),
        ("why = \"a full rack", "reason = \"a full rack", "unknown field `reason`"),
        ("is = 200\n", "is = 2900\n", "assumed.largest_endpoints.is: 2900 is not from 1 to 2552"),
        ("version = 1", "version = 2", "line 7: version: 2 is not 1"),
        ("regions = 4", "regions = 4.5", "invalid type: floating point"),
    ] {
        let path = changed(folder.path(), &[(from, to)]);
        let out = capacity(&path, &[], &[]);
        assert_eq!(out.status.code(), Some(2), "{to}: {}", output_text(&out));
        assert!(output_text(&out).contains(said_is), "{said_is}: {}", output_text(&out));
        assert!(output_text(&out).contains("plan.toml"), "{}", output_text(&out));
    }
    let text = std::fs::read_to_string(plan()).unwrap();
    let reasons = text.matches("why = ").count();
    for nth in 0..reasons {
        let (at, _) = text.match_indices("why = \"").nth(nth).unwrap();
        let end = at + text[at..].find('\n').unwrap();
        let path = folder.path().join("plan.toml");
        std::fs::write(&path, format!("{}why = \" \"{}", &text[..at], &text[end..])).unwrap();
        let out = capacity(&path, &[], &[]);
        assert!(
            output_text(&out).contains(".why: it is empty; an assumption has a reason"),
            "{}",
            output_text(&out)
        );
    }
    assert!(reasons > 30);
}

#[test]
fn invalid_results_are_reported_by_file() {
    let folder = tempfile::tempdir().unwrap();
    let whole = std::fs::read_to_string(synthetic_results().join("scale-before.json")).unwrap();
    for (name, text, named) in [
        ("kind.json", whole.replacen("\"scale\"", "\"scales\"", 1), "kind: 'scales' isn't known"),
        ("version.json", whole.replacen("\"v\": 1", "\"v\": 2", 1), "v: 2 is no version that is known"),
        ("again.json", whole.clone(), "size 310: scale-before has told it too"),
        ("verdict.json", whole.replacen("\"kept\"", "\"fine\"", 1), "runs: unknown variant `fine`"),
        ("cut.json", whole[..whole.len() / 2].to_owned(), "EOF"),
    ] {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        let mut files = results(&synthetic_results());
        files.push(path.display().to_string());
        let out = capacity(&plan(), &files, &[]);
        assert_eq!(out.status.code(), Some(2), "{name}: {}", output_text(&out));
        assert!(
            output_text(&out).contains(name) && output_text(&out).contains(named),
            "{named}: {}",
            output_text(&out)
        );
    }
}

#[test]
fn invalid_page_marks_are_reported_by_line() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("page.md");
    let shown = path.display().to_string();
    let whole = page(&plan(), &[]);
    for (text, named) in [
        (whole.replacen("<!-- table drivers -->", "<!-- table divers -->", 1), "table 'divers' isn't known"),
        (whole.replacen("<!-- table drivers -->\n", "", 1), "table 'drivers' has no mark"),
        (whole.replacen("<!-- end -->\n", "", 1), "table 'answer' has no '<!-- end -->' before this"),
        (whole.clone() + "<!-- table drivers -->\n<!-- end -->\n", "table 'drivers' has a mark already"),
        (whole[..whole.rfind("<!-- end -->").unwrap()].to_owned(), "table 'runs' has no '<!-- end -->'"),
    ] {
        std::fs::write(&path, &text).unwrap();
        let out = capacity(&plan(), &[], &["--page", &shown]);
        assert_eq!(out.status.code(), Some(2), "{named}: {}", output_text(&out));
        assert!(output_text(&out).contains(named), "{named}: {}", output_text(&out));
        assert_eq!(std::fs::read_to_string(&path).unwrap(), text, "a page at fault was written");
    }
}
