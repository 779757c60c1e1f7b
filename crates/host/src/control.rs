//! The control plane of a host: its life cycle, membership, and the views published to traffic.

use std::{net::SocketAddr, sync::Arc};

use flow::FlowHasher;
use membership::{Config, Member, MemberState, Membership, Outgoing};
use routing::{HostId, Placement};
use settings::Snapshot;
use wire::Control as Message;

use crate::{HostConfig, Peer, View};

/// How long a starting host looks for other hosts before it may serve alone, in milliseconds.
const DISCOVERY_WAIT_MS: u64 = 1_500;

/// How long the number of known hosts must be stable before a starting host serves, in
/// milliseconds.
const MEMBERS_STABLE_MS: u64 = 1_000;

/// The longest time that a starting host waits for pins, in milliseconds.
const JOIN_TIMEOUT_MS: u64 = 20_000;

/// How long a host forwards packets after it has left, in milliseconds.
const LINGER_MS: u64 = 3_000;

/// The longest time that a leaving host hands over pins, in milliseconds. It then leaves even if
/// some pins were not handed over.
const LEAVE_TIMEOUT_MS: u64 = 60_000;

/// The number of hosts that are notified of a change immediately.
const BROADCAST_FANOUT: usize = 4;

/// The stage of a host's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The host waits for settings and pins.
    Joining,
    /// The host serves traffic.
    Ready,
    /// The host hands its pins over.
    Leaving,
    /// The host has handed over and forwards the packets that still arrive.
    Left,
    /// The process may exit.
    Done,
}

/// The actions that [`Control`] requests.
#[derive(Debug, Default)]
pub struct ControlOutput {
    /// Messages to other hosts, with the peer address of the receiver.
    pub messages: Vec<(SocketAddr, Message)>,
    /// A new view for traffic.
    pub view: Option<Arc<View>>,
    /// The peer address of a host with newer settings, and their revision.
    pub newer_settings: Option<(SocketAddr, u64)>,
}

/// The control plane of one host.
#[derive(Debug)]
pub struct Control {
    config: HostConfig,
    membership: Membership,
    settings: Option<Arc<Snapshot>>,
    stage: Stage,
    stage_since_ms: u64,
    transfers_done: Vec<HostId>,
    is_handed_over: bool,
    published_version: u64,
    published_revision: u64,
    placement: Option<Arc<Placement>>,
    last_tick_ms: u64,
    /// The number of known hosts when it last grew noticeably; see `update_known_hosts`.
    known_hosts: usize,
    /// When `known_hosts` was last updated.
    known_hosts_since_ms: u64,
}

impl Control {
    /// Creates the control plane of the host that `config` describes.
    pub fn new(config: HostConfig, membership: Config, now_ms: u64) -> Control {
        let me = Member {
            id: config.id(),
            address: config.peer_address,
            domain_seed: config.domain_seed,
            rack_seed: config.rack_seed,
            incarnation: config.incarnation,
            state: MemberState::Joining,
        };
        let seed = config.id().0 ^ config.incarnation;
        Control {
            membership: Membership::new(membership, me, seed),
            config,
            settings: None,
            stage: Stage::Joining,
            stage_since_ms: now_ms,
            transfers_done: Vec::new(),
            is_handed_over: false,
            published_version: 0,
            published_revision: 0,
            placement: None,
            last_tick_ms: now_ms,
            known_hosts: 0,
            known_hosts_since_ms: now_ms,
        }
    }

    /// The stage of this host's life cycle.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// This host's own membership entry.
    pub fn me(&self) -> &Member {
        self.membership.me()
    }

    /// The table of known hosts.
    pub fn members(&self) -> &membership::Table {
        self.membership.table()
    }

    /// The settings revision in force, or 0 if there are no settings yet.
    pub fn revision(&self) -> u64 {
        self.settings.as_ref().map_or(0, |settings| settings.revision)
    }

