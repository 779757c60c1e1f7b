//! Targets that another host reported dead and that the store no longer lists, but that serve.

mod support;

use catalog::{Presence, Revision, Row, TargetId};
use routing::HostId;
use support::{Host, NEAR, data, rows};
use tagged::{AnswerStats, HostLoad, TargetLoad, Verdict};

const TARGET: TargetId = TargetId(1);

#[test]
fn moved_flow() {
    let mut host = Host::new(&[(1, NEAR)]);
    let tag = host.directory.find_target(TARGET).and_then(|index| host.directory.tag_for(index));
    let load = TargetLoad {
        target: TARGET,
        flows: 0,
        busy: 0,
        is_dead: true,
        answers: AnswerStats::default(),
    };
    let load = HostLoad { host: HostId(9), is_near: true, targets: vec![load] };
    host.dispatcher.on_report(load, host.now_ms);
    host.now_ms += 1_000;
    let unlisted = rows(&[(1, NEAR)]).into_iter().map(|row| match row.record {
        catalog::Record::Target(_) => {
            Row { revision: Revision::new(1, 2), presence: Presence::Gone, ..row }
        }
        _ => row,
    });
    host.set_rows(unlisted.collect());
    // A flow that was opened at another host comes here, which has never checked the target.
    let verdict = host.send(&data(7, tag.expect("the target is known"), 100, 50));
    assert!(matches!(verdict, Verdict::Forward { .. }), "{verdict:?}");
    assert_eq!(host.due_checks(), [TARGET]);
}
