//! Tests of `class_numbering.rs`.

use super::*;
use dunlincleat::api::Effect;
use serde_json::{Value, json};

fn instance(classes: &[(&str, u64, &str)]) -> InstanceSettings {
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
fn class_number_is_not_reused_while_a_request_may_refer_to_it() {
    let mut numbering = ClassNumbering::default();
    let first = instance(&[("a", 10, "retryable"), ("b", 20, "fragile")]);
    let at = |s: u64| Time(s * 1_000_000);
    let second = numbering
        .apply(at(1), &first, instance(&[("b", 20, "fragile"), ("c", 5, "retryable"), ("a", 10, "fragile")]))
        .instance;
    assert_eq!(second.classes, ["", "b", "c", "a"], "a changed class is a new class");
    assert_eq!(second.settings.classes[0].effect, Effect::Safe, "a request in progress keeps the old class");
    assert!(second.settings.classes[0].retired && !second.settings.classes[3].retired);
    let third =
        numbering.apply(at(2), &second, instance(&[("b", 20, "fragile"), ("d", 5, "retryable")])).instance;
    assert_eq!(third.classes, ["", "b", "", "", "d"], "a retired number was reused too early");
    let fourth =
        numbering.apply(at(30), &third, instance(&[("e", 5, "retryable"), ("b", 20, "fragile")])).instance;
    assert_eq!(fourth.classes, ["e", "b", "", "", ""]);
    assert!(fourth.settings.classes[4].retired && !fourth.settings.classes[0].retired);
}

#[test]
fn start_up_settings_are_kept_and_reported() {
    let old = instance(&[("a", 10, "retryable")]);
    let mut new = instance(&[("a", 10, "retryable")]);
    new.fields = vec!["inflight".to_owned()];
    new.settings.limits.max_attempts = 5;
    let Transition { instance: next, restart_only } = ClassNumbering::default().apply(Time(1), &old, new);
    assert_eq!((next.fields.len(), next.settings.limits.max_attempts), (0, 5));
    assert_eq!(restart_only, ["settings.stats"]);
}
