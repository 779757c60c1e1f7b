//! Measures the time to place an opening.

use std::net::SocketAddrV4;

use catalog::{
    Catalog, Directory, Limits, Listener, Record, RequestKind, Revision, Row, Share, Stage, Target,
    TargetId,
};
use divan::{Bencher, black_box};
use tagged::{Config, Dispatcher, FlowKey, Segment, SegmentKind, View};

const SERVICE: u64 = 7;

fn main() {
    divan::main();
}

/// Places openings of two priorities in turn, as before.
#[divan::bench(args = [150, 600], sample_size = 100, sample_count = 50)]
fn unordered(bencher: Bencher<'_, '_>, targets: u32) {
    run(bencher, targets, Config::default());
}

/// Places openings of two priorities in turn, by priority.
#[divan::bench(args = [150, 600], sample_size = 100, sample_count = 50)]
fn by_priority(bencher: Bencher<'_, '_>, targets: u32) {
    run(bencher, targets, Config { orders_by_priority: true, ..Config::default() });
}

fn run(bencher: Bencher<'_, '_>, targets: u32, config: Config) {
    let directory = directory(targets);
    let mut dispatcher = Dispatcher::new(config, 1);
    let mut now_ms = 10_000;
    dispatcher.on_directory(&directory, now_ms);
    let view = View { directory: &directory, age_ms: 100, can_place_flows: true };
    let mut caller = 0;
    bencher.counter(1u32).bench_local(|| {
        caller += 1;
        now_ms += 20;
        let caller = SocketAddrV4::new(caller.into(), 1_024);
        let listener = listener(443 + (now_ms / 20 % 2) as u16);
        let mut segment = Segment {
            key: FlowKey { caller, listener },
            kind: SegmentKind::Open { copy: 0 },
            tag: None,
            sequence: 5,
            acknowledged: 0,
            data_bytes: 0,
        };
        black_box(dispatcher.on_segment(view, &segment, now_ms));
        segment.kind = SegmentKind::Abort;
        black_box(dispatcher.on_segment(view, &segment, now_ms));
        dispatcher.on_tick(view, now_ms);
    });
}

fn listener(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, 1].into(), port)
}

fn directory(targets: u32) -> Directory {
    let mut records = vec![Record::Limits(Limits { idle_timeout_ms: 15_000 })];
    records.extend([443, 444].map(|port| {
        Record::Listener(Listener {
            address: listener(port),
            shares: vec![Share { service_seed: SERVICE, weight: 1 }],
            kind: RequestKind::Idempotent,
            priority: (port - 442) as u8,
            aim_ms: 400,
            timeout_ms: 1_500,
        })
    }));
    records.extend((1..=targets).map(|id| {
        Record::Target(Target {
            id: TargetId(id.into()),
            service_seed: SERVICE,
            address: SocketAddrV4::new((0x0a00_0000 + id).into(), 8_000),
            domain_seed: u64::from(id % 3),
            slots: 2,
            stage: Stage::Ready,
            warmup_ms: 0,
            started_at_ms: 0,
        })
    }));
    let mut catalog = Catalog::default();
    catalog.mark_complete();
    for record in records {
        let row = Row::written(Revision::new(1, 1), 1, record);
        catalog.advance(row.revision, 0);
        catalog.merge(row);
    }
    Directory::new(&catalog)
}
