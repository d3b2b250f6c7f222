//! Bad files, each refused with its code at its place, and an oracle of its own for what is accepted.

use dunlincleat::api::{Effect, Span};
use dunlincleat_limits::file::CopyAfter;
use dunlincleat_limits::{Code, Facts, Rule, RuleSet, Severity, check, check_form};
use dunlincleat_settings::{Site, read};
use proptest::prelude::*;

/// Classes of each kind; the key of `pay` is kept for 500 ms, its client waits for 900.
fn site(second_copies: bool) -> Site {
    read(&format!(
        r#"{{"zones":["a","b"],"tenants":[{{"name":"trojka"}},{{"name":"dama"}}],
        "limits":{{"try_limit":4,"parallel_tries":{second_copies},"max_open":100}},
        "classes":[
          {{"name":"read","aim":300000,"deadline":740000,"semantics":"retryable"}},
          {{"name":"pay","aim":300000,"deadline":900000,"semantics":"dedup","group":"all","window":500000}},
          {{"name":"move","aim":300000,"deadline":740000,"semantics":"fragile"}}],
        "safety":{{}}}}"#
    ))
    .unwrap()
}

/// Each file with the code and the line that it is refused with.
const BAD: &[(Code, usize, &str)] = &[
    (Code::DutyAlone, 2, "[[duty]]\nname = 'd'"),
    (
        Code::UnknownKey,
        4,
        "[fleet]\nname='f'\nlisten='127.0.0.1:7400'\nvoters = []\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:7400'\n[[fleet.voter]]\nname='b'\nat='127.0.0.1:7401'\n[[fleet.voter]]\nname='c'\nat='127.0.0.1:7402'\n",
    ),
    (
        Code::Voters,
        2,
        "[fleet]\nname='f'\nlisten='127.0.0.1:7400'\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:1'",
    ),
    (
        Code::Voters,
        11,
        "[fleet]\nname='f'\nlisten='127.0.0.1:7400'\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:7400'\n[[fleet.voter]]\nname='b'\nat='127.0.0.1:7401'\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:7402'\n",
    ),
    (
        Code::Lease,
        4,
        "[fleet]\nname='f'\nlisten='127.0.0.1:7400'\nlease = '50ms'\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:7400'\n[[fleet.voter]]\nname='b'\nat='127.0.0.1:7401'\n[[fleet.voter]]\nname='c'\nat='127.0.0.1:7402'\n",
    ),
    (
        Code::Lease,
        4,
        "[fleet]\nname='f'\nlisten='127.0.0.1:7400'\ndrift = 0.3\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:7400'\n[[fleet.voter]]\nname='b'\nat='127.0.0.1:7401'\n[[fleet.voter]]\nname='c'\nat='127.0.0.1:7402'\n",
    ),
    (
        Code::Member,
        3,
        "[fleet]\nname='f'\nlisten='8.8.8.8:7400'\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:7400'\n[[fleet.voter]]\nname='b'\nat='127.0.0.1:7401'\n[[fleet.voter]]\nname='c'\nat='127.0.0.1:7402'\n",
    ),
    (
        Code::Member,
        3,
        "[fleet]\nname='f'\nlisten='here'\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:7400'\n[[fleet.voter]]\nname='b'\nat='127.0.0.1:7401'\n[[fleet.voter]]\nname='c'\nat='127.0.0.1:7402'\n",
    ),
    (
        Code::DutyCall,
        16,
        "[fleet]\nname='f'\nlisten='127.0.0.1:7400'\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:7400'\n[[fleet.voter]]\nname='b'\nat='127.0.0.1:7401'\n[[fleet.voter]]\nname='c'\nat='127.0.0.1:7402'\n[[duty]]\nname='d'\npath='/move/x'\nperiod='1s'",
    ),
    (
        Code::DutyCall,
        14,
        "[fleet]\nname='f'\nlisten='127.0.0.1:7400'\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:7400'\n[[fleet.voter]]\nname='b'\nat='127.0.0.1:7401'\n[[fleet.voter]]\nname='c'\nat='127.0.0.1:7402'\n[[duty]]\nname='d'\npath='/move/x'",
    ),
    (
        Code::DutyCall,
        15,
        "[fleet]\nname='f'\nlisten='127.0.0.1:7400'\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:7400'\n[[fleet.voter]]\nname='b'\nat='127.0.0.1:7401'\n[[fleet.voter]]\nname='c'\nat='127.0.0.1:7402'\n[[duty]]\nname='d'\npath='/read/x'\nperiod='9s'",
    ),
    (
        Code::UnknownClass,
        15,
        "[fleet]\nname='f'\nlisten='127.0.0.1:7400'\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:7400'\n[[fleet.voter]]\nname='b'\nat='127.0.0.1:7401'\n[[fleet.voter]]\nname='c'\nat='127.0.0.1:7402'\n[[duty]]\nname='d'\npath='/none'\nperiod='9s'",
    ),
    (
        Code::DutyCall,
        17,
        "[fleet]\nname='f'\nlisten='127.0.0.1:7400'\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:7400'\n[[fleet.voter]]\nname='b'\nat='127.0.0.1:7401'\n[[fleet.voter]]\nname='c'\nat='127.0.0.1:7402'\n[[duty]]\nname='d'\npath='/move'\nperiod='9s'\nmissed='no'",
    ),
    (Code::Syntax, 1, "version ="),
    (Code::Syntax, 2, "version = 1\n[[route]\nname = 'x'"),
    (Code::Syntax, 2, "version = 1\nversion = 1"),
    (Code::UnknownVersion, 1, "version = 2"),
    (Code::UnknownVersion, 1, "version = 0"),
    (Code::WrongType, 1, "version = 'one'"),
    (Code::UnknownKey, 1, "routes = []"),
    (Code::UnknownKey, 2, "[defaults]\ntime_out = '1s'"),
    (Code::UnknownKey, 3, "[[route]]\nname = 'x'\nattempt = 2"),
    (Code::UnknownKey, 3, "[[route]]\nname = 'x'\nmatch = { klass = 'read' }"),
    (Code::UnknownKey, 3, "[[pool]]\nname = 'p'\nzone = ['a']"),
    (Code::UnknownKey, 2, "[defaults]\nretry_budget = { part = 0.1, most = 3 }"),
    (Code::UnknownKey, 2, "[defaults]\nsecond_copy = { after = '9ms', of = 2 }"),
    (Code::WrongType, 1, "route = 3"),
    (Code::WrongType, 1, "route = [3]"),
    (Code::WrongType, 1, "defaults = 'none'"),
    (Code::WrongType, 2, "[defaults]\nattempts = '2'"),
    (Code::WrongType, 2, "[defaults]\nattempts = 2.0"),
    (Code::WrongType, 2, "[defaults]\ntimeout = 300"),
    (Code::WrongType, 2, "[defaults]\nretry_budget = 0.2"),
    (Code::WrongType, 2, "[defaults]\nsecond_copy = {}"),
    (Code::WrongType, 2, "[defaults]\nsecond_copy = { after = '9ms', after_quantile = 0.9 }"),
    (Code::WrongType, 3, "[[route]]\nname = 'x'\nmatch = 'read'"),
    (Code::WrongType, 3, "[[route]]\nname = 'x'\nmatch = { class = 1 }"),
    (Code::WrongType, 3, "[[route]]\nname = 'x'\nmatch = { header = { X-A = 1 } }"),
    (Code::WrongType, 3, "[[pool]]\nname = 'p'\nzones = 'a'"),
    (Code::WrongType, 3, "[[pool]]\nname = 'p'\ncells = ['1']"),
    (Code::BadDuration, 2, "[defaults]\ntimeout = '300'"),
    (Code::BadDuration, 2, "[defaults]\ntimeout = '-1s'"),
    (Code::BadDuration, 2, "[defaults]\ntimeout = '0ms'"),
    (Code::BadDuration, 2, "[defaults]\nattempt_timeout = '5 sec'"),
    (Code::BadDuration, 2, "[defaults]\ntimeout = '25h'"),
    (Code::OutOfRange, 2, "[defaults]\nattempts = 0"),
    (Code::OutOfRange, 2, "[defaults]\nattempts = -1"),
    (Code::OutOfRange, 2, "[defaults]\npriority = 10"),
    (Code::OutOfRange, 2, "[defaults]\nretry_budget = { part = -0.1 }"),
    (Code::OutOfRange, 2, "[defaults]\nretry_budget = { part = nan }"),
    (Code::OutOfRange, 2, "[defaults]\nsecond_copy = { after_quantile = 1.0 }"),
    (Code::OutOfRange, 3, "[[pool]]\nname = 'p'\nleast_healthy = 1.5"),
    (Code::OutOfRange, 3, "[[pool]]\nname = 'p'\ncells = [-1]"),
    (Code::NoName, 1, "[[route]]\nattempts = 1"),
    (Code::NoName, 1, "[[route]]\nname = ' '\nattempts = 1"),
    (Code::NoName, 1, "[[pool]]\nzones = ['a']"),
    (Code::SameName, 5, "[[route]]\nname = 'x'\nmatch = { class = 'read' }\n[[route]]\nname = 'x'"),
    (Code::SameName, 4, "[[pool]]\nname = 'p'\n[[pool]]\nname = 'p'"),
    (Code::UnknownClass, 3, "[[route]]\nname = 'x'\nmatch = { class = 'reed' }"),
    (Code::UnknownTenant, 3, "[[route]]\nname = 'x'\nmatch = { tenant = 'as-klub' }"),
    (Code::BadMethod, 3, "[[route]]\nname = 'x'\nmatch = { method = 'PUT' }"),
    (Code::BadMethod, 3, "[[route]]\nname = 'x'\nmatch = { class = 'read', method = 'POST' }"),
    (Code::BadPath, 3, "[[route]]\nname = 'x'\nmatch = { path = 'read' }"),
    (Code::BadPath, 3, "[[route]]\nname = 'x'\nmatch = { path = '/read/**/x' }"),
    (Code::BadPath, 3, "[[route]]\nname = 'x'\nmatch = { path = '/read/a*' }"),
    (Code::BadHeader, 3, "[[route]]\nname = 'x'\nmatch = { header = { 'X A' = 'b' } }"),
    (Code::NeverMatches, 3, "[[route]]\nname = 'x'\nmatch = { class = 'read', path = '/pay/*' }"),
    (Code::NeverMatches, 3, "[[route]]\nname = 'x'\nmatch = { path = '/nothing/**' }"),
    (Code::Shadowed, 4, "[[route]]\nname = 'all'\n[[route]]\nname = 'x'\nmatch = { class = 'read' }"),
    (
        Code::Shadowed,
        5,
        "[[route]]\nname = 'w'\nmatch = { path = '/read/**' }\n[[route]]\nname = 'x'\nmatch = { path = '/read/*/y' }",
    ),
    (
        Code::Shadowed,
        5,
        "[[route]]\nname = 'w'\nmatch = { class = 'pay' }\n[[route]]\nname = 'x'\nmatch = { class = 'pay', tenant = 'dama' }",
    ),
    (Code::NoRoutePool, 2, "[defaults]\npool = 'near'"),
    (Code::NoRoutePool, 3, "[[pool]]\nname = 'p'\nfall_back = ['q']"),
    (Code::UnknownZone, 3, "[[pool]]\nname = 'p'\nzones = ['c']"),
    (Code::EmptyPool, 3, "[[pool]]\nname = 'p'\nzones = []"),
    (Code::EmptyPool, 3, "[[pool]]\nname = 'p'\nmodels = []"),
    (Code::EmptyPool, 3, "[[pool]]\nname = 'p'\nweight = { least = 2.0, most = 1.0 }"),
    (Code::FallBackLoop, 3, "[[pool]]\nname = 'p'\nfall_back = ['p']"),
    (Code::FallBackLoop, 3, "[[pool]]\nname = 'p'\nfall_back = ['q', 'q']\n[[pool]]\nname = 'q'"),
    (Code::Attempts, 2, "[defaults]\nattempts = 5"),
    (
        Code::CopyNotAllowed,
        3,
        "[[route]]\nname = 'x'\nsecond_copy = { after = '50ms' }\nmatch = { class = 'read' }",
    ),
    (
        Code::CopyUnsafe,
        3,
        "[[route]]\nname = 'x'\nsecond_copy = { after = '50ms' }\nmatch = { class = 'move' }",
    ),
    // Legal for the defaults' own sake, unsafe where a class inherits it.
    (
        Code::CopyUnsafe,
        2,
        "[defaults]\nsecond_copy = { after_quantile = 0.95 }\n[[route]]\nname = 'x'\nmatch = { class = 'move' }",
    ),
    (Code::CopyAlone, 3, "[defaults]\nattempts = 1\nsecond_copy = { after = '50ms' }"),
    (Code::AttemptOverWhole, 2, "[defaults]\nattempt_timeout = '400ms'\ntimeout = '300ms'"),
    (
        Code::AttemptOverWhole,
        2,
        "[defaults]\nattempt_timeout = '400ms'\n[[route]]\nname = 'x'\ntimeout = '200ms'",
    ),
    (Code::PastGiveUp, 2, "[defaults]\ntimeout = '800ms'"),
    (Code::PastGiveUp, 3, "[[route]]\nname = 'x'\nattempt_timeout = '741ms'\nmatch = { class = 'read' }"),
    (Code::ConnectOverAttempt, 2, "[defaults]\nconnect_timeout = '50ms'\nattempt_timeout = '50ms'"),
    (
        Code::ConnectOverAttempt,
        5,
        "[[route]]\nname = 'x'\ntimeout = '90ms'\n[defaults]\nconnect_timeout = '100ms'",
    ),
    // Three attempts of 200 ms and two waits: the last may be sent after 418 ms; four, after 627.
    (
        Code::KeyForgotten,
        3,
        "[[route]]\nname = 'x'\nattempts = 4\nattempt_timeout = '200ms'\nmatch = { class = 'pay' }",
    ),
    (Code::KeyForgotten, 2, "[defaults]\nattempt_timeout = '300ms'"),
    (Code::BudgetNothing, 2, "[defaults]\nretry_budget = {}"),
    (Code::BudgetNothing, 2, "[defaults]\nretry_budget = { part = 0.0, least_per_s = 0 }"),
    (Code::AdmitsNothing, 2, "[defaults]\nmax_in_hand = 0"),
    (Code::AdmitsNothing, 2, "[defaults]\nmax_waiting = 0"),
];

