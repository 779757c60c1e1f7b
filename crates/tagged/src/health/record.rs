//! The health record of one target.

use catalog::TargetId;

use super::Standing;
use crate::Config;

/// How many unanswered openings without progress in between make a target suspect.
const SUSPECT_FAILED_OPENINGS: u32 = 1;

/// How many stalled flows without progress in between make a target suspect. The first one only
/// triggers a check, because an answer may well take longer than the caller's retransmission
/// timeout.
const SUSPECT_STALLED_FLOWS: u32 = 2;

/// What this host knows of the health of one target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Record {
    pub(super) target: TargetId,
    pub(super) standing: Standing,
    /// When the suspicion expires.
    pub(super) suspect_until_ms: u64,
    pub(super) progress_at_ms: u64,
    pub(super) checked_at_ms: u64,
    /// When the target last answered a check.
    pub(super) answered_at_ms: u64,
    /// When the last failed check began; none after a sign of life.
    pub(super) failed_at_ms: Option<u64>,
    /// When to check the target again without new evidence.
    pub(super) next_check_ms: Option<u64>,
    /// The start of the check in flight.
    pub(super) check_in_flight_ms: Option<u64>,
    /// Checks that began earlier concern an earlier start of the target.
    pub(super) new_start_at_ms: u64,
    pub(super) failed_openings: u32,
    pub(super) stalled_flows: u32,
    pub(super) is_check_due: bool,
    /// Whether the store no longer lists the target.
    pub(super) is_gone: bool,
    /// When this host or another first found it dead; none after a sign of life.
    pub(super) died_at_ms: Option<u64>,
    /// When the store last showed that it is alive after all.
    pub(super) confirmed_alive_at_ms: Option<u64>,
    /// How long it was last given no new flows because it seemed full.
    pub(super) full_backoff_ms: u64,
    /// The delay between a failed check and the next one.
    pub(super) recheck_delay_ms: u64,
}

impl Record {
    pub(super) fn new(target: TargetId) -> Record {
        Record {
            target,
            standing: Standing::Good,
            suspect_until_ms: 0,
            progress_at_ms: 0,
            checked_at_ms: 0,
            answered_at_ms: 0,
            failed_at_ms: None,
            next_check_ms: None,
            check_in_flight_ms: None,
            new_start_at_ms: 0,
            failed_openings: 0,
            stalled_flows: 0,
            is_check_due: false,
            is_gone: false,
            died_at_ms: None,
            confirmed_alive_at_ms: None,
            full_backoff_ms: 0,
            recheck_delay_ms: 0,
        }
    }

    /// Whether the target answered a check so recently that another would reveal nothing new.
    pub(super) fn has_answered_recently(&self, config: &Config, now_ms: u64) -> bool {
        self.answered_at_ms > 0 && now_ms < self.answered_at_ms + config.check_interval_ms
    }

    /// Whether the target has failed a check and answered none since.
    pub(super) fn is_unreachable(&self) -> bool {
        self.failed_at_ms.is_some_and(|at_ms| self.answered_at_ms < at_ms)
    }

    /// Whether a check is due without new evidence. A dead target that the store no longer lists is
    /// not checked again.
    pub(super) fn is_recheck_due(&self, now_ms: u64) -> bool {
        let is_final = self.is_gone && self.standing == Standing::Dead;
        !is_final && self.next_check_ms.is_some_and(|at_ms| now_ms >= at_ms)
    }

    /// Whether a check is in flight. A verdict that has not come by the next interval is lost.
    pub(super) fn is_check_in_flight(&self, config: &Config, now_ms: u64) -> bool {
        self.check_in_flight_ms.is_some_and(|at_ms| now_ms < at_ms + config.check_interval_ms)
    }

    /// Whether the last check failed so recently that flows may be reset because of it.
    pub(super) fn has_failed_recently(&self, config: &Config, now_ms: u64) -> bool {
        self.failed_at_ms.is_some_and(|at_ms| now_ms < at_ms + config.verdict_ttl_ms)
    }

    /// Makes a good target suspect if the evidence suffices. Returns whether the standing changed.
    pub(super) fn update_suspicion(&mut self, config: &Config, now_ms: u64) -> bool {
        let is_enough = self.failed_openings >= SUSPECT_FAILED_OPENINGS
            || self.stalled_flows >= SUSPECT_STALLED_FLOWS;
        if !is_enough || self.standing != Standing::Good {
            return false;
        }
        // A target that answers checks but not openings is full. It gets no new flows for a short
        // time, which doubles with each repetition.
        let is_full = self.has_answered_recently(config, now_ms);
        self.is_check_due |= !is_full;
        if is_full {
            self.full_backoff_ms = (2 * self.full_backoff_ms)
                .clamp(config.initial_full_backoff_ms, config.suspicion_timeout_ms);
        }
        self.suspect_until_ms =
            now_ms + if is_full { self.full_backoff_ms } else { config.suspicion_timeout_ms };
        self.set_standing(Standing::Suspect)
    }

    pub(super) fn set_standing(&mut self, standing: Standing) -> bool {
        if self.standing == standing {
            return false;
        }
        self.standing = standing;
        true
    }
}
