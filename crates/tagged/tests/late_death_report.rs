//! Reports of a death that are older than what the host has seen of the target itself.
//!
//! Failure scenario: a host was cut off from a target and holds its verdict until its next check.
//! Each of its load reports repeats the verdict. Other hosts reach the target all the time.

mod support;

use catalog::{FlowTag, TargetId};
use routing::HostId;
use support::{Host, NEAR, data};
use tagged::{AnswerStats, CheckVerdict, HostLoad, TargetLoad, Verdict};

const TARGET: TargetId = TargetId(1);

/// What this host sees of the target after the verdict was first reported.
#[derive(Debug, Clone, Copy)]
enum SignOfLife {
    Progress,
    CheckAnswer,
}

/// What later looks like a failure of the target.
#[derive(Debug, Clone, Copy)]
enum Evidence {
    UnansweredOpening,
    StalledFlow,
}

fn death_report(from: u64) -> HostLoad {
    let load = TargetLoad {
        target: TARGET,
        flows: 0,
        busy: 0,
        is_dead: true,
        answers: AnswerStats::default(),
    };
    HostLoad { host: HostId(from), is_near: true, targets: vec![load] }
}

/// A host with two flows to the target, each with a request in flight.
fn busy_host() -> (Host, FlowTag) {
    let mut host = Host::new(&[(1, NEAR)]);
    let tag = host.open(0, 0).1;
    host.open(1, 0);
    host.send(&data(0, tag, 100, 50));
    host.send(&data(1, tag, 100, 50));
    (host, tag)
}

fn show(host: &mut Host, tag: FlowTag, sign: SignOfLife) {
    match sign {
        SignOfLife::Progress => {
            host.send(&data(0, tag, 200, 90));
        }
        SignOfLife::CheckAnswer => {
            let now_ms = host.now_ms;
            host.dispatcher.on_check(TARGET, CheckVerdict::Answered, now_ms - 5, now_ms);
        }
    }
}

fn add(host: &mut Host, tag: FlowTag, evidence: Evidence) {
    match evidence {
        Evidence::UnansweredOpening => {
            host.open(2, 0);
            host.now_ms += 60;
            host.due_checks();
        }
        Evidence::StalledFlow => {
            host.send(&data(1, tag, 100, 50));
        }
    }
}

fn assert_kept(host: &mut Host, tag: FlowTag, case: &str) {
    assert!(host.dispatcher.take_resets().is_empty(), "{case}: flows were reset without a check");
    let verdict = host.send(&data(0, tag, 300, 90));
    assert!(matches!(verdict, Verdict::Forward { .. }), "{case}: {verdict:?}");
}

fn check_repeated(sign: SignOfLife, evidence: Evidence) {
    let (mut host, tag) = busy_host();
    host.now_ms += 400;
    host.dispatcher.on_report(death_report(9), host.now_ms);
    host.now_ms += 100;
    show(&mut host, tag, sign);
    host.now_ms += 1_200;
    add(&mut host, tag, evidence);
    host.dispatcher.on_report(death_report(9), host.now_ms);
    assert_kept(&mut host, tag, &format!("{sign:?}, {evidence:?}"));
}

fn check_after_answer(evidence: Evidence) {
    let (mut host, tag) = busy_host();
    host.now_ms += 1_000;
    show(&mut host, tag, SignOfLife::CheckAnswer);
    host.now_ms += 50;
    add(&mut host, tag, evidence);
    host.dispatcher.on_report(death_report(9), host.now_ms);
    assert_kept(&mut host, tag, &format!("{evidence:?}"));
}

#[test]
fn progress_then_opening() {
    check_repeated(SignOfLife::Progress, Evidence::UnansweredOpening);
}

#[test]
fn progress_then_stall() {
    check_repeated(SignOfLife::Progress, Evidence::StalledFlow);
}

#[test]
fn answer_then_opening() {
    check_repeated(SignOfLife::CheckAnswer, Evidence::UnansweredOpening);
}

#[test]
fn answer_then_stall() {
    check_repeated(SignOfLife::CheckAnswer, Evidence::StalledFlow);
}

// The check is more recent than the report, whose age is unknown.

#[test]
fn opening_after_answer() {
    check_after_answer(Evidence::UnansweredOpening);
}

#[test]
fn stall_after_answer() {
    check_after_answer(Evidence::StalledFlow);
}
