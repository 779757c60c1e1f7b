//! The network between hosts, targets and callers, with its clock and faults.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
};

use flow::PacketView;
use host::{Destination, HostConfig, Stage, Traffic};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use settings::{Snapshot, Tree, name_seed};

pub use crate::target::Manner;
use crate::{
    CallerKind, Ending, Node,
    caller::Caller,
    node,
    packet::Segment,
    plane::{Datagram, Plane},
    target::Target,
    trees::domain_name,
};

/// When runs start, in milliseconds since 1970.
const START_MS: u64 = 1_000_000_000;

/// How often everything advances, in milliseconds.
const STEP_MS: u64 = 10;

/// How long a datagram takes, in milliseconds.
const LATENCY_MS: u64 = 1;

/// What happens to datagrams, in percent of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Faults {
    /// They are lost.
    pub lost_percent: u32,
    /// They arrive twice.
    pub doubled_percent: u32,
    /// They arrive late, by up to `late_ms`.
    pub late_percent: u32,
    /// How late at most, in milliseconds.
    pub late_ms: u64,
}

/// What a network is made of.
#[derive(Debug, Clone)]
pub struct LanConfig {
    /// The settings at the start.
    pub tree: Tree,
    /// How many hosts each failure domain has.
    pub hosts_per_domain: usize,
    /// The seed of everything random.
    pub seed: u64,
    /// What every host has in common.
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

/// What became of the flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize)]
pub struct Report {
    /// Flows that were started.
    pub started: usize,
    /// Flows that were accepted by a target.
    pub established: usize,
    /// Requests whose whole answer came.
    pub completed: usize,
    /// Openings that were refused.
    pub refused: usize,
    /// Flows that broke after they were established.
    pub broken: usize,
    /// Openings that nobody answered.
    pub unanswered: usize,
    /// Sessions that are open with everything acknowledged.
    pub whole: usize,
    /// Flows whose data was taken by two targets.
    pub taken_twice: usize,
    /// Refused flows whose data was taken by a target.
    pub refused_but_taken: usize,
}

/// The network.
#[derive(Debug)]
pub struct Lan<P = Traffic> {
    /// The hosts.
    pub nodes: Vec<Node<P>>,
    now_ms: u64,
    targets: Vec<Target>,
    callers: Vec<Caller>,
    caller_index: BTreeMap<SocketAddr, usize>,
    in_flight: BTreeMap<(u64, u64), InFlight>,
    next_number: u64,
    rng: StdRng,
    faults: Faults,
    domain_count: usize,
    is_cut: Vec<bool>,
    cut_hosts: Vec<(usize, usize)>,
    /// Pairs of target and caller whose packets are lost.
    silent: Vec<(IpAddr, SocketAddr)>,
    traced: Option<SocketAddr>,
    trace: Vec<String>,
    config: LanConfig,
    make_plane: fn(&HostConfig, u64) -> P,
    revision: u64,
    settings: Arc<Snapshot>,
}

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
    ToEnd {
        from_domain: usize,
        bytes: Vec<u8>,
    },
    /// An answer of the target at this position is due.
    Due {
        target: usize,
    },
}

impl Lan<Traffic> {
    /// Creates a network of hosts with the real packet side, and runs it until they are ready.
    pub fn new(config: LanConfig) -> Lan<Traffic> {
        Lan::with_plane(config, |config, now_ms| Traffic::new(config.clone(), now_ms))
    }

    /// The sum of a counter over all hosts.
    pub fn count(&self, counter: host::Counter) -> u64 {
        self.nodes.iter().map(|node| node.plane.counters().get(counter)).sum()
    }

    /// The sum of packets dropped for `reason` over all hosts.
    pub fn dropped(&self, reason: flow::DropReason) -> u64 {
        self.nodes.iter().map(|node| node.plane.counters().dropped(reason)).sum()
    }
}

