//! Stage: a typed file against the settings. Tells every fault, each at the place where it was written, also where a
//! value is legal alone and unsafe with one that is inherited.

use crate::codes::Code;
use crate::file::{At, CopyAfter, Fault, Faults, File, Knobs, Match, Route, Severity, read, written};
use crate::fleet;
use crate::routes::{PathPattern, RuleSet};
use dunlincleat::api::{Effect, Span};
use dunlincleat_settings::Site;

/// The part of a class's aim for which the decision module may hold a request between two attempts.
const HOLD: f64 = 0.03;

/// Reads a file and proves it. The rules are given where no fault refuses them.
#[must_use]
pub fn check(text: &str, site: &Site) -> (Vec<Fault>, Option<RuleSet>) {
    let mut faults = Faults::new(text);
    let file = read(text, &mut faults);
    pools(&file, Some(site), &mut faults);
    names(&file, &mut faults);
    routes(&file, site, &mut faults);
    let fleet = fleet::prove(&file, Some(site), &mut faults);
    let faults = faults.all();
    let refused = faults.iter().any(|fault| fault.severity == Severity::Error);
    let rules = (!refused).then(|| RuleSet::new(text, &file, site, fleet));
    (faults, rules)
}

/// Proves what can be proved of a file without settings: its form, its names, its pools, routes that are never reached.
#[must_use]
pub fn check_form(text: &str) -> Vec<Fault> {
    let mut faults = Faults::new(text);
    let file = read(text, &mut faults);
    pools(&file, None, &mut faults);
    names(&file, &mut faults);
    fleet::prove(&file, None, &mut faults);
    faults.all()
}

