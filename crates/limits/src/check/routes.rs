//! Validates the names, the order and the conditions of routes.

use super::options::check_options;
use crate::codes::Code;
use crate::fault::Faults;
use crate::file::{LimitsFile, Located, RouteMatch, RouteOptions, RouteSection};
use crate::names::{check_unique, report_unknown_class};
use crate::path::PathPattern;
use dunlincleat::api::Effect;
use dunlincleat_settings::InstanceSettings;

/// Reports duplicate names, and routes that an earlier route makes unreachable.
pub(super) fn check_order(file: &LimitsFile, faults: &mut Faults<'_>) {
    // Paths are parsed once: a file may have a thousand routes, and each is compared with all earlier ones.
    let conditions: Vec<Conditions<'_>> =
        file.routes.iter().map(|route| Conditions::new(&route.conditions)).collect();
    for (n, route) in file.routes.iter().enumerate() {
        let name = &route.name.value;
        let earlier = &file.routes[..n];
        check_unique("route", &route.name, earlier.iter().map(|other| &other.name), faults);
        let covering = earlier.iter().zip(&conditions).find(|(_, other)| other.cover(&conditions[n]));
        if let Some((other, _)) = covering {
            let reason =
                format!("the earlier route '{}' matches every request of '{name}'", other.name.value);
            let allowed = "put it before that route, or remove it";
            faults.error(Code::UnreachableRoute, &route.name, reason, allowed);
        }
    }
}

/// Validates each route against the settings, and the defaults for requests that no route matches.
pub(super) fn check(file: &LimitsFile, instance: &InstanceSettings, faults: &mut Faults<'_>) {
    for route in &file.routes {
        check_route(file, route, instance, faults);
    }
    if !file.routes.iter().any(|route| route.conditions.matches_all()) {
        let unmatched = RouteSection {
            name: Located { value: "default".to_owned(), key: "defaults".to_owned(), offset: 0 },
            conditions: RouteMatch::default(),
            options: RouteOptions::default(),
        };
        check_route(file, &unmatched, instance, faults);
    }
}

fn check_route(
    file: &LimitsFile,
    route: &RouteSection,
    instance: &InstanceSettings,
    faults: &mut Faults<'_>,
) {
    let classes = check_conditions(&route.conditions, instance, faults);
    check_options(file, route, &classes, instance, faults);
}

/// The conditions of a route with its path parsed.
struct Conditions<'a> {
    conditions: &'a RouteMatch,
    path: Option<PathPattern>,
}

impl<'a> Conditions<'a> {
    fn new(conditions: &'a RouteMatch) -> Conditions<'a> {
        let path = conditions.path.as_ref().and_then(|path| PathPattern::parse(&path.value));
        Conditions { conditions, path }
    }

    /// Whether every request that meets the other conditions also meets these.
    fn cover(&self, other: &Conditions<'_>) -> bool {
        let (wide, narrow) = (self.conditions, other.conditions);
        let covers_header = |(name, value): (&String, &Located<String>)| {
            narrow.headers.get(name).is_some_and(|other| other.value == value.value)
        };
        covers_value(wide.method.as_ref(), narrow.method.as_ref())
            && covers_value(wide.class.as_ref(), narrow.class.as_ref())
            && covers_value(wide.tenant.as_ref(), narrow.tenant.as_ref())
            && self.covers_path(other)
            && wide.headers.iter().all(covers_header)
    }

    fn covers_path(&self, other: &Conditions<'_>) -> bool {
        if self.conditions.path.is_none() {
            return true;
        }
        // An invalid path covers nothing.
        let Some(wide) = &self.path else { return false };
        match (&other.path, &other.conditions.path, &other.conditions.class) {
            (Some(narrow), _, _) => wide.covers(narrow),
            (None, Some(_invalid), _) => false,
            // Every path of a class begins with its name.
            (None, None, Some(class)) => {
                PathPattern::under(&class.value).is_some_and(|narrow| wide.covers(&narrow))
            }
            (None, None, None) => *wide == PathPattern::any(),
        }
    }
}

fn covers_value(wide: Option<&Located<String>>, narrow: Option<&Located<String>>) -> bool {
    match (wide, narrow) {
        (None, _) => true,
        (Some(wide), Some(narrow)) => wide.value == narrow.value,
        (Some(_), None) => false,
    }
}

/// Validates the conditions of a route and returns the classes whose requests it can match.
fn check_conditions(
    conditions: &RouteMatch,
    instance: &InstanceSettings,
    faults: &mut Faults<'_>,
) -> Vec<usize> {
    let mut classes: Vec<usize> = (0..instance.classes.len()).collect();
    if let Some(class) = &conditions.class {
        check_class(class, instance, &mut classes, faults);
    }
    if let Some(path) = &conditions.path {
        check_path(path, instance, &mut classes, faults);
    }
    if let Some(method) = &conditions.method {
        check_method(method, instance, &mut classes, faults);
    }
    if let Some(tenant) = &conditions.tenant {
        check_tenant(tenant, instance, faults);
    }
    classes
}

fn check_class(
    class: &Located<String>,
    instance: &InstanceSettings,
    classes: &mut Vec<usize>,
    faults: &mut Faults<'_>,
) {
    classes.retain(|n| instance.classes[*n] == class.value);
    if classes.is_empty() {
        report_unknown_class(class, &class.value, instance, faults);
    }
}

fn check_path(
    path: &Located<String>,
    instance: &InstanceSettings,
    classes: &mut Vec<usize>,
    faults: &mut Faults<'_>,
) {
    let Some(pattern) = PathPattern::parse(&path.value) else {
        let reason = format!("'{}' is not a path pattern", path.value);
        let allowed = "a pattern begins with '/', '*' matches one whole segment, '**' may only be the last";
        faults.error(Code::InvalidPath, path, reason, allowed);
        return;
    };
    // The first segment of a path is the class of the request.
    let Some(first) = pattern.first() else { return };
    let had_classes = !classes.is_empty();
    classes.retain(|n| instance.classes[*n] == first);
    if had_classes && classes.is_empty() {
        let reason = format!("the first segment, '{first}', is not the name of a class of the route");
        let allowed = "a first segment that is such a class, or '*'";
        faults.error(Code::NeverMatches, path, reason, allowed);
    }
}

fn check_method(
    method: &Located<String>,
    instance: &InstanceSettings,
    classes: &mut Vec<usize>,
    faults: &mut Faults<'_>,
) {
    let had_classes = !classes.is_empty();
    classes.retain(|n| {
        let is_safe = instance.settings.classes[*n].effect == Effect::Safe;
        method.value == if is_safe { "GET" } else { "POST" }
    });
    let is_known = matches!(method.value.as_str(), "GET" | "POST");
    if !is_known || (had_classes && classes.is_empty()) {
        let reason = format!("no class of the route uses the method '{}'", method.value);
        let allowed = "GET for classes that are safe to repeat, POST for others";
        faults.error(Code::InvalidMethod, method, reason, allowed);
    }
}

fn check_tenant(tenant: &Located<String>, instance: &InstanceSettings, faults: &mut Faults<'_>) {
    if !instance.tenants.contains(&tenant.value) {
        let reason = format!("the settings have no tenant '{}'", tenant.value);
        let allowed = format!("one of {}", instance.tenants.join(", "));
        faults.error(Code::UnknownTenant, tenant, reason, allowed);
    }
}
