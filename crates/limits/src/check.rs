//! Validates a parsed file against the settings. Reports every fault at its position in the text, including values that
//! are legal by themselves and unsafe together with an inherited one.

use crate::codes::Code;
use crate::file::{
    At, Fault, Faults, File, HedgeDelay, Knobs, Match, Route, Severity, format_duration, read,
};
use crate::fleet;
use crate::routes::{PathPattern, RuleSet};
use dunlincleat::api::{Effect, Span};
use dunlincleat_settings::InstanceSettings;

/// The longest time for which the decision module delays a request between two attempts, as a part of its class's aim.
const HOLD: f64 = 0.03;

/// The result of [`check`].
#[derive(Clone, Debug)]
pub struct Checked {
    /// All faults, in the order of their positions.
    pub faults: Vec<Fault>,
    /// The rules of the file; `None` if a fault is an error.
    pub rules: Option<RuleSet>,
}

/// Parses and validates a file.
#[must_use]
pub fn check(text: &str, site: &InstanceSettings) -> Checked {
    let mut faults = Faults::new(text);
    let file = read(text, &mut faults);
    pools(&file, Some(site), &mut faults);
    names(&file, &mut faults);
    routes(&file, site, &mut faults);
    let fleet = fleet::prove(&file, Some(site), &mut faults);
    let faults = faults.all();
    let refused = faults.iter().any(|fault| fault.severity == Severity::Error);
    let rules = (!refused).then(|| RuleSet::new(text, &file, site, fleet));
    Checked { faults, rules }
}

/// Validates what needs no settings: syntax, names, pools and unreachable routes.
#[must_use]
pub fn check_without_settings(text: &str) -> Vec<Fault> {
    let mut faults = Faults::new(text);
    let file = read(text, &mut faults);
    pools(&file, None, &mut faults);
    names(&file, &mut faults);
    fleet::prove(&file, None, &mut faults);
    faults.all()
}

fn pools(file: &File, site: Option<&InstanceSettings>, faults: &mut Faults<'_>) {
    for (n, pool) in file.pools.iter().enumerate() {
        let name = &pool.name.value;
        if !name.is_empty() && file.pools[..n].iter().any(|other| other.name.value == *name) {
            faults.error(
                Code::SameName,
                &pool.name,
                format!("an earlier pool has the name '{name}'"),
                "a unique name",
            );
        }
        if let (Some(zones), Some(site)) = (&pool.zones, site) {
            for zone in zones.value.iter().filter(|zone| !site.zones.contains(zone)) {
                let known = format!("one of {}", site.zones.join(", "));
                faults.error(Code::UnknownZone, zones, format!("the settings have no zone '{zone}'"), known);
            }
        }
        let lists =
            [pool.zones.as_ref().map(empty), pool.models.as_ref().map(empty), pool.cells.as_ref().map(empty)];
        for at in lists.into_iter().flatten().flatten() {
            faults.error(Code::EmptyPool, &at, "the list is empty", "omit the key to select all");
        }
        if let Some(weight) = pool.weight.as_ref().filter(|w| w.value.0 > w.value.1) {
            faults.error(
                Code::EmptyPool,
                weight,
                "least is greater than most",
                "least at most as large as most",
            );
        }
        let mut seen = vec![name.as_str()];
        for other in pool.fall_back.iter().flat_map(|at| at.value.iter().map(move |name| (at, name))) {
            let (at, other) = other;
            if !file.pools.iter().any(|pool| pool.name.value == *other) {
                faults.error(
                    Code::NoRoutePool,
                    at,
                    format!("the file has no pool '{other}'"),
                    known_pools(file),
                );
            } else if seen.contains(&other.as_str()) {
                faults.error(
                    Code::FallBackLoop,
                    at,
                    format!("'{other}' is listed twice, or is the pool itself"),
                    "each other pool at most once",
                );
            }
            seen.push(other);
        }
        if pool.fall_back.as_ref().is_none_or(|f| f.value.is_empty())
            && let Some(least) = &pool.least_healthy
        {
            faults.warn(
                Code::HealthyUnused,
                least,
                "the pool has no pool to fall back to",
                "list pools in fall_back",
            );
        }
    }
}

