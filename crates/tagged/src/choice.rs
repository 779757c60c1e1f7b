//! Which target a new flow goes to.
//!
//! Load pattern: callers keep flows open for many requests, so a flow's opening is the one decision,
//! openings are few, and uneven counts last. Each target's count of flows decides, own failure
//! domain first while its targets are not much fuller than the emptiest of all.

use catalog::TargetIndex;

/// By how many flows a slot the own domain's emptiest target may exceed the emptiest of all.
const SPILL_FLOWS_PER_SLOT: f64 = 2.0;

/// By which part the own domain's emptiest target may exceed the emptiest of all. Bytes between
/// failure domains cost and a cut breaks their flows.
const SPILL_RATIO: f64 = 0.3;

/// Why a target is chosen only if there is no better one, the least reason first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Doubt {
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
    pub doubt: Doubt,
    /// Its flows for each of its slots, those with a request under way counted more.
    pub load: f64,
}

/// The candidate with the least load among those with the least doubt, by `ties` among equals.
pub fn choose(candidates: &[Candidate], ties: u64) -> Option<TargetIndex> {
    let doubt = candidates.iter().map(|candidate| candidate.doubt).min()?;
    let best = || candidates.iter().filter(|candidate| candidate.doubt == doubt);
    let near = least(best().filter(|candidate| candidate.is_near), ties);
    let any = least(best(), ties)?;
    let bound = any.load * (1.0 + SPILL_RATIO) + SPILL_FLOWS_PER_SLOT;
    match near {
        Some(near) if near.load <= bound => Some(near.index),
        _ => Some(any.index),
    }
}

fn least<'a>(candidates: impl Iterator<Item = &'a Candidate>, ties: u64) -> Option<&'a Candidate> {
    candidates.min_by(|left, right| {
        let order = left.load.total_cmp(&right.load);
        order.then_with(|| tie(left, ties).cmp(&tie(right, ties)))
    })
}

fn tie(candidate: &Candidate, ties: u64) -> u64 {
    routing::mix(candidate.index.0 as u64, ties)
}
