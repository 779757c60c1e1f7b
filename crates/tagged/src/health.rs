//! Passive health tracking of targets by their flows, confirmed by active checks.
//!
//! Failure scenario: a target dies or becomes unreachable while many callers have flows to it. Each
//! of them would wait for its timeout, but unanswered openings and stalled flows reveal the failure
//! within a second. A suspect target gets no new flows. Its flows are reset only after a check has
//! failed and none of them made progress during the check.
//!
//! Failure scenario: targets die while the store is unavailable, and others start at their
//! addresses. A connection accepted at such an address does not prove that the old target is still
//! running. It stays suspect until one of its flows makes progress, or until the store has been
//! available again for long enough and still lists it.
//!
//! Failure scenario: a host is cut off from targets that serve, or checks a target that goes down
//! and up again. Its verdict is wrong once it can reach the target, and so are its reports to other
//! hosts. A verdict therefore expires, and no host resets a flow because of a report: a report only
//! makes the target suspect and triggers a check.
//!
//! Failure scenario: a failure domain is cut off from the store, and its targets are no longer
//! listed when the connection returns, although they serve. A target that is not listed is checked
//! like a silent one and keeps its flows as long as it answers.

mod record;

use catalog::TargetId;

use self::record::Record;
use crate::Config;

/// A target's health as judged by this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// There is no evidence against it.
    Good,
    /// It gets no new flows, if others can take them, until it answers or the suspicion expires.
    Suspect,
    /// It failed a check of this host a short time ago. Its flows are reset.
    Dead,
}

/// The outcome of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The target answered.
    Answered,
    /// The target did not answer, but the reference target, if there is one, did.
    Failed,
    /// Neither answered: the fault is with this host or its link.
    Unclear,
}

/// How many times as long as the reference target the checked one may take to answer.
const PATIENCE_FACTOR: u64 = 4;

/// What follows from the answers to a check so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckOutcome {
    /// The check has ended.
    Verdict(Verdict),
    /// The target gets this much longer, in milliseconds.
    Extended(u64),
}

/// Judges a check after `waited_ms`. `reference_took_ms` says how long the reference target took to
/// answer; `None` if it did not. On a loaded host or link every answer is late.
pub fn judge_check(
    has_answered: bool,
    reference_took_ms: Option<u64>,
    waited_ms: u64,
) -> CheckOutcome {
    match reference_took_ms {
        _ if has_answered => CheckOutcome::Verdict(Verdict::Answered),
        None => CheckOutcome::Verdict(Verdict::Unclear),
        Some(took_ms) if waited_ms < PATIENCE_FACTOR * took_ms => {
            CheckOutcome::Extended(PATIENCE_FACTOR * took_ms - waited_ms)
        }
        Some(_) => CheckOutcome::Verdict(Verdict::Failed),
    }
}

/// A health check to be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DueCheck {
    /// The target to check.
    pub target: TargetId,
    /// Another target, checked at the same time to detect faults of this host: one that answered
    /// recently or, if there is none, any that is not known to be dead.
    pub reference: Option<TargetId>,
}

/// The health of all targets. A target without a record is good.
#[derive(Debug, Default)]
pub struct Health {
    /// Sorted by target.
    records: Vec<Record>,
}

impl Health {
    /// The standing of `target`.
    pub fn standing(&self, target: TargetId) -> Standing {
        self.find(target).map_or(Standing::Good, |record| record.standing)
    }

    /// Whether this host or another found `target` dead and nothing has shown that it is alive.
    pub fn has_died(&self, target: TargetId) -> bool {
        self.find(target).is_some_and(|record| record.died_at_ms.is_some())
    }

    /// The targets whose standing is dead.
    pub fn dead(&self) -> impl Iterator<Item = TargetId> {
        let dead = self.records.iter().filter(|record| record.standing == Standing::Dead);
        dead.map(|record| record.target)
    }

    /// Whether a flow of `target` has made progress since `since_ms`.
    pub fn has_progress_since(&self, target: TargetId, since_ms: u64) -> bool {
        self.find(target).is_some_and(|record| record.progress_at_ms >= since_ms)
    }

    /// The evidence against `target`: the numbers of unanswered openings and of stalled flows.
    pub fn evidence(&self, target: TargetId) -> (u32, u32) {
        self.find(target).map_or((0, 0), |record| (record.failed_openings, record.stalled_flows))
    }

    /// Records that the store no longer lists `target`, to which this host sees flows. Returns
    /// whether the standing changed.
    pub fn on_gone(&mut self, target: TargetId) -> bool {
        let record = self.record(target);
        if std::mem::replace(&mut record.is_gone, true) {
            return false;
        }
        // No check: another target may answer at the address of a dead one.
        if record.failed_at_ms.is_some() {
            return record.set_standing(Standing::Dead);
        }
        record.is_check_due = true;
        false
    }

