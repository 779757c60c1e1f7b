//! The cases of this review; each starts a deployment, disturbs it and checks one rule.

use std::{collections::HashMap, path::Path, sync::atomic::Ordering, thread};

use crate::{sleep_ms, Caller, Deployment, End, OnEnd, Random, ZONES};

/// Bounds of the deployment (`bounds` in the settings), in milliseconds.
const CONFIG_APPLY_MS: u64 = 3_000;
const DRAIN_MS: u64 = 3_000;
const GRACE_MS: u64 = 6_000;

/// For how long no request may be served at the end of a run with a stalled log collector, in seconds:
/// longer than any time limit of a request.
const SILENT_SECONDS: u64 = 10;

pub fn run(case: &str, folder: &Path, has_trouble: bool) -> Option<Deployment> {
    match case {
        "turned-away" => turned_away(folder, has_trouble),
        "odd-entry" => odd_entry(folder, has_trouble),
        "shared-tag" => shared_tag(folder, has_trouble),
        "copied-entries" => copied_entries(folder, has_trouble),
        "stalled-log" => stalled_log(folder, has_trouble),
        _ => None,
    }
}

fn ignore_end(_: Option<&crate::CallerFlow>, _: End, _: &crate::Recorder) {}

fn start_callers(
    deployment: &mut Deployment,
    listener: u8,
    per_zone: usize,
    requests: u64,
    pause_ms: u64,
    on_end: OnEnd,
) {
    let listener = deployment.listener(listener);
    for zone in 0..ZONES.len() {
        for _ in 0..per_zone {
            let mut caller: Caller = deployment.caller(zone);
            thread::spawn(move || caller.run(listener, requests, pause_ms, on_end));
        }
    }
}

/// Targets of two services, as many as a small deployment has, and a configuration with two routes.
fn prepare(deployment: &mut Deployment) {
    let mut random = Random(std::process::id().into());
    for number in 0..18 {
        let service = if number < 14 { "tomtrapport" } else { "etikettryck" };
        let id = u64::from((random.next() as u32).max(1));
        let target = deployment.add_target(id, service, number % 3);
        deployment.announce(&target, "ready");
    }
    let services = ["tomtrapport", "etikettryck"];
    let routes = [(1, "tomtrapport"), (2, "etikettryck"), (3, "etikettryck")];
    deployment.configure(7, &routes, &services);
}

/// The store turns some machines away and serves the others; meanwhile the configuration changes.
fn turned_away(folder: &Path, has_trouble: bool) -> Option<Deployment> {
    let mut deployment = Deployment::start(folder, [9, 6, 9], prepare)?;
    start_callers(&mut deployment, 1, 6, 2, 50, ignore_end);
    start_callers(&mut deployment, 2, 4, 1, 50, ignore_end);
    sleep_ms(8_000);
    if has_trouble {
        deployment.recorder.note("store: turns away up to 8 of the 24 machines for 9 s");
        deployment.store.turn_away(8);
    }
    sleep_ms(300);
    let services = ["tomtrapport", "etikettryck"];
    let routes = [(1, "tomtrapport"), (3, "etikettryck")];
    deployment.configure(12, &routes, &services);
    let changed_at_ms = deployment.recorder.now_ms();
    deployment.recorder.note("operator: version 12, which drops the route r-2, is acknowledged");
    let leaving = deployment.targets[0].clone();
    deployment.announce(&leaving, "draining");
    let drained_at_ms = deployment.recorder.now_ms();
    deployment
        .recorder
        .note(format!("target {:x}: its state draining is acknowledged", leaving.id));
    sleep_ms(8_700);
    let out_of_touch = deployment.store.turned_away.lock().unwrap().machines.clone();
    deployment.store.turn_away(0);
    deployment.recorder.note("store: serves all machines again");
    sleep_ms(4_000);
    deployment.recorder.end();
    let dropped = deployment.listener(2);
    for taken in deployment.taken() {
        // Only openings through machines in touch count: the store never turned them away.
        if out_of_touch.iter().any(|machine| taken.host.ip() == *machine) {
            continue;
        }
        // A copy of a SYN is sent 600 ms after the first at the latest.
        if taken.listener == dropped && taken.at_ms > changed_at_ms + CONFIG_APPLY_MS + 600 {
            deployment.recorder.broken(format!(
                "CONFIG: target {:x} took an opening of {} on the dropped route {} ms after the acknowledgement, through {}",
                taken.target, taken.caller, taken.at_ms - changed_at_ms, taken.host
            ));
        } else if taken.target == leaving.id && taken.at_ms > drained_at_ms + DRAIN_MS {
            deployment.recorder.broken(format!(
                "DRAIN: target {:x} took an opening of {} {} ms after the acknowledgement, through {}",
                taken.target, taken.caller, taken.at_ms - drained_at_ms, taken.host
            ));
        }
    }
    Some(deployment)
}

fn note_reset(flow: Option<&crate::CallerFlow>, end: End, recorder: &crate::Recorder) {
    if let (Some(flow), End::ResetByHost) = (flow, end) {
        let target = flow.target.as_deref().unwrap_or("none yet");
        recorder.broken(format!(
            "FLOW: a host reset the flow {} to {}, open since {} ms, at the live target {target}",
            flow.source, flow.listener, flow.opened_at_ms
        ));
    }
}

