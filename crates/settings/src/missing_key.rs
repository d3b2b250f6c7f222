//! Finds keys that a new object lacks.

use serde_json::Value;

/// Finds the first key of `old` that is missing from `new`, as a path such as `a.b[1].c`. Each object in a list of `new`
/// is compared with the first object in that list of `old`.
#[must_use]
pub fn first_missing_key(old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            old.iter().find_map(|(key, old)| missing_in_entry(key, old, new.get(key)))
        }
        (Value::Array(old), Value::Array(new)) => {
            let template = old.first().filter(|first| first.is_object())?;
            new.iter().enumerate().find_map(|(n, item)| {
                let missing = first_missing_key(template, item)?;
                Some(join(&format!("[{n}]"), &missing))
            })
        }
        _ => None,
    }
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
