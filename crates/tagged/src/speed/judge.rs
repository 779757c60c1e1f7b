//! Compares each target with the others of its service.

use catalog::{Directory, TargetId};
use hashbrown::HashMap;

use super::AnswerStats;

/// The lowest and the highest relative speed.
const RELATIVE_RANGE: (f64, f64) = (0.15, 1.5);

/// Speeds that differ by less than this factor count as equal.
const DEAD_ZONE: f64 = 1.4;

/// The factors by which a relative speed falls and rises at most from one judgement to the next.
/// It rises more slowly, so that not all hosts refill a target at once.
const MAX_STEP: (f64, f64) = (0.6, 1.2);

/// How many answers a target needs to be compared, and how many targets with as many the others of
/// its service must be.
const MIN_ANSWERS: u64 = 10;

/// See [`MIN_ANSWERS`].
const MIN_PEERS: usize = 4;

/// How many answers at the median each target is assumed to have besides its own, so that few slow
/// ones count little.
const PRIOR_ANSWERS: f64 = 10.0;

/// How many answers or failures of one host count at most.
const MAX_HOST_COUNT: u32 = 10_000;

/// How many failures it takes to set a target aside.
const MIN_FAILURES: u64 = 3;

/// Which share of its requests a target must fail to be set aside. Hosts see only a part of the
/// failures: short answers on long flows are acknowledged late.
const MIN_FAILURE_SHARE: f64 = 0.08;

/// The share for a target that is slow, since some of its requests are overdue for that reason.
const MIN_SLOW_FAILURE_SHARE: f64 = 0.5;

/// How many times the median share of its service a target must fail to be set aside.
const MIN_FAILURE_RATIO: f64 = 3.0;

/// One of how many targets of a service is set aside at most.
const MIN_TARGETS_EACH: usize = 5;

/// How long a target is set aside for the first time, in milliseconds: by then the reports of its
/// failures are replaced. It doubles with each repetition, up to [`MAX_ASIDE_MS`].
const INITIAL_ASIDE_MS: u64 = 6_000;

/// See [`INITIAL_ASIDE_MS`].
const MAX_ASIDE_MS: u64 = 48_000;

/// How long a target that was taken back gets few openings and is not judged, in milliseconds.
const PROBATION_MS: u64 = 4_000;

/// How long after its start a target is not judged, in milliseconds: other hosts may report the
/// answers of its earlier start for as long.
const RESTART_MS: u64 = 6_000;

/// How a target answered all hosts.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Sums {
    answers: u64,
    failures: u64,
    /// The sum over `answers` of the inverse of the time in microseconds.
    rate_sum: f64,
}

impl Sums {
    pub(super) fn add(&mut self, stats: AnswerStats) {
        self.failures += u64::from(stats.failures.min(MAX_HOST_COUNT));
        if stats.mean_us > 0 {
            let answers = stats.answers.min(MAX_HOST_COUNT);
            self.answers += u64::from(answers);
            self.rate_sum += f64::from(answers) / f64::from(stats.mean_us);
        }
    }

    /// The logarithm of the mean time.
    fn mean_log(&self) -> Option<f64> {
        (self.answers >= MIN_ANSWERS).then(|| (self.answers as f64 / self.rate_sum).ln())
    }

    fn failure_share(&self) -> f64 {
        self.failures as f64 / (self.answers + self.failures).max(1) as f64
    }
}

/// A target to be judged.
#[derive(Debug, Clone, Copy)]
struct Judged {
    service_seed: u64,
    target: TargetId,
    slots: u16,
    sums: Sums,
}

impl Judged {
    fn answers_per_slot(&self) -> f64 {
        self.sums.answers as f64 / f64::from(self.slots.max(1))
    }
}

/// What is held against one target.
#[derive(Debug, Clone, Copy)]
pub(super) struct Verdict {
    pub(super) relative: f64,
    /// Until when it is set aside; 0 if it is not.
    aside_until_ms: u64,
    /// For how long it was last set aside.
    aside_ms: u64,
    /// From when it is judged by its answers.
    judged_from_ms: u64,
}

