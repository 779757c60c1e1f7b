//! Points in the history of the store.

use std::fmt;

/// A point in the history of the store.
///
/// A store that returns from a copy begins a new era: it has lost the end of its history, and gives
/// out the numbers of that part again. So numbers are only compared within an era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Revision {
    /// Rises by one each time the store returns from a copy; 0 if the store names none.
    pub era: u64,
    /// The store's count of changes.
    pub number: u64,
}

impl Revision {
    /// Before any change.
    pub const ZERO: Revision = Revision { era: 0, number: 0 };

    /// Creates the revision `number` of `era`.
    pub const fn new(era: u64, number: u64) -> Revision {
        Revision { era, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
