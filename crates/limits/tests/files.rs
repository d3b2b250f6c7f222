//! Invalid files are rejected with the right code at the right line, and accepted files are checked by an independent
//! oracle.

use dunlincleat::api::{Effect, Span};
use dunlincleat_limits::{
    Checked, Code, HedgeDelay, RequestAttributes, Rule, RuleSet, Severity, check, check_without_settings,
};
use dunlincleat_settings::{InstanceSettings, read};
use proptest::prelude::*;

/// Settings with one class of each kind. Servers keep the keys of `pay` for 500 ms, and its clients wait for 900 ms.
fn instance(hedging: bool) -> InstanceSettings {
    read(&format!(
        r#"{{"zones":["a","b"],"tenants":[{{"name":"trojka"}},{{"name":"dama"}}],
        "limits":{{"try_limit":4,"parallel_tries":{hedging},"max_open":100}},
        "classes":[
          {{"name":"read","aim":300000,"deadline":740000,"semantics":"retryable"}},
          {{"name":"pay","aim":300000,"deadline":900000,"semantics":"dedup","group":"all","window":500000}},
          {{"name":"move","aim":300000,"deadline":740000,"semantics":"fragile"}}],
        "safety":{{}}}}"#
    ))
    .unwrap()
}

/// A fleet without its voters.
macro_rules! fleet {
    () => {
        "[fleet]\nname='f'\nlisten='127.0.0.1:7400'\n"
    };
}

/// Three valid voters.
macro_rules! voters {
    () => {
        "[[fleet.voter]]\nname='a'\nat='127.0.0.1:7400'\n[[fleet.voter]]\nname='b'\nat='127.0.0.1:7401'\n[[fleet.voter]]\nname='c'\nat='127.0.0.1:7402'\n"
    };
}