#[test]
fn each_bad_file_is_refused_with_its_code_at_its_line() {
    assert!(BAD.len() >= 60);
    for (code, line, text) in BAD {
        let copies = !matches!(code, Code::CopyNotAllowed);
        let (faults, rules) = check(text, &site(copies));
        assert!(rules.is_none(), "accepted: {text}");
        let found = faults.iter().any(|f| (f.code, f.line, f.severity) == (*code, *line, Severity::Error));
        assert!(found, "{code} at line {line} is not told of:\n{text}\n{faults:#?}");
        assert!(faults.iter().all(|f| f.column > 0 && !f.key.is_empty() && !f.reason.is_empty()));
    }
}

#[test]
fn all_faults_of_a_file_are_told_and_warnings_refuse_none() {
    let text =
        "[defaults]\nattempts = 9\ntimeout = 'x'\n[[route]]\nname = 'y'\nmatch = { class = 'z' }\nbogus = 1";
    let codes: Vec<Code> = check(text, &site(false)).0.iter().map(|f| f.code).collect();
    assert_eq!(
        codes,
        [Code::Attempts, Code::KeyForgotten, Code::BadDuration, Code::UnknownClass, Code::UnknownKey]
    );
    let text = "[defaults]\nattempts = 1\nretry_budget = { part = 0.1 }\nmax_in_hand = 500\nmax_waiting = 600\n\
                [[pool]]\nname = 'p'\nleast_healthy = 0.5";
    let (faults, rules) = check(text, &site(false));
    let codes: Vec<Code> = faults.iter().map(|f| f.code).collect();
    let wanted = [Code::BudgetUnused, Code::OverInstance, Code::WaitingOverHand, Code::HealthyUnused];
    assert_eq!(codes, wanted);
    assert!(rules.is_some());
    // Without settings only the form can be proved.
    assert_eq!(check_form(text), [faults[3].clone()]);
    assert!(check("", &site(false)).1.is_some_and(|rules| **rules.default_rule() == Rule::open()));
}

