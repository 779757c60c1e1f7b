//! Replays recorded failure schedules and compares the outcome with the expected one.
//!
//! A trace is a file of JSON lines: the seed with a note, timed events, and the expected outcome.

use std::{fs, path::Path};

use fakes::{CallerKind, Faults, Lan, LanConfig, Report, ServiceSpec, tree};
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Line {
    Start { seed: u64 },
    Event { at_ms: u64, event: Event },
    Outcome { at_ms: u64, outcome: Outcome },
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Event {
    Open { kind: Kind, count: usize },
    Cut { domain: usize },
    Heal { domain: usize },
    Freeze { host: usize },
    Thaw { host: usize },
    Faults(FaultFields),
    Edit { targets: Vec<u8>, host: usize },
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Session,
    Request,
}

#[derive(Debug, Deserialize)]
struct FaultFields {
    #[serde(default)]
    late_percent: u32,
    #[serde(default)]
    late_ms: u64,
}

#[derive(Debug, PartialEq, Deserialize)]
struct Outcome {
    started: usize,
    broken: usize,
    taken_twice: usize,
    refused_but_taken: usize,
}

fn check(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/traces/{name}.jsonl"));
    let text = fs::read_to_string(path).unwrap();
    let mut lines = text.lines().map(|line| serde_json::from_str::<Line>(line).unwrap());
    let Some(Line::Start { seed }) = lines.next() else { panic!("the first line has the seed") };
    let mut lan = Lan::new(LanConfig { seed, ..LanConfig::default() });
    let start_ms = lan.elapsed_ms();
    for line in lines {
        match line {
            Line::Event { at_ms, event } => {
                lan.run_ms((start_ms + at_ms).saturating_sub(lan.elapsed_ms()));
                apply(&mut lan, event);
            }
            Line::Outcome { at_ms, outcome } => {
                lan.run_ms((start_ms + at_ms).saturating_sub(lan.elapsed_ms()));
                assert_eq!(outcome_of(&lan.report()), outcome, "{name}: {:?}", lan.report());
            }
            Line::Start { .. } => panic!("{name} starts twice"),
        }
    }
}

fn apply(lan: &mut Lan, event: Event) {
    match event {
        Event::Open { kind: Kind::Session, count } => {
            lan.open(1, CallerKind::Session { interval_ms: 300 }, count);
        }
        Event::Open { kind: Kind::Request, count } => {
            lan.open(1, CallerKind::Request, count);
        }
        Event::Cut { domain } => lan.set_cut(domain, true),
        Event::Heal { domain } => lan.set_cut(domain, false),
        Event::Freeze { host } => lan.freeze(host),
        Event::Thaw { host } => lan.thaw(host),
        Event::Faults(fields) => lan.set_faults(Faults {
            late_percent: fields.late_percent,
            late_ms: fields.late_ms,
            ..Faults::default()
        }),
        Event::Edit { targets, host } => {
            lan.apply(&tree(&[ServiceSpec { targets, ..ServiceSpec::default() }]), host);
        }
    }
}

fn outcome_of(report: &Report) -> Outcome {
    Outcome {
        started: report.started,
        broken: report.broken,
        taken_twice: report.taken_twice,
        refused_but_taken: report.refused_but_taken,
    }
}

#[test]
fn late_and_cut() {
    check("late_and_cut");
}

#[test]
fn cut_then_late() {
    check("cut_then_late");
}

#[test]
fn cut_and_freeze() {
    check("cut_and_freeze");
}

#[test]
fn cut_and_edit() {
    check("cut_and_edit");
}

#[test]
fn delayed_opening_copy() {
    check("cut_and_freeze_again");
}

#[test]
fn other_domain_freeze() {
    check("freeze_in_other_domain");
}
