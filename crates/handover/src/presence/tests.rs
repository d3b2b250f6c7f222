//! Tests of `presence.rs`.

use super::*;

#[test]
fn each_knows_of_the_other_for_as_long_as_it_lives() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let take = |name: &str| Presence::acquire(folder.path(), name);
    let first = take("n/0")?;
    let stranger = take("n1")?;
    assert!(!first.has_peer() && !stranger.has_peer());
    let second = take("n/0")?;
    assert!(first.has_peer() && second.has_peer() && !stranger.has_peer());
    drop(first);
    assert!(!second.has_peer(), "what the dead left behind is nobody");
    let third = take("n/0")?;
    assert!(second.has_peer() && third.has_peer());
    let _more = (take("n/0")?, take("n/0")?);
    assert!(take("n/0").is_err());
    assert!(Presence::acquire(&folder.path().join("none"), "n").is_err());
    Ok(())
}
