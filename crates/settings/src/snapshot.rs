//! The compiled settings: sorted tables for lookups on the packet path.

use std::net::{IpAddr, SocketAddr};

use flow::{HashKey, Protocol};

use crate::{
    ListenerNode, ListenerPolicy, TargetPolicy, TargetState, Transport, Tree, listener_policy,
    target_policy,
};

/// The position of a service in [`Snapshot::services`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceId(pub u32);

/// The position of a listener in [`Snapshot::listeners`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListenerId(pub u32);

/// The position of a target in [`Snapshot::targets`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetId(pub u32);

/// The position of a failure domain in [`Snapshot::domains`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DomainId(pub u16);

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The name, unique in the tree.
    pub name: String,
    /// A hash of the name, see [`name_seed`].
    pub seed: u64,
    /// The listeners, ascending.
    pub listeners: Vec<ListenerId>,
    /// The targets, ascending.
    pub targets: Vec<TargetId>,
}

/// A listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listener {
    /// The name, unique in its service.
    pub name: String,
    /// A hash of protocol, address and port, the same on every host and in every revision.
    pub key: u32,
    /// The service that the listener belongs to.
    pub service: ServiceId,
    /// The transport protocol.
    pub protocol: Protocol,
    /// The service address and port.
    pub address: SocketAddr,
    /// The port on the targets.
    pub target_port: u16,
    /// The effective policy.
    pub policy: ListenerPolicy,
}

/// A target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The name, unique in its upstream.
    pub name: String,
    /// The address.
    pub address: IpAddr,
    /// A hash of the address, the same on every host.
    pub seed: u64,
    /// The service that the target serves; a target serves only one.
    pub service: ServiceId,
    /// The failure domain of the target.
    pub domain: DomainId,
    /// The effective policy.
    pub policy: TargetPolicy,
}

impl Target {
    /// Whether the target takes new flows.
    pub fn is_active(&self) -> bool {
        self.policy.state == TargetState::Active
    }
}

/// The settings of one revision, compiled for lookups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The revision.
    pub revision: u64,
    /// The secret key of the flow hash.
    pub flow_hash_key: HashKey,
    /// The number of buckets, a power of two.
    pub bucket_count: usize,
    /// The names of the failure domains, sorted.
    pub domains: Vec<String>,
    /// The hashes of the failure domains' names, in the order of `domains`, see [`name_seed`].
    pub domain_seeds: Vec<u64>,
    /// The services, sorted by name.
    pub services: Vec<Service>,
    /// The listeners, sorted by protocol and address.
    pub listeners: Vec<Listener>,
    /// The targets, sorted by address.
    pub targets: Vec<Target>,
    /// The listeners by key, sorted.
    listener_keys: Vec<(u32, ListenerId)>,
    /// The addresses of `targets`, in the same order. This compact copy keeps searches in cache.
    target_addresses: Vec<IpAddr>,
}

impl Snapshot {
    /// Compiles a tree that passed [`crate::check()`].
    pub fn compile(tree: &Tree, revision: u64) -> Snapshot {
        let domains: Vec<String> = tree.failure_domains.keys().cloned().collect();
        let mut services = Vec::new();
        let mut listeners = Vec::new();
        let mut targets = Vec::new();
        for (position, (name, node)) in tree.services.iter().enumerate() {
            let service = ServiceId(position as u32);
            services.push(Service {
                name: name.clone(),
                seed: name_seed(name),
                listeners: Vec::new(),
                targets: Vec::new(),
            });
            for (name, listener) in &node.listeners {
                listeners.push(Listener {
                    name: name.clone(),
                    key: listener_key(listener),
                    service,
                    protocol: match listener.transport {
                        Transport::Tcp => Protocol::Tcp,
                        Transport::Udp => Protocol::Udp,
                    },
                    address: SocketAddr::new(listener.address, listener.port),
                    target_port: listener.target_port,
                    policy: listener_policy(tree, node, listener),
                });
            }
            for upstream in node.upstreams.values() {
                let domain = domains.binary_search(&upstream.failure_domain).unwrap_or(0);
                for (name, target) in &upstream.targets {
                    targets.push(Target {
                        name: name.clone(),
                        address: target.address,
                        seed: address_seed(target.address),
                        service,
                        domain: DomainId(domain as u16),
                        policy: target_policy(tree, node, upstream, target),
                    });
                }
            }
        }
        listeners.sort_unstable_by_key(|listener| (listener.protocol, listener.address));
        targets.sort_unstable_by_key(|target| target.address);
        for (position, listener) in listeners.iter().enumerate() {
            services[listener.service.0 as usize].listeners.push(ListenerId(position as u32));
        }
        for (position, target) in targets.iter().enumerate() {
            services[target.service.0 as usize].targets.push(TargetId(position as u32));
        }
        Snapshot {
            revision,
            flow_hash_key: parse_hash_key(&tree.routing.flow_hash_key),
            bucket_count: tree.routing.bucket_count as usize,
            domain_seeds: domains.iter().map(|name| name_seed(name)).collect(),
            domains,
            services,
            listener_keys: sorted_listener_keys(&listeners),
            target_addresses: targets.iter().map(|target| target.address).collect(),
            listeners,
            targets,
        }
    }

