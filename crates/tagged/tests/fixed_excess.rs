//! Without a cost of leaving the failure domain, targets are chosen as ever.

use catalog::TargetIndex;
use proptest::prelude::*;
use tagged::{Candidate, ChoiceParams, ExitRule, Penalty, choose_target};

/// The choice with a fixed excess as the only rule.
fn reference(candidates: &[Candidate], params: ChoiceParams) -> Option<TargetIndex> {
    let penalty = candidates.iter().map(|it| it.penalty).min()?;
    let all: Vec<Candidate> =
        candidates.iter().copied().filter(|it| it.penalty == penalty).collect();
    let near: Vec<Candidate> = all.iter().copied().filter(|it| it.is_near).collect();
    let mean =
        |side: &[Candidate]| side.iter().map(|it| it.load).sum::<f64>() / side.len().max(1) as f64;
    let stays =
        !near.is_empty() && (!params.has_far_loads || mean(&near) <= mean(&all) * 1.3 + 2.0);
    let mut side = if stays { near } else { all };
    let emptiest = side.iter().min_by(|left, right| {
        let rank = |it: &Candidate| routing::mix(it.index.0 as u64, params.tie_seed);
        left.load.total_cmp(&right.load).then_with(|| rank(left).cmp(&rank(right)))
    })?;
    let emptiest = emptiest.index;
    if params.unreported_flows <= 0.0 {
        return Some(emptiest);
    }
    side.sort_by(|left, right| left.load.total_cmp(&right.load));
    let (mut slots, mut flows, mut level, mut count) = (0.0, 0.0, 0.0, 0);
    while count < side.len() && (count == 0 || side[count].load < level) {
        slots += f64::from(side[count].slots.max(1));
        flows += f64::from(side[count].slots.max(1)) * side[count].load;
        level = (params.unreported_flows + flows) / slots;
        count += 1;
    }
    let mut left = params.random_fraction * params.unreported_flows;
    for it in &side[..count] {
        left -= f64::from(it.slots.max(1)) * (level - it.load);
        if left < 0.0 {
            return Some(it.index);
        }
    }
    Some(emptiest)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    #[test]
    fn same_choices(
        targets in prop::collection::vec((any::<bool>(), any::<bool>(), 0..5_u16, 0..40_u8), 0..20),
        has_far_loads: bool,
        unreported_flows in prop_oneof![Just(0.0), 0.0..200.0],
        random_fraction in 0.0..1.0,
        tie_seed: u64,
    ) {
        let candidates: Vec<Candidate> = targets
            .iter()
            .enumerate()
            .map(|(index, &(is_near, is_suspect, slots, load))| Candidate {
                index: TargetIndex(index),
                is_near,
                penalty: if is_suspect { Penalty::Suspect } else { Penalty::None },
                slots,
                load: f64::from(load) / 4.0,
            })
            .collect();
        let exit_rule = ExitRule::FixedExcess;
        let params =
            ChoiceParams { has_far_loads, unreported_flows, random_fraction, tie_seed, exit_rule };
        prop_assert_eq!(choose_target(&candidates, params), reference(&candidates, params));
    }
}
