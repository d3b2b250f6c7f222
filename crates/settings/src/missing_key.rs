//! Finds keys that a new object lacks.

use serde_json::Value;

/// The key that identifies an object of a list.
const NAME_KEY: &str = "name";

/// Finds the first key of `old` that is missing from `new`, as a path such as `a.b[1].c`. Each object in a list of `new`
/// is compared with the object of the same name in that list of `old`; one that is new needs the keys that all objects of
/// the old list have.
#[must_use]
pub fn first_missing_key(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            old.iter().find_map(|(key, old)| missing_in_entry(key, old, new.get(key)))
        }
        (Value::Array(old), Value::Array(new)) => {
            let common = common_keys(old)?;
            new.iter().enumerate().find_map(|(n, item)| {
                let expected = object_of_same_name(old, item).unwrap_or(&common);
                let missing = first_missing_key(expected, item)?;
                Some(join(&format!("[{n}]"), &missing))
            })
        }
        _ => None,
    }
}

/// The object in a list that has the name of another object.
fn object_of_same_name<'a>(list: &'a [Value], object: &Value) -> Option<&'a Value> {
    let name = object.get(NAME_KEY)?;
    list.iter().find(|candidate| candidate.get(NAME_KEY) == Some(name))
}

/// An object of the keys that all objects of a list have, with the values of the first one; `None` without objects.
fn common_keys(list: &[Value]) -> Option<Value> {
    let mut common = list.first()?.as_object()?.clone();
    for object in &list[1..] {
        common.retain(|key, _| object.get(key).is_some_and(|value| !value.is_null()));
    }
    Some(Value::Object(common))
}

fn missing_in_entry(key: &str, old: &Value, new: Option<&Value>) -> Option<String> {
    match new {
        None => Some(key.to_owned()),
        Some(Value::Null) if !old.is_null() => Some(key.to_owned()),
        Some(new) => first_missing_key(old, new).map(|missing| join(key, &missing)),
    }
}

fn join(parent: &str, child: &str) -> String {
    if child.is_empty() || child.starts_with('[') {
        format!("{parent}{child}")
    } else {
        format!("{parent}.{child}")
    }
}

#[cfg(test)]
mod tests;
