//! Tests of reading and writing result files.

use super::*;

/// Regression test: an interrupted run left a file that could not be read.
#[test]
fn interrupted_run_is_partial_and_corrupt_line_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("r.jsonl");
    let mut writer = Writer::begin(&path, "a.toml", "module", &[1, 2, 3]).unwrap();
    let day = Report::default();
    writer.line(&day).unwrap();
    writer.line(&day).unwrap();
    let runs = read(&path).unwrap();
    assert!(runs[0].days.len() == 2 && runs[0].partial());
    let whole = std::fs::read(&path).unwrap();
    std::fs::write(&path, &whole[..whole.len() - 30]).unwrap();
    let runs = read(&path).unwrap();
    assert!(runs[0].days.len() == 1 && runs[0].partial());
    // Regression test: the next run into the same file started in the middle of that line, and neither could be read.
    Writer::begin(&path, "b.toml", "module", &[4]).unwrap().line(&day).unwrap();
    let runs = read(&path).unwrap();
    assert!(runs[0].days.len() == 1 && runs[0].partial());
    assert!(runs[1].plan.plan == "b.toml" && !runs[1].partial());
    std::fs::write(&path, [&whole[..], b"{\"seed\":3}\n"].concat()).unwrap();
    let error = format!("{:#}", read(&path).unwrap_err());
    assert!(error.contains("line 4") && error.contains("missing field"), "{error}");
    std::fs::write(&path, b"{\"v\":9,\"plan\":\"a\",\"policy\":\"b\",\"seeds\":[]}\n").unwrap();
    assert!(read(&path).unwrap_err().to_string().contains("line 1: v: 9 is not"));
}
