//! Tests of `template.rs`.

use super::*;

const TEXT: &str = "a = { from = 1, to = 90 }\nb = [{ c = { from = \"1ms\", to = \"9s\" } }]\nd = { from = 0.0,\n to = 1 }\ne = 5\n";

/// A range added to a scenario once would have made every band of the gate another deployment's.
#[test]
fn a_seed_draws_each_range_by_its_key_alone_and_lines_keep_their_numbers() {
    let line = |text: &str, n: usize| text.lines().nth(n).unwrap().to_owned();
    let (short, long) =
        (Template::read(TEXT), Template::read(&format!("{TEXT}f = {{ from = 1, to = 9 }}\n")));
    let (short, long) = (short.unwrap(), long.unwrap());
    let mut seen = std::collections::BTreeSet::new();
    for seed in 0..50 {
        let drawn = short.sample(seed);
        assert_eq!(drawn, short.sample(seed));
        assert!(long.sample(seed).starts_with(&drawn));
        assert_eq!(line(&drawn, 4), "e = 5");
        let table: toml::Table = toml::from_str(&drawn).unwrap();
        let (a, d) = (table["a"].as_integer().unwrap(), table["d"].as_float().unwrap());
        let c = parse_duration(table["b"][0]["c"].as_str().unwrap()).unwrap();
        assert!((1..=90).contains(&a) && (0.0..=1.0).contains(&d) && (1000..=9_000_000).contains(&c.0));
        seen.insert(drawn);
    }
    assert!(seen.len() > 45, "seeds are different deployments");
    assert!(short.at_bound(false).starts_with("a = 1\nb = [{ c = \"1ms\" }]\nd = 0.0"));
    assert!(short.at_bound(true).starts_with("a = 90\nb = [{ c = \"9s\" }]\nd = 1.0"));
    assert_eq!(line_of(TEXT, "b[0].c"), Some(2));
    assert_eq!(line_of(TEXT, "e"), Some(5));
}