/// Invalid files, each with the code and the line of the expected error.
const INVALID: &[(Code, usize, &str)] = &[
    (Code::DutyWithoutFleet, 2, "[[duty]]\nname = 'd'"),
    (Code::UnknownKey, 4, concat!(fleet!(), "voters = []\n", voters!())),
    (Code::InvalidVoters, 2, concat!(fleet!(), "[[fleet.voter]]\nname='a'\nat='127.0.0.1:1'")),
    (
        Code::InvalidVoters,
        11,
        "[fleet]\nname='f'\nlisten='127.0.0.1:7400'\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:7400'\n[[fleet.voter]]\nname='b'\nat='127.0.0.1:7401'\n[[fleet.voter]]\nname='a'\nat='127.0.0.1:7402'\n",
    ),
    (Code::InvalidLease, 4, concat!(fleet!(), "lease = '50ms'\n", voters!())),
    (Code::InvalidLease, 4, concat!(fleet!(), "drift = 0.3\n", voters!())),
    (Code::InvalidMember, 3, concat!("[fleet]\nname='f'\nlisten='8.8.8.8:7400'\n", voters!())),
    (Code::InvalidMember, 3, concat!("[fleet]\nname='f'\nlisten='here'\n", voters!())),
    (
        Code::InvalidDutyCall,
        16,
        concat!(fleet!(), voters!(), "[[duty]]\nname='d'\npath='/move/x'\nperiod='1s'"),
    ),
    (Code::InvalidDutyCall, 14, concat!(fleet!(), voters!(), "[[duty]]\nname='d'\npath='/move/x'")),
    (
        Code::InvalidDutyCall,
        15,
        concat!(fleet!(), voters!(), "[[duty]]\nname='d'\npath='/read/x'\nperiod='9s'"),
    ),
    (Code::UnknownClass, 15, concat!(fleet!(), voters!(), "[[duty]]\nname='d'\npath='/none'\nperiod='9s'")),
    (
        Code::InvalidDutyCall,
        17,
        concat!(fleet!(), voters!(), "[[duty]]\nname='d'\npath='/move'\nperiod='9s'\nmissed='no'"),
    ),
    (Code::Syntax, 1, "version ="),
    (Code::Syntax, 2, "version = 1\n[[route]\nname = 'x'"),
    (Code::Syntax, 2, "version = 1\nversion = 1"),
    (Code::UnsupportedVersion, 1, "version = 2"),
    (Code::UnsupportedVersion, 1, "version = 0"),
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
    (Code::InvalidDuration, 2, "[defaults]\ntimeout = '300'"),
    (Code::InvalidDuration, 2, "[defaults]\ntimeout = '-1s'"),
    (Code::InvalidDuration, 2, "[defaults]\ntimeout = '0ms'"),
    (Code::InvalidDuration, 2, "[defaults]\nattempt_timeout = '5 sec'"),
    (Code::InvalidDuration, 2, "[defaults]\ntimeout = '25h'"),
    (Code::OutOfRange, 2, "[defaults]\nattempts = 0"),
    (Code::OutOfRange, 2, "[defaults]\nattempts = -1"),
    (Code::OutOfRange, 2, "[defaults]\npriority = 10"),
    (Code::OutOfRange, 2, "[defaults]\nretry_budget = { part = -0.1 }"),
    (Code::OutOfRange, 2, "[defaults]\nretry_budget = { part = nan }"),
    (Code::OutOfRange, 2, "[defaults]\nsecond_copy = { after_quantile = 1.0 }"),
    (Code::OutOfRange, 3, "[[pool]]\nname = 'p'\nleast_healthy = 1.5"),
    (Code::OutOfRange, 3, "[[pool]]\nname = 'p'\ncells = [-1]"),
    (Code::MissingName, 1, "[[route]]\nattempts = 1"),
    (Code::MissingName, 1, "[[route]]\nname = ' '\nattempts = 1"),
    (Code::MissingName, 1, "[[pool]]\nzones = ['a']"),
    (Code::DuplicateName, 5, "[[route]]\nname = 'x'\nmatch = { class = 'read' }\n[[route]]\nname = 'x'"),
    (Code::DuplicateName, 4, "[[pool]]\nname = 'p'\n[[pool]]\nname = 'p'"),
    (Code::UnknownClass, 3, "[[route]]\nname = 'x'\nmatch = { class = 'reed' }"),
    (Code::UnknownTenant, 3, "[[route]]\nname = 'x'\nmatch = { tenant = 'as-klub' }"),
    (Code::InvalidMethod, 3, "[[route]]\nname = 'x'\nmatch = { method = 'PUT' }"),
    (Code::InvalidMethod, 3, "[[route]]\nname = 'x'\nmatch = { class = 'read', method = 'POST' }"),
    (Code::InvalidPath, 3, "[[route]]\nname = 'x'\nmatch = { path = 'read' }"),
    (Code::InvalidPath, 3, "[[route]]\nname = 'x'\nmatch = { path = '/read/**/x' }"),
    (Code::InvalidPath, 3, "[[route]]\nname = 'x'\nmatch = { path = '/read/a*' }"),
    (Code::InvalidHeader, 3, "[[route]]\nname = 'x'\nmatch = { header = { 'X A' = 'b' } }"),
    (Code::NeverMatches, 3, "[[route]]\nname = 'x'\nmatch = { class = 'read', path = '/pay/*' }"),
    (Code::NeverMatches, 3, "[[route]]\nname = 'x'\nmatch = { path = '/nothing/**' }"),
    (Code::UnreachableRoute, 4, "[[route]]\nname = 'all'\n[[route]]\nname = 'x'\nmatch = { class = 'read' }"),
    (
        Code::UnreachableRoute,
        5,
        "[[route]]\nname = 'w'\nmatch = { path = '/read/**' }\n[[route]]\nname = 'x'\nmatch = { path = '/read/*/y' }",
    ),
    (
        Code::UnreachableRoute,
        5,
        "[[route]]\nname = 'w'\nmatch = { class = 'pay' }\n[[route]]\nname = 'x'\nmatch = { class = 'pay', tenant = 'dama' }",
    ),
    (Code::UnknownPool, 2, "[defaults]\npool = 'near'"),
    (Code::UnknownPool, 3, "[[pool]]\nname = 'p'\nfall_back = ['q']"),
    (Code::UnknownZone, 3, "[[pool]]\nname = 'p'\nzones = ['c']"),
    (Code::EmptyPool, 3, "[[pool]]\nname = 'p'\nzones = []"),
    (Code::EmptyPool, 3, "[[pool]]\nname = 'p'\nmodels = []"),
    (Code::EmptyPool, 3, "[[pool]]\nname = 'p'\nweight = { least = 2.0, most = 1.0 }"),
    (Code::FallBackCycle, 3, "[[pool]]\nname = 'p'\nfall_back = ['p']"),
    (Code::FallBackCycle, 3, "[[pool]]\nname = 'p'\nfall_back = ['q', 'q']\n[[pool]]\nname = 'q'"),
    (Code::TooManyAttempts, 2, "[defaults]\nattempts = 5"),
    (
        Code::HedgeNotAllowed,
        3,
        "[[route]]\nname = 'x'\nsecond_copy = { after = '50ms' }\nmatch = { class = 'read' }",
    ),
    (
        Code::HedgeUnsafe,
        3,
        "[[route]]\nname = 'x'\nsecond_copy = { after = '50ms' }\nmatch = { class = 'move' }",
    ),
    // Legal in the defaults, unsafe for a class that inherits it.
    (
        Code::HedgeUnsafe,
        2,
        "[defaults]\nsecond_copy = { after_quantile = 0.95 }\n[[route]]\nname = 'x'\nmatch = { class = 'move' }",
    ),
    (Code::HedgeWithoutRetry, 3, "[defaults]\nattempts = 1\nsecond_copy = { after = '50ms' }"),
    (Code::AttemptOverTimeout, 2, "[defaults]\nattempt_timeout = '400ms'\ntimeout = '300ms'"),
    (
        Code::AttemptOverTimeout,
        2,
        "[defaults]\nattempt_timeout = '400ms'\n[[route]]\nname = 'x'\ntimeout = '200ms'",
    ),
    (Code::TimeoutOverDeadline, 2, "[defaults]\ntimeout = '800ms'"),
    (
        Code::TimeoutOverDeadline,
        3,
        "[[route]]\nname = 'x'\nattempt_timeout = '741ms'\nmatch = { class = 'read' }",
    ),
    (Code::ConnectOverAttempt, 2, "[defaults]\nconnect_timeout = '50ms'\nattempt_timeout = '50ms'"),
    (
        Code::ConnectOverAttempt,
        5,
        "[[route]]\nname = 'x'\ntimeout = '90ms'\n[defaults]\nconnect_timeout = '100ms'",
    ),
    // With attempts of 200 ms and waits of 9 ms, the third attempt may be sent after 418 ms and the fourth after 627 ms.
    (
        Code::RetryAfterKeyExpiry,
        3,
        "[[route]]\nname = 'x'\nattempts = 4\nattempt_timeout = '200ms'\nmatch = { class = 'pay' }",
    ),
    (Code::RetryAfterKeyExpiry, 2, "[defaults]\nattempt_timeout = '300ms'"),
    (Code::EmptyBudget, 2, "[defaults]\nretry_budget = {}"),
    (Code::EmptyBudget, 2, "[defaults]\nretry_budget = { part = 0.0, least_per_s = 0 }"),
    (Code::ZeroLimit, 2, "[defaults]\nmax_in_hand = 0"),
    (Code::ZeroLimit, 2, "[defaults]\nmax_waiting = 0"),
];

