//! Limits the openings that targets in their warm-up get from all hosts together.
//!
//! Load pattern: a failure domain returns, and all its targets are cold and empty at once. Hundreds of
//! hosts, whose load reports are stale, would all open flows to them. The limit on a target's openings
//! is therefore dealt out to hosts as permits, and after the warm-up its share grows gradually.

use std::collections::VecDeque;

use catalog::{Directory, TargetId};
use hashbrown::HashMap;
use routing::{HostId, mix};

use crate::{WarmupLimit, permits::Members};

/// How long after an opening its permit may be used again, in milliseconds: a second, in which
/// openings are counted, and the variation of the way to the target.
const PERMIT_INTERVAL_MS: u64 = 1_200;

/// How many sides that know nothing of each other may each hand out all permits: the hosts that hold
/// them, and the majority that takes over those of hosts which vanished.
const SIDES: u64 = 2;

/// The largest number of permits that one host keeps for one target.
const MAX_HELD: u64 = 256;

/// How long the share of a target grows after its warm-up, in milliseconds: several intervals
/// between load reports.
const RAMP_MS: u64 = 5_000;

/// How long the targets of a failure domain count as cold after its evacuation was lifted, in
/// milliseconds: a few intervals between announcements, in which those that became cold say so.
const LIFTED_MS: u64 = 3_000;

/// How long a caller repeats an opening, in milliseconds.
const PATIENCE_MS: u64 = 600;

/// The period after its start during which a target is slow.
#[derive(Debug, Clone, Copy)]
struct Warmup {
    ends_at_ms: u64,
    total_ms: u32,
}

/// A warm-up in which all hosts together are limited.
#[derive(Debug)]
struct LimitedWarmup {
    /// The edition of the row that told it.
    edition: u64,
    started_at_ms: u64,
    domain_seed: u64,
    ends_at_ms: u64,
    /// Until when the target counts as cold even if its row tells no warm-up.
    presumed_until_ms: u64,
    /// The number of permits of all hosts.
    permits: u64,
    /// The permits of this host, and the version of the members by which they were dealt.
    held: Option<(u64, usize)>,
    /// When this host sent its last openings, within [`PERMIT_INTERVAL_MS`].
    openings_ms: VecDeque<u64>,
}

impl LimitedWarmup {
    fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.ends_at_ms
    }

    /// The share that is left of the time in which its share of the flows grows.
    fn ramp_left(&self, now_ms: u64) -> Option<f64> {
        let left_ms = (self.ends_at_ms + RAMP_MS).checked_sub(now_ms).filter(|left| *left > 0)?;
        Some((left_ms as f64 / RAMP_MS as f64).min(1.0))
    }

    /// When this host has a permit to use; `None` if it holds none.
    fn next_permit_ms(&self, now_ms: u64) -> Option<u64> {
        let held = self.held.map_or(0, |held| held.1);
        if held == 0 {
            return None;
        }
        let oldest = self.openings_ms.len().checked_sub(held);
        let oldest_ms = oldest.map(|oldest| self.openings_ms[oldest]);
        Some(oldest_ms.map_or(now_ms, |at_ms| now_ms.max(at_ms + PERMIT_INTERVAL_MS)))
    }
}

/// The targets in their warm-up.
#[derive(Debug, Default)]
pub(crate) struct Warmups {
    warmups: HashMap<TargetId, Warmup>,
    limited: HashMap<TargetId, LimitedWarmup>,
    /// The failure domains that the last directory evacuates, sorted.
    evacuated: Vec<u64>,
    members: Members,
}

impl Warmups {
    /// Applies a new directory.
    pub(crate) fn on_directory(
        &mut self,
        directory: &Directory,
        limit: Option<WarmupLimit>,
        now_ms: u64,
    ) {
        self.warmups.retain(|target, _| directory.find_target(*target).is_some());
        for target in directory.targets().filter(|target| target.warmup_ms > 0) {
            let total_ms = target.warmup_ms;
            let ends_at_ms = now_ms + u64::from(total_ms);
            self.warmups.entry(target.id).or_insert(Warmup { ends_at_ms, total_ms });
        }
        match limit {
            Some(limit) => self.update_limited(directory, limit, now_ms),
            None => {
                self.limited.clear();
                self.evacuated.clear();
            }
        }
    }

