//! Which target a new flow goes to.
//!
//! Load pattern: callers keep flows open for many requests, so a flow's opening is the one decision,
//! openings are few, and uneven counts last. Each target's count of flows decides, own failure
//! domain first while its targets are not much fuller than the emptiest of all.
//!
//! Load pattern: many hosts open flows to the same targets and hear of each other's counts seldom.
//! If each took the emptiest target of the last reports, all would take the same one and fill its
//! queue. Each draws among the emptiest instead, so that what all of them open until the next
//! reports brings these to one level. (Dahlin, "Interpreting Stale Load Information", ICDCS 1999,
//! describes the technique.)

use catalog::TargetIndex;

/// By how many flows a slot the own domain's targets may exceed all, on average. The emptiest of many
/// targets says little when counts are old.
const SPILL_FLOWS_PER_SLOT: f64 = 2.0;

/// By which part they may exceed all, on average. Bytes between failure domains cost and a cut breaks
/// their flows.
const SPILL_RATIO: f64 = 0.3;

/// Why a target is chosen only if there is no better one, the least reason first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Penalty {
    /// There is none.
    None,
    /// A target of its failure domain did not answer an earlier opening of this flow.
    DomainTried,
    /// Several targets of its failure domain are silent, as in a cut.
    DomainSilent,
    /// It is suspected.
    Suspect,
    /// It failed a check.
    Dead,
    /// It did not answer an earlier opening of this flow.
    Tried,
}

/// A target that may take the flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The target.
    pub index: TargetIndex,
    /// Whether it is in the host's own failure domain.
    pub is_near: bool,
    /// What speaks against it.
    pub penalty: Penalty,
    /// How many requests it runs at a time.
    pub slots: u16,
    /// Its flows for each of its slots, those with a request under way counted more.
    pub load: f64,
}

/// What one choice is drawn by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceParams {
    /// Whether the loads of other failure domains are known well enough to spill over to them.
    pub has_far_loads: bool,
    /// How many flows other hosts have opened to the own domain's targets since they last told.
    pub unreported_flows: f64,
    /// Even in [0, 1).
    pub share: f64,
    /// The order among equals.
    pub tie_seed: u64,
}

/// One of the emptiest candidates among those with the least doubt.
pub fn choose_target(candidates: &[Candidate], params: ChoiceParams) -> Option<TargetIndex> {
    let penalty = candidates.iter().map(|candidate| candidate.penalty).min()?;
    let preferred: Vec<&Candidate> =
        candidates.iter().filter(|candidate| candidate.penalty == penalty).collect();
    let near: Vec<&Candidate> =
        preferred.iter().copied().filter(|candidate| candidate.is_near).collect();
    let emptiest_overall = least_loaded(&preferred, params.tie_seed)?;
    let max_near_load = mean_load(&preferred) * (1.0 + SPILL_RATIO) + SPILL_FLOWS_PER_SLOT;
    match least_loaded(&near, params.tie_seed) {
        Some(emptiest) if !params.has_far_loads || mean_load(&near) <= max_near_load => {
            Some(water_fill(near, emptiest, params).index)
        }
        _ => Some(water_fill(preferred, emptiest_overall, params).index),
    }
}

fn mean_load(candidates: &[&Candidate]) -> f64 {
    let sum: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    sum / candidates.len().max(1) as f64
}

/// Draws among the candidates below the level to which the unseen flows fill the emptiest ones, each
/// by what it takes up to there.
fn water_fill<'a>(
    mut candidates: Vec<&'a Candidate>,
    emptiest: &'a Candidate,
    params: ChoiceParams,
) -> &'a Candidate {
    if params.unreported_flows <= 0.0 {
        return emptiest;
    }
    candidates.sort_by(|left, right| left.load.total_cmp(&right.load));
    let slots = |candidate: &Candidate| f64::from(candidate.slots.max(1));
    // The level at which the first n candidates together have taken up the unseen flows.
    let (mut total_slots, mut current_flows, mut level, mut count) = (0.0, 0.0, 0.0, 0);
    for (position, candidate) in candidates.iter().enumerate() {
        if count > 0 && candidate.load >= level {
            break;
        }
        total_slots += slots(candidate);
        current_flows += slots(candidate) * candidate.load;
        level = (params.unreported_flows + current_flows) / total_slots;
        count = position + 1;
    }
    let mut left = params.share * params.unreported_flows;
    for candidate in &candidates[..count] {
        left -= slots(candidate) * (level - candidate.load);
        if left < 0.0 {
            return candidate;
        }
    }
    emptiest
}

fn least_loaded<'a>(candidates: &[&'a Candidate], tie_seed: u64) -> Option<&'a Candidate> {
    candidates.iter().copied().min_by(|left, right| {
        let order = left.load.total_cmp(&right.load);
        order.then_with(|| tie_rank(left, tie_seed).cmp(&tie_rank(right, tie_seed)))
    })
}

fn tie_rank(candidate: &Candidate, tie_seed: u64) -> u64 {
    routing::mix(candidate.index.0 as u64, tie_seed)
}
