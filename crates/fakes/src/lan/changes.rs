//! Actions on hosts, targets and the network during a run.

use std::{net::IpAddr, sync::Arc};

use host::HostConfig;
use settings::{Snapshot, Tree};

use crate::{Node, data_plane::DataPlane, lan::Lan, target::TargetBehavior};

impl<P: DataPlane> Lan<P> {
    /// Makes every established flow without unacknowledged data send a message now.
    pub fn send_on_all_sessions(&mut self) {
        let now_ms = self.now_ms;
        for caller in &mut self.callers {
            caller.send_now(now_ms);
        }
    }

    /// Kills a host without hand-over.
    pub fn kill(&mut self, host: usize) {
        self.nodes[host].is_running = false;
        self.nodes[host].stopped_at_ms = self.now_ms;
    }

    /// Restarts a host with the same configuration, a new incarnation and no other state.
    pub fn start(&mut self, host: usize) {
        let old = &self.nodes[host];
        let config = HostConfig { incarnation: self.now_ms, ..old.config.clone() };
        let domain = old.domain;
        let data_plane = (self.make_data_plane)(&config, self.now_ms);
        let mut node = Node::new(config, domain, data_plane, self.now_ms);
        node.control.set_seeds(&self.seed_addresses());
        self.nodes[host] = node;
    }

    /// Delivers the newest settings to a host, as if it had read them from the store.
    pub fn deliver_settings(&mut self, host: usize) {
        let settings = self.settings.clone();
        let datagrams = self.nodes[host].apply_settings(&settings, self.now_ms);
        self.send_from_host(host, datagrams);
    }

    /// Starts a planned stop of a host.
    pub fn stop(&mut self, host: usize) {
        let datagrams = self.nodes[host].begin_stop(self.now_ms);
        self.send_from_host(host, datagrams);
    }

    /// Whether the host's process has ended.
    pub fn is_stopped(&self, host: usize) -> bool {
        !self.nodes[host].is_running
    }

    /// Suspends a host's process, as SIGSTOP does; datagrams to it are queued.
    pub fn freeze(&mut self, host: usize) {
        self.nodes[host].is_frozen = true;
        self.nodes[host].stopped_at_ms = self.now_ms;
    }

    /// Resumes a frozen process.
    pub fn thaw(&mut self, host: usize) {
        self.nodes[host].is_frozen = false;
    }

    /// Partitions a failure domain from all others, or heals the partition.
    pub fn set_cut(&mut self, domain: usize, is_cut: bool) {
        self.is_cut[domain] = is_cut;
    }

    /// Drops all datagrams between two hosts.
    pub fn cut_hosts(&mut self, left: usize, right: usize) {
        self.cut_hosts.push((left, right));
    }

    /// Ends all cuts made by [`Lan::cut_hosts`].
    pub fn heal_hosts(&mut self) {
        self.cut_hosts.clear();
    }

    /// Makes `tree` the newest settings and delivers it to the host `first`; the other hosts fetch it
    /// from their peers.
    pub fn apply(&mut self, tree: &Tree, first: usize) {
        self.revision += 1;
        self.settings = Arc::new(Snapshot::compile(tree, self.revision));
        self.config.tree = tree.clone();
        self.add_targets();
        self.deliver_settings(first);
    }

    /// The revision of the newest settings.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets the behavior of a target.
    pub fn set_target_behavior(&mut self, target: IpAddr, behavior: TargetBehavior) {
        for entry in self.targets.iter_mut().filter(|entry| entry.address == target) {
            entry.behavior = behavior;
        }
    }

    /// Sets the mean time that every target takes for a request, in milliseconds.
    pub fn set_work_ms(&mut self, work_ms: u64) {
        for target in &mut self.targets {
            target.work_ms = work_ms;
        }
    }

    /// Drops all packets between a caller and its target, in both directions. Returns the target's
    /// address.
    pub fn blackhole_target_path(&mut self, caller: usize) -> IpAddr {
        let address = self.callers[caller].address;
        let found = self.targets.iter().find(|target| target.has_connection(address));
        let target = found.map_or(address.ip(), |target| target.address);
        self.blackholed_paths.push((target, address));
        target
    }
}
