//! Entries that another writer left among those of the targets, against the real program.
//!
//! Failure scenario: hosts that read such an entry end, or no longer hear of targets that leave.

use std::{path::Path, thread, time::Duration};

use platform_stand_ins::{HostState, Layout, Testbed, foreign_entry};
use serde_json::json;

const DEPTH: usize = 100_000;

/// Keys of other writers that contain the id of a target. The last one differs from the target's own in
/// the number of leading zeros only.
const KEY_FORMS: [fn(&str) -> String; 4] = [
    |id| format!("plan-{id}"),
    |id| format!("{id}-2"),
    |id| id.replace("i-", "x-"),
    |id| id.replace("i-", "i-0000"),
];

fn start(name: &str) -> Testbed {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let folder = folder.join(format!("{name}-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_wagtailstalld"));
    Testbed::start(program, &folder, Layout::default()).expect("the bed starts")
}

/// Asserts that all requests of a second are answered, and that no flow of a live target was reset.
fn assert_served(bed: &Testbed, context: &str) {
    bed.recorder().take_request_counts();
    thread::sleep(Duration::from_millis(1_000));
    let counts = bed.recorder().take_request_counts();
    assert!(counts.answered > 0 && counts.answered == counts.total(), "{context}: {counts:?}");
    assert_eq!(bed.recorder().violations(), Vec::<String>::new(), "{context}");
}

/// Entries at the address of a running target, of which one field is missing or of another type: hosts
/// took each for a later start and reset the flows of the running one.
#[test]
fn incomplete_copies() {
    let bed = start("incomplete_copies");
    thread::sleep(Duration::from_millis(4_500));
    let targets = bed.target_zones().len();
    let (_, entry) = bed.announcement(0, "ready");
    for (number, field) in entry.as_object().expect("an object").keys().enumerate() {
        let (_, mut entry) = bed.announcement(number % targets, "ready");
        entry.as_object_mut().expect("an object").remove(field);
        bed.write_foreign_entry(&format!("i-00bad{number:05x}"), entry.to_string().as_bytes());
        entry[field] = json!({ "odd": true });
        bed.write_foreign_entry(&format!("i-00cad{number:05x}"), entry.to_string().as_bytes());
        thread::sleep(Duration::from_millis(1_000));
        assert_served(&bed, field);
    }
}

/// Copies of all entries under keys that contain the ids of the targets: hosts took them for the targets'
/// own, and all targets for gone once the copies were deleted.
#[test]
fn copies_under_other_keys() {
    let bed = start("copies_under_other_keys");
    thread::sleep(Duration::from_millis(4_500));
    let targets = bed.target_zones().len();
    for form in KEY_FORMS {
        let mut names = Vec::new();
        for index in 0..targets {
            let (id, mut entry) = bed.announcement(index, "draining");
            entry["service"] = json!("another");
            entry["sequence"] = json!(1_000);
            names.push(form(&id));
            bed.write_foreign_entry(&form(&id), entry.to_string().as_bytes());
        }
        thread::sleep(Duration::from_millis(1_500));
        assert_served(&bed, &names[0]);
        names.iter().for_each(|name| bed.remove_foreign_entry(name));
        thread::sleep(Duration::from_millis(1_500));
        assert_served(&bed, &format!("{} is removed", names[0]));
    }
}

/// A copy of the entry of a leaving target that calls it ready: hosts went on opening flows to it.
#[test]
fn copies_of_a_leaving_target() {
    let mut bed = start("copies_of_a_leaving_target");
    thread::sleep(Duration::from_millis(4_500));
    let (id, mut entry) = bed.announcement(0, "ready");
    entry["sequence"] = json!(1_000);
    for form in KEY_FORMS {
        bed.write_foreign_entry(&form(&id), entry.to_string().as_bytes());
    }
    thread::sleep(Duration::from_millis(1_000));
    bed.drain_target(0);
    thread::sleep(Duration::from_millis(1_000));
    // From now on readers find the target's entry and the copies in listings.
    bed.discard_history();
    thread::sleep(Duration::from_millis(5_000));
    assert_served(&bed, "a target leaves");
}

#[test]
fn hosts_keep_following() {
    let mut bed = start("odd_entries");
    let values = [
        "[".repeat(DEPTH),
        format!("{}{}", "{\"service\":".repeat(DEPTH), "}".repeat(DEPTH)),
        foreign_entry("state", &format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH))),
        foreign_entry("address", "\"10.9.9.9:99999\""),
        foreign_entry("address", "\"10.9.9.9:0\""),
        foreign_entry("address", "\"255.255.255.255:80\""),
        foreign_entry("slots", "1e400"),
        foreign_entry("slots", "0"),
        foreign_entry("sequence", "99999999999999999999999"),
        foreign_entry("born", "-1"),
        foreign_entry("service", "7"),
        String::new(),
    ];
    for (number, value) in values.iter().enumerate() {
        bed.write_foreign_entry(&format!("i-fffffff{number:x}"), value.as_bytes());
    }
    bed.write_foreign_entry("no id & no sense", &[0xff; 300]);
    thread::sleep(Duration::from_millis(1_000));
    // These read the entries in a watch; a host that starts lists them.
    bed.kill_host(0).expect("the host is killed");
    bed.start_host(0).expect("the host starts");
    bed.wait_for_rotation(3_000).expect("the host is ready again");
    // The recorder reports openings that a leaving target receives too late.
    bed.drain_target(0);
    thread::sleep(Duration::from_millis(6_000));
    assert_served(&bed, "a target leaves");
    for index in 0..bed.host_count() {
        assert_eq!(bed.host_state(index), HostState::Running, "host {index}");
        let status = store::get_text(bed.admin_address(index), "/status", Duration::from_secs(2));
        assert_eq!(smol::block_on(status).expect("host {index} runs").0, 200);
    }
}
