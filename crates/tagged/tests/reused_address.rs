//! Targets that die while the store is unavailable, and others that start at their addresses.
//!
//! A check of such an address succeeds although the old target is dead; it must get no new flows.

mod support;

use catalog::{FlowTag, Presence, Record, Revision, Row, TargetId};
use support::{Host, NEAR, data, rows};
use tagged::{AnswerStats, CheckVerdict, HostLoad, Reason, TargetLoad, Verdict, View};

const DEAD: TargetId = TargetId(1);

impl Host {
    /// Advances the time in steps. The view ages if the store is unavailable.
    fn advance(&mut self, duration_ms: u64, is_store_available: bool) {
        for _ in 0..duration_ms / 100 {
            self.now_ms += 100;
            self.view_age_ms = if is_store_available { 100 } else { self.view_age_ms + 100 };
            let view = View {
                directory: &self.directory,
                age_ms: self.view_age_ms,
                can_place_flows: true,
            };
            self.dispatcher.on_tick(view, self.now_ms);
        }
    }

    /// Opens 20 flows, none of which is answered, and counts those to the dead target.
    fn openings_to_dead(&mut self, first_caller: u16) -> usize {
        let targets: Vec<TargetId> =
            (first_caller..first_caller + 20).map(|caller| self.open(caller, 0).0).collect();
        targets.into_iter().filter(|target| *target == DEAD).count()
    }
}

/// A host on which target 1 failed a check while the store is unavailable; targets 2 and 3 serve.
fn host_after_death() -> Host {
    let mut host = Host::new(&[(1, NEAR), (2, NEAR), (3, NEAR)]);
    let now_ms = host.now_ms;
    host.dispatcher.on_check(DEAD, CheckVerdict::Failed, now_ms, now_ms);
    host
}

fn tag_of_dead(host: &Host) -> FlowTag {
    let tag = host.directory.find_target(DEAD).and_then(|index| host.directory.tag_for(index));
    tag.expect("the target is known")
}

fn pass_check(host: &mut Host) {
    let now_ms = host.now_ms;
    host.dispatcher.on_check(DEAD, CheckVerdict::Answered, now_ms - 5, now_ms);
}

#[test]
fn reused_address() {
    let mut host = host_after_death();
    host.advance(3_000, false);
    pass_check(&mut host);
    assert_eq!(host.openings_to_dead(10), 0, "another target may have started there");
    host.advance(4_000, false);
    assert_eq!(
        host.openings_to_dead(40),
        0,
        "the store is unavailable, so nothing confirms the target"
    );
    // The store is back. By now, the entry of a dead target would have lapsed.
    host.advance(1_000, true);
    assert!(host.openings_to_dead(70) > 0, "the target is still listed, so it is alive");
}

#[test]
fn answer_before_reuse() {
    let mut host = host_after_death();
    host.advance(600, false);
    pass_check(&mut host);
    assert!(host.openings_to_dead(10) > 0, "the address cannot have been reused so soon");
}

#[test]
fn flow_progress() {
    let mut host = host_after_death();
    let tag = tag_of_dead(&host);
    host.advance(3_000, false);
    pass_check(&mut host);
    // A flow opened through another host moves to this one and makes progress.
    host.send(&data(300, tag, 10, 10));
    host.send(&data(300, tag, 10, 500));
    assert!(
        host.openings_to_dead(10) > 0,
        "progress on a flow proves that the old target is alive"
    );
}

#[test]
fn reported_death() {
    let mut host = Host::new(&[(1, NEAR), (2, NEAR), (3, NEAR)]);
    let report = HostLoad {
        host: routing::HostId(9),
        is_near: true,
        targets: vec![TargetLoad {
            target: DEAD,
            flows: 0,
            busy: 0,
            is_dead: true,
            answers: AnswerStats::default(),
        }],
    };
    host.dispatcher.on_report(report, host.now_ms);
    host.advance(4_000, false);
    assert_eq!(
        host.openings_to_dead(10),
        0,
        "the store has not confirmed the target since the report"
    );
}

#[test]
fn gone_after_death() {
    let mut host = host_after_death();
    let tag = tag_of_dead(&host);
    host.advance(3_000, false);
    pass_check(&mut host);
    host.send(&data(300, tag, 10, 10));
    let gone = rows(&[(1, NEAR), (2, NEAR), (3, NEAR)])
        .into_iter()
        .map(|row| match &row.record {
            Record::Target(target) if target.id == DEAD => {
                Row { revision: Revision::new(1, 2), presence: Presence::Gone, ..row }
            }
            _ => row,
        })
        .collect();
    host.set_rows(gone);
    // The store, which is available again, has told so.
    host.view_age_ms = 100;
    assert!(host.due_checks().is_empty(), "another target may answer at the address");
    assert_eq!(host.send(&data(300, tag, 10, 10)), Verdict::Reset(Reason::TargetGone));
}
