//! Openings to a service with too little room are placed in the order of their priorities.

mod support;

use catalog::TargetId;
use routing::HostId;
use support::{Host, opening, rows_with_priorities, to_port};
use tagged::{AnswerStats, Config, Dispatcher, Event, HostLoad, Reason, TargetLoad, Verdict, View};

const URGENT: u16 = 443;
const PATIENT: u16 = 444;
const TARGETS: u64 = 4;

/// Has another host report this many requests in flight at each target.
fn report(host: &mut Host, flows: u32, busy: u32) {
    let answers = AnswerStats::default();
    let load = |id| TargetLoad { target: TargetId(id), flows, busy, is_dead: false, answers };
    let targets = (1..=TARGETS).map(load).collect();
    let load = HostLoad { host: HostId(1), is_near: true, targets };
    host.dispatcher.on_report(load, host.now_ms);
}

fn open(host: &mut Host, port: u16, copy: u32) -> Verdict {
    host.now_ms += 50;
    host.send(&to_port(port, opening((host.now_ms / 50) as u16, copy)))
}

/// The fates of `count` openings to `port`, with the other host's report renewed before each.
fn open_many(host: &mut Host, port: u16, busy: u32, count: usize) -> Vec<Verdict> {
    let open_one = |_| {
        report(host, busy, busy);
        open(host, port, 0)
    };
    (0..count).map(open_one).collect()
}

fn tick(host: &mut Host) {
    let view = View { directory: &host.directory, age_ms: 0, can_place_flows: true };
    host.dispatcher.on_tick(view, host.now_ms);
}

fn placed(verdicts: &[Verdict]) -> usize {
    verdicts.iter().filter(|verdict| matches!(verdict, Verdict::Forward { .. })).count()
}

/// A host that knows both listeners' demand and has seen no room for 2 s.
fn short_host() -> Host {
    let mut host = Host::with_priorities(&[0, 255], TARGETS, 1_000);
    open(&mut host, URGENT, 0);
    for _ in 0..20 {
        open_many(&mut host, URGENT, 6, 1);
        open_many(&mut host, PATIENT, 6, 1);
    }
    host
}

#[test]
fn urgent_placed() {
    let mut host = short_host();
    assert_eq!(placed(&open_many(&mut host, URGENT, 6, 20)), 20);
    let patient = open_many(&mut host, PATIENT, 6, 20);
    assert!(patient.contains(&Verdict::Reset(Reason::Crowded)));
    host.now_ms += 2_000;
    tick(&mut host);
    let (events, _) = host.dispatcher.take_events();
    let ended = |event: &Event| matches!(event, Event::Shortage(change) if change.refused > 0);
    assert!(events.iter().any(ended), "{events:?}");
    assert!(host.dispatcher.counters().held()[7] > 0);
}

#[test]
fn floor_kept() {
    let mut host = short_host();
    for _ in 0..100 {
        open_many(&mut host, URGENT, 6, 1);
        open_many(&mut host, PATIENT, 6, 1);
    }
    // An eighth of all openings of the service.
    let patient = placed(&open_many(&mut host, PATIENT, 6, 80));
    assert!((9..=11).contains(&patient), "{patient} of 80");
}

#[test]
fn borrowed_returns() {
    let mut host = Host::with_priorities(&[0, 1], TARGETS, 1_000);
    // Without recent urgent openings, the others use all the room.
    assert_eq!(placed(&open_many(&mut host, PATIENT, 6, 20)), 20);
    assert_eq!(placed(&open_many(&mut host, URGENT, 6, 1)), 1);
    assert!(placed(&open_many(&mut host, PATIENT, 6, 20)) <= 3);
    assert_eq!(placed(&open_many(&mut host, PATIENT, 0, 20)), 20);
}

#[test]
fn refused_truthfully() {
    let mut host = short_host();
    for _ in 0..20 {
        report(&mut host, 6, 6);
        assert!(!matches!(open(&mut host, PATIENT, 1), Verdict::Reset(_)));
    }
    host.view_age_ms = Config::default().max_view_age_ms + 1;
    let verdicts = open_many(&mut host, PATIENT, 6, 20);
    assert!(!verdicts.iter().any(|verdict| matches!(verdict, Verdict::Reset(_))));
}

#[test]
fn overdue_ignored() {
    let mut host = short_host();
    // One overdue request of weight 20 at each target.
    assert_eq!(placed(&open_many(&mut host, PATIENT, 21, 20)), 20);
}

#[test]
fn old_report_ignored() {
    let mut host = short_host();
    report(&mut host, 6, 6);
    let old_at_ms = host.now_ms + 2_000;
    for _ in 0..20 {
        host.now_ms += 200;
        assert!(
            !matches!(open(&mut host, PATIENT, 0), Verdict::Reset(_)) || host.now_ms <= old_at_ms
        );
    }
    tick(&mut host);
    assert_eq!(placed(&[open(&mut host, PATIENT, 0)]), 1);
    // Without targets the service is not crowded.
    host.set_rows(rows_with_priorities(&[0, 255], 0, 1_000));
    assert_eq!(open(&mut host, PATIENT, 0), Verdict::Drop(Reason::NoTarget));
}

#[test]
fn equal_unchanged() {
    let mut hosts = [short_host(), short_host()];
    hosts[1].dispatcher = Dispatcher::new(Config { domain_seed: 1, ..Config::default() }, 1);
    hosts[0] = Host::with_priorities(&[3, 3], TARGETS, 1_000);
    hosts[1].set_rows(rows_with_priorities(&[3, 3], TARGETS, 1_000));
    hosts[1].now_ms = hosts[0].now_ms;
    let choices = hosts.map(|mut host| {
        [URGENT, PATIENT]
            .repeat(50)
            .into_iter()
            .flat_map(|port| open_many(&mut host, port, 9, 1))
            .collect::<Vec<_>>()
    });
    assert_eq!(choices[0], choices[1]);
}

#[test]
fn flow_cap() {
    let check = |flows_max, reported, copy, expected: Option<Verdict>| {
        let mut host = Host::with_priorities(&[0, 1], TARGETS, flows_max);
        report(&mut host, reported, 0);
        let verdict = open(&mut host, URGENT, copy);
        match expected {
            Some(expected) => assert_eq!(verdict, expected, "{flows_max} {reported}"),
            None => assert_eq!(placed(&[verdict]), 1, "{flows_max} {reported}"),
        }
    };
    check(0, 0, 0, Some(Verdict::Reset(Reason::Crowded)));
    check(0, 0, 1, Some(Verdict::Drop(Reason::Crowded)));
    check(5, 5, 0, Some(Verdict::Drop(Reason::Crowded)));
    check(5, 4, 0, None);
    let mut host = Host::with_priorities(&[0, 1], TARGETS, 2);
    let fates: Vec<Verdict> = (0..10).map(|_| open(&mut host, URGENT, 0)).collect();
    assert_eq!(placed(&fates), 8);
}
