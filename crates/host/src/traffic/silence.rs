//! Detection of silent flows: the caller retransmits the same data without an answer, while the
//! target answers other flows.

use flow::TcpView;
use routing::{Pin, PinState, TargetHandle};

use crate::traffic::{Packet, Traffic};

/// How many times the same data must be retransmitted before a flow counts as silent.
const REPEATS_MIN: u8 = 4;

/// How recently the target must have answered another flow, in tenths of a second.
const ANSWERED_WITHIN_DS: u32 = 50;

/// The time of each target's last answer on any flow.
#[derive(Debug, Default)]
pub(super) struct TargetAnswerTimes {
    times_ds: Vec<u32>,
}

impl TargetAnswerTimes {
    pub(super) fn record(&mut self, target: TargetHandle, clock_ds: u32) {
        let index = target.0 as usize;
        if index >= self.times_ds.len() {
            self.times_ds.resize(index + 1, 0);
        }
        self.times_ds[index] = clock_ds;
    }

    fn answered_recently(&self, target: TargetHandle, clock_ds: u32) -> bool {
        let time_ds = self.times_ds.get(target.0 as usize).copied().unwrap_or(0);
        time_ds > 0 && clock_ds.saturating_sub(time_ds) <= ANSWERED_WITHIN_DS
    }
}

impl Traffic {
    /// Tracks the data that the caller sent. Returns whether the flow is silent.
    pub(super) fn track_caller_progress(
        &mut self,
        packet: &Packet,
        tcp: &TcpView,
        now_ms: u64,
    ) -> bool {
        let clock_ds = self.clock_ds(now_ms);
        let Some(pin) = self.pins.get_mut(packet.hash) else { return false };
        let data = track_data(pin, tcp, packet.view.payload_len, clock_ds);
        let pin = *pin;
        self.detect_silence(&pin, data, clock_ds)
    }

    /// Returns whether the flow of `pin` is silent after its caller sent `data`. New data counts as
    /// an answer of the target, whose own data packets do not pass through the home.
    pub(super) fn detect_silence(&mut self, pin: &Pin, data: CallerData, clock_ds: u32) -> bool {
        match data {
            CallerData::None => false,
            CallerData::New => {
                self.answer_times.record(pin.target, clock_ds);
                false
            }
            CallerData::Repeated => {
                let silent_timeout_ms = self
                    .view
                    .as_ref()
                    .and_then(|view| view.settings.find_listener_by_key(pin.listener_key))
                    .map_or(u64::MAX, |listener| listener.policy.silent_timeout_ms);
                let silent_ms = u64::from(clock_ds.saturating_sub(pin.progress_at_ds)) * 100;
                pin.attempts >= REPEATS_MIN
                    && silent_ms >= silent_timeout_ms
                    && self.answer_times.answered_recently(pin.target, clock_ds)
            }
        }
    }
}

/// What a segment shows about the caller's progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallerData {
    /// The segment carries no data.
    None,
    /// The segment carries new data.
    New,
    /// The segment retransmits data.
    Repeated,
}

/// Updates `pin` with the data that the caller sent.
pub(super) fn track_data(
    pin: &mut Pin,
    tcp: &TcpView,
    payload_len: usize,
    clock_ds: u32,
) -> CallerData {
    let length = payload_len as u32 + u32::from(tcp.flags.fin);
    if length == 0 {
        return CallerData::None;
    }
    let end = tcp.sequence.wrapping_add(length);
    if pin.caller_sequence != 0 && !is_after(end, pin.caller_sequence) {
        pin.attempts = pin.attempts.saturating_add(1);
        return CallerData::Repeated;
    }
    pin.caller_sequence = end;
    pin.progress_at_ds = clock_ds;
    pin.attempts = 0;
    // A caller whose earlier data is unacknowledged retransmits it instead of sending new data, so
    // new data confirms the guess.
    if pin.state == PinState::Guessed {
        pin.state = PinState::Established;
    }
    CallerData::New
}

fn is_after(left: u32, right: u32) -> bool {
    let offset = left.wrapping_sub(right);
    offset != 0 && offset < 1 << 31
}
