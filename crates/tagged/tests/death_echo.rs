//! Hosts that believe a report of a death and report it in turn.
//!
//! Failure scenario: a host takes a sound target for dead. Hosts with one unanswered opening believe
//! its report and report the death too, so that it circulates after the first host has corrected
//! itself.

mod support;

use catalog::{FlowTag, TargetId};
use routing::HostId;
use support::{Host, NEAR, data};
use tagged::{CheckVerdict, HostLoad, Verdict};

const TARGET: TargetId = TargetId(1);

/// The hosts of one failure domain, each with one flow to the target.
struct Domain {
    hosts: Vec<Host>,
    tag: FlowTag,
}

impl Domain {
    fn new(hosts: usize) -> Domain {
        let mut hosts: Vec<Host> = (0..hosts).map(|_| Host::new(&[(1, NEAR)])).collect();
        let mut tag = None;
        for (caller, host) in (0..).zip(&mut hosts) {
            tag = Some(host.open(caller, 0).1);
            host.send(&data(caller, tag.expect("set above"), 100, 50));
        }
        Domain { hosts, tag: tag.expect("there are hosts") }
    }

    fn advance(&mut self, duration_ms: u64) {
        self.hosts.iter_mut().for_each(|host| host.now_ms += duration_ms);
    }

    /// The caller of the host's flow sends its request again.
    fn stall(&mut self, host: usize) {
        self.hosts[host].send(&data(host as u16, self.tag, 100, 50));
    }

    fn check(&mut self, host: usize, verdict: CheckVerdict) {
        let now_ms = self.hosts[host].now_ms;
        self.hosts[host].dispatcher.on_check(TARGET, verdict, now_ms, now_ms);
    }

    fn report(&mut self, from: usize, to: usize) {
        let targets = self.hosts[from].dispatcher.loads();
        let load = HostLoad { host: HostId(from as u64 + 1), is_near: true, targets };
        let to = &mut self.hosts[to];
        to.dispatcher.on_report(load, to.now_ms);
    }

    fn assert_kept(&mut self, host: usize) {
        assert!(self.hosts[host].dispatcher.take_resets().is_empty(), "host {host} reset its flow");
        let verdict = self.hosts[host].send(&data(host as u16, self.tag, 200, 50));
        assert!(matches!(verdict, Verdict::Forward { .. }), "host {host}: {verdict:?}");
    }
}

#[test]
fn second_hand() {
    let mut domain = Domain::new(3);
    domain.advance(400);
    domain.check(0, CheckVerdict::Failed);
    domain.stall(1);
    domain.report(0, 1);
    // Host 1 has not checked the target, so its report is no second opinion.
    domain.stall(2);
    domain.report(1, 2);
    domain.assert_kept(2);
}

#[test]
fn corrected_reporter() {
    let mut domain = Domain::new(2);
    domain.advance(400);
    domain.check(0, CheckVerdict::Failed);
    domain.stall(1);
    domain.report(0, 1);
    domain.advance(1_000);
    domain.check(0, CheckVerdict::Answered);
    domain.hosts[0].dispatcher.take_resets();
    // A flow that was opened at another host comes here, and its caller sends a request twice.
    let tag = domain.tag;
    domain.hosts[0].send(&data(0, tag, 300, 70));
    domain.hosts[0].send(&data(0, tag, 300, 70));
    domain.report(1, 0);
    domain.assert_kept(0);
}
