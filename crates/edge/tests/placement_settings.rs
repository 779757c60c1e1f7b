//! The settings that switch decisions on, and bad ones.

use std::{fs, path::Path};

use edge::{EdgeSettings, PlacementSettings};

/// Reads settings with `placement` and compares the outcome: the settings, or a part of the error.
fn check(name: &str, placement: &str, expected: Result<PlacementSettings, &str>) {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("placement-{name}.json"));
    let address = "\"127.0.0.1:1\"";
    let text = format!(
        r#"{{"host": "a", "data_address": {address}, "ready_address": {address},
        "peer_address": {address}, "admin_address": {address}, "store_address": {address},
        "failure_domain": "d", "seed_addresses": [],
        "peer_key": "00000000000000000000000000000000"{placement}}}"#
    );
    fs::write(&path, text).expect("the file is written");
    match (EdgeSettings::read(&path), expected) {
        (Ok(settings), Ok(expected)) => assert_eq!(settings.placement, expected, "{name}"),
        (Err(error), Err(part)) => {
            let text = format!("{error:#}");
            assert!(text.contains(part), "{name}: {text}");
        }
        (read, _) => panic!("{name}: {read:?}"),
    }
}

#[test]
fn switches() {
    check("none", "", Ok(PlacementSettings::default()));
    let ordered = PlacementSettings { orders_by_priority: true, ..PlacementSettings::default() };
    check("ordered", r#", "placement": {"orders_by_priority": true}"#, Ok(ordered));
}

#[test]
fn bad_values() {
    let excess = |factor: f64| {
        format!(r#", "placement": {{"warmup_excess": {{"factor": {factor}, "slack": 5}}}}"#)
    };
    check("factor", &excess(0.5), Err("125: /placement/warmup_excess/factor"));
    check("negative", &excess(-1.5), Err("125: /placement/warmup_excess/factor"));
    let exit = r#", "placement": {"domain_exit": {"round_trip_us": -1, "price_us_per_kb": 0}}"#;
    check("round_trip", exit, Err("122: "));
    check("unknown", r#", "placement": {"weighs": true}"#, Err("unknown field `weighs`"));
}
