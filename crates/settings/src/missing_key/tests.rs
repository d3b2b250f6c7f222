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

/// Guards against a complete file refused for a key that may be absent, and that only some objects of a list have.
#[test]
fn objects_of_a_list_are_compared_by_name() {
    let first = json!({"name": "first", "x": 1, "optional": 1});
    let second = json!({"name": "second", "x": 1});
    let old = json!({"l": [first, second]});
    let missing = |list: Value| first_missing_key(&old, &json!({"l": list})).unwrap_or_default();
    assert_eq!(missing(json!([first, second])), "");
    assert_eq!(missing(json!([second, first])), "");
    assert_eq!(missing(json!([first, second, {"name": "new", "x": 1}])), "");
    assert_eq!(missing(json!([{"name": "first", "x": 1}, second])), "l[0].optional");
    assert_eq!(missing(json!([first, {"name": "second"}])), "l[1].x");
    assert_eq!(missing(json!([first, second, {"name": "new"}])), "l[2].x");
    assert_eq!(missing(json!([first, {"x": 1}])), "l[1].name");
}