impl<P: Plane> Lan<P> {
    /// Creates a network of hosts with the packet side that `make_plane` makes.
    pub fn with_plane(config: LanConfig, make_plane: fn(&HostConfig, u64) -> P) -> Lan<P> {
        let domain_count = config.tree.failure_domains.len();
        let settings = Arc::new(Snapshot::compile(&config.tree, 1));
        let mut lan = Lan {
            nodes: Vec::new(),
            now_ms: START_MS,
            targets: Vec::new(),
            callers: Vec::new(),
            caller_index: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            next_number: 0,
            rng: StdRng::seed_from_u64(config.seed),
            faults: Faults::default(),
            domain_count,
            is_cut: vec![false; domain_count],
            cut_hosts: Vec::new(),
            silent: Vec::new(),
            traced: None,
            trace: Vec::new(),
            config,
            make_plane,
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
        lan.take_settings_everywhere(&settings);
        lan.run_until(10_000, Lan::all_ready);
        lan.run_ms(1_000);
        lan
    }

    /// The time since the start, in milliseconds.
    pub fn elapsed_ms(&self) -> u64 {
        self.now_ms - START_MS
    }

    /// Sets the faults of all datagrams from now on.
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

    /// Advances time until `is_done`, for at most `limit_ms`. Gives the time it took.
    ///
    /// # Panics
    ///
    /// Panics if it does not come about.
    pub fn run_until(&mut self, limit_ms: u64, is_done: impl Fn(&Lan<P>) -> bool) -> u64 {
        let start_ms = self.now_ms;
        while !is_done(self) {
            assert!(self.now_ms < start_ms + limit_ms, "not done within {limit_ms} ms");
            self.step();
        }
        self.now_ms - start_ms
    }

    /// Whether every running host is ready.
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

    /// Opens `count` flows to the service with this number. Gives the number of the first one.
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

    /// Lets every open session send a message.
    pub fn wake_all(&mut self) {
        let now_ms = self.now_ms;
        for caller in &mut self.callers {
            caller.wake(now_ms);
        }
    }

    /// Kills a host.
    pub fn kill(&mut self, host: usize) {
        self.nodes[host].is_running = false;
        self.nodes[host].stopped_at_ms = self.now_ms;
    }

    /// Starts a host again, with nothing but its settings file.
    pub fn start(&mut self, host: usize) {
        let old = &self.nodes[host];
        let config = HostConfig { incarnation: self.now_ms, ..old.config.clone() };
        let domain = old.domain;
        let plane = (self.make_plane)(&config, self.now_ms);
        let mut node = Node::new(config, domain, plane, self.now_ms);
        node.control.set_seeds(&self.seeds());
        self.nodes[host] = node;
    }

    /// Gives a host the settings in force, as the store would.
    pub fn give_settings(&mut self, host: usize) {
        let settings = self.settings.clone();
        let datagrams = self.nodes[host].take_settings(&settings, self.now_ms);
        self.post(host, datagrams);
    }

    /// Starts a planned stop of a host.
    pub fn stop(&mut self, host: usize) {
        let datagrams = self.nodes[host].begin_stop(self.now_ms);
        self.post(host, datagrams);
    }

    /// Whether the host has ended its planned stop.
    pub fn is_stopped(&self, host: usize) -> bool {
        !self.nodes[host].is_running
    }

    /// Stops a process without telling it; what is sent to it waits.
    pub fn freeze(&mut self, host: usize) {
        self.nodes[host].is_frozen = true;
        self.nodes[host].stopped_at_ms = self.now_ms;
    }

    /// Lets a frozen process go on.
    pub fn thaw(&mut self, host: usize) {
        self.nodes[host].is_frozen = false;
    }

    /// Cuts a failure domain off from all others, or heals the cut.
    pub fn set_cut(&mut self, domain: usize, is_cut: bool) {
        self.is_cut[domain] = is_cut;
    }

    /// Loses all datagrams between two hosts.
    pub fn cut_hosts(&mut self, left: usize, right: usize) {
        self.cut_hosts.push((left, right));
    }

    /// Ends all cuts between hosts.
    pub fn heal_hosts(&mut self) {
        self.cut_hosts.clear();
    }

    /// Puts `tree` in force at the host `first`; the others hear of it.
    pub fn apply(&mut self, tree: &Tree, first: usize) {
        self.revision += 1;
        self.settings = Arc::new(Snapshot::compile(tree, self.revision));
        self.config.tree = tree.clone();
        self.add_targets();
        self.give_settings(first);
    }

    /// The revision of the newest settings.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets the manner of a target.
    pub fn set_manner(&mut self, target: IpAddr, manner: Manner) {
        for entry in self.targets.iter_mut().filter(|entry| entry.address == target) {
            entry.manner = manner;
        }
    }

    /// Sets how long every target takes for a request in the mean, in milliseconds.
    pub fn set_work_ms(&mut self, work_ms: u64) {
        for target in &mut self.targets {
            target.work_ms = work_ms;
        }
    }

    /// How many requests the targets of the service with this number run now, in all.
    pub fn running(&self, service: u8) -> usize {
        let is_of_service = |target: &&Target| match target.address {
            IpAddr::V4(ip) => ip.octets()[1] == service,
            IpAddr::V6(_) => false,
        };
        self.targets.iter().filter(is_of_service).map(Target::running).sum()
    }

    /// Makes the path between a caller and its target lose everything, in both directions. Gives
    /// the target.
    pub fn silence(&mut self, caller: usize) -> IpAddr {
        let address = self.callers[caller].address;
        let found = self.targets.iter().find(|target| target.holds(address));
        let target = found.map_or(address.ip(), |target| target.address);
        self.silent.push((target, address));
        target
    }

    /// The addresses of all targets with the number of their open flows.
    pub fn open_flows(&self) -> Vec<(IpAddr, usize)> {
        self.targets.iter().map(|target| (target.address, target.open_flows())).collect()
    }

    /// The most requests that any target had open at a time.
    pub fn most_requests(&self) -> usize {
        self.targets.iter().map(|target| target.most_requests).max().unwrap_or(0)
    }

    /// Notes every delivery of a packet of this caller's flow from now on.
    pub fn trace(&mut self, caller: usize) {
        self.traced = Some(self.callers[caller].address);
    }

    /// The deliveries that were noted, a line each.
    pub fn trace_lines(&self) -> &[String] {
        &self.trace
    }

    /// How a flow ended.
    pub fn ending(&self, caller: usize) -> Option<Ending> {
        self.callers[caller].ending
    }

    /// How long each request of `range` took from its first packet to its end, in milliseconds.
    pub fn durations_ms(&self, range: std::ops::Range<usize>) -> Vec<u64> {
        self.callers[range]
            .iter()
            .filter(|caller| caller.ending == Some(Ending::Completed))
            .map(|caller| caller.ended_at_ms - caller.opened_at_ms)
            .collect()
    }

    /// How long each flow of `range` waited until it was accepted, in milliseconds.
    pub fn waits_ms(&self, range: std::ops::Range<usize>) -> Vec<u64> {
        self.callers[range]
            .iter()
            .filter_map(|caller| Some(caller.established_at_ms? - caller.opened_at_ms))
            .collect()
    }

    /// What became of the flows so far.
    pub fn report(&self) -> Report {
        self.report_of(0..self.callers.len())
    }

    /// What became of the flows in `range`.
    pub fn report_of(&self, range: std::ops::Range<usize>) -> Report {
        let callers = &self.callers[range];
        let mut takers: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for target in &self.targets {
            for (caller, _) in &target.accepted {
                *takers.entry(*caller).or_default() += 1;
            }
        }
        let taken = |caller: &Caller| takers.get(&caller.address).copied().unwrap_or(0);
        let count = |is_wanted: &dyn Fn(&Caller) -> bool| {
            callers.iter().filter(|caller| is_wanted(caller)).count()
        };
        let ended = |caller: &Caller, ending| caller.ending == Some(ending);
        Report {
            started: callers.len(),
            established: count(&|caller| caller.established_at_ms.is_some()),
            completed: count(&|caller| ended(caller, Ending::Completed)),
            refused: count(&|caller| ended(caller, Ending::Refused)),
            broken: count(&|caller| {
                ended(caller, Ending::Broken) && caller.established_at_ms.is_some()
            }),
            unanswered: count(&|caller| {
                ended(caller, Ending::Broken) && caller.established_at_ms.is_none()
            }),
            whole: count(&|caller| caller.is_whole()),
            taken_twice: count(&|caller| taken(caller) > 1),
            refused_but_taken: count(&|caller| ended(caller, Ending::Refused) && taken(caller) > 0),
        }
    }

    fn step(&mut self) {
        let end_ms = self.now_ms + STEP_MS;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > end_ms {
                break;
            }
            self.now_ms = self.now_ms.max(entry.key().0);
            let datagram = entry.remove();
            self.deliver(datagram);
        }
        self.now_ms = end_ms;
        for host in 0..self.nodes.len() {
            if self.nodes[host].is_active() {
                let datagrams = self.nodes[host].tick(self.now_ms);
                self.post(host, datagrams);
                self.fetch_settings(host);
                if self.nodes[host].control.stage() == Stage::Done {
                    self.nodes[host].is_running = false;
                }
            }
        }
        for index in 0..self.targets.len() {
            self.tick_target(index);
        }
        let now_ms = self.now_ms;
        for index in 0..self.callers.len() {
            let segments = self.callers[index].tick(now_ms);
            self.spray(self.callers[index].domain, segments);
        }
    }