/// Another writer leaves an entry with a missing field that names the address of a target.
fn odd_entry(folder: &Path, has_trouble: bool) -> Option<Deployment> {
    let mut deployment = Deployment::start(folder, [7, 4, 7], prepare)?;
    start_callers(&mut deployment, 1, 24, 80, 300, note_reset);
    sleep_ms(8_000);
    // Each is the entry of a running target, but for its id and one field.
    let odd: [(u64, fn(&str) -> String); 3] = [
        (0x0bad_cafe, |entry| entry.replace("\"version\":\"v1\",", "")),
        (0x0bad_caff, |entry| entry.replace("\"version\":\"v1\"", "\"version\":1")),
        (0x0bad_cafd, |entry| entry[..entry.find(",\"born\"").unwrap()].to_owned() + "}"),
    ];
    for (number, (id, change)) in odd.into_iter().enumerate() {
        let entry = change(&deployment.targets[number].entry("ready"));
        if has_trouble {
            let target = deployment.targets[number].id;
            deployment.recorder.note(format!("case: an odd entry at the address of {target:x}"));
            deployment.store.write(&format!("servers/i-{id:08x}"), &entry);
        }
        sleep_ms(4_000);
    }
    deployment.recorder.end();
    Some(deployment)
}

/// A target starts whose id gives the tag that the flows of another target carry.
fn shared_tag(folder: &Path, has_trouble: bool) -> Option<Deployment> {
    let mut deployment = Deployment::start(folder, [7, 4, 7], |deployment| {
        prepare(deployment);
        let target = deployment.add_target(shared_ids().0, "tomtrapport", 0);
        deployment.announce(&target, "ready");
    })?;
    let listener = deployment.listener(1);
    for zone in 0..ZONES.len() {
        for _ in 0..24 {
            let mut caller: Caller = deployment.caller(zone);
            // The longest time limit of a kind of request on this site.
            caller.limit_ms = 5_000;
            thread::spawn(move || caller.run(listener, 80, 300, note_reset));
        }
    }
    // Hosts reset flows with an unknown tag from 75 s after their start on.
    sleep_ms(80_000);
    let id = if has_trouble { shared_ids().1 } else { shared_ids().1 ^ 1 };
    let target = deployment.add_target(id, "tomtrapport", 1);
    deployment.announce(&target, "ready");
    sleep_ms(6_000);
    deployment.recorder.end();
    Some(deployment)
}

/// Two ids of targets with the same first tag (`catalog::FlowTag::derive`).
fn shared_ids() -> (u64, u64) {
    let mut seen: HashMap<u32, u64> = HashMap::new();
    let mut random = Random(31);
    loop {
        let id = u64::from(random.next() as u32);
        let tag = crate::mix(id, 1) as u32;
        match seen.insert(tag, id) {
            Some(other) if other != id => return (other, id),
            _ => {}
        }
    }
}

/// Another writer keeps entries of its own about targets, without the field version, which name the
/// service that they shall serve one day.
fn copied_entries(folder: &Path, has_trouble: bool) -> Option<Deployment> {
    let mut deployment = Deployment::start(folder, [7, 4, 7], prepare)?;
    start_callers(&mut deployment, 1, 12, 20, 100, ignore_end);
    start_callers(&mut deployment, 2, 8, 1, 100, ignore_end);
    sleep_ms(8_000);
    if has_trouble {
        for target in &deployment.targets[..3] {
            let entry = deployment.store.read(&target.key())?;
            let copy =
                entry.replace(&target.service, "etikettryck").replace("\"version\":\"v1\",", "");
            deployment.store.write(&format!("servers/plan-i-{:08x}", target.id), &copy);
        }
    }
    sleep_ms(6_000);
    deployment.recorder.end();
    // In every configuration this route goes to etikettryck alone.
    let route = deployment.listener(2);
    for taken in deployment.taken() {
        let target = deployment.targets.iter().find(|target| target.id == taken.target)?;
        if taken.listener == route && target.service != "etikettryck" {
            deployment.recorder.broken(format!(
                "ROUTE: target {:x} of {} took an opening of {} on a route to etikettryck, through {}",
                taken.target, target.service, taken.caller, taken.host
            ));
        }
    }
    Some(deployment)
}

/// The log collector reads nothing for some time.
fn stalled_log(folder: &Path, has_trouble: bool) -> Option<Deployment> {
    let mut deployment = Deployment::start(folder, [7, 4, 7], prepare)?;
    start_callers(&mut deployment, 1, 12, 3, 100, ignore_end);
    start_callers(&mut deployment, 2, 4, 1, 100, ignore_end);
    sleep_ms(5_000);
    if has_trouble {
        deployment.is_log_reader_stalled.store(true, Ordering::Relaxed);
        deployment.recorder.note("platform: the log collector reads nothing from now on");
    }
    let mut previous = deployment.counts.answered.load(Ordering::Relaxed);
    let mut silent_seconds = 0;
    for second in 0..45 {
        sleep_ms(1_000);
        let answered = deployment.counts.answered.load(Ordering::Relaxed);
        let ready = deployment.router.ready_count();
        deployment.recorder.note(format!(
            "case: second {second}: {} requests answered, {ready} hosts ready",
            answered - previous
        ));
        silent_seconds = if answered == previous { silent_seconds + 1 } else { 0 };
        previous = answered;
    }
    if silent_seconds >= SILENT_SECONDS {
        deployment.recorder.broken(format!("no request is served for {silent_seconds} s"));
    }
    for index in 0..deployment.hosts.len() {
        deployment.terminate_host(index);
    }
    sleep_ms(GRACE_MS);
    for index in 0..deployment.hosts.len() {
        let name = deployment.hosts[index].name.clone();
        if !deployment.has_ended(index) {
            let text = format!("{name} has not ended {GRACE_MS} ms after SIGTERM: it hangs");
            deployment.recorder.broken(text);
        }
    }
    Some(deployment)
}
