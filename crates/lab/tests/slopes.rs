//! `slopes`: the fit identifies known forms and reports unclear ones, and the command runs with tiny sizes, where only
//! counts are checked.

// The lab is a binary crate, so its pure modules are included by path.
#[path = "../src/slopes/fit.rs"]
mod fit;
#[path = "../src/slopes/result.rs"]
mod result;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use result::{Figure, Form, KIND, Point, Slopes, Unit, VERSION};
use std::path::PathBuf;
use std::process::{Command, Output};

const SIZES: [f64; 5] = [6.0, 60.0, 200.0, 1000.0, 3100.0];

/// Three rounds of a form, with relative noise of up to `noise`.
fn generated_points(f: impl Fn(f64) -> f64, noise: f64, seed: u64) -> Vec<Point> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut off = || 1.0 + noise * rng.random_range(-1.0..1.0);
    SIZES.map(|at| Point { at, values: (0..3).map(|_| f(at) * off()).collect() }).to_vec()
}

type GeneratedForm = (Form, fn(f64) -> f64);

#[test]
fn known_forms_are_identified_despite_noise() {
    let forms: [GeneratedForm; 6] = [
        (Form::Constant, |_| 42.0),
        (Form::Linear, |n| 0.1 * n),
        (Form::Linear, |n| 5e6 + 6000.0 * n),
        (Form::NLogN, |n| 3.0 + 0.02 * n * n.ln()),
        (Form::Quadratic, |n| 10.0 + 0.001 * n * n),
        (Form::Quadratic, |n| n * n),
    ];
    for (form, f) in forms {
        for seed in 0..50 {
            let found = fit::fit(&generated_points(f, 0.02, seed), 1);
            assert_eq!(found.form, form, "at 3100: {}, seed {seed}: {found:?}", f(3100.0));
        }
    }
}

#[test]
fn line_has_its_interval_and_no_residual_on_exact_points() {
    let exact = fit::fit(&generated_points(|n| 7.0 + 0.25 * n, 0.0, 1), 1);
    assert!((exact.intercept - 7.0).abs() < 1e-6 && (exact.slope - 0.25).abs() < 1e-9, "{exact:?}");
    assert!(exact.residual < 1e-9 && exact.slope_low == exact.slope_high, "{exact:?}");
    for seed in 0..50 {
        let found = fit::fit(&generated_points(|n| 7.0 + 0.25 * n, 0.05, seed), 1);
        assert!(found.slope_low <= found.slope && found.slope <= found.slope_high, "{found:?}");
        assert!((0.23..0.27).contains(&found.slope) && found.residual < 0.1, "{found:?}");
        assert_eq!(
            found,
            fit::fit(&generated_points(|n| 7.0 + 0.25 * n, 0.05, seed), 1),
            "the same each time"
        );
    }
}

/// A form must not be named on the capacity page without support from the points.
#[test]
fn noise_and_too_few_sizes_give_no_clear_form() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut any = || f64::exp(rng.random_range(-2.0..2.0));
        let noise = SIZES.map(|at| Point { at, values: vec![any(), any(), any()] }).to_vec();
        assert_eq!(fit::fit(&noise, 1).form, Form::NotClear, "seed {seed}: {noise:?}");
    }
    let few = generated_points(|n| n, 0.0, 1);
    assert_eq!(fit::fit(&few[..3], 1).form, Form::NotClear, "three sizes fit more than one form");
    // Growth between two forms is named as neither.
    let between = fit::fit(&generated_points(|n| n.powf(1.07), 0.0, 1), 1);
    assert_eq!(between.form, Form::NotClear, "{between:?}");
    let falls = fit::fit(&generated_points(|n| 1000.0 / n, 0.0, 1), 1);
    assert_eq!(falls.form, Form::NotClear, "{falls:?}");
    assert_eq!(fit::fit(&[], 1).form, Form::NotClear, "no points");
    let zeros = fit::fit(&generated_points(|_| 0.0, 0.0, 1), 1);
    assert_eq!((zeros.form, zeros.slope), (Form::Constant, 0.0), "{zeros:?}");
}

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dunlincleat-lab")).args(arguments).output().unwrap()
}

