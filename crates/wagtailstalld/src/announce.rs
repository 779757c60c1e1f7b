//! Announces to the fabric whether this host accepts packets.
//!
//! The announcement is a control message of GUE (Generic UDP Encapsulation) with version 0 and the
//! control bit set, which cannot be mistaken for an IP packet.

use std::{sync::Arc, time::Duration};

use host::Stage;
use smol::Timer;

use crate::{control_thread::State, shared::Shared};

/// The interval between announcements, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 100;

/// The first byte of a GUE control message without options.
const GUE_CONTROL: u8 = 0x20;

/// The control type for "this host accepts packets".
const READY: u8 = 1;

/// The control type for "this host no longer accepts packets".
const WITHDRAWN: u8 = 2;

/// Announces the host as ready or withdrawn, at a fixed interval.
pub(crate) async fn run(shared: &Arc<Shared>, state: &State) {
    loop {
        let kind = match state.stage() {
            Stage::Ready => READY,
            _ => WITHDRAWN,
        };
        // A failed send is ignored, since the next announcement follows soon.
        let _ = shared.data.send_to(&[GUE_CONTROL, kind, 0, 0], shared.settings.fabric_address);
        Timer::after(Duration::from_millis(ANNOUNCE_INTERVAL_MS)).await;
    }
}