    fn note(&mut self, receiver: &str, bytes: &[u8]) {
        let Some(traced) = self.traced else { return };
        let Ok(view) = PacketView::parse(bytes) else { return };
        if view.source != traced && view.destination != traced {
            return;
        }
        let Some(tcp) = view.tcp else { return };
        let letters = [
            (tcp.flags.syn, 'S'),
            (tcp.flags.ack, 'A'),
            (tcp.flags.fin, 'F'),
            (tcp.flags.rst, 'R'),
        ];
        let flags: String =
            letters.iter().filter(|(is_set, _)| *is_set).map(|(_, letter)| *letter).collect();
        self.trace.push(format!(
            "{} ms {receiver}: {} > {} {flags} seq {} ack {} len {}",
            self.now_ms - START_MS,
            view.source,
            view.destination,
            tcp.sequence,
            tcp.acknowledgement,
            view.payload_len
        ));
    }

    fn note_datagram(&mut self, datagram: &InFlight) {
        if self.traced.is_none() {
            return;
        }
        match datagram {
            InFlight::ToHost { host, bytes } => self.note(&format!("host {host}"), bytes),
            InFlight::ToPeer { to, bytes, .. } => {
                let host = self.host_at(*to).unwrap_or(usize::MAX);
                let kind = bytes.get(1).copied().unwrap_or(0);
                let packet = bytes.get(wire::FRAME_HEADER_BYTES..).unwrap_or(&[]);
                self.note(&format!("host {host} frame {kind}"), packet);
            }
            InFlight::ToEnd { bytes, .. } => self.note("end", bytes),
            InFlight::Due { .. } => {}
        }
    }

