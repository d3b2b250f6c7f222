//! Checks of names that several sections share.

use crate::codes::Code;
use crate::fault::Faults;
use crate::file::Located;
use dunlincleat_settings::InstanceSettings;

/// Reports a name that an earlier section of the same kind has. A missing name was already reported as such.
pub(crate) fn check_unique<'a>(
    kind: &str,
    name: &Located<String>,
    mut earlier: impl Iterator<Item = &'a Located<String>>,
    faults: &mut Faults<'_>,
) {
    if !name.value.is_empty() && earlier.any(|other| other.value == name.value) {
        let reason = format!("an earlier {kind} has the name '{}'", name.value);
        faults.error(Code::DuplicateName, name, reason, "a unique name");
    }
}

/// Reports a class that the settings lack, at the value that names it.
pub(crate) fn report_unknown_class(
    at: &Located<String>,
    class: &str,
    instance: &InstanceSettings,
    faults: &mut Faults<'_>,
) {
    let reason = format!("the settings have no class '{class}'");
    let allowed = format!("one of {}", instance.classes.join(", "));
    faults.error(Code::UnknownClass, at, reason, allowed);
}