#[test]
fn invalid_files_are_rejected_with_code_and_line() {
    assert!(INVALID.len() >= 60);
    for (code, line, text) in INVALID {
        let hedging = !matches!(code, Code::HedgeNotAllowed);
        let Checked { faults, rules } = check(text, &instance(hedging));
        assert!(rules.is_none(), "accepted: {text}");
        let found = faults.iter().any(|f| (f.code, f.line, f.severity) == (*code, *line, Severity::Error));
        assert!(found, "{code} at line {line} is not reported:\n{text}\n{faults:#?}");
        assert!(faults.iter().all(|f| f.column > 0 && !f.key.is_empty() && !f.reason.is_empty()));
    }
}

#[test]
fn all_faults_are_reported_and_warnings_do_not_reject() {
    let text =
        "[defaults]\nattempts = 9\ntimeout = 'x'\n[[route]]\nname = 'y'\nmatch = { class = 'z' }\nbogus = 1";
    let codes: Vec<Code> = check(text, &instance(false)).faults.iter().map(|f| f.code).collect();
    assert_eq!(
        codes,
        [
            Code::TooManyAttempts,
            Code::RetryAfterKeyExpiry,
            Code::InvalidDuration,
            Code::UnknownClass,
            Code::UnknownKey
        ]
    );
    let text = "[defaults]\nattempts = 1\nretry_budget = { part = 0.1 }\nmax_in_hand = 500\nmax_waiting = 600\n\
                [[pool]]\nname = 'p'\nleast_healthy = 0.5";
    let Checked { faults, rules } = check(text, &instance(false));
    let codes: Vec<Code> = faults.iter().map(|f| f.code).collect();
    let expected =
        [Code::UnusedBudget, Code::LimitOverInstance, Code::WaitingOverInHand, Code::UnusedLeastHealthy];
    assert_eq!(codes, expected);
    assert!(rules.is_some());
    // Without settings, only faults that need none are reported.
    assert_eq!(check_without_settings(text), [faults[3].clone()]);
    assert!(
        check("", &instance(false)).rules.is_some_and(|rules| **rules.default_rule() == Rule::unrestricted())
    );
}