    fn deliver(&mut self, datagram: InFlight) {
        self.note_datagram(&datagram);
        match datagram {
            InFlight::ToHost { host, mut bytes } => {
                if self.waits_for_thaw(host, InFlight::ToHost { host, bytes: bytes.clone() }) {
                    return;
                }
                if self.nodes[host].is_active() {
                    let datagrams = self.nodes[host].on_fabric(&mut bytes, self.now_ms);
                    self.post(host, datagrams);
                }
            }
            InFlight::ToPeer { from, to, mut bytes } => {
                let Some(host) = self.host_at(to) else { return };
                let copy = InFlight::ToPeer { from, to, bytes: bytes.clone() };
                if self.waits_for_thaw(host, copy) {
                    return;
                }
                if self.nodes[host].is_active() {
                    let datagrams = self.nodes[host].on_peer(from, &mut bytes, self.now_ms);
                    self.post(host, datagrams);
                }
            }
            InFlight::ToEnd { from_domain, bytes } => self.deliver_to_end(from_domain, &bytes),
            InFlight::Due { target } => self.tick_target(target),
        }
    }

    fn tick_target(&mut self, target: usize) {
        let segments = self.targets[target].tick(self.now_ms);
        if !segments.is_empty() {
            self.spray(self.targets[target].domain, segments);
            self.schedule_answer(target);
        }
    }

    // Answers leave at their time, not at the next step.
    fn schedule_answer(&mut self, target: usize) {
        let Some(due_ms) = self.targets[target].next_due_ms() else { return };
        if due_ms > self.now_ms && due_ms < self.now_ms + 10 * STEP_MS {
            self.schedule(due_ms - self.now_ms, InFlight::Due { target });
        }
    }

    // A frozen process finds what was sent to it when it goes on.
    fn waits_for_thaw(&mut self, host: usize, datagram: InFlight) -> bool {
        if !self.nodes[host].is_frozen {
            return false;
        }
        self.schedule(STEP_MS, datagram);
        true
    }

    fn deliver_to_end(&mut self, from_domain: usize, bytes: &[u8]) {
        let Ok(view) = PacketView::parse(bytes) else { return };
        let now_ms = self.now_ms;
        let destination = view.destination.ip();
        let found = self.targets.iter().position(|target| target.address == destination);
        if let Some(index) = found {
            let domain = self.targets[index].domain;
            let is_silent = self.silent.contains(&(destination, view.source));
            if self.is_reachable(from_domain, domain) && !is_silent {
                let segments = self.targets[index].receive(&view, now_ms);
                self.spray(domain, segments);
                self.schedule_answer(index);
            }
            return;
        }
        if let Some(index) = self.caller_index.get(&view.destination).copied() {
            let domain = self.callers[index].domain;
            if self.is_reachable(from_domain, domain) {
                let segments = self.callers[index].receive(&view, now_ms);
                self.spray(domain, segments);
            }
        }
    }

