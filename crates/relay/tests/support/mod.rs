//! A simulated store, and hosts on a simulated network with message loss, delay and partitions.
#![allow(dead_code, reason = "each test file uses a subset")]

mod link;
mod store;

use std::net::{SocketAddr, SocketAddrV4};

use catalog::{
    Directory, Evacuation, Key, Listener, Presence, Record, RequestKind, Revision, Row, Share,
    Stage, Target, TargetId,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use relay::{Config, Message, Outgoing, Peer, Relay, Role};
use routing::HostId;

use self::link::{Link, datagram_bytes};
pub use self::{
    link::LinkConfig,
    store::{Contents, Store},
};

/// Simulated time per step, in milliseconds.
const STEP_MS: u64 = 20;

/// Upper bound on the delay of a message, in milliseconds.
const DELAY_MS: u64 = 60;

/// Interval between reads of a reader, in milliseconds.
const READ_MS: u64 = 500;

/// A target with this id.
pub fn target(id: u64) -> Record {
    Record::Target(Target {
        id: TargetId(id),
        service_seed: 1,
        address: SocketAddrV4::new([10, 0, 0, 1].into(), id as u16),
        domain_seed: 1,
        slots: 3,
        stage: Stage::Ready,
        warmup_ms: 0,
        started_at_ms: 0,
    })
}

/// The evacuation of this failure domain.
pub fn evacuation(domain_seed: u64) -> Record {
    Record::Evacuation(Evacuation { domain_seed, domain: format!("domain-{domain_seed}") })
}

/// The row of a record that was written at the revision with this number of the first era.
pub fn listed(number: u64, record: Record) -> Row {
    Row::written(Revision::new(1, number), number, record)
}

/// The listener on this port, whose flows go to the service `service_seed`.
pub fn listener(port: u16, service_seed: u64) -> Record {
    Record::Listener(Listener {
        address: SocketAddrV4::new([198, 18, 0, 1].into(), port),
        shares: vec![Share { service_seed, weight: 1 }],
        kind: RequestKind::Idempotent,
        priority: 1,
        aim_ms: 250,
        timeout_ms: 1_500,
    })
}

struct Host {
    id: HostId,
    domain_seed: u64,
    relay: Relay,
    next_read_ms: u64,
    is_paused: bool,
    /// Whether the next read of the store is a full listing even if the host follows its changes.
    needs_listing: bool,
    /// Whether the host does not reach the store.
    has_lost_store: bool,
    /// The host's link in each direction; without one, messages take a random time.
    links: Option<(Link, Link)>,
}

struct Datagram {
    due_ms: u64,
    from: usize,
    to: usize,
    message: Message,
}

/// The hosts of all failure domains.
pub struct Fleet {
    config: Config,
    hosts: Vec<Host>,
    in_flight: Vec<Datagram>,
    rng: StdRng,
    /// The network partition of each host; hosts in different ones cannot reach each other.
    pub groups: Vec<u32>,
    /// Percentage of messages that are lost.
    pub loss_percent: u32,
    /// The time that messages wait in the receive queue of each host, in milliseconds.
    pub queue_ms: Vec<u64>,
    pub store: Store,
    /// Whether hosts read what has changed in the store rather than all that it holds. Of removals,
    /// only those of evacuations are heard.
    pub follows_changes: bool,
    /// The number of hosts, the first that call from now on, that the store rejects while it serves the
    /// others, and those that have called.
    pub rejected_max: usize,
    rejected: Vec<usize>,
    /// The era of the store.
    pub era: u64,
    contents: Contents,
    /// What each writer wrote last.
    written: Contents,
    /// The number of settings and announcements written so far, which are their editions.
    writes: u64,
    pub now_ms: u64,
    /// Number of reads of the store by all hosts, failed ones included.
    pub reads: usize,
    /// The bytes of all datagrams that hosts sent, lost ones included.
    pub sent_bytes: u64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16))
}

impl Fleet {
    /// Creates `hosts` hosts, spread round-robin over `domains` failure domains.
    pub fn new(hosts: usize, domains: u64, seed: u64) -> Fleet {
        let config = Config { rows_per_batch: 3, fanout: 2, ..Config::default() };
        Fleet::with_config(config, hosts, domains, seed)
    }