    /// Forgets all about `target`, which has started again.
    pub fn forget(&mut self, target: TargetId, now_ms: u64) {
        if let Ok(position) = self.position(target) {
            self.records[position] = Record { new_start_at_ms: now_ms, ..Record::new(target) };
        }
    }

    /// Records which unlisted targets the store lists again.
    pub fn on_listed(&mut self, is_listed: impl Fn(TargetId) -> bool) {
        for record in self.records.iter_mut().filter(|record| record.is_gone) {
            if is_listed(record.target) {
                record.is_gone = false;
                // The target has announced itself again.
                record.died_at_ms = None;
                record.failed_at_ms = None;
                if record.standing == Standing::Dead {
                    record.is_check_due = true;
                    record.set_standing(Standing::Suspect);
                }
            }
        }
    }

    /// Records that a flow of `target` made progress. Returns whether the standing changed.
    pub fn on_progress(&mut self, target: TargetId, now_ms: u64) -> bool {
        let record = self.record(target);
        record.progress_at_ms = now_ms;
        record.died_at_ms = None;
        record.failed_at_ms = None;
        record.next_check_ms = None;
        record.full_backoff_ms = 0;
        record.failed_openings = 0;
        record.stalled_flows = 0;
        record.is_check_due = false;
        record.set_standing(Standing::Good)
    }

    /// Records that `target` did not answer an opening. Returns whether the standing changed.
    pub fn on_failed_opening(&mut self, target: TargetId, config: &Config, now_ms: u64) -> bool {
        let record = self.record(target);
        record.failed_openings += 1;
        record.update_suspicion(config, now_ms)
    }

    /// Records that a caller retransmitted data on a flow to `target`. Returns whether the standing
    /// changed.
    pub fn on_stalled_flow(&mut self, target: TargetId, config: &Config, now_ms: u64) -> bool {
        let record = self.record(target);
        record.stalled_flows += 1;
        let has_recent_progress = now_ms < record.progress_at_ms + config.recent_progress_ms;
        if !has_recent_progress && !record.has_answered_recently(config, now_ms) {
            record.is_check_due = true;
        }
        record.update_suspicion(config, now_ms)
    }

