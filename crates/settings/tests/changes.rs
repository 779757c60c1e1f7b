//! Rejected changes between trees, inherited values, storage round trips, compiled tables and the
//! committed schema.

use expect_test::{Expect, expect};
use settings::{
    Blobs, Root, Snapshot, TargetState, Tree, check_change, explain, pack, parse, unpack,
};

fn tree() -> Tree {
    parse(include_str!("../../../examples/kompostkoll.json")).unwrap()
}

fn check(change: impl FnOnce(&mut Tree), expected: Expect) {
    let old = tree();
    let mut new = tree();
    change(&mut new);
    let faults: Vec<String> =
        check_change(&old, &new).iter().map(|fault| fault.to_string()).collect();
    expected.assert_eq(&faults.join("\n"));
}

fn targets(tree: &mut Tree) -> &mut std::collections::BTreeMap<String, settings::TargetNode> {
    let service = tree.services.get_mut("status").unwrap();
    &mut service.upstreams.get_mut("stockholm-2").unwrap().targets
}

#[test]
fn removed_while_active() {
    check(
        |tree| {
            targets(tree).remove("t02");
        },
        expect![[
            r#"112 at /services/status/upstreams/stockholm-2/targets/t02: target 10.3.2.2 is removed while it may hold open flows (set its state to "leaving" first and remove it once it holds no flow)"#
        ]],
    );
}

#[test]
fn removed_after_leaving() {
    let mut old = tree();
    targets(&mut old).get_mut("t02").unwrap().policy.state = Some(TargetState::Leaving);
    let mut new = old.clone();
    targets(&mut new).remove("t02");
    assert_eq!(check_change(&old, &new), []);
}

#[test]
fn immutable_values() {
    check(
        |tree| tree.routing.bucket_count = 8192,
        expect![
            "113 at /routing: the assignment of flows to hosts would change while flows are open (leave the routing node unchanged)"
        ],
    );
}

#[test]
fn inherited_values() {
    let explained = explain(&tree(), "/services/status/listeners/apps").unwrap();
    let lines: Vec<String> = explained
        .iter()
        .map(|(field, explained)| {
            format!("{field} = {} from {}", explained.value, explained.origin)
        })
        .collect();
    expect![[r#"
        connections = 5200 from /services/status
        idle_timeout_ms = 14400000 from /
        kind = "session" from /services/status/listeners/apps
        priority = 2 from /services/status/listeners/apps
        slots = 3 from /
        slow_start_ms = 5000 from /"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn unknown_path() {
    let fault = explain(&tree(), "/services/nothing").unwrap_err();
    assert_eq!(fault.code.number(), 115);
}

#[test]
fn pack_round_trip() {
    let tree = tree();
    let packed = pack(&tree);
    let root = Root {
        revision: 1,
        previous: None,
        writer_nonce: 0,
        note: String::new(),
        accepted_at_ms: 0,
        base: packed.base,
        groups: packed.groups,
    };
    assert_eq!(unpack(&root, &packed.blobs), Ok(tree));
    let missing = unpack(&root, &Blobs::new()).unwrap_err();
    assert_eq!(missing.to_string(), "3 blobs are missing");
}

#[test]
fn edit_blob_count() {
    let old = pack(&tree());
    let mut edited = tree();
    targets(&mut edited).get_mut("t02").unwrap().policy.weight = Some(50);
    let new = pack(&edited);
    let written = new.blobs.keys().filter(|digest| !old.blobs.contains_key(digest)).count();
    // The blob of the service and the blob of its group.
    assert_eq!(written, 2);
}

#[test]
fn compiled_tables() {
    let snapshot = Snapshot::compile(&tree(), 7);
    let target = snapshot.find_target("10.3.2.4".parse().unwrap()).unwrap();
    let listener_id =
        snapshot.find_listener_by_target_port(target, flow::Protocol::Tcp, 8444).unwrap();
    assert_eq!(snapshot.listener(listener_id).name, "crew-reports");
    assert!(snapshot.find_listener_by_target_port(target, flow::Protocol::Udp, 8444).is_none());
}

#[test]
fn committed_schema() {
    let committed = include_str!("../../../docs/settings.schema.json");
    let schema = serde_json::to_string_pretty(&settings::schema()).unwrap() + "\n";
    assert_eq!(committed, schema, "run: wagtailstall schema > docs/settings.schema.json");
}
