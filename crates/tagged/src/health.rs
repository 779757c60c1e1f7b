//! Whether a target answers, by what its flows show.
//!
//! Load pattern: a target dies or is cut off while many callers have flows to it. Each of them would
//! wait for its time limit; openings without an answer and flows without progress show it within a
//! second. A suspected target takes no new flows; its flows are reset only after a check failed and
//! nothing of it was heard meanwhile.
//!
//! Load pattern: targets die while the store is away, and others start at their addresses. A
//! connection that is accepted there shows nothing of the dead target: it stays suspect until a
//! flow of it makes progress or the store, well again for long enough, still lists it.
//!
//! Load pattern: a failure domain is cut off from the store, and its targets are no longer listed
//! when it comes back, although they serve. A target that is not listed is checked like a silent
//! one: its flows stay while it answers.

use catalog::TargetId;

use crate::Config;

/// Openings without an answer in a row that make a target suspect.
const SUSPECT_FAILED_OPENINGS: u32 = 1;

/// Flows without progress that make a target suspect, if none makes progress. The first one leads
/// to a check alone: an answer may well take longer than a caller waits before it repeats its data.
const SUSPECT_STALLED_FLOWS: u32 = 2;

/// What a host thinks of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Good,
    /// It takes no new flows until it answers something or the suspicion runs out.
    Suspect,
    /// It failed a check: its flows are reset.
    Dead,
}

/// What a health check showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The target answered.
    Answered,
    /// It did not, while another target did.
    Failed,
    /// Neither did: the trouble is this host's.
    Unclear,
}

/// A check that is to be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DueCheck {
    /// The target in doubt.
    pub target: TargetId,
    /// Another one that has answered lately and is to be asked at the same time.
    pub reference: Option<TargetId>,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    target: TargetId,
    standing: Standing,
    standing_updated_at_ms: u64,
    /// When a suspicion ends without confirmation.
    suspect_until_ms: u64,
    progress_at_ms: u64,
    /// When the target was last checked, and when it last answered a check.
    checked_at_ms: u64,
    answered_at_ms: u64,
    failed_openings: u32,
    stalled_flows: u32,
    is_check_due: bool,
    /// Whether the store no longer lists it.
    is_gone: bool,
    /// Since when it has counted as dead, here or with another host, without a sign of life.
    died_at_ms: Option<u64>,
    /// When it was last found to live after all.
    confirmed_alive_at_ms: Option<u64>,
    /// How long it was last left alone because it seemed full.
    full_backoff_ms: u64,
    /// How long after a failed check the next one follows.
    recheck_delay_ms: u64,
}

/// What is held of targets, sorted by identity. Targets without a record are good.
#[derive(Debug, Default)]
pub struct Health {
    records: Vec<Record>,
}

impl Health {
    /// The standing of `target`.
    pub fn standing(&self, target: TargetId) -> Standing {
        self.find(target).map_or(Standing::Good, |record| record.standing)
    }

    /// The targets that failed their check.
    pub fn dead(&self) -> impl Iterator<Item = TargetId> {
        let dead = self.records.iter().filter(|record| record.standing == Standing::Dead);
        dead.map(|record| record.target)
    }

    /// Whether `target` has answered something since `standing_updated_at_ms`.
    pub fn has_progress_since(&self, target: TargetId, standing_updated_at_ms: u64) -> bool {
        self.find(target).is_some_and(|record| record.progress_at_ms >= standing_updated_at_ms)
    }

    /// The evidence against `target`: openings without an answer and flows without progress.
    pub fn evidence(&self, target: TargetId) -> (u32, u32) {
        self.find(target).map_or((0, 0), |record| (record.failed_openings, record.stalled_flows))
    }

    /// The store no longer lists `target`, to which this host sees flows.
    pub fn on_gone(&mut self, target: TargetId, now_ms: u64) {
        let record = self.record(target, now_ms);
        if !std::mem::replace(&mut record.is_gone, true) {
            // Who answers at the address of one that has died may be another.
            match record.died_at_ms {
                Some(_) => {
                    record.set_standing(Standing::Dead, now_ms);
                }
                None => record.is_check_due = true,
            }
        }
    }

    /// Forgets that the store did not list the targets for which `is_listed` holds.
    pub fn on_listed(&mut self, is_listed: impl Fn(TargetId) -> bool) {
        for record in self.records.iter_mut().filter(|record| record.is_gone) {
            if is_listed(record.target) {
                record.is_gone = false;
                // It has announced itself again.
                record.died_at_ms = None;
                record.is_check_due |= record.standing == Standing::Dead;
            }
        }
    }

