//! Collects the candidate targets for a new flow, with their load and health.

use catalog::{Listener, TargetId, TargetIndex};
use rand::RngExt;

use crate::{
    Admission, Candidate, ChoiceParams, Dispatcher, Penalty, Reason, Standing, View, choose_target,
};

/// The weight of a request in flight relative to an open flow. Callers that keep flows open have a
/// request in flight on them about a tenth of the time.
const BUSY_WEIGHT: f64 = 0.5;

/// The factor by which a target is slower during its warm-up, and by which its load counts more.
const WARMUP_FACTOR: f64 = 1.6;

/// How many targets of a failure domain must be suspect or dead, while none makes progress, for the
/// domain to count as silent.
const MIN_SILENT_TARGETS: usize = 2;

/// The time constant of the average in [`OpeningRate`], in milliseconds; the same as the maximum
/// age that a load report contributes to the unreported flows.
const RATE_DECAY_MS: f64 = 2_000.0;

/// The rate at which this host opens flows to a service, as an exponentially decaying average.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpeningRate {
    service_seed: u64,
    /// Openings per millisecond as of `at_ms`.
    per_ms: f64,
    at_ms: u64,
}

impl OpeningRate {
    fn at(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.per_ms * (-passed_ms / RATE_DECAY_MS).exp()
    }

    fn add(&mut self, now_ms: u64) {
        self.per_ms = self.at(now_ms) + 1.0 / RATE_DECAY_MS;
        self.at_ms = now_ms;
    }
}

/// Why an opening is not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unplaced {
    /// The caller's next copy of the opening may be placed.
    Waiting(Reason),
    /// It is refused.
    Refused(Reason),
}

impl Dispatcher {
    /// Chooses the target for a new flow; `tried` did not answer earlier openings of it.
    pub(super) fn place_flow(
        &mut self,
        view: View<'_>,
        listener: &Listener,
        tried: &[TargetId],
        now_ms: u64,
    ) -> Result<TargetIndex, Unplaced> {
        let Some(service_seed) = self.draw_service(listener) else {
            return Err(no_target(view, listener));
        };
        let params = ChoiceParams {
            has_far_loads: self.reported.has_far_loads(),
            unreported_flows: self.unreported_flows(service_seed, now_ms),
            random_fraction: self.rng.random(),
            tie_seed: self.rng.random(),
        };
        self.record_opening(service_seed, now_ms);
        let tried_domains: Vec<u64> = tried
            .iter()
            .filter_map(|target| view.directory.find_target(*target))
            .map(|index| view.directory.target(index).domain_seed)
            .collect();
        let silent_domains = self.silent_domains(view, now_ms);
        let candidates: Vec<Candidate> = view
            .directory
            .open_targets(service_seed)
            .map(|index| {
                let target = view.directory.target(index);
                let is_near = target.domain_seed == self.config.domain_seed;
                let penalty = match self.health.standing(target.id) {
                    _ if tried.contains(&target.id) => Penalty::Tried,
                    Standing::Dead => Penalty::Dead,
                    Standing::Suspect => Penalty::Suspect,
                    Standing::Good if self.speeds.is_set_aside(target.id) => Penalty::Suspect,
                    Standing::Good if silent_domains.contains(&target.domain_seed) => {
                        Penalty::DomainSilent
                    }
                    Standing::Good if !is_near && tried_domains.contains(&target.domain_seed) => {
                        Penalty::DomainTried
                    }
                    Standing::Good => Penalty::None,
                };
                let load = self.load(target.id, target.slots) / self.speeds.relative(target.id);
                Candidate { index, is_near, penalty, slots: target.slots, load }
            })
            .collect();
        match self.precedence.decide(listener, &candidates, now_ms) {
            Admission::Place => {}
            Admission::Wait => return Err(Unplaced::Waiting(Reason::Crowded)),
            Admission::Refuse => return Err(Unplaced::Refused(Reason::Crowded)),
        }
        if candidates.is_empty() {
            return Err(no_target(view, listener));
        }
        let mut candidates = self.apply_slow_start(view, candidates, now_ms);
        let id = |candidate: &Candidate| view.directory.target(candidate.index).id;
        let mut is_held_back =
            |candidate: &Candidate| !self.warmups.may_open(id(candidate), params.tie_seed, now_ms);
        let mut held_back: Vec<Candidate> =
            candidates.extract_if(.., |candidate| is_held_back(candidate)).collect();
        let is_unlikely = |candidate: &Candidate| candidate.penalty >= Penalty::Dead;
        if candidates.iter().all(is_unlikely) {
            // No other target would take the flows that are kept from those that are warm again.
            let is_warm =
                |candidate: &mut Candidate| !self.warmups.is_limited(id(candidate), now_ms);
            candidates.extend(held_back.extract_if(.., is_warm));
        }
        // A cold target later is better than a dead one now.
        if held_back.iter().all(is_unlikely) || !candidates.iter().all(is_unlikely) {
            return choose_target(&candidates, params).ok_or(Unplaced::Waiting(Reason::Cold));
        }
        match held_back.iter().any(|held| self.warmups.may_open_soon(id(held), now_ms)) {
            true => Err(Unplaced::Waiting(Reason::Cold)),
            false => Err(Unplaced::Refused(Reason::Cold)),
        }
    }

