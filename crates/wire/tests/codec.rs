//! Round trips of frames and control messages, and rejection of datagrams without a valid tag.

use flow::FlowHash;
use proptest::{prelude::*, test_runner::RngSeed};
use routing::{HostId, PinState};
use wire::{Control, Frame, FrameKind, PeerKey, PinRecord, decode, encode};

const KEY: PeerKey = PeerKey([7; 16]);

fn frame(body: &[u8]) -> Frame<'_> {
    Frame {
        kind: FrameKind::Granted,
        hops: 2,
        listener_key: 99,
        sender: HostId(5),
        origin: HostId(6),
        sent_at_ms: 1234,
        target: "10.1.2.3".parse().unwrap(),
        body,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn frame_round_trip(body in proptest::collection::vec(any::<u8>(), 0..100)) {
        let mut datagram = Vec::new();
        frame(&body).seal(&KEY, &mut datagram);
        prop_assert_eq!(Frame::open(&datagram, &KEY), Ok(frame(&body)));
    }

    #[test]
    fn any_changed_byte(position in 0..70usize, change in 1..255u8) {
        let mut datagram = Vec::new();
        frame(b"fourteen bytes").seal(&KEY, &mut datagram);
        let position = position % datagram.len();
        // The tag covers the reserved byte too.
        datagram[position] ^= change;
        prop_assert!(Frame::open(&datagram, &KEY).is_err());
    }

    #[test]
    fn never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes);
        let _ = Frame::open(&bytes, &KEY);
    }
}

#[test]
fn wrong_key() {
    let mut datagram = Vec::new();
    frame(b"body").seal(&KEY, &mut datagram);
    assert!(Frame::open(&datagram, &PeerKey([8; 16])).is_err());
}

#[test]
fn pins_round_trip() {
    let pins = vec![PinRecord {
        hash: FlowHash(1 << 100 | 5),
        target: "2001:db8::5".parse().unwrap(),
        sequence: 77,
        age_s: 12,
        listener_key: 3,
        state: PinState::Established,
    }];
    let message = Control::Pins { sequence: 9, pins };
    assert_eq!(decode(&encode(&message)), Ok(message));
}