    /// Records that a host of the same failure domain reports `target` dead. Returns whether the
    /// standing changed.
    ///
    /// The target becomes suspect and is checked if this host sees flows to it, unless this host's
    /// own observations are more recent.
    pub fn on_reported_dead(
        &mut self,
        target: TargetId,
        has_flows: bool,
        config: &Config,
        now_ms: u64,
    ) -> bool {
        let record = self.record(target);
        let has_recent_progress = now_ms < record.progress_at_ms + config.recent_progress_ms;
        let is_confirmed_alive = record
            .confirmed_alive_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + config.max_recheck_delay_ms);
        let has_evidence = record.failed_openings + record.stalled_flows > 0;
        let is_seen_alive = has_recent_progress
            || is_confirmed_alive
            || record.has_answered_recently(config, now_ms);
        if record.died_at_ms.is_some() || (is_seen_alive && !has_evidence) {
            return false;
        }
        record.died_at_ms = Some(now_ms);
        record.is_check_due |= has_flows;
        record.suspect_until_ms = now_ms + config.suspicion_timeout_ms;
        record.set_standing(Standing::Suspect)
    }

    /// Records the outcome of a check that was started at `started_at_ms`. Returns whether the
    /// standing changed.
    pub fn on_check(
        &mut self,
        target: TargetId,
        verdict: Verdict,
        started_at_ms: u64,
        config: &Config,
        now_ms: u64,
    ) -> bool {
        let record = self.record(target);
        record.check_in_flight_ms = None;
        if started_at_ms < record.new_start_at_ms {
            return false;
        }
        match verdict {
            Verdict::Answered => {
                record.failed_openings = 0;
                record.stalled_flows = 0;
                record.answered_at_ms = now_ms;
                record.next_check_ms = None;
                if record.died_at_ms.is_some_and(|at_ms| now_ms >= at_ms + config.address_reuse_ms)
                {
                    return record.set_standing(Standing::Suspect);
                }
                record.died_at_ms = None;
                record.failed_at_ms = None;
                record.set_standing(Standing::Good)
            }
            Verdict::Unclear => {
                record.failed_openings = 0;
                record.stalled_flows = 0;
                record.next_check_ms = Some(now_ms + config.check_interval_ms);
                false
            }
            Verdict::Failed
                if record.progress_at_ms.max(record.answered_at_ms) >= started_at_ms =>
            {
                record.is_check_due |= record.is_gone;
                false
            }
            Verdict::Failed if now_ms >= started_at_ms + config.verdict_ttl_ms => {
                record.is_check_due = true;
                false
            }
            Verdict::Failed => {
                // Frequent rechecks gain little: the entry of a target that is gone for good lapses
                // soon, and a network partition may last long.
                let delay_ms = match record.is_unreachable() {
                    true => 2 * record.recheck_delay_ms,
                    false => config.initial_recheck_delay_ms,
                };
                record.recheck_delay_ms = delay_ms.min(config.max_recheck_delay_ms);
                record.failed_at_ms = Some(started_at_ms);
                record.next_check_ms = Some(started_at_ms + record.recheck_delay_ms);
                record.died_at_ms.get_or_insert(now_ms);
                record.set_standing(Standing::Dead)
            }
        }
    }

    /// Returns the targets whose checks are due now. `has_flows` tells whether this host sees flows
    /// to a target; unlisted targets are rechecked only if it does.
    pub fn take_due_checks(
        &mut self,
        has_flows: impl Fn(TargetId) -> bool,
        config: &Config,
        now_ms: u64,
    ) -> Vec<TargetId> {
        let mut targets = Vec::new();
        for record in &mut self.records {
            if record.is_check_in_flight(config, now_ms) {
                continue;
            }
            record.is_check_due |= record.is_recheck_due(now_ms);
            let is_repeat_due = record.is_gone
                && record.standing != Standing::Dead
                && now_ms >= record.checked_at_ms + config.check_interval_ms;
            if std::mem::take(&mut record.is_check_due)
                | (is_repeat_due && has_flows(record.target))
            {
                record.checked_at_ms = now_ms;
                record.check_in_flight_ms = Some(now_ms);
                targets.push(record.target);
            }
        }
        targets
    }

    /// The good target, other than `target`, whose flows made progress most recently, within the
    /// interval between checks.
    pub fn find_reference(
        &self,
        target: TargetId,
        config: &Config,
        now_ms: u64,
    ) -> Option<TargetId> {
        let since_ms = now_ms.saturating_sub(config.check_interval_ms).max(1);
        self.records
            .iter()
            .filter(|record| record.target != target && record.standing == Standing::Good)
            .filter(|record| record.progress_at_ms >= since_ms)
            .max_by_key(|record| record.progress_at_ms)
            .map(|record| record.target)
    }

    /// Makes dead targets suspect whose last failed check is too old to reset flows because of it.
    /// Returns these targets.
    ///
    /// A dead target that the store no longer lists stays dead.
    pub fn expire_verdicts(&mut self, config: &Config, now_ms: u64) -> Vec<TargetId> {
        let mut expired = Vec::new();
        for record in &mut self.records {
            let is_dead = record.standing == Standing::Dead && !record.is_gone;
            if is_dead && !record.has_failed_recently(config, now_ms) {
                record.set_standing(Standing::Suspect);
                expired.push(record.target);
            }
        }
        expired
    }

    /// Whether `target` has failed a check of this host a short time ago and shown no life since.
    pub fn has_failed_recently(&self, target: TargetId, config: &Config, now_ms: u64) -> bool {
        self.find(target).is_some_and(|record| record.has_failed_recently(config, now_ms))
    }

    /// Makes a check of `target` due if the verdict of the last one has expired.
    pub fn recheck_expired(&mut self, target: TargetId, config: &Config, now_ms: u64) {
        if let Ok(position) = self.position(target) {
            let record = &mut self.records[position];
            record.is_check_due |=
                record.is_unreachable() && !record.has_failed_recently(config, now_ms);
        }
    }

    /// Ends expired suspicions and removes the records of targets for which `is_known` is false.
    /// Returns the targets that are good again.
    ///
    /// A suspect target that was found dead stays suspect until `is_listed_after` holds for a time
    /// by which its announcement would have lapsed.
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
            if record.standing != Standing::Suspect || record.is_unreachable() {
                continue;
            }
            let is_over = match record.died_at_ms {
                Some(at_ms) => is_listed_after(record.target, at_ms + config.lapse_ms),
                None => now_ms >= record.suspect_until_ms,
            };
            if is_over {
                if record.died_at_ms.take().is_some() {
                    record.failed_at_ms = None;
                    record.confirmed_alive_at_ms = Some(now_ms);
                }
                record.failed_openings = 0;
                record.stalled_flows = 0;
                record.set_standing(Standing::Good);
                cleared.push(record.target);
            }
        }
        cleared
    }

    fn find(&self, target: TargetId) -> Option<&Record> {
        self.position(target).ok().map(|position| &self.records[position])
    }

    fn record(&mut self, target: TargetId) -> &mut Record {
        let position = match self.position(target) {
            Ok(position) => position,
            Err(position) => {
                self.records.insert(position, Record::new(target));
                position
            }
        };
        &mut self.records[position]
    }

    fn position(&self, target: TargetId) -> Result<usize, usize> {
        self.records.binary_search_by_key(&target, |record| record.target)
    }
}
