//! Keeps new flows from targets in their warm-up.

use super::{View, placement::Unplaced};
use crate::{Candidate, Dispatcher, Penalty, Reason};

/// The factor by which a target is slower during its warm-up, and by which its load counts more.
const WARMUP_FACTOR: f64 = 1.6;

impl Dispatcher {
    /// Removes the candidates to which this host may not send an opening now, since all hosts together
    /// are limited. `opening_seed` is drawn for each opening.
    pub(super) fn hold_back_cold(
        &mut self,
        view: View<'_>,
        candidates: &mut Vec<Candidate>,
        opening_seed: u64,
        now_ms: u64,
    ) -> Result<(), Unplaced> {
        let id = |candidate: &Candidate| view.directory.target(candidate.index).id;
        let is_unlikely = |candidate: &Candidate| candidate.penalty >= Penalty::Dead;
        let mut held_back: Vec<Candidate> = candidates
            .extract_if(.., |it| !self.warmups.may_open(id(it), opening_seed, now_ms))
            .filter(|candidate| !is_unlikely(candidate))
            .collect();
        // A cold target later is better than a dead one now.
        if held_back.is_empty() || !candidates.iter().all(is_unlikely) {
            return Ok(());
        }
        if held_back.iter().any(|candidate| !self.warmups.is_limited(id(candidate), now_ms)) {
            // Nothing else is left, so targets whose share only grows take what comes.
            held_back.retain(|candidate| !self.warmups.is_limited(id(candidate), now_ms));
            *candidates = held_back;
            return Ok(());
        }
        match held_back.iter().any(|held| self.warmups.may_open_soon(id(held), now_ms)) {
            true => Err(Unplaced::Waiting(Reason::Cold)),
            false => Err(Unplaced::Refused(Reason::Cold)),
        }
    }

    /// Increases the load of candidates in their warm-up, so that they get new flows gradually.
    ///
    /// Load pattern: a target is replaced, and all its flows are opened again within a second. The
    /// new target, which is empty but still slow, would get all of them. The mean load of the warm
    /// targets is therefore added to its own at its start, and ever less of it until the warm-up
    /// ends.
    pub(super) fn apply_slow_start(
        &self,
        view: View<'_>,
        mut candidates: Vec<Candidate>,
        now_ms: u64,
    ) -> Vec<Candidate> {
        let warmup_share_left = |candidate: &Candidate| {
            self.warmups.share_left(view.directory.target(candidate.index).id, now_ms)
        };
        let warm_loads: Vec<f64> = candidates
            .iter()
            .filter(|candidate| warmup_share_left(candidate).is_none())
            .map(|candidate| candidate.load)
            .collect();
        let mean_warm_load = warm_loads.iter().sum::<f64>() / warm_loads.len().max(1) as f64;
        for candidate in &mut candidates {
            if let Some(share) = warmup_share_left(candidate) {
                candidate.load = candidate.load * WARMUP_FACTOR + mean_warm_load * share;
            }
        }
        candidates
    }
}