#[test]
fn first_matching_route_applies_with_inherited_defaults() {
    let text = "[defaults]\nattempts = 1\n[[route]]\nname = 'venue'\nattempts = 2\n\
                match = { path = '/read/*/now', header = { X-Venue = 'lj' } }\n\
                [[route]]\nname = 'reads'\ntimeout = '300ms'\nmatch = { class = 'read' }";
    let Checked { faults, rules } = check(text, &instance(false));
    let rules = rules.unwrap_or_else(|| panic!("{faults:?}"));
    let find = |path: &str, class: u32, venue: Option<&'static str>| {
        let header = move |name: &str| venue.filter(|_| name == "x-venue");
        let request = RequestAttributes { path, method: "GET", class, tenant: 0, header: &header };
        let rule = rules.find(&request);
        (rule.name.clone(), rule.attempts, rule.line)
    };
    assert_eq!(find("/read/7/now", 0, Some("lj")), ("venue".into(), Some(2), Some(4)));
    assert_eq!(find("/read/7/now", 0, None), ("reads".into(), Some(1), Some(8)));
    assert_eq!(find("/read/7/then", 0, Some("lj")), ("reads".into(), Some(1), Some(8)));
    assert_eq!(find("/pay", 1, Some("lj")), ("default".into(), Some(1), None));
}

#[test]
fn example_file_in_deploy_is_valid() {
    assert_eq!(check_without_settings(include_str!("../../../deploy/limits.example.toml")), []);
}

/// Why a rule is unsafe for a class, if it is. Computed independently of the code under test.
fn unsafe_reason(rule: &Rule, class: usize, instance: &InstanceSettings) -> Option<String> {
    let limits = &instance.settings.limits;
    let settings = &instance.settings.classes[class];
    let timeout = rule.timeout.unwrap_or(settings.deadline);
    if timeout > settings.deadline || rule.attempt_timeout.is_some_and(|attempt| attempt > timeout) {
        return Some(format!("{rule:?} exceeds the deadline of {}", instance.classes[class]));
    }
    let attempts = rule.attempts.unwrap_or(limits.max_attempts);
    if attempts > limits.max_attempts {
        return Some("more attempts than allowed".into());
    }
    if rule.hedge_delay.is_some() && (!limits.hedging || settings.effect == Effect::Unsafe) {
        return Some("a hedged request of a class that must not run twice".into());
    }
    let narrows = rule.attempts.is_some() || rule.attempt_timeout.is_some() || rule.timeout.is_some();
    if let (Effect::Keyed { window, .. }, true) = (settings.effect, narrows) {
        // Simulates the sends of all attempts, with each attempt and wait at a part of its longest, until the timeout.
        let longest_us = rule.attempt_timeout.unwrap_or(timeout).0 + settings.aim.0 * 3 / 100;
        for part in 1..=50 {
            let sends = (1..u64::from(attempts)).map(|n| n * longest_us * part / 50);
            let last_send = sends.filter(|at| *at < timeout.0).max();
            if last_send.is_some_and(|last| last >= window.0) {
                return Some(format!("{rule:?}: a retry is sent after the key is forgotten"));
            }
        }
    }
    None
}

