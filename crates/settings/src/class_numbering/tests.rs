//! Tests of `class_numbering.rs`.

use super::*;
use dunlincleat::api::Effect;
use serde_json::json;

fn site(classes: &[(&str, u64, &str)]) -> InstanceSettings {
    let classes: Vec<Value> = classes
        .iter()
        .map(|(name, deadline, semantics)| {
            json!({"name": name, "aim": 1, "deadline": deadline, "semantics": semantics})
        })
        .collect();
    crate::read_value(json!({"classes": classes, "safety": {}, "limits": {"try_limit": 2}})).unwrap()
}

/// A request in progress refers to its class by number: no sequence of reloads may give the number to another class while
/// such a request can exist.
#[test]
fn a_number_means_one_class_for_as_long_as_a_request_may_hold_it() {
    let mut succession = ClassNumbering::default();
    let first = site(&[("a", 10, "retryable"), ("b", 20, "fragile")]);
    let at = |s: u64| Time(s * 1_000_000);
    let second = succession
        .apply(at(1), &first, site(&[("b", 20, "fragile"), ("c", 5, "retryable"), ("a", 10, "fragile")]))
        .instance;
    assert_eq!(second.classes, ["", "b", "c", "a"], "a changed class is a new class");
    assert_eq!(second.settings.classes[0].effect, Effect::Safe, "a request in progress keeps the old class");
    assert!(second.settings.classes[0].retired && !second.settings.classes[3].retired);
    let third =
        succession.apply(at(2), &second, site(&[("b", 20, "fragile"), ("d", 5, "retryable")])).instance;
    assert_eq!(third.classes, ["", "b", "", "", "d"], "a retired number was reused too early");
    let fourth =
        succession.apply(at(30), &third, site(&[("e", 5, "retryable"), ("b", 20, "fragile")])).instance;
    assert_eq!(fourth.classes, ["e", "b", "", "", ""]);
    assert!(fourth.settings.classes[4].retired && !fourth.settings.classes[0].retired);
}

#[test]
fn what_only_a_start_takes_up_is_named_and_stays() {
    let old = site(&[("a", 10, "retryable")]);
    let mut new = site(&[("a", 10, "retryable")]);
    new.fields = vec!["inflight".to_owned()];
    new.settings.limits.max_attempts = 5;
    let Transition { instance: next, restart_only } = ClassNumbering::default().apply(Time(1), &old, new);
    assert_eq!((next.fields.len(), next.settings.limits.max_attempts), (0, 5));
    assert_eq!(restart_only, ["settings.stats"]);
}

#[test]
fn the_first_missing_key_is_named() {
    let old = json!({"a": 1, "b": {"c": 1}, "l": [{"x": 1, "y": 2}]});
    assert_eq!(
        first_missing_key(&old, &json!({"a": 2, "b": {"c": 0, "n": 1}, "l": [{"x": 1, "y": 2}], "n": 1})),
        None
    );
    let lacks = |new: Value| first_missing_key(&old, &new).unwrap_or_default();
    assert_eq!(lacks(json!({"b": {"c": 1}, "l": []})), "a");
    assert_eq!(lacks(json!({"a": null, "b": {"c": 1}, "l": []})), "a");
    assert_eq!(lacks(json!({"a": 1, "b": {}, "l": []})), "b.c");
    assert_eq!(lacks(json!({"a": 1, "b": {"c": 1}, "l": [{"x": 1, "y": 1}, {"x": 1}]})), "l[1].y");
}
