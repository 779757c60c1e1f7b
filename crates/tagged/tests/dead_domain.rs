//! A host all of whose near targets are dead, and which has seen no progress yet.
//!
//! Failure scenario: the reference of each check is a near target that seems good, but is dead too,
//! so that no check decides.

mod support;

use catalog::TargetId;
use support::{FAR, Host, NEAR, data, opening, rows};
use tagged::{CheckVerdict, DueCheck, Verdict};

/// The interval at which the data thread asks for due checks, in milliseconds.
const STEP_MS: u64 = 50;

/// How long a check takes that gets no answer, in milliseconds.
const FAILED_CHECK_MS: u64 = 150;

/// When callers send the copies of an opening, in steps after the first one.
const COPY_STEPS: [u16; 3] = [0, 4, 12];

fn is_alive(target: TargetId) -> bool {
    target.0 > 6
}

fn verdict(due: DueCheck) -> CheckVerdict {
    match due.reference {
        _ if is_alive(due.target) => CheckVerdict::Answered,
        Some(reference) if !is_alive(reference) => CheckVerdict::Unclear,
        _ => CheckVerdict::Failed,
    }
}

/// Targets 1 to 6 are near and dead, 7 to 12 far and alive. Each step a caller opens a flow.
#[test]
fn new_host() {
    let near = (1..=6).map(|id| (id, NEAR));
    let targets: Vec<(u64, u64)> = near.chain((7..=12).map(|id| (id, FAR))).collect();
    let mut host = Host::new(&targets);
    host.set_rows(rows(&targets));
    let mut in_flight: Vec<(u64, DueCheck)> = Vec::new();
    let mut served_at_steps: Vec<Option<u16>> = vec![None; 100];
    let (mut checks, mut unclear_checks) = (0, 0);
    for step in 0..100_u16 {
        host.now_ms += STEP_MS;
        let now_ms = host.now_ms;
        let is_ended = |(at_ms, _): &mut (u64, DueCheck)| now_ms >= *at_ms + FAILED_CHECK_MS;
        for (at_ms, due) in in_flight.extract_if(.., is_ended) {
            checks += 1;
            unclear_checks += usize::from(verdict(due) == CheckVerdict::Unclear);
            host.dispatcher.on_check(due.target, verdict(due), at_ms, now_ms);
        }
        for (copy, after) in (0..).zip(COPY_STEPS) {
            let Some(caller) = step.checked_sub(after) else { continue };
            if served_at_steps[usize::from(caller)].is_some() {
                continue;
            }
            let verdict = host.send(&opening(caller, copy));
            if let Verdict::Forward { target, tag, .. } = verdict
                && is_alive(target)
            {
                host.send(&data(caller, tag, 6, 1));
                served_at_steps[usize::from(caller)] = Some(step);
            }
        }
        let due = host.dispatcher.take_due_checks(now_ms, now_ms);
        in_flight.extend(due.into_iter().map(|due| (now_ms, due)));
    }
    let first_served = served_at_steps.iter().flatten().min();
    // Callers that opened 1 s after the first one or later.
    let unserved = served_at_steps[20..80].iter().filter(|step| step.is_none()).count();
    assert!(
        unserved < 6,
        "{unserved} of 60 callers were not served, the first at step {first_served:?}; \
         {unclear_checks} of {checks} checks were unclear"
    );
}
