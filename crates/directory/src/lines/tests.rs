//! Tests of `lines.rs`.

use super::*;

/// Guards lists that come indented, wherever they are cut: taken for lines of their own, each of their lines was garbage.
#[test]
fn an_object_over_several_lines_is_one_and_half_of_one_waits_for_nothing() {
    let one = "{\n  \"rev\": 8,\n  \"x\": \"}]\\\"{\",\n  \"targets\": [\n    {}\n  ]\n}";
    let told = format!("\n{one}\n\n{{\"rev\":9}}\n{{\"cut\":[\n\n \nno list\n{{\"s\": \"un\n{{}}\n");
    let due = ["", one, "", "{\"rev\":9}", "{\"cut\":[", "", "no list", "{\"s\": \"un", "{}"];
    for size in 1..told.len() {
        let mut lines = Lines::default();
        let pieces = told.as_bytes().chunks(size).map(|piece| lines.take(piece).unwrap());
        let got: Vec<String> = pieces.flatten().map(|l| String::from_utf8(l).unwrap()).collect();
        assert_eq!(got, due, "in pieces of {size}");
    }
}
