//! A dispatcher with targets in two failure domains, and the packets of callers.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddrV4;

use catalog::{
    Catalog, Directory, FlowTag, Limits, Listener, Record, RequestKind, Revision, Row, Service,
    Share, Stage, Target, TargetId,
};
use tagged::{CheckVerdict, Config, Dispatcher, FlowKey, Segment, SegmentKind, Verdict, View};

/// The failure domain of the host under test.
pub const NEAR: u64 = 1;
/// Another failure domain.
pub const FAR: u64 = 2;
/// The service of all targets.
pub const SERVICE: u64 = 7;

/// Catalog rows with one listener and `targets`, given as pairs of identity and failure domain.
pub fn rows(targets: &[(u64, u64)]) -> Vec<Row> {
    let limits = Record::Limits(Limits { idle_timeout_ms: 15_000 });
    let listener = Record::Listener(Listener {
        address: listener(),
        shares: vec![Share { service_seed: SERVICE, weight: 1 }],
        kind: RequestKind::Idempotent,
        priority: 1,
        aim_ms: 250,
        timeout_ms: 1_500,
    });
    let targets = targets.iter().map(|(id, domain_seed)| Record::Target(target(*id, *domain_seed)));
    [limits, listener]
        .into_iter()
        .chain(targets)
        .map(|record| Row::written(Revision::new(1, 1), 1, record))
        .collect()
}

/// The rows of [`Host::with_priorities`]. Listeners aim for 400 ms; targets have two slots.
pub fn rows_with_priorities(priorities: &[u8], target_count: u64, flows_max: u32) -> Vec<Row> {
    let written = |record| Row::written(Revision::new(1, 1), 1, record);
    let mut rows = rows(&[]);
    let Record::Listener(first) = rows.remove(1).record else { panic!("no listener") };
    rows.extend((443..).zip(priorities).map(|(port, priority)| {
        let address = SocketAddrV4::new(*first.address.ip(), port);
        let listener = Listener { address, priority: *priority, aim_ms: 400, ..first.clone() };
        written(Record::Listener(listener))
    }));
    rows.extend(
        (1..=target_count)
            .map(|id| written(Record::Target(Target { slots: 2, ..target(id, NEAR) }))),
    );
    rows.push(written(Record::Service(Service {
        seed: SERVICE,
        health_path: "/".into(),
        flows_max,
        warmup_openings_per_ks: None,
    })));
    rows
}

/// A ready target.
pub fn target(id: u64, domain_seed: u64) -> Target {
    Target {
        id: TargetId(id),
        service_seed: SERVICE,
        address: SocketAddrV4::new([10, 0, 0, id as u8].into(), 8_000),
        domain_seed,
        slots: 3,
        stage: Stage::Ready,
        warmup_ms: 0,
        started_at_ms: 0,
    }
}

/// The directory of `rows` on a host that knows all targets.
pub fn directory(rows: Vec<Row>) -> Directory {
    let mut catalog = Catalog::default();
    catalog.mark_complete();
    for row in rows {
        catalog.advance(row.revision, 0);
        catalog.merge(row);
    }
    Directory::new(&catalog)
}

/// The listener address to which callers open flows.
pub fn listener() -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, 1].into(), 443)
}

/// The flow key of the caller with this number.
pub fn key(caller: u16) -> FlowKey {
    let ip = [100, 64, (caller >> 8) as u8, caller as u8];
    FlowKey { caller: SocketAddrV4::new(ip.into(), 1_024), listener: listener() }
}

/// A dispatcher with its directory and clock.
pub struct Host {
    pub dispatcher: Dispatcher,
    pub directory: Directory,
    pub view_age_ms: u64,
    pub can_place_flows: bool,
    pub now_ms: u64,
}

impl Host {
    /// A host whose directory holds `targets`.
    pub fn new(targets: &[(u64, u64)]) -> Host {
        let config = Config { domain_seed: NEAR, ..Config::default() };
        let directory = directory(rows(targets));
        Host {
            dispatcher: Dispatcher::new(config, 1),
            directory,
            view_age_ms: 100,
            can_place_flows: true,
            now_ms: 10_000,
        }
    }

    /// A host that orders openings by priority. Its listeners, on ports from 443, have these
    /// priorities, and each of its `target_count` targets holds `flows_max` flows.
    pub fn with_priorities(priorities: &[u8], target_count: u64, flows_max: u32) -> Host {
        let config = Config { domain_seed: NEAR, orders_by_priority: true, ..Config::default() };
        let mut host = Host { dispatcher: Dispatcher::new(config, 1), ..Host::new(&[]) };
        host.set_rows(rows_with_priorities(priorities, target_count, flows_max));
        host
    }

    /// A host with an open flow to its only target, which has just failed a check. Returns the
    /// target's tag too.
    pub fn after_failed_check() -> (Host, FlowTag) {
        let mut host = Host::new(&[(1, NEAR)]);
        let tag = host.open(0, 0).1;
        host.send(&data(0, tag, 100, 50));
        host.now_ms += 400;
        let now_ms = host.now_ms;
        host.dispatcher.on_check(TargetId(1), CheckVerdict::Failed, now_ms, now_ms);
        (host, tag)
    }

    /// Replaces the directory.
    pub fn set_rows(&mut self, rows: Vec<Row>) {
        self.directory = directory(rows);
        self.dispatcher.on_directory(&self.directory, self.now_ms);
    }

    /// Passes a packet to the dispatcher.
    pub fn send(&mut self, segment: &Segment) -> Verdict {
        let view = View {
            directory: &self.directory,
            age_ms: self.view_age_ms,
            can_place_flows: self.can_place_flows,
        };
        self.dispatcher.on_segment(view, segment, self.now_ms)
    }

    /// Takes the targets whose checks are due now.
    pub fn due_checks(&mut self) -> Vec<TargetId> {
        let due = self.dispatcher.take_due_checks(self.now_ms, self.now_ms);
        due.into_iter().map(|due| due.target).collect()
    }

    /// Opens the flow of `caller` and returns its target and tag.
    pub fn open(&mut self, caller: u16, copy: u32) -> (TargetId, FlowTag) {
        match self.send(&opening(caller, copy)) {
            Verdict::Forward { target, tag, .. } => (target, tag),
            other => panic!("the opening was not forwarded: {other:?}"),
        }
    }
}

/// The opening packet of `caller`; `copy` is the number of copies sent before.
pub fn opening(caller: u16, copy: u32) -> Segment {
    let kind = SegmentKind::Open { copy };
    Segment { key: key(caller), kind, tag: None, sequence: 5, acknowledged: copy, data_bytes: 0 }
}

/// `segment` on its way to the listener at `port`.
pub fn to_port(port: u16, mut segment: Segment) -> Segment {
    segment.key.listener.set_port(port);
    segment
}

/// A data packet of `caller`. `sequence` increases with each request, `acknowledged` with each
/// answer.
pub fn data(caller: u16, tag: FlowTag, sequence: u32, acknowledged: u32) -> Segment {
    Segment {
        key: key(caller),
        kind: SegmentKind::Data,
        tag: Some(tag),
        sequence,
        acknowledged,
        data_bytes: 100,
    }
}