    /// The listener at `address`.
    pub fn find_listener(&self, protocol: Protocol, address: SocketAddr) -> Option<ListenerId> {
        let key = (protocol, address);
        let found = self
            .listeners
            .binary_search_by_key(&key, |listener| (listener.protocol, listener.address));
        found.ok().map(|position| ListenerId(position as u32))
    }

    /// The target at `address`.
    pub fn find_target(&self, address: IpAddr) -> Option<TargetId> {
        let found = self.target_addresses.binary_search(&address);
        found.ok().map(|position| TargetId(position as u32))
    }

    /// The listener whose flows reach `target` at `port`.
    pub fn find_listener_by_target_port(
        &self,
        target: TargetId,
        protocol: Protocol,
        port: u16,
    ) -> Option<ListenerId> {
        let service = self.service(self.target(target).service);
        service.listeners.iter().copied().find(|listener| {
            let listener = self.listener(*listener);
            listener.target_port == port && listener.protocol == protocol
        })
    }

    /// The listener with `key`.
    pub fn find_listener_by_key(&self, key: u32) -> Option<&Listener> {
        let found = self.listener_keys.binary_search_by_key(&key, |entry| entry.0);
        found.ok().map(|position| self.listener(self.listener_keys[position].1))
    }

    /// The hash of the name of the failure domain of `target`, see [`name_seed`].
    pub fn domain_seed(&self, target: &Target) -> u64 {
        self.domain_seeds[usize::from(target.domain.0)]
    }

    /// The service `id`.
    pub fn service(&self, id: ServiceId) -> &Service {
        &self.services[id.0 as usize]
    }

    /// The listener `id`.
    pub fn listener(&self, id: ListenerId) -> &Listener {
        &self.listeners[id.0 as usize]
    }

    /// The target `id`.
    pub fn target(&self, id: TargetId) -> &Target {
        &self.targets[id.0 as usize]
    }
}

/// The seed of a service, failure domain or rack: a hash of its name, the same on every host.
pub fn name_seed(name: &str) -> u64 {
    seed_of(name.as_bytes())
}

/// The key of a listener: a hash of its transport, address and port.
pub(crate) fn listener_key(listener: &ListenerNode) -> u32 {
    let text = format!("{:?} {} {}", listener.transport, listener.address, listener.port);
    seed_of(text.as_bytes()) as u32
}

fn sorted_listener_keys(listeners: &[Listener]) -> Vec<(u32, ListenerId)> {
    let mut keys: Vec<(u32, ListenerId)> = listeners
        .iter()
        .enumerate()
        .map(|(position, listener)| (listener.key, ListenerId(position as u32)))
        .collect();
    keys.sort_unstable();
    keys
}

/// The first 64 bits of the BLAKE3 digest of `bytes`.
fn seed_of(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut seed = [0; 8];
    seed.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(seed)
}

fn address_seed(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(ip) => seed_of(&ip.octets()),
        IpAddr::V6(ip) => seed_of(&ip.octets()),
    }
}

fn parse_hash_key(hex: &str) -> HashKey {
    let mut key = [0; 16];
    for (byte, digits) in key.iter_mut().zip(hex.as_bytes().chunks_exact(2)) {
        let text = std::str::from_utf8(digits).unwrap_or("00");
        *byte = u8::from_str_radix(text, 16).unwrap_or(0);
    }
    HashKey(key)
}
