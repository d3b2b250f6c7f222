//! Validates the sections `[fleet]` and `[[duty]]` of the operator's file. Without `[fleet]` there is no fleet.

use crate::codes::Code;
use crate::file::{At, DutySection, Faults, File, format_duration};
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
    /// The path that is called each period; nothing for one without an effect of its own.
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

/// The default duration of a lease, and its bounds.
const LEASE: Span = Span(1_500_000);
const LEASES: (Span, Span) = (Span(100_000), Span(60_000_000));
/// The default tolerated clock drift, as a fraction.
const DRIFT: f64 = 0.01;
/// The longest name of a member or duty, in bytes: names must fit a datagram.
const NAME: usize = 64;

/// Validates the fleet and the duties of a file. Returns no fleet if the file has none, or its own address is invalid.
pub(crate) fn prove(file: &File, site: Option<&InstanceSettings>, faults: &mut Faults<'_>) -> Option<Fleet> {
    let Some(section) = &file.fleet else {
        if let Some(duty) = file.duties.first() {
            faults.error(
                Code::DutyAlone,
                &duty.name,
                "the file has no [fleet]",
                "add a [fleet] with its voters, or remove each [[duty]]",
            );
        }
        return None;
    };
    long(&section.name, faults);
    let lease = section.lease.as_ref().map_or(LEASE, |at| at.value);
    if let Some(at) = section.lease.as_ref().filter(|at| at.value < LEASES.0 || at.value > LEASES.1) {
        let allowed = format!("from {} to {}", format_duration(LEASES.0), format_duration(LEASES.1));
        faults.error(
            Code::Lease,
            at,
            format!("a lease of {} is out of range", format_duration(at.value)),
            allowed,
        );
    }
    let drift = section.drift.as_ref().map_or(DRIFT, |at| at.value);
    if let Some(at) = section.drift.as_ref().filter(|at| at.value > 0.25) {
        let reason = format!("a clock drift of {} leaves less than half of a lease", at.value);
        faults.error(Code::Lease, at, reason, "at most 0.25");
    }
    let listen = match &section.listen {
        Some(at) => address(at, faults),
        None => {
            let at = &section.name;
            faults.error(
                Code::Member,
                at,
                "the address of this member is missing",
                "listen = \"10.0.0.4:7400\"",
            );
            None
        }
    };
    let mut voters: Vec<Voter> = Vec::new();
    for (name, at) in &section.voters {
        long(name, faults);
        if !name.value.is_empty() && voters.iter().any(|other| other.name == name.value) {
            faults.error(
                Code::Voters,
                name,
                format!("voter '{}' is listed twice", name.value),
                "each voter once",
            );
        }
        match at {
            Some(at) => {
                voters.extend(address(at, faults).map(|address| Voter { name: name.value.clone(), address }))
            }
            None => faults.error(
                Code::Member,
                name,
                "the address of the voter is missing",
                "at = \"10.0.0.5:7400\"",
            ),
        }
    }
    if ![3, 5, 7].contains(&section.voters.len()) {
        let reason = format!("the fleet has {} voters", section.voters.len());
        faults.error(Code::Voters, &section.name, reason, "3, 5 or 7 sections [[fleet.voter]]");
    }
    let duties = file.duties.iter().enumerate().map(|(n, duty)| {
        let name = &duty.name;
        long(name, faults);
        if !name.value.is_empty() && file.duties[..n].iter().any(|other| other.name.value == name.value) {
            faults.error(
                Code::SameName,
                name,
                format!("an earlier duty has the name '{}'", name.value),
                "a unique name",
            );
        }
        let call = call(duty, lease, site, faults);
        Duty { name: name.value.clone(), call }
    });
    let duties = duties.collect();
    let drift_ppm = (drift * 1e6) as u64;
    Some(Fleet { name: section.name.value.clone(), listen: listen?, lease, drift_ppm, voters, duties })
}

/// Validates the call of a duty; `None` if the duty has no call or an incomplete one.
fn call(
    duty: &DutySection,
    lease: Span,
    site: Option<&InstanceSettings>,
    faults: &mut Faults<'_>,
) -> Option<Call> {
    let catch_up = match duty.missed.as_ref().map(|at| (at, at.value.as_str())) {
        None | Some((_, "tell")) => false,
        Some((_, "catch up")) => true,
        Some((at, other)) => {
            let reason = format!("'{other}' is not a way to treat missed periods");
            faults.error(Code::DutyCall, at, reason, "\"tell\" or \"catch up\"");
            false
        }
    };
    let (path, period) = match (&duty.path, &duty.period) {
        (Some(path), Some(period)) => (path, period),
        (None, None) => return None,
        (Some(_), None) | (None, Some(_)) => {
            let allowed = "both keys, or neither for a duty without a call";
            faults.error(Code::DutyCall, &duty.name, "a call needs both path and period", allowed);
            return None;
        }
    };
    // After a holder dies, the next one takes over within a lease plus the time to acquire it. In a shorter period there
    // could be no holder at all.
    let least = lease.times(2.0);
    if period.value < least {
        let reason = format!(
            "it can take up to {} until another member takes over from a dead holder",
            format_duration(least)
        );
        faults.error(Code::DutyCall, period, reason, format!("at least {}", format_duration(least)));
    }
    let first = path.value.strip_prefix('/').map(|rest| rest.split(['/', '?']).next().unwrap_or_default());
    let Some(first) = first else {
        faults.error(
            Code::DutyCall,
            path,
            format!("'{}' is not a path", path.value),
            "for example /settle/daily",
        );
        return None;
    };
    if let Some(site) = site {
        match site.classes.iter().position(|class| class == first) {
            None => {
                let reason = format!("the settings have no class '{first}'");
                faults.error(Code::UnknownClass, path, reason, format!("one of {}", site.classes.join(", ")));
            }
            Some(class) if site.settings.classes[class].effect == Effect::Safe => {
                let reason = format!(
                    "requests of class '{first}' may be repeated: the call of one period could run twice"
                );
                faults.error(
                    Code::DutyCall,
                    path,
                    reason,
                    "a class of which requests carry a key or must not run twice",
                );
            }
            Some(_) => {}
        }
    }
    Some(Call { path: path.value.clone(), period: period.value, catch_up })
}

fn long(name: &At<String>, faults: &mut Faults<'_>) {
    if name.value.len() > NAME {
        faults.error(
            Code::Member,
            name,
            format!("the name has {} bytes", name.value.len()),
            format!("at most {NAME} bytes"),
        );
    }
}

/// Parses the address of a member. Only loopback and private addresses are accepted, since members do not authenticate
/// each other.
fn address(at: &At<String>, faults: &mut Faults<'_>) -> Option<SocketAddr> {
    let read: Option<SocketAddr> = at.value.parse().ok();
    let Some(read) = read else {
        faults.error(
            Code::Member,
            at,
            format!("'{}' is not an address and port", at.value),
            "for example 10.0.0.4:7400",
        );
        return None;
    };
    let near = match read {
        SocketAddr::V4(read) => read.ip().is_loopback() || read.ip().is_private(),
        SocketAddr::V6(read) => read.ip().is_loopback() || read.ip().is_unique_local(),
    };
    if !near {
        let reason = format!(
            "'{read}' can be reached from other networks, and members do not authenticate each other"
        );
        faults.error(Code::Member, at, reason, "a loopback address or one of a private range");
        return None;
    }
    Some(read)
}