    /// Creates hosts with the timing and size limits of `config`.
    pub fn with_config(config: Config, hosts: usize, domains: u64, seed: u64) -> Fleet {
        let peers: Vec<Peer> = (0..hosts)
            .map(|index| Peer {
                id: HostId::from_address(address(index)),
                address: address(index),
                domain_seed: index as u64 % domains,
            })
            .collect();
        let hosts = peers
            .iter()
            .map(|me| {
                let mut relay =
                    Relay::new(config.clone(), me.id, me.domain_seed, 0, me.id.0 ^ seed);
                relay.set_peers(peers.iter().filter(|peer| peer.id != me.id).copied().collect());
                Host {
                    id: me.id,
                    domain_seed: me.domain_seed,
                    relay,
                    next_read_ms: 0,
                    is_paused: false,
                    needs_listing: false,
                    has_lost_store: false,
                    links: None,
                }
            })
            .collect::<Vec<Host>>();
        Fleet {
            groups: vec![0; hosts.len()],
            queue_ms: vec![0; hosts.len()],
            config,
            hosts,
            in_flight: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            loss_percent: 0,
            store: Store::Up,
            follows_changes: false,
            rejected_max: 0,
            rejected: Vec::new(),
            era: 1,
            contents: Contents::empty(),
            written: Contents::default(),
            writes: 0,
            now_ms: 0,
            reads: 0,
            sent_bytes: 0,
        }
    }

    /// Connects each host by links with the limits of `config`.
    pub fn limit_links(&mut self, config: LinkConfig) {
        for host in &mut self.hosts {
            host.links = Some((Link::new(config), Link::new(config)));
        }
    }

    /// Cuts a host off from the store, or ends that.
    pub fn lose_store(&mut self, index: usize, is_lost: bool) {
        self.hosts[index].has_lost_store = is_lost;
    }

    /// Pauses or resumes a host.
    pub fn pause(&mut self, index: usize, is_paused: bool) {
        self.hosts[index].is_paused = is_paused;
    }

    /// Restarts a host with an empty catalog; it knows all its peers.
    pub fn restart(&mut self, index: usize) {
        self.restart_alone(index);
        self.find_peers(index);
    }

    /// Restarts a host with an empty catalog; it does not know any peers yet.
    pub fn restart_alone(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.relay =
            Relay::new(self.config.clone(), host.id, host.domain_seed, self.now_ms, host.id.0);
    }

    /// Makes a host know all its peers.
    pub fn find_peers(&mut self, index: usize) {
        let peers: Vec<Peer> = (0..self.hosts.len())
            .filter(|other| *other != index)
            .map(|other| Peer {
                id: self.hosts[other].id,
                address: address(other),
                domain_seed: self.hosts[other].domain_seed,
            })
            .collect();
        self.hosts[index].relay.set_peers(peers);
    }

    /// Makes a host ask another for its catalog, as hosts do when they start.
    pub fn ask_seed(&mut self, index: usize, seed: usize) {
        let outgoing = self.hosts[index].relay.pull_from(address(seed));
        self.send(index, vec![outgoing]);
    }

    /// Limits the peers that each host knows to the hosts with the indices `known`.
    pub fn set_known_peers(&mut self, known: std::ops::Range<usize>) {
        for index in 0..self.hosts.len() {
            let others = known.clone().filter(|other| *other != index);
            let peers = others
                .map(|other| Peer {
                    id: self.hosts[other].id,
                    address: address(other),
                    domain_seed: self.hosts[other].domain_seed,
                })
                .collect();
            self.hosts[index].relay.set_peers(peers);
        }
    }

    /// The hosts that read the store.
    pub fn readers(&self) -> Vec<usize> {
        let is_reader = |index: &usize| self.hosts[*index].relay.role() == Role::Reader;
        (0..self.hosts.len()).filter(is_reader).collect()
    }

    /// The failure domain of a host.
    pub fn domain(&self, index: usize) -> u64 {
        self.hosts[index].domain_seed
    }

    /// The number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// The relay of a host.
    pub fn relay(&self, index: usize) -> &Relay {
        &self.hosts[index].relay
    }

    /// The presence of a target in a host's catalog.
    pub fn presence(&self, index: usize, id: u64) -> Option<Presence> {
        let catalog = self.hosts[index].relay.catalog();
        catalog.get(Key::Target(TargetId(id))).map(|row| row.presence)
    }

