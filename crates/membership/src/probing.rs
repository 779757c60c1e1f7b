//! The SWIM protocol: probes, acks, and the suspicion that follows a missing ack.

use std::net::SocketAddr;

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use routing::HostId;

use crate::{Member, MemberState, Table};

/// Timing and size limits of the protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// How often this host probes another one, in milliseconds.
    pub probe_interval_ms: u64,
    /// How long a direct ack may take before indirect probes are sent, in milliseconds.
    pub ack_timeout_ms: u64,
    /// How many hosts are asked to probe on this host's behalf.
    pub indirect_probes: usize,
    /// How long a suspected host has to refute the suspicion, in milliseconds.
    pub suspicion_ms: u64,
    /// The maximum number of gossiped reports per message.
    pub members_per_message: usize,
    /// The maximum number of reports per ack to a join, or to a ping from an unknown host.
    pub members_per_join_ack: usize,
    /// How long a host requests all members from others after it changes its state, in
    /// milliseconds.
    pub member_sync_ms: u64,
    /// How long a host that left or died is kept in the table, in milliseconds.
    pub dead_retention_ms: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            probe_interval_ms: 400,
            ack_timeout_ms: 120,
            indirect_probes: 3,
            suspicion_ms: 1_000,
            members_per_message: 12,
            members_per_join_ack: 12,
            member_sync_ms: 3_000,
            dead_retention_ms: 60 * 60 * 1000,
        }
    }
}

/// The type of a probe message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ProbeKind {
    /// Answer with [`ProbeKind::Ack`].
    Ping = 0,
    /// The subject is alive.
    Ack = 1,
    /// Probe the subject on the sender's behalf.
    PingRequest = 2,
    /// Answer with [`ProbeKind::Ack`]s that carry all members.
    Join = 3,
}

impl ProbeKind {
    const ALL: [ProbeKind; 4] =
        [ProbeKind::Ping, ProbeKind::Ack, ProbeKind::PingRequest, ProbeKind::Join];

    /// The kind with this number.
    pub fn from_number(number: u8) -> Option<ProbeKind> {
        ProbeKind::ALL.get(usize::from(number)).copied()
    }
}

/// A message of the protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The type of the message.
    pub kind: ProbeKind,
    /// Matches an ack to its probe.
    pub sequence: u64,
    /// The host that a probe or an ack is about.
    pub subject: HostId,
    /// The settings revision in force on the sender.
    pub revision: u64,
    /// Gossiped reports, starting with the sender's report about itself.
    pub members: Vec<Member>,
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver's peer address.
    pub to: SocketAddr,
    /// The message.
    pub probe: Probe,
}

/// The direct probe of the current interval.
#[derive(Debug)]
struct PendingProbe {
    subject: HostId,
    sequence: u64,
    started_at_ms: u64,
    sent_indirect: bool,
    is_answered: bool,
}

/// A probe sent on behalf of another host.
#[derive(Debug)]
struct RelayedProbe {
    sequence: u64,
    origin: SocketAddr,
    origin_sequence: u64,
    expires_at_ms: u64,
}

/// The protocol state of one host.
#[derive(Debug)]
pub struct Membership {
    config: Config,
    me: Member,
    table: Table,
    rng: StdRng,
    probe_order: Vec<HostId>,
    pending_probe: Option<PendingProbe>,
    relayed_probes: Vec<RelayedProbe>,
    seeds: Vec<SocketAddr>,
    next_probe_at_ms: u64,
    next_sequence: u64,
    version: u64,
    /// When this host last changed its state.
    changed_at_ms: u64,
}

impl Membership {
    /// Creates the state of the host `me`. `seed` makes its random choices reproducible.
    pub fn new(config: Config, me: Member, seed: u64) -> Membership {
        let mut membership = Membership {
            config,
            me,
            table: Table::default(),
            rng: StdRng::seed_from_u64(seed),
            probe_order: Vec::new(),
            pending_probe: None,
            relayed_probes: Vec::new(),
            seeds: Vec::new(),
            next_probe_at_ms: 0,
            next_sequence: 1,
            version: 1,
            changed_at_ms: 0,
        };
        membership.announce(0);
        membership
    }