fn empty<T>(at: &At<Vec<T>>) -> Option<At<()>> {
    at.value.is_empty().then(|| At { value: (), key: at.key.clone(), offset: at.offset })
}

fn known_pools(file: &File) -> String {
    let names: Vec<&str> = file.pools.iter().map(|pool| pool.name.value.as_str()).collect();
    if names.is_empty() { "add a [[pool]]".to_owned() } else { format!("one of {}", names.join(", ")) }
}

fn names(file: &File, faults: &mut Faults<'_>) {
    // Parsed once: each route is compared with all earlier ones.
    let pattern =
        |route: &Route| route.matches.path.as_ref().and_then(|path| PathPattern::parse(&path.value));
    let patterns: Vec<Option<PathPattern>> = file.routes.iter().map(pattern).collect();
    for (n, route) in file.routes.iter().enumerate() {
        let (name, earlier) = (&route.name.value, &file.routes[..n]);
        if !name.is_empty() && earlier.iter().any(|other| other.name.value == *name) {
            let reason = format!("an earlier route has the name '{name}'");
            faults.error(Code::SameName, &route.name, reason, "a unique name");
        }
        let mine = (&route.matches, patterns[n].as_ref());
        let covering = |(other, pattern): &(&Route, &Option<PathPattern>)| {
            covers((&other.matches, pattern.as_ref()), mine)
        };
        if let Some((by, _)) = earlier.iter().zip(&patterns).find(covering) {
            let reason = format!("the earlier route '{}' matches every request of '{name}'", by.name.value);
            faults.error(Code::Shadowed, &route.name, reason, "put it before that route, or remove it");
        }
    }
}

fn routes(file: &File, site: &InstanceSettings, faults: &mut Faults<'_>) {
    // Requests that no route matches are subject to the defaults alone.
    let rest = Route {
        name: At { value: "default".to_owned(), key: "defaults".to_owned(), offset: 0 },
        matches: Match::default(),
        knobs: Knobs::default(),
    };
    let closed = file.routes.iter().any(|route| route.matches.all());
    for route in file.routes.iter().chain((!closed).then_some(&rest)) {
        let classes = matched(&route.matches, site, faults);
        knobs(file, route, &classes, site, faults);
    }
}

/// Validates the conditions of a route and returns the classes whose requests it can match.
fn matched(matches: &Match, site: &InstanceSettings, faults: &mut Faults<'_>) -> Vec<usize> {
    let mut classes: Vec<usize> = (0..site.classes.len()).collect();
    if let Some(class) = &matches.class {
        classes.retain(|n| site.classes[*n] == class.value);
        if classes.is_empty() {
            let reason = format!("the settings have no class '{}'", class.value);
            faults.error(Code::UnknownClass, class, reason, format!("one of {}", site.classes.join(", ")));
        }
    }
    if let Some(path) = &matches.path {
        match PathPattern::parse(&path.value) {
            None => faults.error(
                Code::BadPath,
                path,
                format!("'{}' is not a path pattern", path.value),
                "a pattern begins with '/', '*' matches one whole segment, '**' may only be the last",
            ),
            // The first segment of a path is the class of the request.
            Some(pattern) => {
                let had = !classes.is_empty();
                if let Some(first) = pattern.first() {
                    classes.retain(|n| site.classes[*n] == first);
                }
                if had && classes.is_empty() {
                    let reason = "the first segment is not the name of a class of the route".to_owned();
                    faults.error(
                        Code::NeverMatches,
                        path,
                        reason,
                        "a first segment that is such a class, or '*'",
                    );
                }
            }
        }
    }
    if let Some(method) = &matches.method {
        let fits = |n: &usize| {
            let safe = site.settings.classes[*n].effect == Effect::Safe;
            method.value == if safe { "GET" } else { "POST" }
        };
        let had = !classes.is_empty();
        classes.retain(fits);
        if !matches!(method.value.as_str(), "GET" | "POST") || (had && classes.is_empty()) {
            let reason = format!("no class of the route uses the method '{}'", method.value);
            faults.error(
                Code::BadMethod,
                method,
                reason,
                "GET for classes that are safe to repeat, POST for others",
            );
        }
    }
    if let Some(tenant) = matches.tenant.as_ref().filter(|tenant| !site.tenants.contains(&tenant.value)) {
        let reason = format!("the settings have no tenant '{}'", tenant.value);
        faults.error(Code::UnknownTenant, tenant, reason, format!("one of {}", site.tenants.join(", ")));
    }
    classes
}

