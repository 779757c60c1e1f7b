//! The memory cost of pinned flows and of their packets.

use fakes::LoneHost;
use host::{Counter, Outbox};

const FLOWS: usize = 100_000;

#[test]
fn no_allocation() {
    let mut host = LoneHost::new(1_000);
    let mut out = Outbox::default();
    let mut packets: Vec<Vec<u8>> = (0..1_000).map(|number| host.data_packet(number)).collect();
    let mut answers: Vec<Vec<u8>> = (0..1_000).map(|number| host.answer_packet(number)).collect();
    // The first packets grow the buffers of the outbox to their final size.
    host.traffic.on_fabric(&mut host.data_packet(0), host.now_ms, &mut out);
    host.traffic.on_fabric(&mut host.answer_packet(0), host.now_ms, &mut out);
    let before = host.traffic.counters().get(Counter::Forwarded);
    let info = allocation_counter::measure(|| {
        for packet in packets.iter_mut().chain(&mut answers) {
            out.clear();
            host.traffic.on_fabric(packet, host.now_ms, &mut out);
        }
    });
    assert_eq!(host.traffic.counters().get(Counter::Forwarded) - before, 1_000);
    assert_eq!(info.count_total, 0);
}

#[test]
fn bytes_a_pin() {
    let host = LoneHost::new(FLOWS);
    assert_eq!(host.traffic.pin_count(), FLOWS);
    let bytes = host.traffic.pin_memory_bytes() as f64 / FLOWS as f64;
    assert!(bytes <= 64.0, "{bytes} bytes a pin");
}
