//! Faults that the tests must find, in a file of their own: machine and voter both ask.

/// Faults that the tests must find.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Fault {
    /// None.
    #[default]
    None,
    /// The lease is counted from its answers.
    LeaseFromAnswer,
    /// A voter that lost its memory votes at once.
    VotesAtOnce,
    /// A majority of those that answered is enough.
    MajorityOfTheLiving,
    /// A holder lets go without stopping.
    ReleaseWithoutStopping,
    /// A period that the one before began is run again.
    PeriodAgain,
    /// A fence is drawn without regard to those before.
    FenceAnew,
}
