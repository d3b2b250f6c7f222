//! Validates the sections `[fleet]` and `[[duty]]` of the operator's file. Without `[fleet]` there is no fleet.

use crate::codes::Code;
use crate::duration::format_duration;
use crate::fault::Faults;
use crate::file::{DutySection, FleetSection, LimitsFile, Located, VoterSection};
use crate::names::{check_unique, report_unknown_class};
use dunlincleat::api::{Effect, Span};
use dunlincleat_settings::InstanceSettings;
use std::net::SocketAddr;

/// A validated fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Its name.
    pub name: String,
    /// The address on which this member receives datagrams.
    pub listen: SocketAddr,
    /// The duration of a lease.
    pub lease: Span,
    /// The highest tolerated clock drift, in millionths.
    pub drift_ppm: u64,
    /// The voters.
    pub voters: Vec<Voter>,
    /// The duties, each performed by one member at a time.
    pub duties: Vec<Duty>,
}

/// A member that votes on leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    /// Its name.
    pub name: String,
    /// The address on which it receives datagrams.
    pub address: SocketAddr,
}

/// A validated duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Duty {
    /// Its name.
    pub name: String,
    /// The call that the holder makes in each period; `None` for a duty that is only held.
    pub call: Option<Call>,
}

/// A periodic call that the holder of a duty makes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The path that is called.
    pub path: String,
    /// The time from one call to the next.
    pub period: Span,
    /// Whether calls of missed periods are made late; otherwise missed periods are only reported.
    pub catch_up: bool,
}

const DEFAULT_LEASE: Span = Span(1_500_000);
const MIN_LEASE: Span = Span(100_000);
const MAX_LEASE: Span = Span(60_000_000);
/// The default tolerated clock drift, as a fraction.
const DEFAULT_DRIFT: f64 = 0.01;
/// The highest tolerated clock drift, as a fraction: more leaves less than half of a lease.
const MAX_DRIFT: f64 = 0.25;
/// The longest name of a member or duty, in bytes: names must fit a datagram.
const MAX_NAME_BYTES: usize = 64;
/// The numbers of voters that a fleet may have. Even numbers tolerate no more failures than one voter fewer.
const VOTER_COUNTS: [usize; 3] = [3, 5, 7];
/// The shortest period of a call, in leases: after a holder dies, the next one takes over within a lease plus the time to
/// acquire it. In a shorter period there could be no holder at all.
const MIN_PERIOD_LEASES: f64 = 2.0;

/// Validates the fleet and the duties of a file. Returns no fleet if the file has none, or its own address is invalid.
pub(crate) fn validate(
    file: &LimitsFile,
    instance: Option<&InstanceSettings>,
    faults: &mut Faults<'_>,
) -> Option<Fleet> {
    let Some(section) = &file.fleet else {
        report_duty_without_fleet(file, faults);
        return None;
    };
    check_name_length(&section.name, faults);
    let lease = lease(section, faults);
    let drift_ppm = drift_ppm(section, faults);
    let listen = listen_address(section, faults);
    let voters = voters(section, faults);
    let duties = duties(&file.duties, lease, instance, faults);
    Some(Fleet { name: section.name.value.clone(), listen: listen?, lease, drift_ppm, voters, duties })
}

fn report_duty_without_fleet(file: &LimitsFile, faults: &mut Faults<'_>) {
    if let Some(duty) = file.duties.first() {
        let allowed = "add a [fleet] with its voters, or remove each [[duty]]";
        faults.error(Code::DutyWithoutFleet, &duty.name, "the file has no [fleet]", allowed);
    }
}

fn check_name_length(name: &Located<String>, faults: &mut Faults<'_>) {
    let length = name.value.len();
    if length > MAX_NAME_BYTES {
        let reason = format!("the name has {length} bytes");
        faults.error(Code::InvalidMember, name, reason, format!("at most {MAX_NAME_BYTES} bytes"));
    }
}

fn lease(section: &FleetSection, faults: &mut Faults<'_>) -> Span {
    let Some(lease) = &section.lease else { return DEFAULT_LEASE };
    if !(MIN_LEASE..=MAX_LEASE).contains(&lease.value) {
        let reason = format!("a lease of {} is out of range", format_duration(lease.value));
        let allowed = format!("from {} to {}", format_duration(MIN_LEASE), format_duration(MAX_LEASE));
        faults.error(Code::InvalidLease, lease, reason, allowed);
    }
    lease.value
}

fn drift_ppm(section: &FleetSection, faults: &mut Faults<'_>) -> u64 {
    let drift = section.drift.as_ref().map_or(DEFAULT_DRIFT, |at| at.value);
    if let Some(at) = &section.drift
        && drift > MAX_DRIFT
    {
        let reason = format!("a clock drift of {drift} leaves less than half of a lease");
        faults.error(Code::InvalidLease, at, reason, format!("at most {MAX_DRIFT}"));
    }
    (drift * 1e6) as u64
}

fn listen_address(section: &FleetSection, faults: &mut Faults<'_>) -> Option<SocketAddr> {
    let Some(listen) = &section.listen else {
        let reason = "the address of this member is missing";
        faults.error(Code::InvalidMember, &section.name, reason, "listen = \"10.0.0.4:7400\"");
        return None;
    };
    member_address(listen, faults)
}

