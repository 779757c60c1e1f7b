//! A copy of an opening that waits in a host's receive queue, in front of the caller's first
//! acknowledgement.
//!
//! Failure scenario: a host is out of processor time for a moment after it forwarded an opening. The
//! caller sends a copy, gets the target's reply and acknowledges it. The host then handles the copy
//! as if the target had not answered, and sends it to another target. If that one refuses flows, it
//! resets the flow that is open by now.

use std::{path::Path, thread, time::Duration};

use platform_stand_ins::{Layout, Testbed};

/// How long a signal may take to suspend the host, in milliseconds.
const SUSPEND_MS: u64 = 50;

/// The host stops for `stall_ms` after it forwarded the opening. Returns the targets that answer the
/// opening or its copy.
fn answering_targets(bed: &mut Testbed, stall_ms: u64) -> Vec<u8> {
    let caller = bed.manual_caller(0, 0, 0).expect("a caller starts");
    caller.send_opening(0).expect("the opening is sent");
    let replies = caller.receive_replies(1, 1_000).expect("the socket works");
    let first = *replies.first().expect("a target answers");
    bed.pause_host(0).expect("the host is suspended");
    thread::sleep(Duration::from_millis(SUSPEND_MS));
    // The caller sent the copy just before the reply arrived.
    caller.send_opening(1).expect("the copy is sent");
    caller.acknowledge(&first).expect("the acknowledgement is sent");
    thread::sleep(Duration::from_millis(stall_ms - SUSPEND_MS));
    bed.resume_host(0).expect("the host is resumed");
    let later = caller.receive_replies(2, 400).expect("the socket works");
    let mut targets: Vec<u8> = [first].iter().chain(&later).map(|reply| reply.target).collect();
    targets.dedup();
    targets
}

#[test]
fn stalled_host() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let folder = folder.join(format!("queued_copy-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_wagtailstalld"));
    let layout = Layout { zones: 1, hosts: 1, targets: 3, callers: 0, ..Layout::default() };
    let mut bed = Testbed::start(program, &folder, layout).expect("the bed starts");
    let targets = answering_targets(&mut bed, 250);
    assert_eq!(targets.len(), 1, "targets {targets:?} answered; the flow is open at the first");
}
