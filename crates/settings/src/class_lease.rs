//! Leases of class numbers. A request holds a lease of its class, so that the number belongs to that class until the
//! request has ended, however long that takes.

use std::sync::Arc;

/// The number of a class, held by a request. While a lease exists, [`transition`](crate::transition) gives its number to
/// no other class.
#[derive(Clone, Debug, Default)]
pub struct ClassLease {
    number: u32,
    _token: Arc<()>,
}

impl ClassLease {
    /// A lease in a process whose classes never change.
    #[must_use]
    pub fn fixed(number: u32) -> ClassLease {
        ClassLease { number, _token: Arc::default() }
    }

    /// The number of the class.
    #[must_use]
    pub fn number(&self) -> u32 {
        self.number
    }
}

/// Issues the leases of one class. All settings that contain the class share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassLeases(Arc<LeaseToken>);

/// Leases share the inner `Arc` alone, so that the settings that share the outer one do not count as leases.
#[derive(Debug, Default)]
struct LeaseToken(Arc<()>);

impl ClassLeases {
    pub(crate) fn issue(&self, number: u32) -> ClassLease {
        ClassLease { number, _token: self.0.0.clone() }
    }

    /// Whether any lease exists.
    pub(crate) fn any_held(&self) -> bool {
        Arc::strong_count(&self.0.0) > 1
    }
}
