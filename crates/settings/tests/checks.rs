//! Faults of invalid trees and their texts.

use expect_test::{Expect, expect};
use settings::parse;

const VALID_TREE: &str = include_str!("../../../examples/agency.json");

/// Replaces `from` by `to` in a valid tree and compares the faults.
fn check(from: &str, to: &str, expected: Expect) {
    assert!(VALID_TREE.contains(from), "{from} is not in the tree");
    let faults = match parse(&VALID_TREE.replacen(from, to, 1)) {
        Ok(_) => "accepted".to_owned(),
        Err(faults) => {
            let lines: Vec<String> = faults
                .iter()
                .map(|fault| format!("{} at {}: {}", fault.code.number(), fault.path, fault.cause))
                .collect();
            lines.join("\n")
        }
    };
    expected.assert_eq(&faults);
}

#[test]
fn valid_tree() {
    check("443", "443", expect!["accepted"]);
}

#[test]
fn invalid_json() {
    check("{", "{,", expect!["101 at : line 1, column 2: key must be a string at line 1 column 2"]);
}

#[test]
fn unknown_field() {
    check(
        "\"idle_timeout_ms\"",
        "\"idle_timeout\"",
        expect![
            "102 at /policy: Additional properties are not allowed ('idle_timeout' was unexpected)"
        ],
    );
}

#[test]
fn wrong_type() {
    check(
        "\"slots\": 3",
        "\"slots\": \"three\"",
        expect![[r#"102 at /policy/slots: "three" is not of types "null", "integer""#]],
    );
}

#[test]
fn out_of_range() {
    check(
        "\"guaranteed_percent\": 60",
        "\"guaranteed_percent\": 160",
        expect![
            "102 at /services/valuations/listeners/appraisals/policy/guaranteed_percent: 160 is greater than the maximum of 100"
        ],
    );
}

#[test]
fn duplicate_target() {
    check(
        "10.1.2.2",
        "10.2.1.1",
        expect![
            "103 at /services/valuations/upstreams/rabat-1/targets/t02: 10.2.1.1 is already used by target /services/certificates/upstreams/kenitra-1/targets/t01"
        ],
    );
}

#[test]
fn duplicate_listener() {
    check(
        "\"port\": 444",
        "\"port\": 443",
        expect![
            "104 at /services/valuations/listeners/boards: 198.51.100.10:443 is already used by /services/valuations/listeners/appraisals"
        ],
    );
}

#[test]
fn share_overflow() {
    let session = "\"kind\": \"session\"";
    check(
        session,
        "\"kind\": \"session\", \"guaranteed_percent\": 50",
        expect![
            "105 at /services/valuations/listeners: the guaranteed shares add up to 110 percent"
        ],
    );
}

#[test]
fn share_over_cap() {
    check(
        "\"cap_percent\": 90",
        "\"cap_percent\": 50",
        expect![
            "111 at /services/valuations/listeners/appraisals: guaranteed_percent 60 exceeds cap_percent 50"
        ],
    );
}

#[test]
fn unknown_domain() {
    let domain = "\"failure_domain\": \"rabat-1\"";
    check(
        domain,
        "\"failure_domain\": \"rabat-9\"",
        expect![
            "107 at /services/valuations/upstreams/rabat-1/failure_domain: there is no failure domain 'rabat-9'"
        ],
    );
}

#[test]
fn address_role() {
    check(
        "10.1.2.2",
        "198.51.100.20",
        expect![
            "108 at /services/valuations/upstreams/rabat-1/targets/t02: 198.51.100.20 is also a service address"
        ],
    );
}

#[test]
fn address_family() {
    check(
        "10.1.2.2",
        "2001:db8::1",
        expect![
            "109 at /services/valuations/upstreams/rabat-1/targets/t02/address: 2001:db8::1 is not of the address family of the listeners"
        ],
    );
}

#[test]
fn duplicate_target_port() {
    check(
        "\"target_port\": 8444",
        "\"target_port\": 8443",
        expect![
            "110 at /services/valuations/listeners/boards/target_port: listener 'appraisals' already uses target port 8443"
        ],
    );
}

#[test]
fn datagram_request() {
    check(
        "\"port\": 444,",
        "\"port\": 444, \"transport\": \"udp\",",
        expect![
            "117 at /services/valuations/listeners/appraisals: a UDP flow of kind request would never free its slot"
        ],
    );
}

#[test]
fn bucket_count() {
    check(
        "\"bucket_count\": 4096",
        "\"bucket_count\": 4000",
        expect!["114 at /routing/bucket_count: 4000 is not a power of two"],
    );
}

#[test]
fn all_faults_reported() {
    let invalid_count = "\"bucket_count\": 4000";
    let tree = VALID_TREE.replacen("10.1.2.2", "10.2.1.1", 1);
    let faults = parse(&tree.replacen("\"bucket_count\": 4096", invalid_count, 1)).unwrap_err();
    let codes: Vec<u16> = faults.iter().map(|fault| fault.code.number()).collect();
    assert_eq!(codes, [114, 103]);
}
