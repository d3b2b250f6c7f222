//! Injected faults that the tests must detect, shared by member and voter.

/// An injected fault. A test suite that passes with one of them does not check the property it breaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The holder counts its lease from the last grant instead of from the request.
    LeaseFromAnswer,
    /// A voter that lost its memory votes without waiting.
    VotesAtOnce,
    /// A majority of the voters that answered suffices, instead of a majority of all voters.
    MajorityOfTheLiving,
    /// A holder releases its lease but goes on as holder.
    ReleaseWithoutStopping,
    /// A period that the previous holder started is run again.
    PeriodAgain,
    /// A candidate chooses its fence without regard to earlier fences.
    FenceAnew,
}