#[test]
fn the_first_route_that_matches_counts_and_keeps_what_it_inherits() {
    let text = "[defaults]\nattempts = 1\n[[route]]\nname = 'venue'\nattempts = 2\n\
                match = { path = '/read/*/now', header = { X-Venue = 'lj' } }\n\
                [[route]]\nname = 'reads'\ntimeout = '300ms'\nmatch = { class = 'read' }";
    let (faults, rules) = check(text, &site(false));
    let rules = rules.unwrap_or_else(|| panic!("{faults:?}"));
    let find = |path: &str, class: u32, venue: Option<&'static str>| {
        let header = move |name: &str| venue.filter(|_| name == "x-venue");
        let facts = Facts { path, method: "GET", class, tenant: 0, header: &header };
        let rule = rules.find(&facts);
        (rule.name.clone(), rule.attempts, rule.line)
    };
    assert_eq!(find("/read/7/now", 0, Some("lj")), ("venue".into(), Some(2), Some(4)));
    assert_eq!(find("/read/7/now", 0, None), ("reads".into(), Some(1), Some(8)));
    assert_eq!(find("/read/7/then", 0, Some("lj")), ("reads".into(), Some(1), Some(8)));
    assert_eq!(find("/pay", 1, Some("lj")), ("default".into(), Some(1), None));
}

