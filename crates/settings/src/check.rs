//! Validation of a tree before anything is written. All faults are reported at once.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use serde_json::Value;

use crate::{
    Code, Fault, Kind, ServiceNode, TargetState, Transport, Tree, blobs, listener_policy, snapshot,
    target_policy,
};

/// The JSON Schema of the tree.
pub fn schema() -> Value {
    schemars::schema_for!(Tree).to_value()
}

/// Parses and checks `text`.
///
/// # Errors
///
/// Returns every violation of the schema or, if there is none, every fault that [`check`] finds.
pub fn parse(text: &str) -> Result<Tree, Vec<Fault>> {
    let value: Value = serde_json::from_str(text).map_err(|error| vec![json_error(&error)])?;
    let faults = schema_faults(&value);
    if !faults.is_empty() {
        return Err(faults);
    }
    let tree: Tree =
        serde_json::from_value(value).map_err(|error| vec![deserialize_error(&error)])?;
    let faults = check(&tree);
    if !faults.is_empty() {
        return Err(faults);
    }
    Ok(tree)
}

/// Returns every violation of the rules that the schema does not express.
pub fn check(tree: &Tree) -> Vec<Fault> {
    let mut checker = Checker { tree, faults: Vec::new() };
    checker.check_buckets();
    checker.check_listeners();
    checker.check_targets();
    for (name, service) in &tree.services {
        checker.check_service(name, service);
    }
    checker.check_sizes();
    checker.faults
}

/// Returns every fault of a change from `old` to `new`.
pub fn check_change(old: &Tree, new: &Tree) -> Vec<Fault> {
    let mut faults = Vec::new();
    if old.routing != new.routing {
        faults.push(Fault {
            code: Code::ImmutableValue,
            path: "/routing".to_owned(),
            cause: "the assignment of flows to hosts would change while flows are open".to_owned(),
            hint: "leave the routing node unchanged".to_owned(),
        });
    }
    let kept = target_addresses(new);
    for (path, address, state) in targets(old) {
        let is_kept = kept.binary_search(&address).is_ok();
        if is_kept || state == TargetState::Leaving {
            continue;
        }
        faults.push(Fault {
            code: Code::RemovedWhileActive,
            path,
            cause: format!("target {address} is removed while it may hold open flows"),
            hint: "set its state to \"leaving\" first and remove it once it holds no flow"
                .to_owned(),
        });
    }
    faults
}

fn json_error(error: &serde_json::Error) -> Fault {
    Fault {
        code: Code::InvalidJson,
        path: String::new(),
        cause: format!("line {}, column {}: {error}", error.line(), error.column()),
        hint: "write the settings as one JSON object".to_owned(),
    }
}

fn deserialize_error(error: &serde_json::Error) -> Fault {
    Fault {
        code: Code::SchemaMismatch,
        path: String::new(),
        cause: error.to_string(),
        hint: "compare with the schema that 'wagtailstall schema' prints".to_owned(),
    }
}

fn schema_faults(value: &Value) -> Vec<Fault> {
    let validator = match jsonschema::validator_for(&schema()) {
        Ok(validator) => validator,
        Err(error) => unreachable!("the generated schema is valid: {error}"),
    };
    validator
        .iter_errors(value)
        .map(|error| Fault {
            code: Code::SchemaMismatch,
            path: error.instance_path().to_string(),
            cause: error.to_string(),
            hint: "field names carry their unit (idle_timeout_ms); 'wagtailstall schema' prints \
                   the format"
                .to_owned(),
        })
        .collect()
}

/// All targets of `tree` as path, address and effective state.
fn targets(tree: &Tree) -> Vec<(String, IpAddr, TargetState)> {
    let mut found = Vec::new();
    for (service_name, service) in &tree.services {
        for (upstream_name, upstream) in &service.upstreams {
            for (target_name, target) in &upstream.targets {
                let path = format!(
                    "/services/{service_name}/upstreams/{upstream_name}/targets/{target_name}"
                );
                let state = target_policy(tree, service, upstream, target).state;
                found.push((path, target.address, state));
            }
        }
    }
    found
}

fn target_addresses(tree: &Tree) -> Vec<IpAddr> {
    let mut addresses: Vec<IpAddr> =
        targets(tree).into_iter().map(|(_, address, _)| address).collect();
    addresses.sort_unstable();
    addresses
}