impl Verdict {
    const NONE: Verdict =
        Verdict { relative: 1.0, aside_until_ms: 0, aside_ms: 0, judged_from_ms: 0 };

    pub(super) fn not_judged_yet(now_ms: u64) -> Verdict {
        Verdict { judged_from_ms: now_ms + RESTART_MS, ..Verdict::NONE }
    }

    pub(super) fn is_set_aside(&self) -> bool {
        self.aside_until_ms > 0
    }

    /// Whether forgetting it changes nothing.
    fn is_obsolete(&self, now_ms: u64) -> bool {
        let end_ms = self.judged_from_ms + self.aside_ms;
        self.relative == 1.0 && !self.is_set_aside() && now_ms >= end_ms
    }

    fn approach(&mut self, goal: f64) {
        let (fall, rise) = MAX_STEP;
        let (floor, ceiling) = RELATIVE_RANGE;
        let next = goal.clamp(self.relative * fall, self.relative * rise);
        self.relative = next.clamp(floor, ceiling);
    }

    fn set_aside(&mut self, now_ms: u64) {
        self.aside_ms = (2 * self.aside_ms).clamp(INITIAL_ASIDE_MS, MAX_ASIDE_MS);
        self.aside_until_ms = now_ms + self.aside_ms;
    }

    fn take_back(&mut self, now_ms: u64) {
        self.aside_until_ms = 0;
        self.judged_from_ms = now_ms + PROBATION_MS;
        self.relative = RELATIVE_RANGE.0;
    }
}

/// A target that was set aside or taken back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Change {
    pub(crate) target: TargetId,
    pub(crate) is_set_aside: bool,
    pub(crate) answers: u64,
    pub(crate) failures: u64,
}

/// Updates `verdicts` by how the targets answered all hosts.
pub(super) fn judge(
    verdicts: &mut HashMap<TargetId, Verdict>,
    directory: &Directory,
    sums: &HashMap<TargetId, Sums>,
    now_ms: u64,
) -> Vec<Change> {
    verdicts.retain(|target, _| directory.find_target(*target).is_some());
    let mut judged: Vec<Judged> = directory
        .targets()
        .filter(|target| sums.contains_key(&target.id) || verdicts.contains_key(&target.id))
        .map(|target| Judged {
            service_seed: target.service_seed,
            target: target.id,
            slots: target.slots,
            sums: sums.get(&target.id).copied().unwrap_or_default(),
        })
        .collect();
    judged.sort_unstable_by_key(|judged| (judged.service_seed, judged.target));
    let mut changes = Vec::new();
    for service in judged.chunk_by(|one, other| one.service_seed == other.service_seed) {
        let target_count = directory.open_targets(service[0].service_seed).count();
        judge_speeds(verdicts, service, now_ms);
        take_back(verdicts, service, now_ms, &mut changes);
        set_aside(verdicts, service, target_count / MIN_TARGETS_EACH, now_ms, &mut changes);
    }
    verdicts.retain(|_, verdict| !verdict.is_obsolete(now_ms));
    changes
}

fn judge_speeds(verdicts: &mut HashMap<TargetId, Verdict>, service: &[Judged], now_ms: u64) {
    let compared = || service.iter().filter_map(|judged| Some((judged, judged.sums.mean_log()?)));
    let has_peers = compared().count() > MIN_PEERS;
    let middle = median(compared().map(|(_, mean_log)| mean_log).collect());
    let middle_rate = median(compared().map(|(judged, _)| judged.answers_per_slot()).collect());
    let middles = middle.zip(middle_rate).filter(|_| has_peers);
    for judged in service {
        let target = &judged.target;
        let goal = middles.zip(judged.sums.mean_log()).map_or(1.0, |((middle, rate), mean_log)| {
            let answers = judged.sums.answers as f64;
            let relative = ((middle - mean_log) * answers / (answers + PRIOR_ANSWERS)).exp();
            // A target that answers more requests than its peers is fuller, not slower.
            let fullness = (judged.answers_per_slot() / rate).max(1.0);
            let relative =
                if relative < 1.0 { (relative * fullness.powi(2)).min(1.0) } else { relative };
            let is_even = (1.0 / DEAD_ZONE..=DEAD_ZONE).contains(&relative);
            if is_even { 1.0 } else { relative }
        });
        let known = verdicts.contains_key(target);
        if !known && goal == 1.0 {
            continue;
        }
        let verdict = verdicts.entry(*target).or_insert(Verdict::NONE);
        if now_ms >= verdict.judged_from_ms {
            verdict.approach(goal);
        }
    }
}