    /// This host.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The known hosts, this one included.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The version of the table; incremented when a report changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Sets addresses at which other hosts may be. Unknown ones are asked for the member list.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
    }

    /// Changes this host's own state and gossips the change.
    pub fn set_state(&mut self, state: MemberState, now_ms: u64) {
        if self.me.state == state {
            return;
        }
        self.me.state = state;
        self.me.incarnation += 1;
        self.changed_at_ms = now_ms;
        self.announce(now_ms);
    }

    /// The messages that send pending gossip to `fanout` random hosts immediately.
    pub fn broadcast(&mut self, fanout: usize, revision: u64) -> Vec<Outgoing> {
        let mut peers = self.alive_peers();
        peers.shuffle(&mut self.rng);
        peers.truncate(fanout);
        peers
            .into_iter()
            .map(|peer| {
                let sequence = self.take_sequence();
                let probe = self.message(ProbeKind::Ping, sequence, peer.id, revision);
                Outgoing { to: peer.address, probe }
            })
            .collect()
    }

    /// Advances the protocol to `now_ms`.
    pub fn tick(&mut self, now_ms: u64, revision: u64) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.expire(now_ms);
        self.send_indirect_probes(now_ms, revision, &mut out);
        if now_ms < self.next_probe_at_ms {
            return out;
        }
        self.next_probe_at_ms = now_ms + self.config.probe_interval_ms;
        self.suspect_unanswered(now_ms);
        self.probe_next(now_ms, revision, &mut out);
        self.probe_departed(revision, &mut out);
        self.probe_seed(revision, &mut out);
        self.request_members(now_ms, revision, &mut out);
        out
    }

    /// Handles a message that came from `from`.
    pub fn on_probe(
        &mut self,
        from: SocketAddr,
        probe: &Probe,
        now_ms: u64,
        revision: u64,
    ) -> Vec<Outgoing> {
        let is_new_sender =
            probe.members.first().is_some_and(|member| self.table.get(member.id).is_none());
        for member in &probe.members {
            self.merge(*member, now_ms);
        }
        let mut out = Vec::new();
        match probe.kind {
            ProbeKind::Ping if is_new_sender => out.push(self.new_peer_ack(from, probe, revision)),
            ProbeKind::Join => out.extend(self.all_members(from, probe, revision)),
            ProbeKind::Ping => {
                let mut ack = self.message(ProbeKind::Ack, probe.sequence, self.me.id, revision);
                self.add_report_about(probe.members.first().map(|member| member.id), &mut ack);
                out.push(Outgoing { to: from, probe: ack });
            }
            ProbeKind::PingRequest => self.relay_probe(from, probe, now_ms, revision, &mut out),
            ProbeKind::Ack => self.on_ack(probe, revision, &mut out),
        }
        out
    }

    fn on_ack(&mut self, ack: &Probe, revision: u64, out: &mut Vec<Outgoing>) {
        if let Some(pending) = &mut self.pending_probe
            && pending.sequence == ack.sequence
        {
            pending.is_answered = true;
        }
        let found = self.relayed_probes.iter().position(|relay| relay.sequence == ack.sequence);
        if let Some(position) = found {
            let relay = self.relayed_probes.swap_remove(position);
            let mut answer =
                self.message(ProbeKind::Ack, relay.origin_sequence, ack.subject, revision);
            self.add_report_about(Some(ack.subject), &mut answer);
            out.push(Outgoing { to: relay.origin, probe: answer });
        }
    }

    fn relay_probe(
        &mut self,
        from: SocketAddr,
        request: &Probe,
        now_ms: u64,
        revision: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(address) = self.table.get(request.subject).map(|member| member.address) else {
            return;
        };
        let sequence = self.take_sequence();
        self.relayed_probes.push(RelayedProbe {
            sequence,
            origin: from,
            origin_sequence: request.sequence,
            expires_at_ms: now_ms + self.config.probe_interval_ms,
        });
        let probe = self.message(ProbeKind::Ping, sequence, request.subject, revision);
        out.push(Outgoing { to: address, probe });
    }

    /// Acks that carry every known host, in as many messages as needed.
    fn all_members(&self, to: SocketAddr, probe: &Probe, revision: u64) -> Vec<Outgoing> {
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

    // Hosts that know different members disagree about homes and openers, so a joining host
    // requests all members before it serves, and for a while after, to learn of later changes.
    fn request_members(&mut self, now_ms: u64, revision: u64, out: &mut Vec<Outgoing>) {
        let is_new = now_ms < self.changed_at_ms + self.config.member_sync_ms;
        if self.me.state != MemberState::Joining && !is_new {
            return;
        }
        let peers = self.alive_peers();
        if peers.is_empty() {
            return;
        }
        let peer = peers[self.rng.random_range(0..peers.len())];
        let sequence = self.take_sequence();
        let probe = self.message(ProbeKind::Join, sequence, self.me.id, revision);
        out.push(Outgoing { to: peer.address, probe });
    }

    /// An ack with a random part of the table, for a host that was not in it before.
    fn new_peer_ack(&mut self, to: SocketAddr, probe: &Probe, revision: u64) -> Outgoing {
        let mut members: Vec<Member> = self.table.members().copied().collect();
        members.shuffle(&mut self.rng);
        members.retain(|member| member.id != self.me.id);
        members.truncate(self.config.members_per_join_ack);
        members.insert(0, self.me);
        let sequence = probe.sequence;
        let subject = self.me.id;
        Outgoing { to, probe: Probe { kind: ProbeKind::Ack, sequence, subject, revision, members } }
    }

    // Adds the record of a suspect or dead member. A host that receives its own record refutes it.
    fn add_report_about(&self, id: Option<HostId>, probe: &mut Probe) {
        let Some(member) = id.and_then(|id| self.table.get(id)) else { return };
        let is_listed = probe.members.iter().any(|listed| listed.id == member.id);
        if !is_listed && (member.state.is_suspect() || !member.state.is_alive()) {
            probe.members.push(*member);
        }
    }

    fn merge(&mut self, member: Member, now_ms: u64) {
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
    fn announce(&mut self, now_ms: u64) {
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

    fn expire(&mut self, now_ms: u64) {
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

    fn send_indirect_probes(&mut self, now_ms: u64, revision: u64, out: &mut Vec<Outgoing>) {
        let Some(pending) = &self.pending_probe else { return };
        let is_late = now_ms >= pending.started_at_ms + self.config.ack_timeout_ms;
        if pending.is_answered || pending.sent_indirect || !is_late {
            return;
        }
        let (subject, sequence) = (pending.subject, pending.sequence);
        let mut helpers = self.alive_peers();
        helpers.retain(|peer| peer.id != subject);
        helpers.shuffle(&mut self.rng);
        helpers.truncate(self.config.indirect_probes);
        for helper in helpers {
            let probe = self.message(ProbeKind::PingRequest, sequence, subject, revision);
            out.push(Outgoing { to: helper.address, probe });
        }
        if let Some(pending) = &mut self.pending_probe {
            pending.sent_indirect = true;
        }
    }

    fn suspect_unanswered(&mut self, now_ms: u64) {
        let Some(pending) = self.pending_probe.take() else { return };
        if pending.is_answered {
            return;
        }
        let Some(member) = self.table.get(pending.subject).copied() else { return };
        self.merge(Member { state: member.state.suspected(), ..member }, now_ms);
    }

    fn probe_next(&mut self, now_ms: u64, revision: u64, out: &mut Vec<Outgoing>) {
        let Some(subject) = self.next_subject() else { return };
        let sequence = self.take_sequence();
        let mut probe = self.message(ProbeKind::Ping, sequence, subject.id, revision);
        self.add_report_about(Some(subject.id), &mut probe);
        out.push(Outgoing { to: subject.address, probe });
        self.pending_probe = Some(PendingProbe {
            subject: subject.id,
            sequence,
            started_at_ms: now_ms,
            sent_indirect: false,
            is_answered: false,
        });
    }

    // Each round probes every alive host once, in random order.
    fn next_subject(&mut self) -> Option<Member> {
        for _ in 0..2 {
            while let Some(id) = self.probe_order.pop() {
                let Some(member) = self.table.get(id) else { continue };
                if member.state.is_alive() {
                    return Some(*member);
                }
            }
            self.probe_order = self.alive_peers().iter().map(|peer| peer.id).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }

    // A host considered dead may have been cut off by a partition that has healed, and one that
    // left may have restarted without knowing any other host.
    fn probe_departed(&mut self, revision: u64, out: &mut Vec<Outgoing>) {
        let departed: Vec<Member> =
            self.table.members().filter(|member| !member.state.is_alive()).copied().collect();
        if departed.is_empty() {
            return;
        }
        let subject = departed[self.rng.random_range(0..departed.len())];
        let sequence = self.take_sequence();
        let mut probe = self.message(ProbeKind::Ping, sequence, subject.id, revision);
        self.add_report_about(Some(subject.id), &mut probe);
        out.push(Outgoing { to: subject.address, probe });
    }

    fn probe_seed(&mut self, revision: u64, out: &mut Vec<Outgoing>) {
        let is_unknown = |seed: &SocketAddr| {
            *seed != self.me.address && !self.table.members().any(|member| member.address == *seed)
        };
        let unknown: Vec<SocketAddr> = self.seeds.iter().copied().filter(is_unknown).collect();
        if unknown.is_empty() {
            return;
        }
        let to = unknown[self.rng.random_range(0..unknown.len())];
        let sequence = self.take_sequence();
        let probe = self.message(ProbeKind::Join, sequence, self.me.id, revision);
        out.push(Outgoing { to, probe });
    }

    fn message(&mut self, kind: ProbeKind, sequence: u64, subject: HostId, revision: u64) -> Probe {
        let mut members = vec![self.me];
        let gossip = self.table.take_gossip(self.config.members_per_message);
        members.extend(gossip.into_iter().filter(|member| member.id != self.me.id));
        Probe { kind, sequence, subject, revision, members }
    }

    fn alive_peers(&self) -> Vec<Member> {
        self.table
            .members()
            .filter(|member| member.state.is_alive() && member.id != self.me.id)
            .copied()
            .collect()
    }

    /// The next sequence number.
    fn take_sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }
}
