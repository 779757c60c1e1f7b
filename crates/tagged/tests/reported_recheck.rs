//! Rechecks of a target that another host reported dead.

mod support;

use catalog::{FlowTag, TargetId};
use routing::HostId;
use support::{Host, NEAR, data};
use tagged::{AnswerStats, CheckVerdict, HostLoad, TargetLoad, Verdict};

const TARGET: TargetId = TargetId(1);

/// The interval at which the data thread asks for due checks, in milliseconds.
const STEP_MS: u64 = 50;

/// A host with a stalled flow to the target.
fn stalled_host() -> (Host, FlowTag) {
    let mut host = Host::new(&[(1, NEAR)]);
    let tag = host.open(0, 0).1;
    host.send(&data(0, tag, 100, 50));
    (host, tag)
}

/// The caller sends its request, which has this sequence number, again; another host reports the
/// target dead.
fn report_death(host: &mut Host, tag: FlowTag, sequence: u32) {
    host.now_ms += 400;
    host.send(&data(0, tag, sequence, 50));
    let load = TargetLoad {
        target: TARGET,
        flows: 0,
        busy: 0,
        is_dead: true,
        answers: AnswerStats::default(),
    };
    let load = HostLoad { host: HostId(9), is_near: true, targets: vec![load] };
    host.dispatcher.on_report(load, host.now_ms);
}

/// Runs for `duration_ms`; each check has the outcome `verdict`. Returns how many there were.
fn run(host: &mut Host, duration_ms: u64, verdict: CheckVerdict) -> usize {
    let mut checks = 0;
    for _ in 0..duration_ms / STEP_MS {
        host.now_ms += STEP_MS;
        for target in host.due_checks() {
            checks += 1;
            host.dispatcher.on_check(target, verdict, host.now_ms, host.now_ms);
        }
    }
    checks
}

#[test]
fn after_earlier_deaths() {
    let (mut host, tag) = stalled_host();
    let now_ms = host.now_ms;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, now_ms + 1, now_ms + 1);
    run(&mut host, 7_000, CheckVerdict::Failed);
    host.dispatcher.take_resets();
    run(&mut host, 9_000, CheckVerdict::Answered);
    host.send(&data(0, tag, 200, 40));
    host.send(&data(0, tag, 300, 50));
    // The target has just answered a check, so a stalled flow makes no other check due.
    host.now_ms += 400;
    host.dispatcher.on_check(TARGET, CheckVerdict::Answered, host.now_ms, host.now_ms);
    report_death(&mut host, tag, 300);
    run(&mut host, 500, CheckVerdict::Answered);
    // A flow that was opened at another host comes here.
    let verdict = host.send(&data(1, tag, 100, 50));
    assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict:?}: no check for 500 ms");
}

#[test]
fn check_rate() {
    let (mut host, tag) = stalled_host();
    report_death(&mut host, tag, 100);
    let checks = run(&mut host, 2_000, CheckVerdict::Failed);
    assert!((1..=3).contains(&checks), "{checks} checks within two seconds");
}