/// Whether one route matches every request that another matches.
fn covers(
    (wide, wide_path): (&Match, Option<&PathPattern>),
    (narrow, narrow_path): (&Match, Option<&PathPattern>),
) -> bool {
    let same = |wide: &Option<At<String>>, narrow: &Option<At<String>>| match (wide, narrow) {
        (None, _) => true,
        (Some(wide), Some(narrow)) => wide.value == narrow.value,
        (Some(_), None) => false,
    };
    let path = || match (&wide.path, wide_path, narrow_path) {
        (None, ..) => true,
        (Some(_), Some(wide), Some(narrow)) => wide.covers(narrow),
        // Every path of a class begins with its name.
        (Some(_), Some(wide), None) if narrow.path.is_none() => match &narrow.class {
            Some(class) => PathPattern::under(&class.value).is_some_and(|narrow| wide.covers(&narrow)),
            None => *wide == PathPattern::any(),
        },
        (Some(_), ..) => false,
    };
    let header = |(name, value): (&String, &At<String>)| {
        narrow.headers.get(name).is_some_and(|n| n.value == value.value)
    };
    same(&wide.method, &narrow.method)
        && same(&wide.class, &narrow.class)
        && same(&wide.tenant, &narrow.tenant)
        && path()
        && wide.headers.iter().all(header)
}

/// Validates the options of a route, inherited ones included, for each class that it can match.
fn knobs(file: &File, route: &Route, classes: &[usize], site: &InstanceSettings, faults: &mut Faults<'_>) {
    let set = Knobs::inherit(&route.knobs, &file.defaults);
    let name = &route.name.value;
    let limits = &site.settings.limits;
    let most = limits.max_attempts;
    if let Some(pool) = &set.pool
        && !file.pools.iter().any(|p| p.name.value == pool.value)
    {
        let reason = format!("the file has no pool '{}'", pool.value);
        faults.error(Code::NoRoutePool, pool, reason, known_pools(file));
    }
    if let Some(attempts) = set.attempts.as_ref().filter(|a| a.value > most) {
        let reason = format!("{} attempts are more than the settings allow", attempts.value);
        faults.error(Code::Attempts, attempts, reason, format!("at most {most}"));
    }
    let attempts = set.attempts.as_ref().map_or(most, |a| a.value.min(most));
    caps(&set, attempts, site, faults);
    if let (Some(attempt), Some(whole)) = (&set.attempt_timeout, &set.timeout)
        && attempt.value > whole.value
    {
        let reason = format!(
            "in route '{name}' an attempt may take longer than the timeout of {}",
            format_duration(whole.value)
        );
        faults.error(
            Code::AttemptOverWhole,
            attempt,
            reason,
            format!("at most {}", format_duration(whole.value)),
        );
    }
    let attempt = set.attempt_timeout.as_ref().or(set.timeout.as_ref());
    if let (Some(connect), Some(attempt)) = (&set.connect_timeout, attempt)
        && connect.value >= attempt.value
    {
        let reason = format!(
            "in route '{name}' no time to send is left of an attempt's {}",
            format_duration(attempt.value)
        );
        faults.error(
            Code::ConnectOverAttempt,
            connect,
            reason,
            format!("under {}", format_duration(attempt.value)),
        );
    }
    if let Some(copy) = &set.second_copy {
        if !limits.hedging {
            let reason = "the settings do not allow two attempts at the same time";
            faults.error(Code::CopyNotAllowed, copy, reason, "remove the key");
        }
        if attempts == 1 {
            let reason = format!("route '{name}' has one attempt in all");
            faults.error(Code::CopyAlone, copy, reason, "attempts = 2 or more");
        }
        if let (HedgeDelay::Fixed(after), Some(attempt)) = (&copy.value, attempt)
            && *after >= attempt.value
        {
            let reason =
                format!("in route '{name}' an attempt times out after {}", format_duration(attempt.value));
            faults.warn(
                Code::CopyLate,
                copy,
                reason,
                format!("after under {}", format_duration(attempt.value)),
            );
        }
    }
    for n in classes {
        class_knobs(name, &set, attempts, *n, site, faults);
    }
}