#[test]
fn the_example_under_deploy_has_no_fault() {
    assert_eq!(check_form(include_str!("../../../deploy/limits.example.toml")), []);
}

/// What an accepted rule must keep to for a class, worked out apart from the checker.
fn unsafe_for(rule: &Rule, class: usize, site: &Site) -> Option<String> {
    let settings = &site.settings.classes[class];
    let whole = rule.timeout.unwrap_or(settings.deadline);
    if whole > settings.deadline || rule.attempt_timeout.is_some_and(|a| a > whole) {
        return Some(format!("{rule:?} outlives the client of {}", site.classes[class]));
    }
    let attempts = rule.attempts.unwrap_or(site.settings.limits.max_attempts);
    if attempts > site.settings.limits.max_attempts {
        return Some("more attempts than allowed".into());
    }
    if rule.second_copy.is_some() && (!site.settings.limits.hedging || settings.effect == Effect::Unsafe) {
        return Some("a second copy of what must not run twice".into());
    }
    let narrows = rule.attempts.is_some() || rule.attempt_timeout.is_some() || rule.timeout.is_some();
    if let (Effect::Keyed { window, .. }, true) = (settings.effect, narrows) {
        // Send by send, each attempt and hold at a part of its longest, until the whole time is over.
        let longest = rule.attempt_timeout.unwrap_or(whole).0 + settings.aim.0 * 3 / 100;
        for part in 1..=50 {
            let sends = (1..u64::from(attempts)).map(|n| n * longest * part / 50).filter(|at| *at < whole.0);
            if sends.max().is_some_and(|last| last >= window.0) {
                return Some(format!("{rule:?}: the key is forgotten"));
            }
        }
    }
    None
}