/// Runs these figures with tiny sizes and reads the result file.
fn run_short(figures: &[&str]) -> Slopes {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("slopes.json");
    let mut arguments = vec!["slopes", "--small", "--rounds", "1", "--out", path.to_str().unwrap()];
    figures.iter().for_each(|name| arguments.extend(["--only", name]));
    let out = lab(&arguments);
    let stderr = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(0), "{stderr}");
    let read: Slopes = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
    assert_eq!((read.v, read.kind.as_str(), read.rounds), (VERSION, KIND, 1));
    assert!(
        read.command.starts_with("dunlincleat-lab slopes --small") && !read.command.contains(" /"),
        "{read:?}"
    );
    let names: Vec<&str> = read.figures.iter().map(|figure| figure.name.as_str()).collect();
    assert!(
        figures.is_empty() || names == figures,
        "the selected figures, in the order of the table: {names:?}"
    );
    for figure in &read.figures {
        assert!(figure.points.len() >= 4, "{}", figure.name);
        let values = || figure.points.iter().flat_map(|point| &point.values);
        assert!(figure.points.iter().all(|point| point.values.len() == 1), "{}", figure.name);
        assert!(values().all(|value| value.is_finite() && *value >= 0.0), "{}: {figure:?}", figure.name);
    }
    read
}

fn values(figure: &Figure) -> Vec<f64> {
    figure.points.iter().map(|point| point.values[0]).collect()
}

/// Counts are deterministic: a list grows with the servers, a change does not, and a reconnect transfers the whole list.
#[test]
fn counted_figures_grow_with_their_drivers() {
    let read = run_short(&["change-bytes", "whole-list-bytes", "reconnect-bytes", "reconnect-messages"]);
    let [change, list, reconnect, messages] = &read.figures[..] else { panic!("four figures") };
    assert_eq!((change.form, change.unit), (Form::Constant, Unit::Bytes));
    assert_eq!((list.form, list.driver.as_str()), (Form::Linear, "known-servers"));
    assert!((100.0..200.0).contains(&list.slope) && list.residual < 0.02, "bytes a server: {list:?}");
    for (all, one) in values(reconnect).iter().zip(values(list)) {
        assert!(*all >= one, "a reconnect transfers the whole list: {all} bytes, list {one}");
    }
    assert_eq!(
        (messages.form, values(messages)[0]),
        (Form::Constant, 4.0),
        "a watch and a list: {messages:?}"
    );
}

/// Voters spread the requests of the candidates for a duty, so the cost of a duty grows slower than its members. A probe
/// round finds an idle server within a few probes, and sends more where none is idle.
#[test]
fn probes_and_leases_are_counted() {
    let read = run_short(&["probe-round", "probe-round-busy", "lease-messages", "lease-bytes"]);
    for figure in &read.figures {
        assert!(values(figure).iter().all(|value| *value > 0.0), "{figure:?}");
    }
    let [some, busy, ..] = &read.figures[..] else { panic!("four figures") };
    assert!(
        values(some).iter().all(|probes| *probes <= 6.0),
        "an idle server is found within a few probes: {some:?}"
    );
    assert!(
        values(busy).last() > values(busy).first(),
        "without an idle server, more servers get more probes: {busy:?}"
    );
}

/// Every figure is measured with tiny sizes, including those of the sidecar's program beside stubs.
#[test]
fn every_figure_is_measured_in_the_short_form() {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_dunlincleat-lab")).with_file_name("dunlincleat-sidecar");
    let build = ["build", "--locked", "-p", "dunlincleat-sidecar"];
    assert!(Command::new(env!("CARGO")).args(build).status().unwrap().success() && program.is_file());
    let read = run_short(&[]);
    let figure = |name: &str| {
        read.figures.iter().find(|figure| figure.name == name).unwrap_or_else(|| panic!("{name}"))
    };
    for name in [
        "decision",
        "window-step",
        "decision-in-pool",
        "request-by-services",
        "change-applied",
        "lease-renewed",
    ] {
        assert!(values(figure(name)).iter().all(|value| *value > 0.0), "{name}: {:?}", figure(name));
    }
    let state = values(figure("state"));
    assert!(state.is_sorted() && state[0] < state[3], "state grows with the known servers: {state:?}");
    for name in ["memory-idle", "memory-in-service", "memory-by-calls-60", "memory-by-calls-3100"] {
        let memory = values(figure(name));
        assert!(memory.iter().all(|bytes| *bytes > 1e6), "{name} of a running program: {memory:?}");
    }
    assert!(values(figure("cpu-in-service")).iter().all(|part| *part > 0.0));
}

#[test]
fn unknown_figure_is_rejected_with_the_known_names() {
    let out = lab(&["slopes", "--only", "memory", "--out", "/nonexistent/slopes.json"]);
    let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2), "{stderr}");
    assert!(
        stderr.contains("--only: unknown figure 'memory'; expected one of decision, window-step"),
        "{stderr}"
    );
    let out =
        lab(&["slopes", "--only", "memory-idle", "--program", "/nonexistent/sidecar", "--out", "x.json"]);
    let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        out.status.code() == Some(2) && stderr.contains("--program: /nonexistent/sidecar is no program"),
        "{stderr}"
    );
}
