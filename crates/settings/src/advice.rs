//! Advice on a valid tree: entries that can never match and limits that contradict each other.
//!
//! A tree with such entries is accepted: an operator may prepare a service before its targets exist.

use crate::{
    Code, Fault, ListenerNode, Policy, ServiceNode, TargetState, Tree, listener_policy,
    target_policy,
};

/// Returns every entry of `tree` that can never match, and every pair of limits that contradict
/// each other. `tree` has passed [`check`](crate::check()).
pub fn advise(tree: &Tree) -> Vec<Fault> {
    let mut adviser = Adviser { tree, faults: Vec::new() };
    adviser.advise_domains();
    for (name, service) in &tree.services {
        adviser.advise_service(name, service);
    }
    adviser.faults
}

/// The fields that apply to listeners, each with whether `policy` sets it.
fn listener_fields(policy: &Policy) -> [(&'static str, bool); 8] {
    [
        ("kind", policy.kind.is_some()),
        ("priority", policy.priority.is_some()),
        ("guaranteed_percent", policy.guaranteed_percent.is_some()),
        ("cap_percent", policy.cap_percent.is_some()),
        ("queue_limit", policy.queue_limit.is_some()),
        ("queue_deadline_ms", policy.queue_deadline_ms.is_some()),
        ("idle_timeout_ms", policy.idle_timeout_ms.is_some()),
        ("silent_timeout_ms", policy.silent_timeout_ms.is_some()),
    ]
}

/// The fields that apply to targets, each with whether `policy` sets it.
fn target_fields(policy: &Policy) -> [(&'static str, bool); 5] {
    [
        ("slots", policy.slots.is_some()),
        ("connections", policy.connections.is_some()),
        ("weight", policy.weight.is_some()),
        ("slow_start_ms", policy.slow_start_ms.is_some()),
        ("state", policy.state.is_some()),
    ]
}

struct Adviser<'a> {
    tree: &'a Tree,
    faults: Vec<Fault>,
}

impl Adviser<'_> {
    fn add(&mut self, code: Code, path: String, cause: String, hint: &str) {
        self.faults.push(Fault { code, path, cause, hint: hint.to_owned() });
    }

    fn add_unused(&mut self, path: &str, set: &[(&str, bool)], node: &str) {
        for (name, _) in set.iter().filter(|field| field.1) {
            let cause = format!("{node} do not use {name}");
            let hint = "set it where it applies, or remove it";
            self.add(Code::NeverMatches, format!("{path}/policy/{name}"), cause, hint);
        }
    }

    fn advise_domains(&mut self) {
        let upstreams =
            || self.tree.services.values().flat_map(|service| service.upstreams.values());
        let is_unused =
            |name: &&String| upstreams().all(|upstream| upstream.failure_domain != **name);
        let unused: Vec<String> =
            self.tree.failure_domains.keys().filter(is_unused).cloned().collect();
        for name in unused {
            let cause = "no upstream is in this failure domain".to_owned();
            let path = format!("/failure_domains/{name}");
            self.add(Code::NeverMatches, path, cause, "add an upstream, or remove it");
        }
    }

    fn advise_service(&mut self, name: &str, service: &ServiceNode) {
        let path = format!("/services/{name}");
        if service.listeners.is_empty() {
            let cause = "it has no listener, so its targets get no flow".to_owned();
            self.add(Code::NeverMatches, path.clone(), cause, "add a listener");
        }
        let slots = self.advise_targets(&path, service);
        if slots == 0 && !service.listeners.is_empty() {
            let cause = "none of its targets takes new flows".to_owned();
            let path = format!("{path}/upstreams");
            self.add(Code::NeverMatches, path, cause, "add a target, or end its state \"leaving\"");
        }
        for (listener_name, listener) in &service.listeners {
            let path = format!("{path}/listeners/{listener_name}");
            self.add_unused(&path, &target_fields(&listener.policy), "listeners");
            self.advise_listener(&path, service, listener, slots);
        }
    }

    /// Advises on the upstreams and targets of a service. Returns the slots of its active targets.
    fn advise_targets(&mut self, path: &str, service: &ServiceNode) -> u64 {
        let mut slots = 0;
        for (upstream_name, upstream) in &service.upstreams {
            let path = format!("{path}/upstreams/{upstream_name}");
            self.add_unused(&path, &listener_fields(&upstream.policy), "upstreams");
            if upstream.targets.is_empty() {
                let cause = "it has no target".to_owned();
                self.add(Code::NeverMatches, path.clone(), cause, "add a target, or remove it");
            }
            for (target_name, target) in &upstream.targets {
                let path = format!("{path}/targets/{target_name}");
                self.add_unused(&path, &listener_fields(&target.policy), "targets");
                let policy = target_policy(self.tree, service, upstream, target);
                if policy.state == TargetState::Active {
                    slots += u64::from(policy.slots);
                }
                if policy.connections < policy.slots {
                    let cause = format!(
                        "connections {} is below slots {}, so some slots stay empty",
                        policy.connections, policy.slots
                    );
                    let hint = "raise connections or lower slots";
                    self.add(Code::ContradictoryLimits, path, cause, hint);
                }
            }
        }
        slots
    }

    fn advise_listener(
        &mut self,
        path: &str,
        service: &ServiceNode,
        listener: &ListenerNode,
        slots: u64,
    ) {
        let policy = listener_policy(self.tree, service, listener);
        let mut contradict = |cause: String, hint: &str| {
            self.add(Code::ContradictoryLimits, path.to_owned(), cause, hint);
        };
        if policy.silent_timeout_ms >= policy.idle_timeout_ms {
            let cause = format!(
                "silent_timeout_ms {} is not below idle_timeout_ms {}: a flow is forgotten before \
                 it can be reset",
                policy.silent_timeout_ms, policy.idle_timeout_ms
            );
            contradict(cause, "raise idle_timeout_ms or lower silent_timeout_ms");
        }
        let (queue_limit, queue_deadline_ms) = (policy.queue_limit, policy.queue_deadline_ms);
        if (queue_limit == 0) != (queue_deadline_ms == 0) {
            let cause = format!(
                "queue_limit {queue_limit} and queue_deadline_ms {queue_deadline_ms}: nothing waits"
            );
            contradict(cause, "set both, or both to 0");
        }
        if slots > 0 && slots * u64::from(policy.cap_percent) < 100 {
            let cause =
                format!("cap_percent {} of {slots} slots is less than one", policy.cap_percent);
            contradict(cause, "raise the cap or add targets");
        }
    }
}
