//! Verdicts that outlast the network partition they are from.
//!
//! Failure scenario: a host is cut off from a target and finds it dead. The delay between its checks
//! grows, so that the verdict holds for seconds after the cut. A flow that another host opened since
//! then moves to this host.

mod support;

use catalog::{FlowTag, TargetId};
use support::{Host, NEAR, data};
use tagged::{CheckVerdict, Verdict};

const TARGET: TargetId = TargetId(1);

/// The interval at which the data thread asks for due checks, in milliseconds.
const STEP_MS: u64 = 50;

/// How long a check takes that gets no answer, in milliseconds.
const FAILED_CHECK_MS: u64 = 130;

/// How long after a cut its ends count as sound, in milliseconds.
const SOUND_AFTER_MS: u64 = 5_000;

/// A host that is cut off from the target while time passes.
struct CutHost {
    host: Host,
    tag: FlowTag,
    heals_at_ms: u64,
    /// The checks without an answer so far, by the times of their start.
    pending_checks: Vec<u64>,
}

impl CutHost {
    /// A host that was cut off `found_after_ms` before its first check of the target.
    fn new(found_after_ms: u64, cut_ms: u64) -> CutHost {
        let mut host = Host::new(&[(1, NEAR)]);
        let tag = host.open(0, 0).1;
        host.send(&data(0, tag, 100, 50));
        let heals_at_ms = host.now_ms + cut_ms;
        host.now_ms += found_after_ms;
        let pending_checks = vec![host.now_ms];
        CutHost { host, tag, heals_at_ms, pending_checks }
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
            if now_ms < self.heals_at_ms {
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
fn sound_host(found_after_ms: u64, cut_ms: u64) -> CutHost {
    let mut cut = CutHost::new(found_after_ms, cut_ms);
    cut.run_until(cut.heals_at_ms + SOUND_AFTER_MS);
    cut
}

fn check_report(found_after_ms: u64, cut_ms: u64) {
    let cut = sound_host(found_after_ms, cut_ms);
    let is_reported = cut.host.dispatcher.loads().iter().any(|load| load.is_dead);
    assert!(!is_reported, "found after {found_after_ms} ms of a cut of {cut_ms} ms");
}

fn check_moved_flow(found_after_ms: u64, cut_ms: u64) {
    let mut cut = sound_host(found_after_ms, cut_ms);
    let verdict = cut.host.send(&data(1, cut.tag, 100, 50));
    let is_reset = matches!(verdict, Verdict::Reset(_));
    assert!(!is_reset, "found after {found_after_ms} ms of a cut of {cut_ms} ms: {verdict:?}");
}

#[test]
fn short_cut() {
    for found_after_ms in (100..5_000).step_by(100) {
        check_report(found_after_ms, 5_500);
        check_moved_flow(found_after_ms, 5_500);
    }
}

#[test]
fn reported_verdict() {
    for cut_ms in [6_500, 7_000, 8_000, 12_000] {
        check_report(100, cut_ms);
        check_report(400, cut_ms);
        check_report(1_000, cut_ms);
    }
}

#[test]
fn moved_flow() {
    for cut_ms in [6_500, 7_000, 8_000, 12_000] {
        check_moved_flow(100, cut_ms);
        check_moved_flow(400, cut_ms);
        check_moved_flow(1_000, cut_ms);
    }
}
