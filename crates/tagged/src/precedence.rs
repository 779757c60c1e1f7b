//! Decides whose openings are placed when a service has too little room.

use catalog::Listener;

use crate::Candidate;

/// Whether an opening is placed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is placed.
    Place,
    /// It is dropped; a copy of it may find room.
    Wait,
    /// It is refused.
    Refuse,
}

/// The demand of the listeners of each service.
#[derive(Debug, Default)]
pub(crate) struct Precedence {}

impl Precedence {
    /// Decides on an opening of `listener` to a service with the targets `candidates`.
    pub(crate) fn decide(
        &mut self,
        _listener: &Listener,
        _candidates: &[Candidate],
        _now_ms: u64,
    ) -> Admission {
        Admission::Place
    }
}
