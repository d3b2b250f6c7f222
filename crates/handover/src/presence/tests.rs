//! Tests of `presence.rs`.

use super::*;

#[test]
fn processes_of_the_same_name_see_each_other_while_they_run() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let acquire = |name: &str| Presence::acquire(folder.path(), name);
    let first = acquire("n/0")?;
    let unrelated = acquire("n1")?;
    assert!(!first.has_peer() && !unrelated.has_peer());
    let second = acquire("n/0")?;
    assert!(first.has_peer() && second.has_peer() && !unrelated.has_peer());
    drop(first);
    assert!(!second.has_peer(), "the file that a terminated process left is ignored");
    let third = acquire("n/0")?;
    assert!(second.has_peer() && third.has_peer());
    let _more = (acquire("n/0")?, acquire("n/0")?);
    assert!(acquire("n/0").is_err());
    assert!(Presence::acquire(&folder.path().join("none"), "n").is_err());
    Ok(())
}
