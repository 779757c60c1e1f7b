//! The SWIM protocol: probes, acks, and the suspicion that follows a missing ack.

mod reports;

use std::net::SocketAddr;

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use routing::HostId;

use crate::{Config, Member, MemberState, Outgoing, Probe, ProbeKind, Table};

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