    /// Applies the warm-ups that rows tell which are new to this host. The time that is left counts
    /// from the receipt of a row, which is not before its write, so a target never counts as warm
    /// too early. The news that an evacuation is lifted may overtake such rows, so the targets of
    /// its failure domain count as cold for a while.
    fn update_limited(&mut self, directory: &Directory, limit: WarmupLimit, now_ms: u64) {
        let evacuations = directory.evacuations().iter();
        let evacuated = evacuations.map(|evacuation| evacuation.domain_seed).collect();
        let lifted = std::mem::replace(&mut self.evacuated, evacuated);
        self.limited.retain(|target, warmup| {
            let index = directory.find_target(*target);
            let is_told = index.is_some_and(|index| directory.target(index).warmup_ms > 0);
            // A row that is not written again must not begin the warm-up again.
            is_told || index.is_some() && warmup.ramp_left(now_ms).is_some()
        });
        for (target, edition) in directory.targets_with_editions() {
            let known = self.limited.get_mut(&target.id);
            let is_lifted = lifted.binary_search(&target.domain_seed).is_ok()
                && !directory.is_evacuated(target.domain_seed);
            if known.is_none() && target.warmup_ms == 0 && !is_lifted {
                continue;
            }
            let service = directory.find_service(target.service_seed);
            let Some(per_ks) = service.and_then(|service| service.warmup_openings_per_ks) else {
                self.limited.remove(&target.id);
                continue;
            };
            let permits = limit.openings_per_second(per_ks) / SIDES;
            let ends_at_ms = now_ms + u64::from(target.warmup_ms);
            let presumed_until_ms = if is_lifted { now_ms + LIFTED_MS } else { 0 };
            let Some(warmup) = known else {
                self.limited.insert(
                    target.id,
                    LimitedWarmup {
                        edition,
                        started_at_ms: target.started_at_ms,
                        domain_seed: target.domain_seed,
                        ends_at_ms: ends_at_ms.max(presumed_until_ms),
                        presumed_until_ms,
                        permits,
                        held: None,
                        openings_ms: VecDeque::new(),
                    },
                );
                continue;
            };
            if warmup.permits != permits || warmup.started_at_ms != target.started_at_ms {
                warmup.held = None;
            }
            warmup.permits = permits;
            warmup.presumed_until_ms = warmup.presumed_until_ms.max(presumed_until_ms);
            warmup.ends_at_ms = warmup.ends_at_ms.max(presumed_until_ms);
            if warmup.edition == edition && warmup.started_at_ms == target.started_at_ms {
                continue;
            }
            warmup.started_at_ms = target.started_at_ms;
            warmup.edition = edition;
            let told_end_ms = match target.warmup_ms {
                0 => warmup.ends_at_ms.min(now_ms),
                _ => ends_at_ms,
            };
            warmup.ends_at_ms = told_end_ms.max(warmup.presumed_until_ms);
        }
    }

    /// Applies the hosts that this host knows, itself included, each with its failure domain.
    pub(crate) fn on_members(&mut self, me: HostId, members: &[(HostId, u64)], now_ms: u64) {
        self.members.update(me, members, now_ms);
    }

    /// Whether `target` is in a warm-up with a limit.
    pub(crate) fn is_limited(&self, target: TargetId, now_ms: u64) -> bool {
        self.limited.get(&target).is_some_and(|warmup| warmup.is_cold(now_ms))
    }

    /// The share of its warm-up that `target` has before it, or `None` if it is warm. With a limit
    /// the share falls once the warm-up has ended.
    pub(crate) fn share_left(&self, target: TargetId, now_ms: u64) -> Option<f64> {
        if let Some(limited) = self.limited.get(&target) {
            return limited.ramp_left(now_ms);
        }
        let warmup = self.warmups.get(&target)?;
        let left_ms = warmup.ends_at_ms.checked_sub(now_ms).filter(|left_ms| *left_ms > 0)?;
        Some(left_ms as f64 / f64::from(warmup.total_ms))
    }

    /// Whether this host may send an opening to `target` now. `opening_seed` is drawn for each
    /// opening; it decides for all targets whose share grows, since the share of a whole failure
    /// domain is to grow.
    pub(crate) fn may_open(&mut self, target: TargetId, opening_seed: u64, now_ms: u64) -> bool {
        let Some(warmup) = self.limited.get_mut(&target) else { return true };
        if !warmup.is_cold(now_ms) {
            let draw = mix(opening_seed, 0) as f64 / u64::MAX as f64;
            if warmup.ramp_left(now_ms).is_none_or(|left| draw >= left) {
                return true;
            }
        }
        let version = self.members.version(now_ms);
        if warmup.held.is_none_or(|held| held.0 != version) {
            let target_seed = mix(target.0, warmup.started_at_ms);
            let held = self.members.share(target_seed, warmup.domain_seed, warmup.permits, now_ms);
            warmup.held = Some((version, held.min(MAX_HELD) as usize));
        }
        warmup.next_permit_ms(now_ms).is_some_and(|at_ms| at_ms <= now_ms)
    }

    /// Whether this host may send an opening to `target` while its caller still repeats it.
    pub(crate) fn may_open_soon(&self, target: TargetId, now_ms: u64) -> bool {
        let Some(warmup) = self.limited.get(&target) else { return true };
        let next_ms = warmup.next_permit_ms(now_ms).unwrap_or(u64::MAX).min(warmup.ends_at_ms);
        next_ms <= now_ms + PATIENCE_MS || !self.members.is_settled(now_ms)
    }

    /// Records that this host sends an opening to `target`.
    pub(crate) fn record_opening(&mut self, target: TargetId, now_ms: u64) {
        let Some(warmup) = self.limited.get_mut(&target) else { return };
        while warmup.openings_ms.front().is_some_and(|at_ms| at_ms + PERMIT_INTERVAL_MS <= now_ms) {
            warmup.openings_ms.pop_front();
        }
        warmup.openings_ms.push_back(now_ms);
    }
}
