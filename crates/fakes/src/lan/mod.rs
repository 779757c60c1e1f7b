//! The simulated network between hosts, targets and callers, with its clock and faults.

mod changes;
mod network;
mod report;

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
};

use host::{HostConfig, Stage, Traffic};
use rand::{SeedableRng, rngs::StdRng};
use settings::{Snapshot, Tree, name_seed};

pub use crate::target::TargetBehavior;
use crate::{
    CallerKind, Node, caller::Caller, data_plane::DataPlane, node, target::Target,
    trees::domain_name,
};

/// The simulated time at which runs start, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_000_000_000;

/// The interval at which hosts, targets and callers tick, in milliseconds.
const STEP_MS: u64 = 10;

/// The one-way latency of a datagram without faults, in milliseconds.
const LATENCY_MS: u64 = 1;

/// Network faults, each applied to a percentage of all datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Faults {
    /// Datagrams that are lost.
    pub lost_percent: u32,
    /// Datagrams that arrive twice.
    pub doubled_percent: u32,
    /// Datagrams that are delayed by less than `late_ms`.
    pub late_percent: u32,
    /// The upper bound of the extra delay, in milliseconds.
    pub late_ms: u64,
}

/// Configuration of a simulated network.
#[derive(Debug, Clone)]
pub struct LanConfig {
    /// The initial settings tree.
    pub tree: Tree,
    /// Hosts per failure domain.
    pub hosts_per_domain: usize,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The configuration that all hosts share.
    pub host: HostConfig,
}

impl Default for LanConfig {
    fn default() -> LanConfig {
        LanConfig {
            tree: crate::tree(&[crate::ServiceSpec::default()]),
            hosts_per_domain: 3,
            seed: 1,
            host: HostConfig::default(),
        }
    }
}

/// Counts of flows by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize)]
pub struct Report {
    /// Flows that were started.
    pub started: usize,
    /// Flows that were accepted by a target.
    pub established: usize,
    /// Requests that received their whole answer.
    pub completed: usize,
    /// Openings that were refused.
    pub refused: usize,
    /// Flows that broke after they were established.
    pub broken: usize,
    /// Flows whose opening was never answered.
    pub unanswered: usize,
    /// Open flows with all data acknowledged, except a segment sent only once so far.
    pub whole: usize,
    /// Flows whose data was accepted by more than one target.
    pub taken_twice: usize,
    /// Refused flows whose data was accepted by a target nevertheless.
    pub refused_but_taken: usize,
}

/// The simulated network.
#[derive(Debug)]
pub struct Lan<P = Traffic> {
    /// The hosts.
    pub nodes: Vec<Node<P>>,
    now_ms: u64,
    targets: Vec<Target>,
    callers: Vec<Caller>,
    /// The positions in `callers`, by address.
    caller_index: BTreeMap<SocketAddr, usize>,
    /// Datagrams and timers by due time, in milliseconds, and datagram id.
    in_flight: BTreeMap<(u64, u64), InFlight>,
    next_datagram_id: u64,
    rng: StdRng,
    faults: Faults,
    domain_count: usize,
    /// For each failure domain, whether it is partitioned from all others.
    is_cut: Vec<bool>,
    /// Pairs of hosts between which all datagrams are lost.
    cut_hosts: Vec<(usize, usize)>,
    /// Pairs of target and caller between which all packets are lost.
    blackholed_paths: Vec<(IpAddr, SocketAddr)>,
    traced_caller: Option<SocketAddr>,
    trace: Vec<String>,
    config: LanConfig,
    make_data_plane: fn(&HostConfig, u64) -> P,
    revision: u64,
    settings: Arc<Snapshot>,
}

/// A datagram by its receiver, or a timer.
#[derive(Debug)]
enum InFlight {
    ToHost {
        host: usize,
        bytes: Vec<u8>,
    },
    ToPeer {
        from: SocketAddr,
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    ToEndpoint {
        from_domain: usize,
        bytes: Vec<u8>,
    },
    /// A timer: the target with this index has an answer due.
    AnswerDue {
        target: usize,
    },
}

impl Lan<Traffic> {
    /// Creates a network of hosts with the real data plane and runs it until they are ready.
    pub fn new(config: LanConfig) -> Lan<Traffic> {
        Lan::with_data_plane(config, |config, now_ms| Traffic::new(config.clone(), now_ms))
    }

    /// The sum of a counter over all hosts.
    pub fn count(&self, counter: host::Counter) -> u64 {
        self.nodes.iter().map(|node| node.data_plane.counters().get(counter)).sum()
    }

