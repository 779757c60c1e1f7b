//! Why a call to the store failed.

use std::fmt;

/// A failed call, with a numbered result code.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store could not be reached; the call had no effect.
    Unreachable(String),
    /// The store did not respond; a write may or may not have taken effect.
    NoAnswer(String),
    /// The response violates the store's interface.
    Protocol(String),
    /// The store rejected the call, with this status code, and did nothing.
    Refused(u16),
    /// The store no longer has the requested history of changes.
    HistoryLost,
    /// The store answered from an earlier era than it did before.
    EarlierEra {
        /// The era of the answer; 0 if it named none.
        era: u64,
        /// The latest era that is known.
        known_era: u64,
    },
}

impl StoreError {
    /// The stable result code of this error.
    pub fn code(&self) -> u16 {
        match self {
            StoreError::Unreachable(_) => 201,
            StoreError::NoAnswer(_) => 202,
            StoreError::Protocol(_) => 203,
            StoreError::Refused(_) => 204,
            StoreError::HistoryLost => 205,
            StoreError::EarlierEra { .. } => 206,
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let code = self.code();
        match self {
            StoreError::Unreachable(cause) => write!(f, "{code}: store unreachable: {cause}"),
            StoreError::NoAnswer(cause) => write!(f, "{code}: store did not answer: {cause}"),
            StoreError::Protocol(cause) => write!(f, "{code}: unexpected answer: {cause}"),
            StoreError::Refused(status) => write!(f, "{code}: refused with status {status}"),
            StoreError::HistoryLost => write!(f, "{code}: the history was discarded"),
            StoreError::EarlierEra { era, known_era } => {
                write!(f, "{code}: the answer is from era {era}, before era {known_era}")
            }
        }
    }
}

impl std::error::Error for StoreError {}
