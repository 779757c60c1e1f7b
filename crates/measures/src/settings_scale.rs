//! Size of a settings tree at the target scale, and the time that a host takes to process it.

use std::{collections::BTreeMap, net::Ipv4Addr, time::Instant};

use serde::Serialize;
use settings::{
    FailureDomain, Kind, ListenerNode, Policy, Root, ServiceNode, Snapshot, TargetNode, Transport,
    Tree, UpstreamNode, check, pack, unpack,
};

/// Sizes and times of a settings tree.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SettingsScale {
    /// Number of services, with one listener each.
    pub services: usize,
    /// Total number of targets.
    pub targets: usize,
    /// The size of all blobs, in bytes.
    pub blob_bytes: usize,
    /// The size of the root record, in bytes.
    pub root_bytes: usize,
    /// Bytes that every host fetches after an edit of one service.
    pub edit_bytes: usize,
    /// Writes to the store for an edit of one service: the changed blobs, the archived previous root
    /// record and the new root record.
    pub edit_writes: usize,
    /// Time to validate the tree, in milliseconds.
    pub check_ms: u64,
    /// Time to assemble the tree from blobs and to compile it, in milliseconds.
    pub take_over_ms: u64,
}

/// Measures a tree of `services` services, each with `targets_per_service` targets in three failure
/// domains.
pub fn settings_scale(services: usize, targets_per_service: usize) -> SettingsScale {
    let mut tree = large_tree(services, targets_per_service);
    let started = Instant::now();
    let faults = check(&tree);
    let check_ms = started.elapsed().as_millis() as u64;
    assert!(faults.is_empty(), "{faults:?}");
    let before = pack(&tree);
    if let Some(service) = tree.services.values_mut().next() {
        service.policy.slots = Some(7);
    }
    let after = pack(&tree);
    let changed: Vec<usize> = after
        .blobs
        .iter()
        .filter(|(digest, _)| !before.blobs.contains_key(digest))
        .map(|(_, bytes)| bytes.len())
        .collect();
    let root = Root {
        revision: 1,
        previous: Some(after.base.clone()),
        writer_nonce: 1,
        note: String::new(),
        accepted_at_ms: 0,
        base: after.base.clone(),
        groups: after.groups.clone(),
    };
    let root_bytes = serde_json::to_vec(&root).map_or(0, |bytes| bytes.len());
    let started = Instant::now();
    let snapshot = unpack(&root, &after.blobs).map(|tree| Snapshot::compile(&tree, 1));
    let take_over_ms = started.elapsed().as_millis() as u64;
    SettingsScale {
        services,
        targets: snapshot.map_or(0, |snapshot| snapshot.targets.len()),
        blob_bytes: after.blobs.values().map(Vec::len).sum(),
        root_bytes,
        edit_bytes: changed.iter().sum::<usize>() + root_bytes,
        edit_writes: changed.len() + 2,
        check_ms,
        take_over_ms,
    }
}

fn large_tree(services: usize, targets_per_service: usize) -> Tree {
    let mut tree = Tree::default();
    for domain in 0..11 {
        tree.failure_domains.insert(format!("domain-{domain}"), FailureDomain::default());
    }
    let mut next_target = u32::from(Ipv4Addr::new(10, 0, 0, 1));
    for number in 0..services {
        let listener = ListenerNode {
            address: Ipv4Addr::from(u32::from(Ipv4Addr::new(198, 18, 0, 1)) + number as u32).into(),
            port: 443,
            transport: Transport::Tcp,
            target_port: 8443,
            policy: Policy { kind: Some(Kind::Session), ..Policy::default() },
        };
        let mut upstreams = BTreeMap::new();
        for upstream_number in 0..3 {
            let name = format!("domain-{}", (number + upstream_number) % 11);
            let count =
                targets_per_service / 3 + usize::from(upstream_number < targets_per_service % 3);
            let targets = (0..count)
                .map(|target| {
                    next_target += 1;
                    let address = Ipv4Addr::from(next_target).into();
                    (format!("t{target}"), TargetNode { address, policy: Policy::default() })
                })
                .collect();
            let policy = Policy::default();
            upstreams.insert(name.clone(), UpstreamNode { failure_domain: name, policy, targets });
        }
        let listeners = BTreeMap::from([("main".to_owned(), listener)]);
        let node = ServiceNode { policy: Policy::default(), listeners, upstreams };
        tree.services.insert(format!("service-{number:04}"), node);
    }
    tree
}