    /// The sum of packets dropped for `reason` over all hosts.
    pub fn dropped(&self, reason: flow::DropReason) -> u64 {
        self.nodes.iter().map(|node| node.data_plane.counters().dropped(reason)).sum()
    }
}

impl<P: DataPlane> Lan<P> {
    /// Creates a network of hosts whose data planes are created by `make_data_plane`, and runs it
    /// until they are ready.
    pub fn with_data_plane(
        config: LanConfig,
        make_data_plane: fn(&HostConfig, u64) -> P,
    ) -> Lan<P> {
        let domain_count = config.tree.failure_domains.len();
        let settings = Arc::new(Snapshot::compile(&config.tree, 1));
        let mut lan = Lan {
            nodes: Vec::new(),
            now_ms: START_MS,
            targets: Vec::new(),
            callers: Vec::new(),
            caller_index: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            next_datagram_id: 0,
            rng: StdRng::seed_from_u64(config.seed),
            faults: Faults::default(),
            domain_count,
            is_cut: vec![false; domain_count],
            cut_hosts: Vec::new(),
            blackholed_paths: Vec::new(),
            traced_caller: None,
            trace: Vec::new(),
            config,
            make_data_plane,
            revision: 1,
            settings,
        };
        lan.add_targets();
        for domain in 0..domain_count {
            for number in 0..lan.config.hosts_per_domain {
                lan.add_host(domain, number);
            }
        }
        let settings = lan.settings.clone();
        lan.apply_settings_everywhere(&settings);
        // If the data plane has no hand-over, a starting host becomes ready only after its join
        // timeout.
        lan.run_until(30_000, Lan::all_ready);
        lan.run_ms(1_000);
        lan
    }

    /// The simulated time since the start of the run, in milliseconds.
    pub fn elapsed_ms(&self) -> u64 {
        self.now_ms - START_MS
    }

    /// Sets the faults of all datagrams sent from now on.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Advances time by `duration_ms`.
    pub fn run_ms(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Advances time until `is_done` returns true, for at most `limit_ms`. Returns the elapsed time.
    ///
    /// # Panics
    ///
    /// Panics if `is_done` is still false after `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, is_done: impl Fn(&Lan<P>) -> bool) -> u64 {
        let start_ms = self.now_ms;
        while !is_done(self) {
            assert!(self.now_ms < start_ms + limit_ms, "not done within {limit_ms} ms");
            self.step();
        }
        self.now_ms - start_ms
    }

    /// Whether every running host is ready and has the newest settings.
    pub fn all_ready(lan: &Lan<P>) -> bool {
        lan.nodes.iter().filter(|node| node.is_active()).all(|node| {
            matches!(node.control.stage(), Stage::Ready) && node.control.revision() == lan.revision
        })
    }

    /// Whether every running host has the newest settings.
    pub fn all_in_force(lan: &Lan<P>) -> bool {
        let mut running = lan.nodes.iter().filter(|node| node.is_active());
        running.all(|node| node.control.revision() == lan.revision)
    }

    /// Opens `count` flows to the service with number `service`. Returns the index of the first
    /// caller.
    pub fn open(&mut self, service: u8, kind: CallerKind, count: usize) -> usize {
        let first = self.callers.len();
        let ip = Ipv4Addr::new(198, 51, 100, service);
        let service = SocketAddr::new(ip.into(), kind.port());
        for number in first..first + count {
            let domain = number % self.domain_count;
            let ip = Ipv4Addr::new(172, 16, (number / 30_000) as u8, domain as u8 + 1);
            let address = SocketAddr::new(ip.into(), 1_000 + (number % 30_000) as u16);
            self.caller_index.insert(address, number);
            self.callers.push(Caller::new(address, service, domain, kind, self.now_ms));
        }
        first
    }

    fn apply_settings_everywhere(&mut self, settings: &Arc<Snapshot>) {
        for host in 0..self.nodes.len() {
            let datagrams = self.nodes[host].apply_settings(settings, self.now_ms);
            self.send_from_host(host, datagrams);
        }
    }

    fn add_host(&mut self, domain: usize, number: usize) {
        let ip = Ipv4Addr::new(10, 200, domain as u8 + 1, number as u8 + 1);
        let config = HostConfig {
            peer_address: SocketAddr::new(ip.into(), 7_000),
            domain_seed: name_seed(&domain_name(domain)),
            rack_seed: number as u64 % 2,
            incarnation: self.now_ms,
            ..self.config.host.clone()
        };
        let data_plane = (self.make_data_plane)(&config, self.now_ms);
        let mut node = node::Node::new(config, domain, data_plane, self.now_ms);
        node.control.set_seeds(&self.seed_addresses());
        self.nodes.push(node);
    }

    fn seed_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.config.peer_address).collect()
    }

    fn add_targets(&mut self) {
        for target in &self.settings.targets {
            if self.targets.iter().any(|present| present.address == target.address) {
                continue;
            }
            let domain = usize::from(target.domain.0);
            let seed = self.targets.len() as u32 + 1;
            self.targets.push(Target::new(target.address, domain, seed));
        }
    }
}
