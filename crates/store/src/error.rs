//! Why a call to the store failed.

use std::fmt;

/// A failed call, with a numbered result code.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store could not be reached; the call had no effect.
    Unreachable(String),
    /// The store did not answer; a write may or may not have taken effect.
    NoAnswer(String),
    /// The store answered something that the interface does not allow.
    Protocol(String),
    /// The store turned the call away without doing anything; the status code.
    Refused(u16),
    /// The store no longer has the history that was asked for.
    HistoryLost,
}

impl StoreError {
    /// The stable number of this error.
    pub fn code(&self) -> u16 {
        match self {
            StoreError::Unreachable(_) => 201,
            StoreError::NoAnswer(_) => 202,
            StoreError::Protocol(_) => 203,
            StoreError::Refused(_) => 204,
            StoreError::HistoryLost => 205,
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
        }
    }
}

impl std::error::Error for StoreError {}