    /// Sets the seed addresses at which other hosts are looked for.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.membership.set_seeds(seeds);
    }

    /// Applies settings if their revision is newer than the one in force.
    ///
    /// Returns whether they were applied.
    pub fn on_settings(&mut self, settings: Arc<Snapshot>, out: &mut ControlOutput) -> bool {
        if settings.revision <= self.revision() {
            return false;
        }
        self.settings = Some(settings);
        let revision = self.revision();
        let announcements = self.membership.broadcast(BROADCAST_FANOUT, revision);
        self.send(announcements, out);
        self.publish_view(out);
        true
    }

    /// Handles a control message that traffic received.
    pub fn on_message(
        &mut self,
        from: SocketAddr,
        sender: HostId,
        message: &Message,
        now_ms: u64,
        out: &mut ControlOutput,
    ) {
        match message {
            Message::Probe(probe) => {
                if probe.revision > self.revision() {
                    out.newer_settings = Some((from, probe.revision));
                }
                let revision = self.revision();
                let answers = self.membership.on_probe(from, probe, now_ms, revision);
                self.send(answers, out);
            }
            Message::Revision(revision) if *revision > self.revision() => {
                out.newer_settings = Some((from, *revision));
            }
            Message::TransferDone { incarnation } => self.on_transfer_done(sender, *incarnation),
            _ => {}
        }
        self.publish_view(out);
    }

    /// Starts a planned stop.
    pub fn begin_stop(&mut self, now_ms: u64, out: &mut ControlOutput) {
        match self.stage {
            Stage::Joining => self.enter_stage(Stage::Left, MemberState::Left, now_ms, out),
            Stage::Ready => self.enter_stage(Stage::Leaving, MemberState::Leaving, now_ms, out),
            Stage::Leaving | Stage::Left | Stage::Done => {}
        }
    }

    /// Handles [`crate::TrafficEvent::HandedOver`]: all pins that other hosts need were
    /// transferred.
    pub fn on_handed_over(&mut self) {
        self.is_handed_over = self.stage == Stage::Leaving;
    }

    /// Handles a pause of the process: the host joins again, because its view may be outdated.
    pub fn on_frozen(&mut self, now_ms: u64, out: &mut ControlOutput) {
        if self.stage != Stage::Ready {
            return;
        }
        self.transfers_done.clear();
        self.enter_stage(Stage::Joining, MemberState::Joining, now_ms, out);
    }

    /// Advances time. Must be called at least every 50 ms.
    pub fn tick(&mut self, now_ms: u64, out: &mut ControlOutput) {
        let gap_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        if gap_ms >= self.config.freeze_ms {
            self.on_frozen(now_ms, out);
        }
        let revision = self.revision();
        let probes = self.membership.tick(now_ms, revision);
        self.send(probes, out);
        self.update_known_hosts(now_ms);
        self.advance_stage(now_ms, out);
        self.publish_view(out);
    }

    // In a large fleet some host is always joining or leaving, so growth of up to 1% (plus one
    // host) does not restart the stability period.
    fn update_known_hosts(&mut self, now_ms: u64) {
        let known = self.membership.table().members().count();
        if known > self.known_hosts + 1 + self.known_hosts / 100 || self.known_hosts == 0 {
            self.known_hosts = known;
            self.known_hosts_since_ms = now_ms;
        }
    }

    fn advance_stage(&mut self, now_ms: u64, out: &mut ControlOutput) {
        let elapsed_ms = now_ms.saturating_sub(self.stage_since_ms);
        match self.stage {
            Stage::Joining if self.can_serve(elapsed_ms, now_ms) => {
                self.enter_stage(Stage::Ready, MemberState::Ready, now_ms, out);
            }
            Stage::Leaving if self.is_handed_over || elapsed_ms >= LEAVE_TIMEOUT_MS => {
                self.enter_stage(Stage::Left, MemberState::Left, now_ms, out);
            }
            Stage::Left if elapsed_ms >= LINGER_MS => self.stage = Stage::Done,
            _ => {}
        }
    }

    fn can_serve(&self, elapsed_ms: u64, now_ms: u64) -> bool {
        if self.settings.is_none() || elapsed_ms < DISCOVERY_WAIT_MS {
            return false;
        }
        let is_membership_stable = now_ms >= self.known_hosts_since_ms + MEMBERS_STABLE_MS;
        if !is_membership_stable && elapsed_ms < JOIN_TIMEOUT_MS {
            return false;
        }
        let owners = self.membership.table().entries(MemberState::is_owner);
        let is_done = |host: HostId| self.transfers_done.binary_search(&host).is_ok();
        owners.iter().all(|owner| is_done(owner.id)) || elapsed_ms >= JOIN_TIMEOUT_MS
    }

    fn on_transfer_done(&mut self, sender: HostId, incarnation: u64) {
        if incarnation != self.membership.me().incarnation {
            return;
        }
        if let Err(position) = self.transfers_done.binary_search(&sender) {
            self.transfers_done.insert(position, sender);
        }
    }

    fn enter_stage(
        &mut self,
        stage: Stage,
        state: MemberState,
        now_ms: u64,
        out: &mut ControlOutput,
    ) {
        self.stage = stage;
        self.stage_since_ms = now_ms;
        self.membership.set_state(state, now_ms);
        let revision = self.revision();
        let announcements = self.membership.broadcast(BROADCAST_FANOUT, revision);
        self.send(announcements, out);
        self.publish_view(out);
    }

    fn publish_view(&mut self, out: &mut ControlOutput) {
        let Some(settings) = self.settings.clone() else { return };
        let version = self.membership.version();
        if version == self.published_version && settings.revision == self.published_revision {
            return;
        }
        self.published_version = version;
        self.published_revision = settings.revision;
        out.view = Some(Arc::new(self.view(settings)));
    }

    fn view(&mut self, settings: Arc<Snapshot>) -> View {
        let table = self.membership.table();
        let owners = table.entries(MemberState::is_owner);
        let placement = match &self.placement {
            Some(last)
                if last.hosts() == owners && last.bucket_count() == settings.bucket_count =>
            {
                last.clone()
            }
            Some(last) if last.bucket_count() == settings.bucket_count => {
                let mut next = Placement::clone(last);
                next.set_hosts(&owners);
                Arc::new(next)
            }
            _ => Arc::new(Placement::new(settings.bucket_count, &owners)),
        };
        self.placement = Some(placement.clone());
        let future_owners = table.entries(MemberState::is_future_owner);
        let future = if future_owners == owners {
            placement.clone()
        } else {
            let mut next = Placement::clone(&placement);
            next.set_hosts(&future_owners);
            Arc::new(next)
        };
        let openers = table.entries(MemberState::is_opener);
        View {
            me: self.config.id(),
            incarnation: self.membership.me().incarnation,
            domain_seed: self.config.domain_seed,
            hasher: FlowHasher::new(settings.flow_hash_key),
            settings,
            placement,
            future,
            openers: Arc::new(Placement::openers_only(&openers)),
            peers: table.members().map(peer_of).collect(),
        }
    }

    fn send(&self, messages: Vec<Outgoing>, out: &mut ControlOutput) {
        for message in messages {
            out.messages.push((message.to, Message::Probe(message.probe)));
        }
    }
}

fn peer_of(member: &Member) -> Peer {
    Peer {
        id: member.id,
        address: member.address,
        domain_seed: member.domain_seed,
        incarnation: member.incarnation,
        state: member.state,
    }
}