fn knob() -> impl Strategy<Value = String> {
    prop_oneof![
        (1_u32..1000).prop_map(|n| format!("timeout = '{n}ms'")),
        (1_u32..1000).prop_map(|n| format!("attempt_timeout = '{n}ms'")),
        (1_u32..100).prop_map(|n| format!("connect_timeout = '{n}ms'")),
        (0_u32..6).prop_map(|n| format!("attempts = {n}")),
        (1_u32..300).prop_map(|n| format!("second_copy = {{ after = '{n}ms' }}")),
        (0_u32..3).prop_map(|n| format!("retry_budget = {{ part = 0.{n} }}")),
        (0_u32..9).prop_map(|n| format!("max_in_hand = {n}")),
        (0_u32..9).prop_map(|n| format!("priority = {n}")),
    ]
}

fn file() -> impl Strategy<Value = String> {
    let class = prop_oneof![Just("read"), Just("pay"), Just("move"), Just("")];
    let knobs = || proptest::collection::vec(knob(), 0..4);
    let route = (class, knobs()).prop_map(|(class, knobs)| (class.to_owned(), knobs));
    (knobs(), proptest::collection::vec(route, 0..4)).prop_map(|(defaults, routes)| {
        // A key twice is no TOML: the last of each stays.
        let text = |knobs: &[String]| {
            let key = |knob: &str| knob.split(' ').next().unwrap_or_default().to_owned();
            let last =
                knobs.iter().enumerate().filter(|(n, k)| !knobs[n + 1..].iter().any(|o| key(o) == key(k)));
            last.map(|(_, knob)| format!("{knob}\n")).collect::<String>()
        };
        let mut file = format!("[defaults]\n{}", text(&defaults));
        for (n, (class, knobs)) in routes.iter().enumerate() {
            let on =
                if class.is_empty() { String::new() } else { format!("match = {{ class = '{class}' }}\n") };
            file += &format!("[[route]]\nname = 'r{n}'\n{on}{}", text(knobs));
        }
        file
    })
}

