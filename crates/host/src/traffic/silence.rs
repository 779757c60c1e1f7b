//! Flows whose data is repeated without an answer while their target answers others.

use flow::TcpView;
use routing::{Pin, PinState, TargetHandle};

use crate::traffic::{Packet, Traffic};

/// How often the same data has to be repeated.
const REPEATS_MIN: u8 = 4;

/// How recently the target has to have answered another flow, in tenths of a second.
const ANSWERED_WITHIN_DS: u32 = 50;

/// When each target last answered anything.
#[derive(Debug, Default)]
pub(super) struct AnswerTimes {
    times_ds: Vec<u32>,
}

impl AnswerTimes {
    pub(super) fn note(&mut self, target: TargetHandle, clock_ds: u32) {
        let index = target.0 as usize;
        if index >= self.times_ds.len() {
            self.times_ds.resize(index + 1, 0);
        }
        self.times_ds[index] = clock_ds;
    }

    fn answered_lately(&self, target: TargetHandle, clock_ds: u32) -> bool {
        let time_ds = self.times_ds.get(target.0 as usize).copied().unwrap_or(0);
        time_ds > 0 && clock_ds.saturating_sub(time_ds) <= ANSWERED_WITHIN_DS
    }
}

impl Traffic {
    /// Notes what the caller sent. Returns whether the flow has gone silent.
    pub(super) fn note_progress(&mut self, packet: &Packet, tcp: &TcpView, now_ms: u64) -> bool {
        let clock_ds = self.clock_ds(now_ms);
        let Some(pin) = self.pins.get_mut(packet.hash) else { return false };
        let data = note_data(pin, tcp, packet.view.payload_len, clock_ds);
        let pin = *pin;
        self.is_silent(&pin, data, clock_ds)
    }

    /// Whether the flow of `pin` has gone silent, after its caller sent `data`.
    pub(super) fn is_silent(&mut self, pin: &Pin, data: Data, clock_ds: u32) -> bool {
        match data {
            Data::None => false,
            Data::New => {
                self.answers.note(pin.target, clock_ds);
                false
            }
            Data::Repeated => {
                let silent_timeout_ms = self
                    .view
                    .as_ref()
                    .and_then(|view| view.settings.find_listener_by_key(pin.listener_key))
                    .map_or(u64::MAX, |listener| listener.policy.silent_timeout_ms);
                let silent_ms = u64::from(clock_ds.saturating_sub(pin.progress_at_ds)) * 100;
                pin.attempts >= REPEATS_MIN
                    && silent_ms >= silent_timeout_ms
                    && self.answers.answered_lately(pin.target, clock_ds)
            }
        }
    }
}

/// What a segment says about the caller's progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Data {
    /// It carries no data.
    None,
    /// It carries data that was not sent before.
    New,
    /// It carries data that was sent before.
    Repeated,
}

/// Notes in `pin` what the caller sent.
pub(super) fn note_data(pin: &mut Pin, tcp: &TcpView, payload_len: usize, clock_ds: u32) -> Data {
    let length = payload_len as u32 + u32::from(tcp.flags.fin);
    if length == 0 {
        return Data::None;
    }
    let end = tcp.sequence.wrapping_add(length);
    if pin.caller_sequence != 0 && !is_after(end, pin.caller_sequence) {
        pin.attempts = pin.attempts.saturating_add(1);
        return Data::Repeated;
    }
    pin.caller_sequence = end;
    pin.progress_at_ds = clock_ds;
    pin.attempts = 0;
    // A caller in doubt about its last data sends no new data.
    if pin.state == PinState::Guessed {
        pin.state = PinState::Established;
    }
    Data::New
}

fn is_after(left: u32, right: u32) -> bool {
    let offset = left.wrapping_sub(right);
    offset != 0 && offset < 1 << 31
}
