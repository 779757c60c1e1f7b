//! Measures the time to process one packet of a pinned flow.

use divan::{Bencher, black_box};
use fakes::LoneHost;
use host::Outbox;

fn main() {
    divan::main();
}

/// Forwards packets from callers, spread over `flows` pinned flows in a scattered order.
#[divan::bench(args = [1_000, 500_000], sample_size = 10_000, sample_count = 50)]
fn forward_pinned(bencher: Bencher<'_, '_>, flows: usize) {
    run(bencher, flows, LoneHost::data_packet);
}

/// Returns packets from targets.
#[divan::bench(args = [1_000, 500_000], sample_size = 10_000, sample_count = 50)]
fn answer(bencher: Bencher<'_, '_>, flows: usize) {
    run(bencher, flows, LoneHost::answer_packet);
}

fn run(bencher: Bencher<'_, '_>, flows: usize, packet: fn(&LoneHost, usize) -> Vec<u8>) {
    let mut host = LoneHost::new(flows);
    let packets: Vec<Vec<u8>> =
        (0..4096).map(|index| packet(&host, index * 7_919 % flows)).collect();
    let mut out = Outbox::default();
    let mut packet = packets[0].clone();
    let mut next = 0;
    bencher.counter(1u32).bench_local(|| {
        next = (next + 1) % packets.len();
        packet.copy_from_slice(&packets[next]);
        out.clear();
        host.traffic.on_fabric(black_box(&mut packet), host.now_ms, &mut out);
        black_box(&out);
    });
}