    /// Estimates how many flows other hosts of this failure domain have opened to a service since
    /// their last reports, assuming that each opens as many as this host.
    fn unreported_flows(&self, service_seed: u64, now_ms: u64) -> f64 {
        let rate = self.opening_rates.iter().find(|rate| rate.service_seed == service_seed);
        rate.map_or(0.0, |rate| rate.at(now_ms) * self.reported.unreported_ms(now_ms) as f64)
    }

    fn record_opening(&mut self, service_seed: u64, now_ms: u64) {
        let rates = &mut self.opening_rates;
        let position = rates.binary_search_by_key(&service_seed, |rate| rate.service_seed);
        let position = position.unwrap_or_else(|position| {
            rates.insert(position, OpeningRate { service_seed, per_ms: 0.0, at_ms: now_ms });
            position
        });
        rates[position].add(now_ms);
    }

    /// The other failure domains in which several targets are silent and none makes progress. They
    /// are likely cut off from this host.
    fn silent_domains(&self, view: View<'_>, now_ms: u64) -> Vec<u64> {
        let since_ms = now_ms.saturating_sub(self.config.recent_progress_ms);
        let mut silent: Vec<u64> = Vec::new();
        let mut responsive: Vec<u64> = Vec::new();
        for position in 0..view.directory.target_count() {
            let target = view.directory.target(TargetIndex(position));
            if target.domain_seed == self.config.domain_seed {
                continue;
            }
            if self.health.has_progress_since(target.id, since_ms) {
                responsive.push(target.domain_seed);
            } else if self.health.standing(target.id) != Standing::Good {
                silent.push(target.domain_seed);
            }
        }
        silent.sort_unstable();
        let domains = silent.chunk_by(|left, right| left == right);
        domains
            .filter(|domain| domain.len() >= MIN_SILENT_TARGETS && !responsive.contains(&domain[0]))
            .map(|domain| domain[0])
            .collect()
    }

    /// Draws a service of the listener at random, by the weights of its shares.
    fn draw_service(&mut self, listener: &Listener) -> Option<u64> {
        let total: u32 = listener.shares.iter().map(|share| share.weight).sum();
        if total == 0 {
            return None;
        }
        let mut drawn = self.rng.random_range(0..total);
        for share in &listener.shares {
            if drawn < share.weight {
                return Some(share.service_seed);
            }
            drawn -= share.weight;
        }
        None
    }

    /// Increases the load of candidates in their warm-up, so that they get new flows gradually.
    ///
    /// Load pattern: a target is replaced, and all its flows are opened again within a second. The
    /// new target, which is empty but still slow, would get all of them. The mean load of the warm
    /// targets is therefore added to its own at its start, and ever less of it until the warm-up
    /// ends.
    fn apply_slow_start(
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

    /// The weighted flows per slot of `target`, over all hosts.
    fn load(&self, target: TargetId, slots: u16) -> f64 {
        let own_load = self.own_load.get(&target).copied().unwrap_or_default();
        let reported = self.reported.get(target);
        let flows = f64::from(own_load.flows + reported.flows);
        let busy = f64::from(own_load.weighted_busy() + reported.busy);
        (flows + BUSY_WEIGHT * busy) / f64::from(slots.max(1))
    }
}

/// Why no target takes flows of `listener`.
fn no_target(view: View<'_>, listener: &Listener) -> Unplaced {
    let directory = view.directory;
    let has_evacuated = directory.targets().any(|target| {
        let is_served =
            listener.shares.iter().any(|share| share.service_seed == target.service_seed);
        is_served && directory.is_evacuated(target.domain_seed)
    });
    match directory.has_targets(listener) {
        true if has_evacuated => Unplaced::Refused(Reason::Evacuated),
        true => Unplaced::Refused(Reason::NoTarget),
        // Announcements that lapsed in an outage of the store return, so the caller's next copy of
        // the opening may find a target.
        false => Unplaced::Waiting(Reason::NoTarget),
    }
}
