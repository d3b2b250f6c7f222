//! Tests of `missing_key.rs`.

use super::*;
use serde_json::json;

#[test]
fn first_missing_key_is_named() {
    let old = json!({"a": 1, "b": {"c": 1}, "l": [{"x": 1, "y": 2}]});
    let complete = json!({"a": 2, "b": {"c": 0, "n": 1}, "l": [{"x": 1, "y": 2}], "n": 1});
    assert_eq!(first_missing_key(&old, &complete), None);
    let missing = |new: Value| first_missing_key(&old, &new).unwrap_or_default();
    assert_eq!(missing(json!({"b": {"c": 1}, "l": []})), "a");
    assert_eq!(missing(json!({"a": null, "b": {"c": 1}, "l": []})), "a");
    assert_eq!(missing(json!({"a": 1, "b": {}, "l": []})), "b.c");
    assert_eq!(missing(json!({"a": 1, "b": {"c": 1}, "l": [{"x": 1, "y": 1}, {"x": 1}]})), "l[1].y");
}