/// Takes back the targets whose time is over, unless they still fail requests of older flows.
fn take_back(
    verdicts: &mut HashMap<TargetId, Verdict>,
    service: &[Judged],
    now_ms: u64,
    changes: &mut Vec<Change>,
) {
    let limit = FailureLimit::new(service);
    for Judged { target, sums, .. } in service {
        let Some(verdict) = verdicts.get_mut(target) else { continue };
        if !verdict.is_set_aside() || now_ms < verdict.aside_until_ms {
            continue;
        }
        if limit.is_reached(sums) {
            verdict.set_aside(now_ms);
            continue;
        }
        verdict.take_back(now_ms);
        changes.push(Change::new(*target, verdict, sums));
    }
}

/// Sets aside the targets that fail the largest shares of their requests.
fn set_aside(
    verdicts: &mut HashMap<TargetId, Verdict>,
    service: &[Judged],
    max_aside: usize,
    now_ms: u64,
    changes: &mut Vec<Change>,
) {
    let is_aside = |target| verdicts.get(&target).is_some_and(Verdict::is_set_aside);
    let aside = service.iter().filter(|judged| is_aside(judged.target)).count();
    let limit = FailureLimit::new(service);
    let mut failing: Vec<(TargetId, Sums)> = service
        .iter()
        .filter(|judged| limit.is_reached(&judged.sums) && !is_aside(judged.target))
        .filter(|judged| {
            let verdict = verdicts.get(&judged.target);
            verdict.is_none_or(|verdict| now_ms >= verdict.judged_from_ms)
        })
        .map(|judged| (judged.target, judged.sums))
        .collect();
    failing.sort_by(|one, other| other.1.failure_share().total_cmp(&one.1.failure_share()));
    for (target, sums) in failing.into_iter().take(max_aside.saturating_sub(aside)) {
        let verdict = verdicts.entry(target).or_insert(Verdict::NONE);
        verdict.set_aside(now_ms);
        changes.push(Change::new(target, verdict, &sums));
    }
}

impl Change {
    fn new(target: TargetId, verdict: &Verdict, sums: &Sums) -> Change {
        let (answers, failures) = (sums.answers, sums.failures);
        Change { target, is_set_aside: verdict.is_set_aside(), answers, failures }
    }
}

/// From when the targets of a service count as failing.
#[derive(Debug, Clone, Copy)]
struct FailureLimit {
    share: f64,
    /// The logarithm of the mean time from which a target is slow.
    slow_log: Option<f64>,
}

impl FailureLimit {
    /// If all hosts or links fail requests, no target is to blame.
    fn new(service: &[Judged]) -> FailureLimit {
        let shares = service.iter().map(|judged| judged.sums.failure_share()).collect();
        let middle_share = median(shares).unwrap_or(0.0);
        let mean_logs = service.iter().filter_map(|judged| judged.sums.mean_log()).collect();
        FailureLimit {
            share: (MIN_FAILURE_RATIO * middle_share).clamp(MIN_FAILURE_SHARE, 1.0),
            slow_log: median(mean_logs).map(|middle_log| middle_log + DEAD_ZONE.ln()),
        }
    }

    fn is_reached(&self, sums: &Sums) -> bool {
        let is_slow = self.slow_log.zip(sums.mean_log()).is_some_and(|(slow, mean)| mean > slow);
        let share = if is_slow { self.share.max(MIN_SLOW_FAILURE_SHARE) } else { self.share };
        sums.failures >= MIN_FAILURES && sums.failure_share() >= share
    }
}

/// The lower of the two middle values if their number is even.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}
