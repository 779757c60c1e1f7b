//! The search for the target of a flow that no host has a pin for.
//!
//! A target that does not know a flow answers with a reset and processes no data (RFC 9293,
//! 3.10.7.1). So the packet is sent to the targets of the service in turn, and their resets are
//! dropped until one target keeps the flow. The caller gets a reset only after all targets have
//! reset the flow in two rounds, two seconds apart.

use std::net::IpAddr;

use flow::{DropReason, FlowHash, TcpView};
use hashbrown::HashMap;
use routing::{Pin, PinState, weighted_score};

use crate::{
    Counter, View,
    traffic::{Context, Direction, Packet, Traffic},
};

/// How long a target may take to reset a flow that it does not know, in milliseconds.
const RESET_TIMEOUT_MS: u64 = 150;

/// The time without a reset after which a target counts as the flow's target if the caller has sent
/// further data, in milliseconds.
const ESTABLISHED_AFTER_MS: u64 = 3_000;

/// The time without a reset after which a target counts as the flow's likely target even if the
/// caller has sent nothing more, in milliseconds.
const GUESSED_AFTER_MS: u64 = 10_000;

/// The pause before the second round, after all targets have reset the flow, in milliseconds.
const SECOND_ROUND_DELAY_MS: u64 = 2_000;

/// The maximum number of targets that are tried.
const CANDIDATES_MAX: usize = 64;

/// The target that a search tries first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FirstCandidate {
    /// The target that openings prefer.
    Any,
    /// A target that probably knows the flow.
    Likely(IpAddr),
    /// Any but this target, which probably does not know the flow and is tried last.
    AllBut(IpAddr),
}

/// How a candidate responded to the flow's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeOutcome {
    Untried,
    NoAnswer,
    Reset,
}

#[derive(Debug)]
struct Candidate {
    target: IpAddr,
    outcome: ProbeOutcome,
}

/// A search for the target of one flow.
#[derive(Debug)]
struct Search {
    candidates: Vec<Candidate>,
    current: usize,
    packet: Vec<u8>,
    sequence: u32,
    payload_len: usize,
    sent_at_ms: u64,
    /// Whether the caller has sent further data since the search moved to the current target.
    caller_advanced: bool,
    /// When the first round ended, with resets from all targets.
    exhausted_at_ms: Option<u64>,
}

impl Search {
    /// The state for the pin if the current target has kept the flow for long enough.
    fn final_state(&self, now_ms: u64) -> Option<PinState> {
        if self.is_paused(now_ms) {
            return None;
        }
        if self.caller_advanced && now_ms >= self.sent_at_ms + ESTABLISHED_AFTER_MS {
            return Some(PinState::Established);
        }
        (now_ms >= self.sent_at_ms + GUESSED_AFTER_MS).then_some(PinState::Guessed)
    }

    /// Whether the search pauses between the first round and the second.
    fn is_paused(&self, now_ms: u64) -> bool {
        self.exhausted_at_ms.is_some_and(|at_ms| now_ms < at_ms + SECOND_ROUND_DELAY_MS)
    }

    /// The index of the next target to try: an untried one, else one that did not answer.
    fn next(&self) -> Option<usize> {
        let first_with =
            |outcome| self.candidates.iter().position(|entry| entry.outcome == outcome);
        first_with(ProbeOutcome::Untried).or_else(|| first_with(ProbeOutcome::NoAnswer))
    }
}

/// The searches in progress.
#[derive(Debug, Default)]
pub(super) struct SearchTable {
    searches: HashMap<FlowHash, Search>,
}

impl Traffic {
    /// Starts a search for the target of the packet's flow.
    pub(super) fn start_search(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        first: FirstCandidate,
        cx: &mut Context<'_>,
    ) {
        if self.searches.searches.len() >= self.config.searches_max
            || self.pins.len() >= self.config.pins_max
        {
            return self.counters.count_drop(DropReason::Full);
        }
        let Some(tcp) = packet.view.tcp else { return };
        let candidates = candidates(cx.view, packet, first);
        let Some(first) = candidates.first().map(|candidate| candidate.target) else {
            return self.counters.count_drop(DropReason::NoTarget);
        };
        self.counters.count(Counter::Searched);
        self.openings.remove(packet.hash);
        let pin = Pin { state: PinState::Searching, ..self.new_pin(packet, first, cx.now_ms) };
        self.pins.insert(pin);
        let search = Search {
            candidates,
            current: 0,
            packet: bytes.to_vec(),
            sequence: tcp.sequence,
            payload_len: packet.view.payload_len,
            sent_at_ms: cx.now_ms,
            caller_advanced: false,
            exhausted_at_ms: None,
        };
        self.searches.searches.insert(packet.hash, search);
        self.send_to_target(packet, bytes, first, cx);
    }