fn option() -> impl Strategy<Value = String> {
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

/// The text of options. TOML forbids duplicate keys, so only the last value of each key is kept.
fn options_text(options: &[String]) -> String {
    let key = |option: &str| option.split(' ').next().unwrap_or_default().to_owned();
    let is_last = |n: usize| options[n + 1..].iter().all(|later| key(later) != key(&options[n]));
    let kept = options.iter().enumerate().filter(|(n, _)| is_last(*n));
    kept.map(|(_, option)| format!("{option}\n")).collect()
}

fn file() -> impl Strategy<Value = String> {
    let class = prop_oneof![Just("read"), Just("pay"), Just("move"), Just("")];
    let options = || proptest::collection::vec(option(), 0..4);
    let route = (class, options()).prop_map(|(class, options)| (class.to_owned(), options));
    (options(), proptest::collection::vec(route, 0..4)).prop_map(|(defaults, routes)| {
        let mut file = format!("[defaults]\n{}", options_text(&defaults));
        for (n, (class, options)) in routes.iter().enumerate() {
            file += &format!("[[route]]\nname = 'r{n}'\n");
            if !class.is_empty() {
                file += &format!("match = {{ class = '{class}' }}\n");
            }
            file += &options_text(options);
        }
        file
    })
}

/// The rule that applies to a plain request of each class, with the number of the class.
fn rule_of_each_class(rules: &RuleSet, instance: &InstanceSettings) -> Vec<(usize, Rule)> {
    let rule_of = |class: usize| {
        let no_header = |_: &str| None;
        let path = format!("/{}", instance.classes[class]);
        let is_safe = instance.settings.classes[class].effect == Effect::Safe;
        let method = if is_safe { "GET" } else { "POST" };
        let request =
            RequestAttributes { path: &path, method, class: class as u32, tenant: 0, header: &no_header };
        (class, (**rules.find(&request)).clone())
    };
    (0..instance.classes.len()).map(rule_of).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn accepted_files_are_safe(text in file(), hedging: bool) {
        let instance = instance(hedging);
        if let Some(rules) = check(&text, &instance).rules {
            for (class, rule) in rule_of_each_class(&rules, &instance) {
                prop_assert_eq!(unsafe_reason(&rule, class, &instance), None, "{}", text);
            }
        }
    }

    #[test]
    fn arbitrary_text_is_parsed_without_panic(text in "[\\[\\]a-z_='\"{}0-9.,\\n ]{0,200}") {
        let Checked { faults, rules } = check(&text, &instance(true));
        prop_assert_eq!(rules.is_none(), faults.iter().any(|f| f.severity == Severity::Error));
    }
}

#[test]
fn oracle_rejects_unsafe_rules() {
    let instance = instance(true);
    let deadline = |class: usize| instance.settings.classes[class].deadline;
    let unsafe_rules: [(usize, Rule); 5] = [
        (0, Rule { timeout: Some(Span(deadline(0).0 + 1)), ..Rule::unrestricted() }),
        (0, Rule { attempts: Some(5), ..Rule::unrestricted() }),
        (2, Rule { hedge_delay: Some(HedgeDelay::Fixed(Span(1))), ..Rule::unrestricted() }),
        (1, Rule { attempts: Some(4), attempt_timeout: Some(Span(200_000)), ..Rule::unrestricted() }),
        (1, Rule { attempts: Some(2), attempt_timeout: Some(Span(600_000)), ..Rule::unrestricted() }),
    ];
    for (class, rule) in unsafe_rules {
        assert!(unsafe_reason(&rule, class, &instance).is_some(), "{rule:?}");
    }
}
