//! Learns what each target bears from how it answers.
//!
//! Load pattern: targets of one service differ in speed, turn slow, or fail requests at once while
//! their health checks are good. Flow counts alone fill the slow ones and draw new flows to those
//! that fail fastest.

mod judge;
mod samples;

use catalog::{Directory, TargetId};
use hashbrown::HashMap;

pub(crate) use self::{judge::Change, samples::Answer};
use self::{
    judge::{Sums, Verdict},
    samples::Samples,
};
use crate::ReportedLoads;

/// The interval between judgements of all targets, in milliseconds.
const JUDGE_INTERVAL_MS: u64 = 1_000;

/// How a target answered the recent requests of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AnswerStats {
    /// How many requests were answered.
    pub answers: u32,
    /// The harmonic mean of the times to the answer, in microseconds. Waiting in a queue affects it
    /// less than the other means. The times are scaled as if the median at every listener was
    /// 100 ms, since listeners differ in work.
    pub mean_us: u32,
    /// How many requests were answered much too fast or ended without an answer.
    pub failures: u32,
}

/// How the targets stand by their answers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SpeedSummary {
    /// How many targets are set aside.
    pub set_aside: usize,
    /// The lowest relative speed of a target; 1 if all are even.
    pub slowest_relative: f64,
}

/// The speed of each target relative to the others of its service.
#[derive(Debug, Default)]
pub(crate) struct TargetSpeeds {
    samples: Samples,
    /// The targets that differ from their peers or did so recently.
    verdicts: HashMap<TargetId, Verdict>,
    judged_at_ms: u64,
}

impl TargetSpeeds {
    /// The targets with recent answers or failures seen by this host.
    pub(crate) fn targets(&self) -> impl Iterator<Item = TargetId> {
        self.samples.targets()
    }

    /// How `target` answered this host, for the load report.
    pub(crate) fn own_stats(&self, target: TargetId) -> AnswerStats {
        self.samples.stats(target)
    }

    /// The speed of `target` relative to the others of its service; 1 if it is not known.
    pub(crate) fn relative(&self, target: TargetId) -> f64 {
        self.verdicts.get(&target).map_or(1.0, |verdict| verdict.relative)
    }

    /// Whether `target` gets no new flows, if others can take them, because of how it answers.
    pub(crate) fn is_set_aside(&self, target: TargetId) -> bool {
        self.verdicts.get(&target).is_some_and(Verdict::is_set_aside)
    }

    pub(crate) fn summary(&self) -> SpeedSummary {
        let verdicts = || self.verdicts.values();
        SpeedSummary {
            set_aside: verdicts().filter(|verdict| verdict.is_set_aside()).count(),
            slowest_relative: verdicts().map(|verdict| verdict.relative).fold(1.0, f64::min),
        }
    }

    pub(crate) fn samples_mut(&mut self) -> &mut Samples {
        &mut self.samples
    }

    /// Forgets what is known of an earlier start of `target`.
    pub(crate) fn forget(&mut self, target: TargetId, now_ms: u64) {
        self.samples.forget(target);
        self.verdicts.insert(target, Verdict::not_judged_yet(now_ms));
    }

    /// If it is time, judges all targets by the answers that this host and others have seen.
    pub(crate) fn judge(
        &mut self,
        directory: &Directory,
        reported: &ReportedLoads,
        now_ms: u64,
    ) -> Vec<Change> {
        if now_ms < self.judged_at_ms + JUDGE_INTERVAL_MS {
            return Vec::new();
        }
        self.judged_at_ms = now_ms;
        self.samples.rotate(now_ms);
        let mut sums: HashMap<TargetId, Sums> = HashMap::new();
        let own = self.samples.targets().map(|target| (target, self.samples.stats(target)));
        for (target, stats) in own.chain(reported.answers()) {
            sums.entry(target).or_default().add(stats);
        }
        judge::judge(&mut self.verdicts, directory, &sums, now_ms)
    }
}
