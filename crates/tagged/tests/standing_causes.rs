//! The cause that is logged with each change of a target's standing.

mod support;

use catalog::{Presence, Record, Revision, Row, TargetId};
use routing::HostId;
use support::{Host, NEAR, data, rows};
use tagged::{
    AnswerStats, CheckVerdict, Event, HostLoad, Standing, StandingCause, TargetLoad, View,
};

const TARGET: TargetId = TargetId(1);
const REPORTER: HostId = HostId(9);

/// Runs `act` on a host with two flows and checks the standings of their target and the causes.
fn check(act: impl FnOnce(&mut Host, catalog::FlowTag), expected: &[(Standing, StandingCause)]) {
    let mut host = Host::new(&[(1, NEAR)]);
    let (_, tag) = host.open(0, 0);
    host.open(1, 0);
    host.send(&data(0, tag, 100, 50));
    host.send(&data(1, tag, 100, 50));
    host.now_ms += 400;
    act(&mut host, tag);
    let (events, _) = host.dispatcher.take_events();
    let causes: Vec<(Standing, StandingCause)> = events
        .into_iter()
        .filter_map(|event| match event {
            Event::Standing { standing, cause, .. } => Some((standing, cause)),
            _ => None,
        })
        .collect();
    assert_eq!(causes, expected);
}

fn fail_check(host: &mut Host) {
    let now_ms = host.now_ms;
    host.dispatcher.on_check(TARGET, CheckVerdict::Failed, now_ms, now_ms);
}

fn report_death(host: &mut Host) {
    let targets = vec![TargetLoad {
        target: TARGET,
        flows: 0,
        busy: 0,
        is_dead: true,
        answers: AnswerStats::default(),
    }];
    let report = HostLoad { host: REPORTER, is_near: true, targets };
    host.dispatcher.on_report(report, host.now_ms);
}

#[test]
fn own_evidence() {
    check(
        |host, tag| {
            host.send(&data(0, tag, 100, 50));
            host.send(&data(1, tag, 100, 50));
            host.send(&data(0, tag, 200, 90));
        },
        &[(Standing::Suspect, StandingCause::Evidence), (Standing::Good, StandingCause::Progress)],
    );
}

#[test]
fn own_check() {
    check(|host, _| fail_check(host), &[(Standing::Dead, StandingCause::Check)]);
}

#[test]
fn death_report() {
    check(
        |host, _| {
            report_death(host);
            host.now_ms += 8_000;
            let view = View { directory: &host.directory, age_ms: 100, can_place_flows: true };
            host.dispatcher.on_tick(view, host.now_ms);
        },
        &[
            (Standing::Suspect, StandingCause::Report(REPORTER)),
            (Standing::Good, StandingCause::Expiry),
        ],
    );
}

#[test]
fn unlisted_target() {
    check(
        |host, tag| {
            fail_check(host);
            host.now_ms += 3_000;
            host.due_checks();
            host.send(&data(2, tag, 100, 50));
            let is_target = |row: &Row| matches!(row.record, Record::Target(_));
            let mut gone = rows(&[(1, NEAR)]);
            for row in gone.iter_mut().filter(|row| is_target(row)) {
                (row.revision, row.presence) = (Revision::new(1, 2), Presence::Gone);
            }
            host.set_rows(gone);
        },
        &[
            (Standing::Dead, StandingCause::Check),
            (Standing::Suspect, StandingCause::Expiry),
            (Standing::Dead, StandingCause::Unlisted),
        ],
    );
}
