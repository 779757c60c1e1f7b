//! Settings trees for simulated runs.

use std::{collections::BTreeMap, net::Ipv4Addr};

use settings::{
    FailureDomain, Kind, ListenerNode, Policy, ServiceNode, TargetNode, Transport, Tree,
    UpstreamNode,
};

/// A service with a session listener, one or more request listeners, and targets in each failure
/// domain.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// The service name.
    pub name: &'static str,
    /// The address octet that differs between services: 198.51.100.N, with targets in 10.N.0.0/16.
    pub number: u8,
    /// The number of targets in each failure domain.
    pub targets: Vec<u8>,
    /// The policy of the service, which overrides inherited values.
    pub policy: Policy,
    /// Request listeners besides the one on port 444, by port.
    pub extra_request_listeners: Vec<(u16, Policy)>,
}

impl Default for ServiceSpec {
    fn default() -> ServiceSpec {
        ServiceSpec {
            name: "board",
            number: 1,
            targets: vec![5, 5, 5],
            policy: Policy { slow_start_ms: Some(0), ..Policy::default() },
            extra_request_listeners: Vec::new(),
        }
    }
}

/// Builds the tree of `services` in failure domains named a, b, c and so on.
pub fn tree(services: &[ServiceSpec]) -> Tree {
    let mut tree = Tree::default();
    tree.routing.bucket_count = 512;
    for service in services {
        let mut upstreams = BTreeMap::new();
        for (domain, count) in service.targets.iter().enumerate() {
            let name = domain_name(domain);
            tree.failure_domains.insert(name.clone(), FailureDomain::default());
            let targets = (1..=*count)
                .map(|number| {
                    let address = Ipv4Addr::new(10, service.number, domain as u8 + 1, number);
                    let target = TargetNode { address: address.into(), policy: Policy::default() };
                    (format!("t{number:02}"), target)
                })
                .collect();
            let upstream =
                UpstreamNode { failure_domain: name.clone(), policy: Policy::default(), targets };
            upstreams.insert(name, upstream);
        }
        let mut listeners = BTreeMap::from([
            ("sessions".to_owned(), listener(service.number, 443, Kind::Session)),
            ("requests".to_owned(), listener(service.number, 444, Kind::Request)),
        ]);
        for (port, policy) in &service.extra_request_listeners {
            let mut class = listener(service.number, *port, Kind::Request);
            class.policy = policy.inherit(&class.policy);
            listeners.insert(format!("class-{port}"), class);
        }
        let node = ServiceNode { policy: service.policy.clone(), listeners, upstreams };
        tree.services.insert(service.name.to_owned(), node);
    }
    tree
}

/// The name of the failure domain with index `number`.
pub(crate) fn domain_name(number: usize) -> String {
    char::from(b'a' + number as u8).to_string()
}

fn listener(service: u8, port: u16, kind: Kind) -> ListenerNode {
    ListenerNode {
        address: Ipv4Addr::new(198, 51, 100, service).into(),
        port,
        transport: Transport::Tcp,
        target_port: 8_000 + port,
        policy: Policy { kind: Some(kind), ..Policy::default() },
    }
}
