//! Stage: what the operator's file says of the fleet and its duties, read and proved. Without `[fleet]` there is none of it.

use crate::codes::Code;
use crate::file::{At, DutySection, Faults, File, written};
use dunlincleat::api::{Effect, Span};
use dunlincleat_settings::Site;
use std::net::SocketAddr;

/// The fleet, proved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Its name.
    pub name: String,
    /// Where this member is heard.
    pub listen: SocketAddr,
    /// How long a lease is.
    pub lease: Span,
    /// By how many millionths clocks may run off.
    pub drift: u64,
    /// The voters, by name and address.
    pub voters: Vec<(String, SocketAddr)>,
    /// What is to be done by one member alone.
    pub duties: Vec<Duty>,
}

/// A duty, proved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Duty {
    /// Its name.
    pub name: String,
    /// The path that is called each period; nothing for one without an effect of its own.
    pub call: Option<Call>,
}

/// A call on a schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The path.
    pub path: String,
    /// How often.
    pub period: Span,
    /// Missed periods are run late; else they are told.
    pub catch_up: bool,
}

/// The lease where none is told, and its bounds.
const LEASE: Span = Span(1_500_000);
const LEASES: (Span, Span) = (Span(100_000), Span(60_000_000));
/// The drift where none is told.
const DRIFT: f64 = 0.01;
/// The longest name, in bytes: a datagram holds a bounded number of them.
const NAME: usize = 64;

/// Proves what the file says of the fleet.
pub(crate) fn prove(file: &File, site: Option<&Site>, faults: &mut Faults<'_>) -> Option<Fleet> {
    let Some(section) = &file.fleet else {
        if let Some(duty) = file.duties.first() {
            faults.error(
                Code::DutyAlone,
                &duty.name,
                "the file has no [fleet]",
                "a [fleet] with its voters, or no [[duty]]",
            );
        }
        return None;
    };
    long(&section.name, faults);
    let lease = section.lease.as_ref().map_or(LEASE, |at| at.value);
    if let Some(at) = section.lease.as_ref().filter(|at| at.value < LEASES.0 || at.value > LEASES.1) {
        let allowed = format!("from {} to {}", written(LEASES.0), written(LEASES.1));
        faults.error(Code::Lease, at, format!("{} is no lease", written(at.value)), allowed);
    }
    let drift = section.drift.as_ref().map_or(DRIFT, |at| at.value);
    if let Some(at) = section.drift.as_ref().filter(|at| at.value > 0.25) {
        let reason = format!("clocks that run off by {} leave less than half of a lease", at.value);
        faults.error(Code::Lease, at, reason, "at most 0.25");
    }
    let listen = match &section.listen {
        Some(at) => address(at, faults),
        None => {
            let at = &section.name;
            faults.error(
                Code::Member,
                at,
                "it does not say where members are heard",
                "listen = \"10.0.0.4:7400\"",
            );
            None
        }
    };
    let mut voters: Vec<(String, SocketAddr)> = Vec::new();
    for (name, at) in &section.voters {
        long(name, faults);
        if !name.value.is_empty() && voters.iter().any(|(other, _)| *other == name.value) {
            faults.error(
                Code::Voters,
                name,
                format!("voter '{}' is listed twice", name.value),
                "each voter once",
            );
        }
        match at {
            Some(at) => voters.extend(address(at, faults).map(|at| (name.value.clone(), at))),
            None => faults.error(
                Code::Member,
                name,
                "it does not say where it is reached",
                "at = \"10.0.0.5:7400\"",
            ),
        }
    }
    if ![3, 5, 7].contains(&section.voters.len()) {
        let reason = format!("{} voters are named", section.voters.len());
        faults.error(Code::Voters, &section.name, reason, "3, 5 or 7 [[fleet.voter]]");
    }
    let duties = file.duties.iter().enumerate().map(|(n, duty)| {
        let name = &duty.name;
        long(name, faults);
        if !name.value.is_empty() && file.duties[..n].iter().any(|other| other.name.value == name.value) {
            faults.error(
                Code::SameName,
                name,
                format!("a duty '{}' stands above", name.value),
                "a name of its own",
            );
        }
        let call = call(duty, lease, site, faults);
        Duty { name: name.value.clone(), call }
    });
    let duties = duties.collect();
    let drift = (drift * 1e6) as u64;
    Some(Fleet { name: section.name.value.clone(), listen: listen?, lease, drift, voters, duties })
}

/// A call of a duty, where it is one.
fn call(duty: &DutySection, lease: Span, site: Option<&Site>, faults: &mut Faults<'_>) -> Option<Call> {
    let catch_up = match duty.missed.as_ref().map(|at| (at, at.value.as_str())) {
        None | Some((_, "tell")) => false,
        Some((_, "catch up")) => true,
        Some((at, other)) => {
            let reason = format!("'{other}' is nothing that can be done with a missed period");
            faults.error(Code::DutyCall, at, reason, "\"tell\" or \"catch up\"");
            false
        }
    };
    let (path, period) = match (&duty.path, &duty.period) {
        (Some(path), Some(period)) => (path, period),
        (None, None) => return None,
        (Some(_), None) | (None, Some(_)) => {
            let allowed = "both path and period, or neither for a duty without a call";
            faults.error(Code::DutyCall, &duty.name, "a call has a path and a period", allowed);
            return None;
        }
    };
    // A holder that dies is followed within a lease and what asking takes: a shorter period would pass without anyone.
    let least = lease.times(2.0);
    if period.value < least {
        let reason =
            format!("after a holder's death the next comes in only after {} at the most", written(least));
        faults.error(Code::DutyCall, period, reason, format!("at least {}", written(least)));
    }
    let first = path.value.strip_prefix('/').map(|rest| rest.split(['/', '?']).next().unwrap_or_default());
    let Some(first) = first else {
        faults.error(Code::DutyCall, path, format!("'{}' is no path", path.value), "as /settle/daily");
        return None;
    };
    if let Some(site) = site {
        match site.classes.iter().position(|class| class == first) {
            None => {
                let reason = format!("no class '{first}' is in the settings");
                faults.error(Code::UnknownClass, path, reason, format!("one of {}", site.classes.join(", ")));
            }
            Some(class) if site.settings.classes[class].effect == Effect::Safe => {
                let reason =
                    format!("class '{first}' may be repeated: one period could have its effect twice");
                faults.error(Code::DutyCall, path, reason, "a class that is keyed or must not run twice");
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
            format!("at most {NAME}"),
        );
    }
}

/// An address of loopback or of a private range: members prove to nobody who they are.
fn address(at: &At<String>, faults: &mut Faults<'_>) -> Option<SocketAddr> {
    let read: Option<SocketAddr> = at.value.parse().ok();
    let Some(read) = read else {
        faults.error(Code::Member, at, format!("'{}' is no address and port", at.value), "as 10.0.0.4:7400");
        return None;
    };
    let near = match read {
        SocketAddr::V4(read) => read.ip().is_loopback() || read.ip().is_private(),
        SocketAddr::V6(read) => read.ip().is_loopback() || read.ip().is_unique_local(),
    };
    if !near {
        let reason = format!("'{read}' can be reached from outside, and members have no keys yet");
        faults.error(Code::Member, at, reason, "an address of loopback or of a private range");
        return None;
    }
    Some(read)
}
