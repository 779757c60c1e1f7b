//! Verdicts that outlast the outage they are from.
//!
//! Failure scenario: a target is cut off from a host, or goes down and up again, and the host finds
//! it dead. The delay between checks grows, so that the verdict holds for seconds after the outage.
//! A flow that another host opened since then moves to this host.

mod support;

use catalog::{FlowTag, TargetId};
use support::{Host, NEAR, data};
use tagged::{CheckVerdict, Verdict};

const TARGET: TargetId = TargetId(1);

/// The interval at which the data thread asks for due checks, in milliseconds.
const STEP_MS: u64 = 50;

/// How long a check takes that gets no answer, in milliseconds.
const FAILED_CHECK_MS: u64 = 130;

/// How long after an outage its ends count as sound, in milliseconds.
const SOUND_AFTER_MS: u64 = 5_000;

/// A period in which the target cannot be reached, or only by turns.
#[derive(Debug, Clone, Copy)]
struct Outage {
    length_ms: u64,
    /// How long the target is down and then up in turn; down all the time if this is `None`.
    turn_ms: Option<u64>,
}

impl Outage {
    fn is_down(&self, elapsed_ms: u64) -> bool {
        let is_down_turn =
            self.turn_ms.is_none_or(|turn_ms| (elapsed_ms / turn_ms).is_multiple_of(2));
        elapsed_ms < self.length_ms && is_down_turn
    }
}

/// A host that checks the target during an outage and after it.
struct CheckingHost {
    host: Host,
    tag: FlowTag,
    outage: Outage,
    outage_at_ms: u64,
    /// The checks without an answer so far, by the times of their start.
    pending_checks: Vec<u64>,
}

impl CheckingHost {
    /// A host that first checks the target `found_after_ms` after the outage began.
    fn new(found_after_ms: u64, outage: Outage) -> CheckingHost {
        let mut host = Host::new(&[(1, NEAR)]);
        let tag = host.open(0, 0).1;
        host.send(&data(0, tag, 100, 50));
        let outage_at_ms = host.now_ms;
        host.now_ms += found_after_ms;
        let pending_checks = vec![host.now_ms];
        CheckingHost { host, tag, outage, outage_at_ms, pending_checks }
    }

    fn step(&mut self) {
        self.host.now_ms += STEP_MS;
        let now_ms = self.host.now_ms;
        let is_ended = |started_at_ms: &mut u64| now_ms >= *started_at_ms + FAILED_CHECK_MS;
        for started_at_ms in self.pending_checks.extract_if(.., is_ended) {
            let failed = CheckVerdict::Failed;
            self.host.dispatcher.on_check(TARGET, failed, started_at_ms, now_ms);
        }
        for target in self.host.due_checks() {
            if self.outage.is_down(now_ms - self.outage_at_ms) {
                self.pending_checks.push(now_ms);
            } else {
                self.host.dispatcher.on_check(target, CheckVerdict::Answered, now_ms, now_ms);
            }
        }
    }

    fn run_until(&mut self, at_ms: u64) {
        while self.host.now_ms < at_ms {
            self.step();
        }
    }
}

/// The state at the first time at which a reset counts against this host.
fn sound_host(found_after_ms: u64, outage: Outage) -> CheckingHost {
    let mut checking = CheckingHost::new(found_after_ms, outage);
    checking.run_until(checking.outage_at_ms + outage.length_ms + SOUND_AFTER_MS);
    checking
}

fn check_report(found_after_ms: u64, outage: Outage) {
    let checking = sound_host(found_after_ms, outage);
    let is_reported = checking.host.dispatcher.loads().iter().any(|load| load.is_dead);
    assert!(!is_reported, "reported dead, found after {found_after_ms} ms of {outage:?}");
}

fn check_moved_flow(found_after_ms: u64, outage: Outage) {
    let mut checking = sound_host(found_after_ms, outage);
    let verdict = checking.host.send(&data(1, checking.tag, 100, 50));
    let is_reset = matches!(verdict, Verdict::Reset(_));
    assert!(!is_reset, "{verdict:?}, found after {found_after_ms} ms of {outage:?}");
}

fn cut(length_ms: u64) -> Outage {
    Outage { length_ms, turn_ms: None }
}

/// A target that goes down and up.
fn flapping(length_ms: u64, turn_ms: u64) -> Outage {
    Outage { length_ms, turn_ms: Some(turn_ms) }
}

#[test]
fn short_cut() {
    for found_after_ms in (100..5_000).step_by(100) {
        check_report(found_after_ms, cut(5_500));
        check_moved_flow(found_after_ms, cut(5_500));
    }
}

#[test]
fn long_cut_report() {
    for length_ms in [6_500, 7_000, 8_000, 12_000] {
        check_report(100, cut(length_ms));
        check_report(400, cut(length_ms));
        check_report(1_000, cut(length_ms));
    }
}

#[test]
fn long_cut_flow() {
    for length_ms in [6_500, 7_000, 8_000, 12_000] {
        check_moved_flow(100, cut(length_ms));
        check_moved_flow(400, cut(length_ms));
        check_moved_flow(1_000, cut(length_ms));
    }
}

#[test]
fn flapping_report() {
    for turn_ms in [550, 700, 1_100, 1_400] {
        for found_after_ms in (200..550).step_by(50) {
            check_report(found_after_ms, flapping(6_800, turn_ms));
        }
    }
}

#[test]
fn flapping_flow() {
    for turn_ms in [550, 700, 1_100, 1_400] {
        for found_after_ms in (200..550).step_by(50) {
            check_moved_flow(found_after_ms, flapping(6_800, turn_ms));
        }
    }
}
