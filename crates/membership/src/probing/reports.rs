//! Reports about members: merging, refuting and expiring them, and sending them to others.

use std::net::SocketAddr;

use rand::seq::SliceRandom;
use routing::HostId;

use super::Membership;
use crate::{Member, MemberState, Outgoing, Probe, ProbeKind};

impl Membership {
    pub(super) fn merge(&mut self, member: Member, now_ms: u64) {
        if member.id == self.me.id {
            self.refute(member, now_ms);
            return;
        }
        let gossip_left = self.gossip_count();
        if self.table.merge(member, now_ms, gossip_left) {
            self.version += 1;
        }
    }

    /// Increments the incarnation if a report about this host is newer than its own.
    fn refute(&mut self, report: Member, now_ms: u64) {
        let is_own = report.incarnation == self.me.incarnation && report.state == self.me.state;
        if is_own || !report.supersedes(&self.me) {
            return;
        }
        self.me.incarnation = report.incarnation + 1;
        self.announce(now_ms);
    }

    /// Stores this host's own report in the table, from which it is gossiped.
    pub(super) fn announce(&mut self, now_ms: u64) {
        let gossip_left = self.gossip_count();
        self.table.merge(self.me, now_ms, gossip_left);
        self.version += 1;
    }

    /// How many times a report is gossiped: about twice the binary logarithm of the number of
    /// hosts, so that it very likely reaches all of them.
    fn gossip_count(&self) -> u32 {
        let hosts = self.table.rows.len() as u32 + 1;
        2 * (u32::BITS - hosts.leading_zeros())
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        self.relayed_probes.retain(|relay| relay.expires_at_ms > now_ms);
        let gossip_left = self.gossip_count();
        let mut changed = false;
        for row in &mut self.table.rows {
            let age_ms = now_ms.saturating_sub(row.changed_at_ms);
            if row.member.state.is_suspect() && age_ms >= self.config.suspicion_ms {
                row.member.state = MemberState::Dead;
                row.changed_at_ms = now_ms;
                row.gossip_left = gossip_left;
                changed = true;
            }
        }
        let dead_retention_ms = self.config.dead_retention_ms;
        self.table.rows.retain(|row| {
            let age_ms = now_ms.saturating_sub(row.changed_at_ms);
            row.member.state.is_alive() || age_ms < dead_retention_ms
        });
        if changed {
            self.version += 1;
        }
    }

    /// Adds the record of a suspect or dead member. A host that receives its own record refutes it.
    pub(super) fn add_report_about(&self, id: Option<HostId>, probe: &mut Probe) {
        let Some(member) = id.and_then(|id| self.table.get(id)) else { return };
        let is_listed = probe.members.iter().any(|listed| listed.id == member.id);
        if !is_listed && (member.state.is_suspect() || !member.state.is_alive()) {
            probe.members.push(*member);
        }
    }

    /// An ack with a random part of the table, for a host that was not in it before.
    pub(super) fn new_peer_ack(
        &mut self,
        to: SocketAddr,
        probe: &Probe,
        revision: u64,
    ) -> Outgoing {
        let mut members: Vec<Member> = self.table.members().copied().collect();
        members.shuffle(&mut self.rng);
        members.retain(|member| member.id != self.me.id);
        members.truncate(self.config.members_per_join_ack);
        members.insert(0, self.me);
        let sequence = probe.sequence;
        let subject = self.me.id;
        Outgoing { to, probe: Probe { kind: ProbeKind::Ack, sequence, subject, revision, members } }
    }

    /// Acks that carry every known host, in as many messages as needed.
    pub(super) fn all_members(
        &self,
        to: SocketAddr,
        probe: &Probe,
        revision: u64,
    ) -> Vec<Outgoing> {
        let others: Vec<Member> =
            self.table.members().filter(|member| member.id != self.me.id).copied().collect();
        let mut messages = Vec::new();
        let mut rest = others.as_slice();
        loop {
            let (part, next) = rest.split_at(rest.len().min(self.config.members_per_join_ack));
            let mut members = vec![self.me];
            members.extend_from_slice(part);
            let (sequence, subject) = (probe.sequence, self.me.id);
            let probe = Probe { kind: ProbeKind::Ack, sequence, subject, revision, members };
            messages.push(Outgoing { to, probe });
            rest = next;
            if rest.is_empty() {
                return messages;
            }
        }
    }
}