struct Checker<'a> {
    tree: &'a Tree,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn add_fault(&mut self, code: Code, path: &str, cause: String, hint: &str) {
        self.faults.push(Fault { code, path: path.to_owned(), cause, hint: hint.to_owned() });
    }

    fn check_buckets(&mut self) {
        let count = self.tree.routing.bucket_count;
        if !count.is_power_of_two() {
            let cause = format!("{count} is not a power of two");
            self.add_fault(
                Code::InvalidBucketCount,
                "/routing/bucket_count",
                cause,
                "use 4096 or 65536",
            );
        }
    }

    fn check_listeners(&mut self) {
        let mut seen: BTreeMap<(SocketAddr, bool), String> = BTreeMap::new();
        let mut keys: BTreeMap<u32, SocketAddr> = BTreeMap::new();
        for (service_name, service) in &self.tree.services {
            for (name, listener) in &service.listeners {
                let path = format!("/services/{service_name}/listeners/{name}");
                let address = SocketAddr::new(listener.address, listener.port);
                let is_udp = listener.transport == Transport::Udp;
                if let Some(other) = keys.insert(snapshot::listener_key(listener), address)
                    && other != address
                {
                    let cause = format!("its derived key collides with that of {other}");
                    self.add_fault(Code::ListenerKeyCollision, &path, cause, "choose another port");
                }
                if let Some(other) = seen.insert((address, is_udp), path.clone()) {
                    let cause = format!("{address} is already used by {other}");
                    self.add_fault(
                        Code::DuplicateListener,
                        &path,
                        cause,
                        "give each listener an address and port of its own",
                    );
                }
            }
        }
    }

    fn check_targets(&mut self) {
        let mut listener_addresses: Vec<IpAddr> = self
            .tree
            .services
            .values()
            .flat_map(|service| service.listeners.values())
            .map(|listener| listener.address)
            .collect();
        listener_addresses.sort_unstable();
        let mut seen: BTreeMap<IpAddr, String> = BTreeMap::new();
        for (path, address, _) in targets(self.tree) {
            if listener_addresses.binary_search(&address).is_ok() {
                let cause = format!("{address} is also a service address");
                let hint = "targets and listeners need different addresses";
                self.add_fault(Code::AddressRoleConflict, &path, cause, hint);
            }
            if let Some(other) = seen.insert(address, path.clone()) {
                let cause = format!("{address} is already used by target {other}");
                self.add_fault(
                    Code::DuplicateTarget,
                    &path,
                    cause,
                    "a target belongs to exactly one service; give it an address of its own",
                );
            }
        }
    }

    fn check_service(&mut self, name: &str, service: &ServiceNode) {
        self.check_shares(name, service);
        self.check_kinds(name, service);
        self.check_target_ports(name, service);
        self.check_families(name, service);
        for (upstream_name, upstream) in &service.upstreams {
            if self.tree.failure_domains.contains_key(&upstream.failure_domain) {
                continue;
            }
            let path = format!("/services/{name}/upstreams/{upstream_name}/failure_domain");
            let cause = format!("there is no failure domain '{}'", upstream.failure_domain);
            self.add_fault(Code::UnknownDomain, &path, cause, "add it under /failure_domains");
        }
    }

    fn check_shares(&mut self, name: &str, service: &ServiceNode) {
        let mut total_percent = 0;
        for (listener_name, listener) in &service.listeners {
            let policy = listener_policy(self.tree, service, listener);
            total_percent += u32::from(policy.guaranteed_percent);
            if policy.guaranteed_percent > policy.cap_percent {
                let path = format!("/services/{name}/listeners/{listener_name}");
                let cause = format!(
                    "guaranteed_percent {} exceeds cap_percent {}",
                    policy.guaranteed_percent, policy.cap_percent
                );
                self.add_fault(
                    Code::ShareOverCap,
                    &path,
                    cause,
                    "raise the cap or lower the share",
                );
            }
        }
        if total_percent > 100 {
            let path = format!("/services/{name}/listeners");
            let cause = format!("the guaranteed shares add up to {total_percent} percent");
            self.add_fault(Code::ShareOverflow, &path, cause, "lower them to 100 percent in all");
        }
    }

    // A UDP flow has no end that a host could see, so nothing would free the slot of a request.
    fn check_kinds(&mut self, name: &str, service: &ServiceNode) {
        for (listener_name, listener) in &service.listeners {
            let kind = listener_policy(self.tree, service, listener).kind;
            if listener.transport == Transport::Udp && kind == Kind::Request {
                let path = format!("/services/{name}/listeners/{listener_name}");
                let cause = "a UDP flow of kind request would never free its slot".to_owned();
                let hint = "set kind to \"session\" and a short idle_timeout_ms";
                self.add_fault(Code::DatagramRequest, &path, cause, hint);
            }
        }
    }

    fn check_target_ports(&mut self, name: &str, service: &ServiceNode) {
        let mut seen: BTreeMap<(u16, bool), &str> = BTreeMap::new();
        for (listener_name, listener) in &service.listeners {
            let key = (listener.target_port, listener.transport == Transport::Udp);
            if let Some(other) = seen.insert(key, listener_name) {
                let path = format!("/services/{name}/listeners/{listener_name}/target_port");
                let cause =
                    format!("listener '{other}' already uses target port {}", listener.target_port);
                self.add_fault(
                    Code::DuplicateTargetPort,
                    &path,
                    cause,
                    "answers are told apart by the target's port; use one for each listener",
                );
            }
        }
    }

    fn check_families(&mut self, name: &str, service: &ServiceNode) {
        let Some(first) = service.listeners.values().next() else { return };
        let is_v4 = first.address.is_ipv4();
        for (listener_name, listener) in &service.listeners {
            if listener.address.is_ipv4() != is_v4 {
                let path = format!("/services/{name}/listeners/{listener_name}/address");
                let cause = "the service's listeners mix IPv4 and IPv6".to_owned();
                self.add_fault(
                    Code::MixedAddressFamilies,
                    &path,
                    cause,
                    "split it into two services",
                );
            }
        }
        for (upstream_name, upstream) in &service.upstreams {
            for (target_name, target) in &upstream.targets {
                if target.address.is_ipv4() == is_v4 {
                    continue;
                }
                let path = format!(
                    "/services/{name}/upstreams/{upstream_name}/targets/{target_name}/address"
                );
                let cause =
                    format!("{} is not of the address family of the listeners", target.address);
                self.add_fault(
                    Code::MixedAddressFamilies,
                    &path,
                    cause,
                    "use one address family a service",
                );
            }
        }
    }

    fn check_sizes(&mut self) {
        for (path, size_bytes) in blobs::oversized(self.tree) {
            let cause =
                format!("it takes {size_bytes} bytes; the limit is {}", crate::BLOB_LIMIT_BYTES);
            self.add_fault(Code::BlobTooLarge, &path, cause, "split the service");
        }
    }
}