    /// The evacuated failure domains in a host's catalog.
    pub fn evacuated(&self, index: usize) -> Vec<u64> {
        let directory = Directory::new(self.hosts[index].relay.catalog());
        directory.evacuations().iter().map(|evacuation| evacuation.domain_seed).collect()
    }

    /// Whether a host may place new flows by its catalog.
    pub fn can_place_flows(&self, index: usize) -> bool {
        self.now_ms < self.hosts[index].relay.placement_until_ms()
    }

    /// Whether a host knows a record as it is.
    pub fn knows(&self, index: usize, record: &Record) -> bool {
        let row = self.hosts[index].relay.catalog().get(record.key());
        row.is_some_and(|row| row.presence == Presence::Listed && row.record == *record)
    }

    /// Whether a host knows that a target leaves.
    pub fn is_leaving(&self, index: usize, id: u64) -> bool {
        let row = self.hosts[index].relay.catalog().get(Key::Target(TargetId(id)));
        row.is_some_and(
            |row| matches!(&row.record, Record::Target(target) if target.stage == Stage::Draining),
        )
    }

    /// Advances time by `duration_ms`, calling `observe` after every step.
    pub fn run(&mut self, duration_ms: u64, mut observe: impl FnMut(&Fleet)) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.deliver();
            for index in 0..self.hosts.len() {
                self.step(index);
            }
            observe(self);
        }
    }

    fn step(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[index];
        if host.is_paused {
            return;
        }
        let mut out = host.relay.tick(now_ms);
        if host.relay.role() == Role::Reader && now_ms >= host.next_read_ms {
            host.next_read_ms = now_ms + READ_MS;
            self.reads += 1;
            let is_served = self.is_served(index);
            let host = &mut self.hosts[index];
            let relay = &mut host.relay;
            if is_served {
                let is_listing = std::mem::take(&mut host.needs_listing) || !self.follows_changes;
                let read = if is_listing { Contents::read } else { Contents::read_changes };
                let update = read(&self.contents, self.era, relay.catalog(), now_ms);
                out.extend(relay.on_store_update(update, now_ms));
            } else {
                relay.on_store_failure(now_ms);
            }
        }
        self.send(index, out);
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for outgoing in out {
            let Some(to) = (0..self.hosts.len()).find(|index| address(*index) == outgoing.to)
            else {
                continue;
            };
            let is_lost = self.rng.random_range(0..100) < self.loss_percent;
            if is_lost || self.groups[from] != self.groups[to] {
                continue;
            }
            let bytes = datagram_bytes(&outgoing.message);
            self.sent_bytes += bytes;
            if self.hosts[from].links.is_some() {
                let Some(due_ms) = self.transmit(from, to, bytes) else { continue };
                let message = outgoing.message;
                self.in_flight.push(Datagram { due_ms, from, to, message });
                continue;
            }
            let copies = if self.rng.random_range(0..20) == 0 { 2 } else { 1 };
            for _ in 0..copies {
                let delay_ms = self.rng.random_range(1..DELAY_MS) + self.queue_ms[to];
                let due_ms = self.now_ms + delay_ms;
                let message = outgoing.message.clone();
                self.in_flight.push(Datagram { due_ms, from, to, message });
            }
        }
    }

    /// When a datagram arrives over the links of both hosts; `None` if a queue is full.
    fn transmit(&mut self, from: usize, to: usize, bytes: u64) -> Option<u64> {
        let (out, _) = self.hosts[from].links.as_mut()?;
        let left_at_us = out.transmit(self.now_ms * 1_000, bytes)?;
        let (_, link) = self.hosts[to].links.as_mut()?;
        let arrived_at_us = link.transmit(left_at_us, bytes)?;
        Some(arrived_at_us.div_ceil(1_000) + self.queue_ms[to])
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, rest): (Vec<Datagram>, Vec<Datagram>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|datagram| datagram.due_ms <= now_ms);
        self.in_flight = rest;
        for datagram in due {
            if self.hosts[datagram.to].is_paused {
                continue;
            }
            let relay = &mut self.hosts[datagram.to].relay;
            let out = relay.on_message(address(datagram.from), datagram.message, now_ms);
            self.send(datagram.to, out);
        }
    }
}