fn each_class(rules: &RuleSet, site: &Site) -> Vec<(usize, Rule)> {
    let of = |class: usize| {
        let none = |_: &str| None;
        let path = format!("/{}", site.classes[class]);
        let method = if site.settings.classes[class].effect == Effect::Safe { "GET" } else { "POST" };
        let facts = Facts { path: &path, method, class: class as u32, tenant: 0, header: &none };
        (class, (**rules.find(&facts)).clone())
    };
    (0..site.classes.len()).map(of).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_accepted_is_safe(text in file(), copies: bool) {
        let site = site(copies);
        if let (_, Some(rules)) = check(&text, &site) {
            for (class, rule) in each_class(&rules, &site) {
                prop_assert_eq!(unsafe_for(&rule, class, &site), None, "{}", text);
            }
        }
    }

    #[test]
    fn no_text_breaks_the_reader(text in "[\\[\\]a-z_='\"{}0-9.,\\n ]{0,200}") {
        let (faults, rules) = check(&text, &site(true));
        prop_assert_eq!(rules.is_none(), faults.iter().any(|f| f.severity == Severity::Error));
    }
}

#[test]
fn the_oracle_finds_a_checker_that_lets_one_through() {
    let site = site(true);
    let whole = |class: usize| site.settings.classes[class].deadline;
    let planted: [(usize, Rule); 5] = [
        (0, Rule { timeout: Some(Span(whole(0).0 + 1)), ..Rule::open() }),
        (0, Rule { attempts: Some(5), ..Rule::open() }),
        (2, Rule { second_copy: Some(CopyAfter::Delay(Span(1))), ..Rule::open() }),
        (1, Rule { attempts: Some(4), attempt_timeout: Some(Span(200_000)), ..Rule::open() }),
        (1, Rule { attempts: Some(2), attempt_timeout: Some(Span(600_000)), ..Rule::open() }),
    ];
    for (class, rule) in planted {
        assert!(unsafe_for(&rule, class, &site).is_some(), "{rule:?}");
    }
}