    /// A flow of `target` made progress. Returns whether the standing changed.
    pub fn on_progress(&mut self, target: TargetId, now_ms: u64) -> bool {
        let record = self.record(target, now_ms);
        record.progress_at_ms = now_ms;
        record.died_at_ms = None;
        record.full_backoff_ms = 0;
        record.failed_openings = 0;
        record.stalled_flows = 0;
        record.is_check_due = false;
        record.set_standing(Standing::Good, now_ms)
    }

    /// An opening got no answer from `target`. Returns whether the standing changed.
    pub fn on_failed_opening(&mut self, target: TargetId, config: &Config, now_ms: u64) -> bool {
        let record = self.record(target, now_ms);
        record.failed_openings += 1;
        record.update_suspicion(config, now_ms)
    }

    /// A flow of `target` sent its data again without an answer. Returns whether the standing
    /// changed.
    pub fn on_stalled_flow(&mut self, target: TargetId, config: &Config, now_ms: u64) -> bool {
        let record = self.record(target, now_ms);
        record.stalled_flows += 1;
        let has_recent_progress = now_ms < record.progress_at_ms + config.recent_progress_ms;
        if !has_recent_progress && !record.has_answered_recently(config, now_ms) {
            record.is_check_due = true;
        }
        record.update_suspicion(config, now_ms)
    }

    /// A host of the same failure domain holds `target` for dead. Returns whether the standing
    /// changed.
    ///
    /// With evidence of this host's own that is enough; without any the target is checked if this
    /// host sees flows of it.
    pub fn on_reported_dead(
        &mut self,
        target: TargetId,
        has_flows: bool,
        config: &Config,
        now_ms: u64,
    ) -> bool {
        let record = self.record(target, now_ms);
        if record.standing == Standing::Dead {
            return false;
        }
        if record.failed_openings + record.stalled_flows > 0 && record.died_at_ms.is_none() {
            record.died_at_ms = Some(now_ms);
            return record.set_standing(Standing::Dead, now_ms);
        }
        // What this host hears itself goes before what others report.
        let has_recent_progress = now_ms < record.progress_at_ms + config.recent_progress_ms;
        let is_confirmed_alive = record
            .confirmed_alive_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + config.max_recheck_delay_ms);
        if has_recent_progress || is_confirmed_alive || record.standing != Standing::Good {
            return false;
        }
        record.died_at_ms = Some(now_ms);
        record.is_check_due = has_flows;
        record.suspect_until_ms = now_ms + config.suspicion_timeout_ms;
        record.set_standing(Standing::Suspect, now_ms)
    }

    /// A check that was started at `started_at_ms` has ended. Returns whether the standing changed.
    pub fn on_check(
        &mut self,
        target: TargetId,
        verdict: Verdict,
        started_at_ms: u64,
        config: &Config,
        now_ms: u64,
    ) -> bool {
        let record = self.record(target, now_ms);
        match verdict {
            Verdict::Answered => {
                record.failed_openings = 0;
                record.stalled_flows = 0;
                record.answered_at_ms = now_ms;
                if record.died_at_ms.is_some_and(|at_ms| now_ms >= at_ms + config.address_reuse_ms)
                {
                    return record.set_standing(Standing::Suspect, now_ms);
                }
                record.died_at_ms = None;
                record.set_standing(Standing::Good, now_ms)
            }
            Verdict::Unclear => {
                record.failed_openings = 0;
                record.stalled_flows = 0;
                record.died_at_ms = None;
                record.set_standing(Standing::Good, now_ms)
            }
            Verdict::Failed if record.progress_at_ms >= started_at_ms => {
                record.is_check_due = record.is_gone;
                false
            }
            Verdict::Failed => {
                // Each further failure doubles the pause: the entry of a target that is gone for
                // good lapses soon, and a cut may last.
                let delay_ms = match record.standing {
                    Standing::Dead => 2 * record.recheck_delay_ms,
                    _ => config.initial_recheck_delay_ms,
                };
                record.recheck_delay_ms = delay_ms.min(config.max_recheck_delay_ms);
                record.standing_updated_at_ms = now_ms;
                record.died_at_ms.get_or_insert(now_ms);
                record.set_standing(Standing::Dead, now_ms)
            }
        }
    }

    /// The targets that are to be checked now. `has_flows` tells whether this host sees flows of a
    /// target; those that are not listed are checked again only then.
    pub fn take_due_checks(
        &mut self,
        has_flows: impl Fn(TargetId) -> bool,
        config: &Config,
        now_ms: u64,
    ) -> Vec<DueCheck> {
        let mut targets = Vec::new();
        for record in &mut self.records {
            let is_recheck_due = now_ms >= record.standing_updated_at_ms + record.recheck_delay_ms;
            let is_final = record.is_gone && record.standing == Standing::Dead;
            if record.standing == Standing::Dead && is_recheck_due && !is_final {
                record.standing_updated_at_ms = now_ms;
                record.is_check_due = true;
            }
            let is_repeat_due = record.is_gone
                && record.standing != Standing::Dead
                && now_ms >= record.checked_at_ms + config.check_interval_ms;
            if std::mem::take(&mut record.is_check_due)
                | (is_repeat_due && has_flows(record.target))
            {
                record.checked_at_ms = now_ms;
                targets.push(record.target);
            }
        }
        targets
            .into_iter()
            .map(|target| DueCheck { target, reference: self.find_reference(target) })
            .collect()
    }

    /// The target other than `target` that answered last and is not in doubt.
    fn find_reference(&self, target: TargetId) -> Option<TargetId> {
        self.records
            .iter()
            .filter(|record| record.target != target && record.standing == Standing::Good)
            .filter(|record| record.progress_at_ms > 0)
            .max_by_key(|record| record.progress_at_ms)
            .map(|record| record.target)
    }

    /// Ends suspicions that ran out and forgets targets for which `is_known` does not hold. Those
    /// that have died stay suspect until `is_listed_after` holds for them and a moment by which
    /// their announcement would have lapsed. Gives the targets that are good again.
    pub fn expire(
        &mut self,
        config: &Config,
        now_ms: u64,
        is_known: impl Fn(TargetId) -> bool,
        is_listed_after: impl Fn(TargetId, u64) -> bool,
    ) -> Vec<TargetId> {
        self.records.retain(|record| is_known(record.target));
        let mut cleared = Vec::new();
        for record in &mut self.records {
            if record.standing != Standing::Suspect {
                continue;
            }
            let is_over = match record.died_at_ms {
                Some(at_ms) => is_listed_after(record.target, at_ms + config.lapse_ms),
                None => now_ms >= record.suspect_until_ms,
            };
            if is_over {
                if record.died_at_ms.take().is_some() {
                    record.confirmed_alive_at_ms = Some(now_ms);
                }
                record.failed_openings = 0;
                record.stalled_flows = 0;
                record.set_standing(Standing::Good, now_ms);
                cleared.push(record.target);
            }
        }
        cleared
    }

    fn find(&self, target: TargetId) -> Option<&Record> {
        self.position(target).ok().map(|position| &self.records[position])
    }

    fn record(&mut self, target: TargetId, now_ms: u64) -> &mut Record {
        let position = match self.position(target) {
            Ok(position) => position,
            Err(position) => {
                let record = Record {
                    target,
                    standing: Standing::Good,
                    standing_updated_at_ms: now_ms,
                    suspect_until_ms: 0,
                    progress_at_ms: 0,
                    checked_at_ms: 0,
                    answered_at_ms: 0,
                    failed_openings: 0,
                    stalled_flows: 0,
                    is_check_due: false,
                    is_gone: false,
                    died_at_ms: None,
                    confirmed_alive_at_ms: None,
                    full_backoff_ms: 0,
                    recheck_delay_ms: 0,
                };
                self.records.insert(position, record);
                position
            }
        };
        &mut self.records[position]
    }

    fn position(&self, target: TargetId) -> Result<usize, usize> {
        self.records.binary_search_by_key(&target, |record| record.target)
    }
}

