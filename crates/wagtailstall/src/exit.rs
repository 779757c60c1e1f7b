//! Command failures and their exit codes.

use std::process::ExitCode;

use settings::Fault;
use store::{Rejection, StoreError};

/// The result of a command.
pub(crate) type Outcome = Result<(), Failure>;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// A settings tree, or a path into it, has faults.
    InvalidSettings(Vec<Fault>),
    /// The edit was rejected, or the store failed.
    Rejected(Rejection),
    /// Any other error.
    Other(eyre::Report),
}

impl From<eyre::Report> for Failure {
    fn from(report: eyre::Report) -> Failure {
        Failure::Other(report)
    }
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Failure {
        Failure::Rejected(Rejection::Store(error))
    }
}

impl Failure {
    /// Prints the failure to stderr and returns the exit code.
    pub(crate) fn report(&self) -> ExitCode {
        match self {
            Failure::InvalidSettings(faults) => {
                for fault in faults {
                    eprintln!("error {fault}");
                }
                eprintln!("{} faults; nothing was written", faults.len());
            }
            Failure::Rejected(rejection) => eprintln!("error {rejection}"),
            Failure::Other(report) => eprintln!("error {report:#}"),
        }
        ExitCode::from(self.code())
    }

    fn code(&self) -> u8 {
        match self {
            Failure::InvalidSettings(_) | Failure::Rejected(Rejection::InvalidSettings(_)) => 3,
            Failure::Rejected(Rejection::Conflict { .. }) => 4,
            Failure::Rejected(Rejection::Store(_)) => 5,
            Failure::Rejected(Rejection::Record(_)) | Failure::Other(_) => 1,
        }
    }
}