fn pools(file: &File, site: Option<&Site>, faults: &mut Faults<'_>) {
    for (n, pool) in file.pools.iter().enumerate() {
        let name = &pool.name.value;
        if !name.is_empty() && file.pools[..n].iter().any(|other| other.name.value == *name) {
            faults.error(
                Code::SameName,
                &pool.name,
                format!("a pool '{name}' stands above"),
                "a name of its own",
            );
        }
        if let (Some(zones), Some(site)) = (&pool.zones, site) {
            for zone in zones.value.iter().filter(|zone| !site.zones.contains(zone)) {
                let known = format!("one of {}", site.zones.join(", "));
                faults.error(Code::UnknownZone, zones, format!("no zone '{zone}' is in the settings"), known);
            }
        }
        let lists =
            [pool.zones.as_ref().map(empty), pool.models.as_ref().map(empty), pool.cells.as_ref().map(empty)];
        for at in lists.into_iter().flatten().flatten() {
            faults.error(Code::EmptyPool, &at, "the list is empty", "leave the key out to select all");
        }
        if let Some(weight) = pool.weight.as_ref().filter(|w| w.value.0 > w.value.1) {
            faults.error(Code::EmptyPool, weight, "least lies over most", "least at most as large as most");
        }
        let mut seen = vec![name.as_str()];
        for other in pool.fall_back.iter().flat_map(|at| at.value.iter().map(move |name| (at, name))) {
            let (at, other) = other;
            if !file.pools.iter().any(|pool| pool.name.value == *other) {
                faults.error(
                    Code::NoRoutePool,
                    at,
                    format!("no pool '{other}' is in the file"),
                    known_pools(file),
                );
            } else if seen.contains(&other.as_str()) {
                faults.error(
                    Code::FallBackLoop,
                    at,
                    format!("'{other}' comes twice"),
                    "each other pool once",
                );
            }
            seen.push(other);
        }
        if pool.fall_back.as_ref().is_none_or(|f| f.value.is_empty())
            && let Some(least) = &pool.least_healthy
        {
            faults.warn(Code::HealthyUnused, least, "the pool falls back to none", "name pools in fall_back");
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
    // Read once: a thousand routes are held against each other.
    let pattern =
        |route: &Route| route.matches.path.as_ref().and_then(|path| PathPattern::parse(&path.value));
    let patterns: Vec<Option<PathPattern>> = file.routes.iter().map(pattern).collect();
    for (n, route) in file.routes.iter().enumerate() {
        let (name, earlier) = (&route.name.value, &file.routes[..n]);
        if !name.is_empty() && earlier.iter().any(|other| other.name.value == *name) {
            let reason = format!("a route '{name}' stands above");
            faults.error(Code::SameName, &route.name, reason, "a name of its own");
        }
        let mine = (&route.matches, patterns[n].as_ref());
        let covering = |(other, pattern): &(&Route, &Option<PathPattern>)| {
            covers((&other.matches, pattern.as_ref()), mine)
        };
        if let Some((by, _)) = earlier.iter().zip(&patterns).find(covering) {
            let reason = format!("route '{}' above matches all that '{name}' does", by.name.value);
            faults.error(Code::Shadowed, &route.name, reason, "put it above that route, or take it out");
        }
    }
}

fn routes(file: &File, site: &Site, faults: &mut Faults<'_>) {
    // The defaults alone are the route that closes the list.
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

/// The classes whose requests a route may match.
fn matched(matches: &Match, site: &Site, faults: &mut Faults<'_>) -> Vec<usize> {
    let mut classes: Vec<usize> = (0..site.classes.len()).collect();
    if let Some(class) = &matches.class {
        classes.retain(|n| site.classes[*n] == class.value);
        if classes.is_empty() {
            let reason = format!("no class '{}' is in the settings", class.value);
            faults.error(Code::UnknownClass, class, reason, format!("one of {}", site.classes.join(", ")));
        }
    }
    if let Some(path) = &matches.path {
        match PathPattern::parse(&path.value) {
            None => faults.error(
                Code::BadPath,
                path,
                format!("'{}' is no pattern", path.value),
                "it begins with '/', '*' stands for one whole part, '**' ends it",
            ),
            // The first part of a path is the request's class.
            Some(pattern) => {
                let had = !classes.is_empty();
                if let Some(first) = pattern.first() {
                    classes.retain(|n| site.classes[*n] == first);
                }
                if had && classes.is_empty() {
                    let reason = "no class that the route is for has this first part".to_owned();
                    faults.error(Code::NeverMatches, path, reason, "the first part is the class, or '*'");
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
            let reason = format!("no class of the route comes by '{}'", method.value);
            faults.error(Code::BadMethod, method, reason, "GET for a class safe to repeat, POST for another");
        }
    }
    if let Some(tenant) = matches.tenant.as_ref().filter(|tenant| !site.tenants.contains(&tenant.value)) {
        let reason = format!("no tenant '{}' is in the settings", tenant.value);
        faults.error(Code::UnknownTenant, tenant, reason, format!("one of {}", site.tenants.join(", ")));
    }
    classes
}

/// Whether a route matches all that another does.
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
        // All paths of a class lie under it.
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

/// Proves what a route sets, with what it inherits, against each class that it may match.
fn knobs(file: &File, route: &Route, classes: &[usize], site: &Site, faults: &mut Faults<'_>) {
    let set = Knobs::inherit(&route.knobs, &file.defaults);
    let name = &route.name.value;
    let limits = &site.settings.limits;
    let most = limits.max_attempts;
    if let Some(pool) = &set.pool
        && !file.pools.iter().any(|p| p.name.value == pool.value)
    {
        let reason = format!("no pool '{}' is in the file", pool.value);
        faults.error(Code::NoRoutePool, pool, reason, known_pools(file));
    }
    if let Some(attempts) = set.attempts.as_ref().filter(|a| a.value > most) {
        let reason = format!("{} are over what the settings allow", attempts.value);
        faults.error(Code::Attempts, attempts, reason, format!("at most {most}"));
    }
    let attempts = set.attempts.as_ref().map_or(most, |a| a.value.min(most));
    caps(&set, attempts, site, faults);
    if let (Some(attempt), Some(whole)) = (&set.attempt_timeout, &set.timeout)
        && attempt.value > whole.value
    {
        let reason =
            format!("in route '{name}' an attempt may take longer than timeout, {}", written(whole.value));
        faults.error(Code::AttemptOverWhole, attempt, reason, format!("at most {}", written(whole.value)));
    }
    let attempt = set.attempt_timeout.as_ref().or(set.timeout.as_ref());
    if let (Some(connect), Some(attempt)) = (&set.connect_timeout, attempt)
        && connect.value >= attempt.value
    {
        let reason = format!("in route '{name}' nothing is left of {} to send in", written(attempt.value));
        faults.error(Code::ConnectOverAttempt, connect, reason, format!("under {}", written(attempt.value)));
    }
    if let Some(copy) = &set.second_copy {
        if !limits.hedging {
            let reason = "the settings allow no two attempts at a time";
            faults.error(Code::CopyNotAllowed, copy, reason, "take it out");
        }
        if attempts == 1 {
            let reason = format!("route '{name}' has one attempt in all");
            faults.error(Code::CopyAlone, copy, reason, "attempts = 2 or more");
        }
        if let (CopyAfter::Delay(after), Some(attempt)) = (&copy.value, attempt)
            && *after >= attempt.value
        {
            let reason = format!("in route '{name}' an attempt is given up after {}", written(attempt.value));
            faults.warn(Code::CopyLate, copy, reason, format!("after under {}", written(attempt.value)));
        }
    }
    for n in classes {
        class_knobs(name, &set, attempts, *n, site, faults);
    }
}

fn caps(set: &Knobs, attempts: u32, site: &Site, faults: &mut Faults<'_>) {
    if let Some(budget) = &set.retry_budget {
        if attempts == 1 {
            faults.warn(Code::BudgetUnused, budget, "the route has one attempt in all", "take it out");
        } else if budget.value.part == 0.0 && budget.value.least_per_s == 0.0 {
            let allowed = "part or least_per_s over 0, or attempts = 1";
            faults.error(Code::BudgetNothing, budget, "it never pays for a repeat", allowed);
        }
    }
    for cap in [&set.max_in_hand, &set.max_waiting].into_iter().flatten().filter(|cap| cap.value == 0) {
        faults.error(Code::AdmitsNothing, cap, "every request would be refused", "1 or more");
    }
    if let (Some(waiting), Some(hand)) = (&set.max_waiting, &set.max_in_hand)
        && waiting.value > hand.value
    {
        let reason = format!("max_in_hand is {}", hand.value);
        faults.warn(Code::WaitingOverHand, waiting, reason, format!("at most {}", hand.value));
    }
    if let (Some(hand), Some(most)) = (&set.max_in_hand, site.max_open)
        && u64::from(hand.value) > most
    {
        let reason = format!("the instance holds at most {most}");
        faults.warn(Code::OverInstance, hand, reason, format!("at most {most}"));
    }
}

fn class_knobs(name: &str, set: &Knobs, attempts: u32, n: usize, site: &Site, faults: &mut Faults<'_>) {
    let (class, settings) = (&site.classes[n], &site.settings.classes[n]);
    let deadline = settings.deadline;
    for time in [&set.timeout, &set.attempt_timeout].into_iter().flatten().filter(|t| t.value > deadline) {
        let reason =
            format!("in route '{name}' a client of class '{class}' has left after {}", written(deadline));
        faults.error(Code::PastGiveUp, time, reason, format!("at most {}", written(deadline)));
    }
    let whole = set.timeout.as_ref().map_or(deadline, |t| t.value.min(deadline));
    let attempt = set.attempt_timeout.as_ref().map_or(whole, |t| t.value.min(whole));
    if let (Some(copy), Effect::Unsafe) = (&set.second_copy, settings.effect) {
        let reason = format!("route '{name}' is for class '{class}', which must never run twice");
        faults.error(Code::CopyUnsafe, copy, reason, "a route of its own for classes that may be repeated");
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
                "in route '{name}' the last of {attempts} attempts of class '{class}' could be sent after {}, its key \
                 is kept for {}",
                written(last),
                written(window)
            );
            let allowed = "fewer attempts, or timeout or attempt_timeout so short that it comes before";
            faults.error(Code::KeyForgotten, &at, reason, allowed);
        }
    }
    if attempts > 1 && set.attempts.is_some() && set.attempt_timeout.is_some() && before_last >= whole {
        let reason = format!(
            "in route '{name}' the last of {attempts} attempts could begin only after {}, class '{class}' has {} in all",
            written(before_last),
            written(whole)
        );
        faults.warn(Code::TooLateToStart, &at, reason, "fewer or shorter attempts");
    }
}
