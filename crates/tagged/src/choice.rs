//! Chooses a target for a new flow.
//!
//! Load pattern: callers keep flows open for many requests. A flow is balanced only once, at its
//! opening; openings are few, so uneven flow counts persist. Targets are therefore chosen by their
//! number of flows. Those in the host's own failure domain are preferred as long as their mean load
//! is not much above the mean of all.
//!
//! Load pattern: many hosts open flows to the same targets and exchange load reports rarely. If
//! each host chose the least loaded target of the last reports, all would choose the same one and
//! fill its queue. Each host draws at random among the least loaded targets instead, weighted so
//! that the flows that all of them open until the next reports bring these targets to an equal
//! load. (Dahlin, "Interpreting Stale Load Information", ICDCS 1999, describes the technique.)

use catalog::TargetIndex;

/// By how many flows per slot the mean load of the own domain's targets may exceed the mean of all
/// before flows spill over. Means are compared because with stale counts the minimum of many
/// targets says little.
const SPILL_FLOWS_PER_SLOT: f64 = 2.0;

/// The additional excess allowed before flows spill over, as a fraction of the mean load of all
/// targets. Traffic between failure domains costs money, and a network partition breaks its flows.
const SPILL_RATIO: f64 = 0.3;

/// Why a target is chosen only if no target with a lower penalty exists, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Penalty {
    /// No penalty.
    None,
    /// It is in another failure domain, and a target there did not answer an earlier opening of
    /// this flow.
    DomainTried,
    /// It is in another failure domain, where several targets are silent, as in a network
    /// partition.
    DomainSilent,
    /// It is suspect.
    Suspect,
    /// It failed a health check.
    Dead,
    /// It did not answer an earlier opening of this flow.
    Tried,
}

/// A target that accepts new flows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The target.
    pub index: TargetIndex,
    /// Whether it is in the host's own failure domain.
    pub is_near: bool,
    /// Why other candidates are preferred.
    pub penalty: Penalty,
    /// How many requests it runs concurrently.
    pub slots: u16,
    /// Its flows per slot, with extra weight for those with a request in flight.
    pub load: f64,
}

/// When flows leave the failure domain although targets of the own one could take them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ExitRule {
    /// When the mean load of the own domain's targets exceeds that of all by a fixed amount.
    FixedExcess,
    /// This flow stays; of the others, `far_share` leaves.
    Stay {
        /// The share of flows that leaves.
        far_share: f64,
    },
    /// This flow leaves, as does `far_share` of the others.
    Leave {
        /// The share of flows that leaves.
        far_share: f64,
    },
}

/// The load estimates and random numbers used by [`choose_target`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceParams {
    /// Whether enough loads of other failure domains are known to spill over to them.
    pub has_far_loads: bool,
    /// An estimate of the flows that other hosts of the own failure domain have opened since their
    /// last reports.
    pub unreported_flows: f64,
    /// A uniform random number in [0, 1) that decides between the least loaded candidates: the
    /// position among the unreported flows at which to draw.
    pub random_fraction: f64,
    /// A random seed that orders targets with equal load.
    pub tie_seed: u64,
    /// When flows leave the failure domain.
    pub exit_rule: ExitRule,
}

/// Chooses one of the least loaded candidates among those with the lowest penalty.
pub fn choose_target(candidates: &[Candidate], params: ChoiceParams) -> Option<TargetIndex> {
    let penalty = candidates.iter().map(|candidate| candidate.penalty).min()?;
    let preferred: Vec<&Candidate> =
        candidates.iter().filter(|candidate| candidate.penalty == penalty).collect();
    match params.exit_rule {
        ExitRule::FixedExcess => {}
        ExitRule::Stay { far_share } => {
            return choose_on_side(preferred, Side::Near, 1.0 - far_share, params);
        }
        ExitRule::Leave { far_share } => {
            return choose_on_side(preferred, Side::Far, far_share, params);
        }
    }
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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Near,
    Far,
}

/// Chooses among the candidates on `side`, which get `share` of the unreported flows; among all if
/// there are none.
fn choose_on_side(
    mut candidates: Vec<&Candidate>,
    side: Side,
    share: f64,
    params: ChoiceParams,
) -> Option<TargetIndex> {
    let is_near = side == Side::Near;
    let mut unreported_flows = params.unreported_flows;
    if candidates.iter().any(|candidate| candidate.is_near == is_near) {
        candidates.retain(|candidate| candidate.is_near == is_near);
        unreported_flows *= share;
    }
    let emptiest = least_loaded(&candidates, params.tie_seed)?;
    Some(water_fill(candidates, emptiest, ChoiceParams { unreported_flows, ..params }).index)
}

fn mean_load(candidates: &[&Candidate]) -> f64 {
    let sum: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    sum / candidates.len().max(1) as f64
}

/// Distributes the unreported flows by water-filling: they raise the least loaded candidates to one
/// common level. Draws one of these candidates with a probability proportional to the number of
/// flows that it takes to reach that level.
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
    // The level that the first `count` candidates reach with all unreported flows added.
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
    let mut left = params.random_fraction * params.unreported_flows;
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
