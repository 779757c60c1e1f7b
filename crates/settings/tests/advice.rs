//! Advice on trees that are valid.

use expect_test::{Expect, expect};
use settings::{advise, parse};

const VALID_TREE: &str = include_str!("../../../examples/agency.json");

/// Replaces `from` by `to` in a valid tree and compares the advice.
fn check(from: &str, to: &str, expected: Expect) {
    assert!(VALID_TREE.contains(from), "{from} is not in the tree");
    let tree = parse(&VALID_TREE.replacen(from, to, 1)).expect("the tree is valid");
    let lines: Vec<String> = advise(&tree)
        .iter()
        .map(|fault| format!("{} at {}: {}", fault.code.number(), fault.path, fault.cause))
        .collect();
    expected.assert_eq(&lines.join("\n"));
}

#[test]
fn sound_tree() {
    check("443", "443", expect![""]);
}

#[test]
fn unused_domain() {
    let domain = "\"failure_domains\": { \"nowhere\": {},";
    check(
        "\"failure_domains\": {",
        domain,
        expect!["118 at /failure_domains/nowhere: no upstream is in this failure domain"],
    );
}

#[test]
fn empty_slots() {
    check(
        "\"slots\": 3",
        "\"slots\": 3, \"connections\": 2",
        expect![[r#"
        119 at /services/certificates/upstreams/kenitra-1/targets/t01: connections 2 is below slots 3, so some slots stay empty
        119 at /services/certificates/upstreams/kenitra-1/targets/t02: connections 2 is below slots 3, so some slots stay empty
        119 at /services/certificates/upstreams/rabat-1/targets/t01: connections 2 is below slots 3, so some slots stay empty
        119 at /services/certificates/upstreams/rabat-2/targets/t01: connections 2 is below slots 3, so some slots stay empty"#]],
    );
}

#[test]
fn late_reset() {
    check(
        "\"idle_timeout_ms\":",
        "\"silent_timeout_ms\": 99000000, \"idle_timeout_ms\":",
        expect![[r#"
        119 at /services/certificates/listeners/downloads: silent_timeout_ms 99000000 is not below idle_timeout_ms 14400000: a flow is forgotten before it can be reset
        119 at /services/valuations/listeners/appraisals: silent_timeout_ms 99000000 is not below idle_timeout_ms 14400000: a flow is forgotten before it can be reset"#]],
    );
}

#[test]
fn unused_field() {
    check(
        "\"guaranteed_percent\":",
        "\"weight\": 7, \"guaranteed_percent\":",
        expect![
            "118 at /services/valuations/listeners/appraisals/policy/weight: listeners do not use weight"
        ],
    );
}
