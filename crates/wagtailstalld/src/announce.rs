//! Tells the fabric that this host takes packets.
//!
//! The message is a GUE control message (version 0, control bit set), so that it cannot be taken
//! for an IP packet.

use std::{sync::Arc, time::Duration};

use host::Stage;
use smol::Timer;

use crate::{control_thread::State, shared::Shared};

/// How often the host announces itself, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 100;

/// The first byte of a GUE control message without options.
const GUE_CONTROL: u8 = 0x20;

/// The control type "this host takes packets".
const READY: u8 = 1;

/// The control type "this host takes no more packets".
const WITHDRAWN: u8 = 2;

/// Announces the host while it is ready.
pub(crate) async fn run(shared: &Arc<Shared>, state: &State) {
    loop {
        let kind = match state.stage() {
            Stage::Ready => READY,
            _ => WITHDRAWN,
        };
        // A lost announcement is followed by the next one.
        let _ = shared.data.send_to(&[GUE_CONTROL, kind, 0, 0], shared.settings.fabric_address);
        Timer::after(Duration::from_millis(ANNOUNCE_INTERVAL_MS)).await;
    }
}