/// Validates the voters. A voter without a valid address is left out of the result.
fn voters(section: &FleetSection, faults: &mut Faults<'_>) -> Vec<Voter> {
    let mut voters: Vec<Voter> = Vec::new();
    for VoterSection { name, address } in &section.voters {
        check_name_length(name, faults);
        if !name.value.is_empty() && voters.iter().any(|other| other.name == name.value) {
            let reason = format!("voter '{}' is listed twice", name.value);
            faults.error(Code::InvalidVoters, name, reason, "each voter once");
        }
        let Some(address) = address else {
            let reason = "the address of the voter is missing";
            faults.error(Code::InvalidMember, name, reason, "at = \"10.0.0.5:7400\"");
            continue;
        };
        if let Some(address) = member_address(address, faults) {
            voters.push(Voter { name: name.value.clone(), address });
        }
    }
    let count = section.voters.len();
    if !VOTER_COUNTS.contains(&count) {
        let reason = format!("the fleet has {count} voters");
        faults.error(Code::InvalidVoters, &section.name, reason, "3, 5 or 7 sections [[fleet.voter]]");
    }
    voters
}

/// Parses the address of a member. Only loopback and private addresses are accepted, since members do not authenticate
/// each other.
fn member_address(at: &Located<String>, faults: &mut Faults<'_>) -> Option<SocketAddr> {
    let Ok(address) = at.value.parse::<SocketAddr>() else {
        let reason = format!("'{}' is not an address and port", at.value);
        faults.error(Code::InvalidMember, at, reason, "for example 10.0.0.4:7400");
        return None;
    };
    let is_local = match address {
        SocketAddr::V4(address) => address.ip().is_loopback() || address.ip().is_private(),
        SocketAddr::V6(address) => address.ip().is_loopback() || address.ip().is_unique_local(),
    };
    if !is_local {
        let reason = format!(
            "'{address}' can be reached from other networks, and members do not authenticate each other"
        );
        faults.error(Code::InvalidMember, at, reason, "a loopback address or one of a private range");
        return None;
    }
    Some(address)
}

fn duties(
    sections: &[DutySection],
    lease: Span,
    instance: Option<&InstanceSettings>,
    faults: &mut Faults<'_>,
) -> Vec<Duty> {
    let mut duties = Vec::new();
    for (n, section) in sections.iter().enumerate() {
        let name = &section.name;
        check_name_length(name, faults);
        check_unique("duty", name, sections[..n].iter().map(|other| &other.name), faults);
        let call = call(section, lease, instance, faults);
        duties.push(Duty { name: name.value.clone(), call });
    }
    duties
}

/// Validates the call of a duty; `None` if the duty has no call or an incomplete one.
fn call(
    duty: &DutySection,
    lease: Span,
    instance: Option<&InstanceSettings>,
    faults: &mut Faults<'_>,
) -> Option<Call> {
    let catch_up = catches_up(duty, faults);
    let (path, period) = match (&duty.path, &duty.period) {
        (Some(path), Some(period)) => (path, period),
        (None, None) => return None,
        (Some(_), None) | (None, Some(_)) => {
            let reason = "a call needs both path and period";
            let allowed = "both keys, or neither for a duty without a call";
            faults.error(Code::InvalidDutyCall, &duty.name, reason, allowed);
            return None;
        }
    };
    check_period(period, lease, faults);
    check_path(path, instance, faults)?;
    Some(Call { path: path.value.clone(), period: period.value, catch_up })
}

/// Whether calls of missed periods are made late.
fn catches_up(duty: &DutySection, faults: &mut Faults<'_>) -> bool {
    let Some(missed) = &duty.missed else { return false };
    match missed.value.as_str() {
        "tell" => false,
        "catch up" => true,
        other => {
            let reason = format!("'{other}' is not a way to treat missed periods");
            faults.error(Code::InvalidDutyCall, missed, reason, "\"tell\" or \"catch up\"");
            false
        }
    }
}

fn check_period(period: &Located<Span>, lease: Span, faults: &mut Faults<'_>) {
    let shortest = lease.times(MIN_PERIOD_LEASES);
    if period.value < shortest {
        let shortest = format_duration(shortest);
        let reason =
            format!("it can take up to {shortest} until another member takes over from a dead holder");
        faults.error(Code::InvalidDutyCall, period, reason, format!("at least {shortest}"));
    }
}

/// Validates the path of a call; `None` if it is not a path at all.
fn check_path(
    path: &Located<String>,
    instance: Option<&InstanceSettings>,
    faults: &mut Faults<'_>,
) -> Option<()> {
    let Some(relative) = path.value.strip_prefix('/') else {
        let reason = format!("'{}' is not a path", path.value);
        faults.error(Code::InvalidDutyCall, path, reason, "for example /settle/daily");
        return None;
    };
    if let Some(instance) = instance {
        let class = relative.split(['/', '?']).next().unwrap_or_default();
        check_class(path, class, instance, faults);
    }
    Some(())
}

/// Validates the class of a call, which is the first segment of its path.
fn check_class(path: &Located<String>, class: &str, instance: &InstanceSettings, faults: &mut Faults<'_>) {
    let Some(number) = instance.classes.iter().position(|name| name == class) else {
        report_unknown_class(path, class, instance, faults);
        return;
    };
    if instance.settings.classes[number].effect == Effect::Safe {
        let reason =
            format!("requests of class '{class}' may be repeated: the call of one period could run twice");
        let allowed = "a class of which requests carry a key or must not run twice";
        faults.error(Code::InvalidDutyCall, path, reason, allowed);
    }
}
