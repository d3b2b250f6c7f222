//! Tests of `presence.rs`.

use super::*;

#[test]
fn each_knows_of_the_other_for_as_long_as_it_lives() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let take = |name: &str| Presence::take(folder.path(), name);
    let first = take("n/0")?;
    let stranger = take("n1")?;
    assert!(!first.accompanied() && !stranger.accompanied());
    let second = take("n/0")?;
    assert!(first.accompanied() && second.accompanied() && !stranger.accompanied());
    drop(first);
    assert!(!second.accompanied(), "what the dead left behind is nobody");
    let third = take("n/0")?;
    assert!(second.accompanied() && third.accompanied());
    let _more = (take("n/0")?, take("n/0")?);
    assert!(take("n/0").is_err());
    assert!(Presence::take(&folder.path().join("none"), "n").is_err());
    Ok(())
}