fn caps(set: &Knobs, attempts: u32, site: &InstanceSettings, faults: &mut Faults<'_>) {
    if let Some(budget) = &set.retry_budget {
        if attempts == 1 {
            faults.warn(Code::BudgetUnused, budget, "the route has one attempt in all", "remove the key");
        } else if budget.value.retries_per_attempt == 0.0 && budget.value.min_retries_per_s == 0.0 {
            let allowed = "part or least_per_s greater than 0, or attempts = 1";
            faults.error(Code::BudgetNothing, budget, "it never allows a retry", allowed);
        }
    }
    for cap in [&set.max_in_hand, &set.max_waiting].into_iter().flatten().filter(|cap| cap.value == 0) {
        faults.error(Code::AdmitsNothing, cap, "0 refuses every request", "1 or more");
    }
    if let (Some(waiting), Some(hand)) = (&set.max_waiting, &set.max_in_hand)
        && waiting.value > hand.value
    {
        let reason = format!("{} is more than max_in_hand, {}", waiting.value, hand.value);
        faults.warn(Code::WaitingOverHand, waiting, reason, format!("at most {}", hand.value));
    }
    if let (Some(hand), Some(most)) = (&set.max_in_hand, site.max_open)
        && u64::from(hand.value) > most
    {
        let reason = format!("the instance admits at most {most} requests at a time");
        faults.warn(Code::OverInstance, hand, reason, format!("at most {most}"));
    }
}

fn class_knobs(
    name: &str,
    set: &Knobs,
    attempts: u32,
    n: usize,
    site: &InstanceSettings,
    faults: &mut Faults<'_>,
) {
    let (class, settings) = (&site.classes[n], &site.settings.classes[n]);
    let deadline = settings.deadline;
    for time in [&set.timeout, &set.attempt_timeout].into_iter().flatten().filter(|t| t.value > deadline) {
        let reason = format!(
            "in route '{name}' clients of class '{class}' wait no longer than {}",
            format_duration(deadline)
        );
        faults.error(Code::PastGiveUp, time, reason, format!("at most {}", format_duration(deadline)));
    }
    let whole = set.timeout.as_ref().map_or(deadline, |t| t.value.min(deadline));
    let attempt = set.attempt_timeout.as_ref().map_or(whole, |t| t.value.min(whole));
    if let (Some(copy), Effect::Unsafe) = (&set.second_copy, settings.effect) {
        let reason = format!("route '{name}' is for class '{class}', which must never run twice");
        faults.error(Code::CopyUnsafe, copy, reason, "a separate route for classes that may be repeated");
    }
    let hold = settings.aim.times(HOLD);
    let before_last = Span((attempt.0 + hold.0).saturating_mul(u64::from(attempts - 1)));
    let told = set.attempts.as_ref().map(|a| (&a.key, a.offset));
    let told = told.or(set.attempt_timeout.as_ref().map(|t| (&t.key, t.offset)));
    let told = told.or(set.timeout.as_ref().map(|t| (&t.key, t.offset)));
    let Some((key, offset)) = told.map(|(key, offset)| (key.clone(), offset)) else { return };
    let at = At { value: (), key, offset };
    if let Effect::Keyed { window, .. } = settings.effect {
        let last = before_last.min(whole);
        if attempts > 1 && last >= window {
            let reason = format!(
                "in route '{name}' the last of {attempts} attempts of class '{class}' could be sent after {}, but \
                 its key is kept for {}",
                format_duration(last),
                format_duration(window)
            );
            let allowed = "fewer attempts, or a shorter timeout or attempt_timeout";
            faults.error(Code::KeyForgotten, &at, reason, allowed);
        }
    }
    if attempts > 1 && set.attempts.is_some() && set.attempt_timeout.is_some() && before_last >= whole {
        let reason = format!(
            "in route '{name}' the last of {attempts} attempts could begin only after {}, but requests of class \
             '{class}' have {} in all",
            format_duration(before_last),
            format_duration(whole)
        );
        faults.warn(Code::TooLateToStart, &at, reason, "fewer or shorter attempts");
    }
}
