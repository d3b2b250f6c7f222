//! The codes of the faults that an operator's file may have. A code never changes its meaning, and the code of a fault that
//! is no longer reported is not reused.

macro_rules! codes {
    ($($name:ident $code:literal $title:literal $explain:literal;)*) => {
        /// A kind of fault in an operator's file.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Code {
            $(#[doc = $title] $name,)*
        }

        impl Code {
            /// All codes, in ascending order.
            pub const ALL: &[Code] = &[$(Code::$name,)*];

            /// The stable name, such as `DL033`.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Code::$name => $code,)* }
            }

            /// A short description of the fault.
            #[must_use]
            pub fn title(self) -> &'static str {
                match self { $(Code::$name => $title,)* }
            }

            /// Why the file is rejected or what has no effect, and how to fix it.
            #[must_use]
            pub fn explain(self) -> &'static str {
                match self { $(Code::$name => $explain,)* }
            }
        }
    };
}

codes! {
    Syntax "DL001" "not TOML"
        "The file can't be parsed as TOML. Every place that can't be parsed is reported; other faults may show once these are fixed.";
    UnknownKey "DL002" "unknown key"
        "The key is not known here. An ignored key would be a limit that silently has no effect.";
    WrongType "DL003" "value of the wrong type"
        "The value does not have the type that the key takes.";
    InvalidDuration "DL004" "not a duration"
        "A duration is a string with a unit, such as \"250us\", \"80ms\", \"1.5s\" or \"2min\"; it is at least 1 us and at most one day.";
    OutOfRange "DL005" "number out of range"
        "The number is outside the range that the key takes.";
    UnsupportedVersion "DL006" "unknown version of the format"
        "This program reads version 1 of the format. A file without a version is read as version 1.";
    MissingName "DL007" "missing name"
        "Routes, pools, the fleet, voters and duties have names. Budgets and counts of a route are kept under its name over a reload, and the log mentions it.";
    DuplicateName "DL008" "duplicate name"
        "Two routes, two pools or two duties with one name would share the state that is kept under it.";
    UnknownClass "DL010" "unknown class"
        "The settings have no class of this name, so the route could never match.";
    UnknownTenant "DL011" "unknown tenant"
        "The settings have no tenant of this name, so the route could never match.";
    InvalidMethod "DL012" "method that no class of the route uses"
        "Requests of classes that are safe to repeat use GET, those of all others POST. A route for another method could never match.";
    InvalidPath "DL013" "not a path pattern"
        "A path pattern begins with '/'. A '*' matches exactly one segment, and '**', at the end only, any number of segments.";
    InvalidHeader "DL014" "not a header name"
        "A header name consists of letters, digits, '-' and '_'.";
    UnreachableRoute "DL015" "unreachable route"
        "An earlier route matches every request that this one matches, so this one has no effect. Put the narrower route first.";
    UnknownPool "DL016" "unknown pool"
        "The file has no pool of this name.";
    UnknownZone "DL017" "unknown zone"
        "The settings have no zone of this name, so the pool would select no server there.";
    EmptyPool "DL018" "pool that selects no server"
        "A selector that is empty, or of which least is greater than most, selects no server.";
    FallBackCycle "DL019" "fall-back cycle"
        "Falling back must terminate. The fall_back list of a pool names each other pool at most once, and not the pool itself.";
    TooManyAttempts "DL020" "too many attempts"
        "The settings bound the attempts of a request. A file may only lower that bound.";
    HedgeNotAllowed "DL021" "hedged request not allowed"
        "The settings do not allow two attempts of one request at the same time, so second_copy can't be used.";
    HedgeUnsafe "DL022" "hedged request of a class that must not run twice"
        "A request of this class must never run twice. While one attempt is in flight, it may be running.";
    HedgeWithoutRetry "DL023" "hedged request without a second attempt"
        "A hedge is an attempt. With one attempt in all, none is left for it.";
    HedgeTooLate "DL024" "hedged request that is never sent"
        "The hedge would be sent no earlier than the first attempt times out.";
    AttemptOverTimeout "DL030" "attempt timeout longer than the timeout"
        "One attempt may take no longer than all attempts together.";
    TimeoutOverDeadline "DL031" "timeout longer than the deadline"
        "The client waits no longer than the deadline of its class. Nobody receives a later reply, and work for it is wasted.";
    ConnectOverAttempt "DL032" "connect timeout as long as the attempt"
        "If connecting takes as long as the attempt may, no time is left to send the request.";
    RetryAfterKeyExpiry "DL033" "retry after the key is forgotten"
        "Servers drop duplicates of a key for a stated window, counted from the first send that may have run. With all earlier attempts and the waits between them at their longest, the last retry could be sent after that window and would run the request a second time.";
    AttemptTooLate "DL035" "attempts that can't begin"
        "With all earlier attempts at their longest, the last one would begin only after the timeout of the whole request.";
    EmptyBudget "DL040" "retry budget that allows nothing"
        "Neither a part of the traffic nor a least rate is given, so no retry is ever allowed. Set attempts to 1 if that is intended.";
    UnusedBudget "DL041" "retry budget without retries"
        "With one attempt there are no retries for the budget to limit.";
    ZeroLimit "DL042" "limit that admits nothing"
        "A limit of zero refuses every request of the route.";
    WaitingOverInHand "DL043" "more waiting than in hand"
        "Waiting requests count as in hand, so max_waiting above max_in_hand has no effect.";
    LimitOverInstance "DL044" "limit above that of the instance"
        "The instance itself admits fewer requests at a time than the limit, so it has no effect.";
    UnusedLeastHealthy "DL045" "least_healthy without fall_back"
        "The pool has no other pool to fall back to, so least_healthy has no effect.";
    NeverMatches "DL046" "route that no request can match"
        "The conditions of the route exclude each other, such as the path of one class and the name of another.";
    DutyWithoutFleet "DL050" "duty without a fleet"
        "A duty is performed by one member of a fleet at a time, which a majority of voters has granted a lease. Without [fleet] there are no voters to ask.";
    InvalidVoters "DL051" "invalid set of voters"
        "A lease is granted by a majority of 3, 5 or 7 voters. With fewer than three, no voter may fail; an even number tolerates no more failures than one voter fewer; a voter that is listed twice would vote twice.";
    InvalidLease "DL052" "invalid lease"
        "To allow for clock drift, the holder counts its lease shorter and the voters count it longer. The remainder must be useful, and long enough for some round trips.";
    InvalidMember "DL053" "invalid name or address of a member"
        "Members identify themselves by name alone, without keys. Therefore only addresses of the loopback and private ranges are accepted, and the length of names is limited, since they must fit a datagram.";
    InvalidDutyCall "DL054" "call that can't be made once per period"
        "The holder makes the call once in each period, also while the duty moves to another holder. That needs a path of a class that is not freely repeated, and periods longer than it takes the next holder to take over.";
}

impl Code {
    /// Finds a code by its name, in either case.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Code> {
        Code::ALL.iter().copied().find(|code| code.name().eq_ignore_ascii_case(name))
    }
}

impl std::fmt::Display for Code {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}
