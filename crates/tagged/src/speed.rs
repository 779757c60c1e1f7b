//! Learns what each target bears from how it answers.

use catalog::TargetId;

/// How a target answered the recent requests of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AnswerStats {
    /// How many requests were answered.
    pub answers: u32,
    /// The mean time from a request to its answer, in microseconds.
    pub mean_us: u32,
    /// How many requests were answered much too fast or ended without an answer.
    pub failures: u32,
}

/// The speed of each target relative to the others of its service.
#[derive(Debug, Default)]
pub(crate) struct TargetSpeeds {}

impl TargetSpeeds {
    /// How `target` answered this host, for the load report.
    pub(crate) fn own_stats(&self, _target: TargetId) -> AnswerStats {
        AnswerStats::default()
    }

    /// The speed of `target` relative to the others of its service; 1 if it is not known.
    pub(crate) fn relative(&self, _target: TargetId) -> f64 {
        1.0
    }

    /// Whether `target` gets no new flows, if others can take them, because of how it answers.
    pub(crate) fn is_set_aside(&self, _target: TargetId) -> bool {
        false
    }
}
