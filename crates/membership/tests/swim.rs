//! Groups of hosts that probe each other.

use std::net::SocketAddr;

use membership::{Config, Member, MemberState, Membership, Outgoing};
use routing::HostId;

fn member(number: u64) -> Member {
    Member {
        id: HostId(number),
        address: SocketAddr::new([10, 0, 0, number as u8].into(), 7000),
        domain_seed: 0,
        rack_seed: 0,
        incarnation: 1,
        state: MemberState::Ready,
    }
}

/// Hosts whose messages arrive immediately, except those to or from isolated hosts.
struct Group {
    hosts: Vec<Membership>,
    isolated: Vec<u64>,
    now_ms: u64,
}

impl Group {
    fn new(count: u64) -> Group {
        let seeds: Vec<SocketAddr> = (1..=count).map(|number| member(number).address).collect();
        let hosts = (1..=count)
            .map(|number| {
                let mut host = Membership::new(Config::default(), member(number), number);
                host.set_seeds(&seeds);
                host
            })
            .collect();
        let mut group = Group { hosts, isolated: Vec::new(), now_ms: 0 };
        group.run(5_000);
        group
    }

    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += 20;
            for index in 0..self.hosts.len() {
                let out = self.hosts[index].tick(self.now_ms, 1);
                self.deliver(index, out);
            }
        }
    }

    fn deliver(&mut self, from: usize, messages: Vec<Outgoing>) {
        let sender = *self.hosts[from].me();
        for message in messages {
            let Some(to) = self.hosts.iter().position(|host| host.me().address == message.to)
            else {
                continue;
            };
            let receiver = self.hosts[to].me().id.0;
            if self.isolated.contains(&sender.id.0) || self.isolated.contains(&receiver) {
                continue;
            }
            let out = self.hosts[to].on_probe(sender.address, &message.probe, self.now_ms, 1);
            self.deliver(to, out);
        }
    }

    fn state(&self, viewer: usize, subject: u64) -> Option<MemberState> {
        self.hosts[viewer].table().get(HostId(subject)).map(|member| member.state)
    }
}

#[test]
fn all_members_learned() {
    let group = Group::new(5);
    for viewer in 0..5 {
        for subject in 1..=5 {
            assert_eq!(group.state(viewer, subject), Some(MemberState::Ready));
        }
    }
}

#[test]
fn isolated_then_reconnected() {
    let mut group = Group::new(5);
    group.isolated.push(2);
    group.run(6_000);
    assert_eq!(group.state(0, 2), Some(MemberState::Dead));
    assert_eq!(group.state(1, 1), Some(MemberState::Dead));
    group.isolated.clear();
    group.run(6_000);
    for viewer in 0..5 {
        assert_eq!(group.state(viewer, 2), Some(MemberState::Ready), "viewer {viewer}");
    }
    assert!(group.hosts[1].me().incarnation > 1);
}

#[test]
fn planned_leave() {
    let mut group = Group::new(3);
    let now_ms = group.now_ms;
    group.hosts[2].set_state(MemberState::Left, now_ms);
    group.run(2_000);
    assert_eq!(group.state(0, 3), Some(MemberState::Left));
}

#[test]
fn newer_report_wins() {
    let old = member(1);
    let suspected = Member { state: MemberState::SuspectReady, ..old };
    let refuted = Member { incarnation: 2, ..old };
    assert!(suspected.supersedes(&old));
    assert!(refuted.supersedes(&suspected));
    assert!(!old.supersedes(&refuted));
}