    // The fabric hands each packet to any host that it reaches.
    fn spray(&mut self, domain: usize, segments: Vec<Segment>) {
        for segment in segments {
            let hosts: Vec<usize> = (0..self.nodes.len())
                .filter(|host| self.nodes[*host].takes_packets(self.now_ms))
                .filter(|host| self.is_reachable(domain, self.nodes[*host].domain))
                .collect();
            if hosts.is_empty() {
                continue;
            }
            let host = hosts[self.rng.random_range(0..hosts.len())];
            self.send(InFlight::ToHost { host, bytes: segment.to_bytes() });
        }
    }

    fn post(&mut self, host: usize, datagrams: Vec<Datagram>) {
        let from = self.nodes[host].config.peer_address;
        let from_domain = self.nodes[host].domain;
        for (destination, bytes) in datagrams {
            match destination {
                Destination::Fabric => self.send(InFlight::ToEnd { from_domain, bytes }),
                Destination::Peer(to) => {
                    if self.hosts_reach(host, to) {
                        self.send(InFlight::ToPeer { from, to, bytes });
                    }
                }
            }
        }
    }

    fn send(&mut self, datagram: InFlight) {
        if self.happens(self.faults.lost_percent) {
            return;
        }
        if self.happens(self.faults.doubled_percent) {
            let copy = match &datagram {
                InFlight::ToHost { host, bytes } => {
                    InFlight::ToHost { host: *host, bytes: bytes.clone() }
                }
                InFlight::ToPeer { from, to, bytes } => {
                    InFlight::ToPeer { from: *from, to: *to, bytes: bytes.clone() }
                }
                InFlight::ToEnd { from_domain, bytes } => {
                    InFlight::ToEnd { from_domain: *from_domain, bytes: bytes.clone() }
                }
                InFlight::Due { target } => InFlight::Due { target: *target },
            };
            self.schedule(LATENCY_MS, copy);
        }
        let mut delay_ms = LATENCY_MS;
        if self.happens(self.faults.late_percent) {
            delay_ms += self.rng.random_range(0..self.faults.late_ms.max(1));
        }
        self.schedule(delay_ms, datagram);
    }

    fn schedule(&mut self, delay_ms: u64, datagram: InFlight) {
        self.next_number += 1;
        self.in_flight.insert((self.now_ms + delay_ms, self.next_number), datagram);
    }

    fn happens(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    fn is_reachable(&self, left: usize, right: usize) -> bool {
        left == right || !(self.is_cut[left] || self.is_cut[right])
    }

    fn hosts_reach(&self, host: usize, to: SocketAddr) -> bool {
        let Some(other) = self.host_at(to) else { return false };
        let is_between = |(left, right): &(usize, usize)| {
            (*left, *right) == (host, other) || (*right, *left) == (host, other)
        };
        self.is_reachable(self.nodes[host].domain, self.nodes[other].domain)
            && !self.cut_hosts.iter().any(is_between)
    }

    fn host_at(&self, address: SocketAddr) -> Option<usize> {
        self.nodes.iter().position(|node| node.config.peer_address == address)
    }

    // What the daemon does over TCP: fetch newer settings from the host that has them.
    fn fetch_settings(&mut self, host: usize) {
        let Some(from) = self.nodes[host].fetch_from.take() else { return };
        let Some(other) = self.host_at(from) else { return };
        if !self.hosts_reach(host, from) || !self.nodes[other].is_active() {
            return;
        }
        if let Some(settings) = self.nodes[other].settings.clone() {
            let datagrams = self.nodes[host].take_settings(&settings, self.now_ms);
            self.post(host, datagrams);
        }
    }

    fn take_settings_everywhere(&mut self, settings: &Arc<Snapshot>) {
        for host in 0..self.nodes.len() {
            let datagrams = self.nodes[host].take_settings(settings, self.now_ms);
            self.post(host, datagrams);
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
        let plane = (self.make_plane)(&config, self.now_ms);
        let mut node = node::Node::new(config, domain, plane, self.now_ms);
        node.control.set_seeds(&self.seeds());
        self.nodes.push(node);
    }

    fn seeds(&self) -> Vec<SocketAddr> {
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