impl Record {
    /// Whether the target has answered a check lately, so that another would tell nothing new.
    fn has_answered_recently(&self, config: &Config, now_ms: u64) -> bool {
        self.answered_at_ms > 0 && now_ms < self.answered_at_ms + config.check_interval_ms
    }

    fn update_suspicion(&mut self, config: &Config, now_ms: u64) -> bool {
        let is_enough = self.failed_openings >= SUSPECT_FAILED_OPENINGS
            || self.stalled_flows >= SUSPECT_STALLED_FLOWS;
        if !is_enough || self.standing != Standing::Good {
            return false;
        }
        // A target that lives and answers no opening is full: it is left alone for a moment, and
        // longer each time.
        let is_full = self.has_answered_recently(config, now_ms);
        self.is_check_due |= !is_full;
        if is_full {
            self.full_backoff_ms = (2 * self.full_backoff_ms)
                .clamp(config.initial_full_backoff_ms, config.suspicion_timeout_ms);
        }
        self.suspect_until_ms =
            now_ms + if is_full { self.full_backoff_ms } else { config.suspicion_timeout_ms };
        self.set_standing(Standing::Suspect, now_ms)
    }

    fn set_standing(&mut self, standing: Standing, now_ms: u64) -> bool {
        if self.standing == standing {
            return false;
        }
        self.standing = standing;
        self.standing_updated_at_ms = now_ms;
        true
    }
}
