//! Tests of `class_numbering.rs`.

use super::*;
use crate::ClassLease;
use dunlincleat::api::Effect;
use proptest::prelude::*;
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

/// Guards against a request that ran under one class and was answered under another: its body was still coming when the
/// number of its class was given away.
#[test]
fn class_number_is_not_reused_while_a_request_holds_it() {
    let first = instance(&[("a", 10, "retryable"), ("b", 20, "fragile")]);
    let long_a = first.lease_class(0).unwrap();
    let requested = instance(&[("b", 20, "fragile"), ("c", 5, "retryable"), ("a", 10, "fragile")]);
    let second = transition(&first, requested).instance;
    assert_eq!(second.classes, ["", "b", "c", "a"], "a changed class is a new class");
    assert_eq!(second.settings.classes[0].effect, Effect::Safe, "a request in progress keeps the old class");
    assert!(second.settings.classes[0].retired && !second.settings.classes[3].retired);
    let long_c = second.lease_class(2).unwrap();
    let third = transition(&second, instance(&[("b", 20, "fragile"), ("d", 5, "retryable")])).instance;
    assert_eq!(third.classes, ["", "b", "", "", "d"], "a held number was reused, or one retired just now");
    let fourth = transition(&third, instance(&[("e", 5, "retryable"), ("b", 20, "fragile")])).instance;
    assert_eq!(fourth.classes, ["", "b", "", "e", ""], "the number that no request holds is free");
    assert_eq!((long_a.number(), long_c.number()), (0, 2));
    assert_eq!(fourth.settings.classes[0].effect, Effect::Safe);
    // A copy of the lease counts like the lease itself.
    let copy = long_a.clone();
    drop((long_a, long_c));
    let next = [("f", 5, "retryable"), ("g", 5, "retryable"), ("h", 5, "retryable"), ("b", 20, "fragile")];
    let fifth = transition(&fourth, instance(&next)).instance;
    assert_eq!(fifth.classes, ["", "b", "f", "", "g", "h"]);
    drop(copy);
    let sixth = transition(&fifth, instance(&[("i", 5, "retryable"), ("b", 20, "fragile")])).instance;
    assert_eq!(sixth.classes, ["i", "b", "", "", "", ""]);
    assert!(sixth.settings.classes[4].retired && !sixth.settings.classes[0].retired);
}

const CLASS_NAMES: [&str; 3] = ["a", "b", "c"];

/// A request in progress, and what its class was when it was accepted.
struct HeldClass {
    lease: ClassLease,
    effect: Effect,
}

/// One reload, and what happens to requests before it.
#[derive(Clone, Debug)]
struct Reload {
    /// The class of a request that is accepted, if that class is in use.
    accepted: usize,
    /// The request in progress that ends, if there is one.
    ended: Option<usize>,
    /// The effect of each class; `None` for a class that the new settings lack.
    semantics: Vec<Option<&'static str>>,
}

fn reload() -> impl Strategy<Value = Reload> {
    let semantics = prop::option::of(prop::sample::select(vec!["retryable", "fragile"]));
    let semantics = prop::collection::vec(semantics, CLASS_NAMES.len());
    (0..CLASS_NAMES.len(), prop::option::of(0..8_usize), semantics)
        .prop_map(|(accepted, ended, semantics)| Reload { accepted, ended, semantics })
}

proptest! {
    /// Whatever settings come in a row, and however long requests last: a class that a request holds keeps its terms, and
    /// a class is seen as retired before another one gets its number.
    #[test]
    fn held_classes_keep_their_terms_over_any_reloads(reloads in prop::collection::vec(reload(), 1..40)) {
        let mut current = instance(&[("a", 5, "fragile")]);
        let mut held: Vec<HeldClass> = Vec::new();
        for Reload { accepted, ended, semantics } in reloads {
            if let Some(number) = current.classes.iter().position(|name| name == CLASS_NAMES[accepted]) {
                let effect = current.settings.classes[number].effect;
                held.push(HeldClass { lease: current.lease_class(number).unwrap(), effect });
            }
            if let Some(ended) = ended.filter(|ended| *ended < held.len()) {
                held.swap_remove(ended);
            }
            let named = CLASS_NAMES.iter().zip(semantics);
            let classes: Vec<_> = named.filter_map(|(name, kind)| Some((*name, 5, kind?))).collect();
            let next = transition(&current, instance(&classes)).instance;
            for HeldClass { lease, effect } in &held {
                prop_assert_eq!(next.settings.classes[lease.number() as usize].effect, *effect);
            }
            for (before, after) in current.settings.classes.iter().zip(&next.settings.classes) {
                prop_assert!(before.retired || after.retired || before == after, "reused before it was retired");
            }
            current = next;
        }
    }
}

#[test]
fn start_up_settings_are_kept_and_reported() {
    let old = instance(&[("a", 10, "retryable")]);
    let mut new = instance(&[("a", 10, "retryable")]);
    new.fields = vec!["inflight".to_owned()];
    new.settings.limits.max_attempts = 5;
    let Transition { instance: next, restart_only } = transition(&old, new);
    assert_eq!((next.fields.len(), next.settings.limits.max_attempts), (0, 5));
    assert_eq!(restart_only, ["settings.stats"]);
}