    pub(super) fn forward_during_search(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) {
        let Some(tcp) = packet.view.tcp else { return };
        let Some(search) = self.searches.searches.get_mut(&packet.hash) else {
            self.set_state(packet, PinState::Established);
            return self.handle_with_pin(packet, bytes, cx);
        };
        if search.is_paused(cx.now_ms) {
            return self.counters.count_drop(DropReason::NoTarget);
        }
        let target = search.candidates[search.current].target;
        if search.next().is_none() {
            search.candidates = candidates(cx.view, packet, FirstCandidate::Any);
            search.packet = bytes.to_vec();
            search.sequence = tcp.sequence;
            search.payload_len = packet.view.payload_len;
            return self.search_next(packet, cx);
        }
        if tcp.flags.rst {
            self.searches.searches.remove(&packet.hash);
            self.close_pin(packet, cx);
            return self.send_to_target(packet, bytes, target, cx);
        }
        // Data tests a target better than the bare acknowledgement that started the search.
        if search.payload_len == 0 && packet.view.payload_len > 0 {
            search.packet = bytes.to_vec();
            search.sequence = tcp.sequence;
            search.payload_len = packet.view.payload_len;
            search.sent_at_ms = cx.now_ms;
            return self.send_to_target(packet, bytes, target, cx);
        }
        let is_repeated = packet.view.payload_len > 0
            && tcp.sequence == search.sequence
            && cx.now_ms >= search.sent_at_ms + RESET_TIMEOUT_MS;
        if is_repeated {
            search.candidates[search.current].outcome = ProbeOutcome::NoAnswer;
            return self.search_next(packet, cx);
        }
        let offset = tcp.sequence.wrapping_sub(search.sequence);
        search.caller_advanced |= packet.view.payload_len > 0 && offset > 0 && offset < 1 << 31;
        self.send_to_target(packet, bytes, target, cx);
    }

    pub(super) fn return_during_search(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        tcp: &TcpView,
        target: IpAddr,
        cx: &mut Context<'_>,
    ) {
        if !tcp.flags.rst {
            // Only the flow's target sends anything but a reset.
            self.searches.searches.remove(&packet.hash);
            self.counters.count(Counter::Found);
            self.pins.remove(packet.hash);
            return self.pin_to_sender(packet, bytes, tcp, target, cx);
        }
        let Some(search) = self.searches.searches.get_mut(&packet.hash) else { return };
        let is_current = search.candidates[search.current].target == target;
        for candidate in search.candidates.iter_mut().filter(|entry| entry.target == target) {
            candidate.outcome = ProbeOutcome::Reset;
        }
        if !is_current {
            return;
        }
        if search.next().is_some() {
            return self.search_next(packet, cx);
        }
        // This host's settings may predate the flow's target; a second round uses the latest.
        if search.exhausted_at_ms.is_none() {
            search.exhausted_at_ms = Some(cx.now_ms);
            return;
        }
        self.searches.searches.remove(&packet.hash);
        self.counters.count(Counter::Lost);
        self.close_pin(packet, cx);
        self.send_to_caller(packet, bytes, cx);
    }

    fn search_next(&mut self, packet: &Packet, cx: &mut Context<'_>) {
        let Some(search) = self.searches.searches.get_mut(&packet.hash) else { return };
        let Some(next) = search.next() else { return };
        search.current = next;
        search.sent_at_ms = cx.now_ms;
        search.caller_advanced = false;
        let target = search.candidates[next].target;
        let mut bytes = search.packet.clone();
        let handle = self.directory.intern(target);
        if let Some(pin) = self.pins.get_mut(packet.hash) {
            pin.target = handle;
        }
        let Ok(parsed) = flow::PacketView::parse(&bytes) else { return };
        let forward = Packet { view: parsed, direction: Direction::Forward, ..*packet };
        self.send_to_target(&forward, &mut bytes, target, cx);
    }

    /// Ends the searches whose current target has kept the flow for long enough.
    pub(super) fn tick_searches(&mut self, now_ms: u64) {
        let finished: Vec<(FlowHash, PinState)> = self
            .searches
            .searches
            .iter()
            .filter_map(|(hash, search)| Some((*hash, search.final_state(now_ms)?)))
            .collect();
        for (hash, state) in finished {
            self.searches.searches.remove(&hash);
            let Some(pin) = self.pins.get_mut(hash) else { continue };
            if pin.state == PinState::Searching {
                pin.state = state;
                pin.attempts = 0;
                self.counters.count(Counter::Found);
            }
        }
    }
}

// The targets in the order that openings prefer, those of this host's failure domain first.
fn candidates(view: &View, packet: &Packet, first: FirstCandidate) -> Vec<Candidate> {
    let service = view.settings.service(view.settings.listener(packet.listener).service);
    let mut ranked: Vec<(u8, bool, f64, IpAddr)> = service
        .targets
        .iter()
        .map(|id| view.settings.target(*id))
        .map(|target| {
            let preference = match first {
                FirstCandidate::Likely(likely) if likely == target.address => 2,
                FirstCandidate::AllBut(last) if last == target.address => 0,
                _ => 1,
            };
            let is_near = view.settings.domain_seed(target) == view.domain_seed;
            let rank = weighted_score(packet.hash.seed(), target.seed, target.policy.weight);
            (preference, is_near, rank, target.address)
        })
        .collect();
    ranked.sort_by(|left, right| {
        (right.0, right.1).cmp(&(left.0, left.1)).then_with(|| right.2.total_cmp(&left.2))
    });
    ranked.truncate(CANDIDATES_MAX);
    ranked
        .into_iter()
        .map(|(_, _, _, target)| Candidate { target, outcome: ProbeOutcome::Untried })
        .collect()
}
