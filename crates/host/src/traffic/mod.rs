//! The data plane of a host: it routes packets and owns the state of flows.
//!
//! The state is kept in tables: pins, pools, openings and searches. Packets update single entries,
//! and periodic tasks process whole tables (`sweep`, `replication`, `opener`).

mod home;
mod moves;
mod new_pin;
mod opener;
mod opening;
mod replication;
mod report;
mod search;
mod silence;
mod sweep;

use std::{net::IpAddr, sync::Arc};

use flow::{DropReason, FlowHash, FlowKey, PacketView, rewrite_destination, rewrite_source};
use hashbrown::HashMap;
use routing::{HostId, PinTable, TargetDirectory};
use settings::{Listener, ListenerId};
use timer::TimerService;
use wire::{Control, FRAME_HEADER_BYTES, Frame, FrameKind};

use crate::{
    Counter, Counters, Destination, HostConfig, Outbox, TrafficEvent, View,
    traffic::{
        moves::BucketMoves, opener::OpenerTable, opening::OpeningTable, replication::Replication,
        report::SentReportTable, search::SearchTable, silence::TargetAnswerTimes, sweep::Sweep,
    },
};
pub use report::FlowReport;

/// The maximum number of times that a packet is relayed between hosts.
const HOPS_MAX: u8 = 4;

/// How far the send time of a control message may differ from the local clock before the message
/// counts as replayed, in milliseconds.
const CONTROL_AGE_MAX_MS: u64 = 30_000;

/// The period of all tasks but the reports, in milliseconds.
pub(crate) const TICK_MS: u64 = 50;

/// The period of reports to openers, in milliseconds.
const REPORT_MS: u64 = 2_000;

/// The tasks that the timer service schedules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeriodicTask {
    Openers,
    Replication,
    Searches,
    Sweep,
    Reports,
}

/// The direction of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// From the caller to a target.
    Forward,
    /// From a target to the caller.
    Return {
        /// The target.
        target: IpAddr,
    },
}

/// A parsed packet with its flow and listener.
#[derive(Debug, Clone, Copy)]
struct Packet {
    view: PacketView,
    hash: FlowHash,
    bucket: usize,
    listener: ListenerId,
    listener_key: u32,
    direction: Direction,
}

impl Packet {
    fn caller(&self) -> IpAddr {
        match self.direction {
            Direction::Forward => self.view.source.ip(),
            Direction::Return { .. } => self.view.destination.ip(),
        }
    }
}

/// What packet handlers need besides the packet and the host's tables.
struct Context<'a> {
    /// The view in force.
    view: &'a View,
    /// The time, in milliseconds since 1970.
    now_ms: u64,
    /// Collects datagrams to be sent, and events.
    out: &'a mut Outbox,
}

/// The data plane of one host.
#[derive(Debug)]
pub struct Traffic {
    config: HostConfig,
    me: HostId,
    view: Option<Arc<View>>,
    pins: PinTable,
    directory: TargetDirectory,
    openings: OpeningTable,
    openers: OpenerTable,
    searches: SearchTable,
    moves: BucketMoves,
    replication: Replication,
    sweep: Sweep,
    answer_times: TargetAnswerTimes,
    sent_reports: SentReportTable,
    timers: TimerService<PeriodicTask>,
    counters: Counters,
    started_at_ms: u64,
    last_event_ms: u64,
    /// The incarnation in which the process was paused. The host acts as home and opener again once
    /// a view has a later incarnation.
    frozen_incarnation: Option<u64>,
}

impl Traffic {
    /// Creates the data plane of the host that `config` describes.
    pub fn new(config: HostConfig, now_ms: u64) -> Traffic {
        let mut timers = TimerService::default();
        for task in [
            PeriodicTask::Openers,
            PeriodicTask::Replication,
            PeriodicTask::Searches,
            PeriodicTask::Sweep,
        ] {
            timers.subscribe_every(now_ms + TICK_MS, TICK_MS, task);
        }
        timers.subscribe_every(now_ms + REPORT_MS, REPORT_MS, PeriodicTask::Reports);
        Traffic {
            me: config.id(),
            replication: Replication::new(config.transfer_bytes_per_s, now_ms),
            config,
            view: None,
            pins: PinTable::default(),
            directory: TargetDirectory::default(),
            openings: OpeningTable::default(),
            openers: OpenerTable::default(),
            searches: SearchTable::default(),
            moves: BucketMoves::default(),
            sweep: Sweep::default(),
            answer_times: TargetAnswerTimes::default(),
            sent_reports: SentReportTable::default(),
            timers,
            counters: Counters::default(),
            started_at_ms: now_ms,
            last_event_ms: now_ms,
            frozen_incarnation: None,
        }
    }

    /// The counters since the start of the host.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The number of pins, including copies of other hosts' pins.
    pub fn pin_count(&self) -> usize {
        self.pins.len()
    }

    /// The memory used by the pins, in bytes.
    pub fn pin_memory_bytes(&self) -> usize {
        self.pins.memory_bytes()
    }

    /// Applies a new view.
    pub fn on_view(&mut self, view: Arc<View>, now_ms: u64, out: &mut Outbox) {
        if self.frozen_incarnation.is_some_and(|incarnation| view.incarnation > incarnation) {
            self.frozen_incarnation = None;
        }
        let before = self.view.replace(view.clone());
        self.record_bucket_moves(before.as_deref(), &view, now_ms);
        self.configure_openers(&view, now_ms);
        self.report_to_new_openers(before.as_deref(), &view, now_ms, out);
    }

    /// Handles an IP packet that the fabric delivered.
    pub fn on_fabric(&mut self, packet: &mut [u8], now_ms: u64, out: &mut Outbox) {
        self.check_for_freeze(now_ms, out);
        let Some(view) = self.view.clone() else {
            return self.counters.count_drop(DropReason::NoHome);
        };
        match self.classify(&view, packet) {
            Ok(parsed) => self.route(&parsed, packet, 0, &mut Context { view: &view, now_ms, out }),
            Err(reason) => self.counters.count_drop(reason),
        }
    }

    /// Handles a datagram received on the peer port.
    pub fn on_peer(
        &mut self,
        from: std::net::SocketAddr,
        datagram: &mut [u8],
        now_ms: u64,
        out: &mut Outbox,
    ) {
        self.check_for_freeze(now_ms, out);
        let frame = match Frame::open(datagram, &self.config.peer_key) {
            Ok(frame) => Frame { body: &[], ..frame },
            Err(reason) => return self.counters.count_drop(reason),
        };
        let body = &mut datagram[FRAME_HEADER_BYTES..];
        if frame.kind == FrameKind::Control {
            return self.on_control(from, &frame, body, now_ms, out);
        }
        let Some(view) = self.view.clone() else {
            return self.counters.count_drop(DropReason::NoHome);
        };
        if frame.kind == FrameKind::Released {
            return self.on_released(&frame, body, &mut Context { view: &view, now_ms, out });
        }
        match self.classify(&view, body) {
            Ok(parsed) => {
                self.on_frame(&frame, &parsed, body, &mut Context { view: &view, now_ms, out })
            }
            Err(reason) => self.counters.count_drop(reason),
        }
    }

    /// Runs the tasks that are due. Must be called at least every 50 ms.
    pub fn on_tick(&mut self, now_ms: u64, out: &mut Outbox) {
        self.check_for_freeze(now_ms, out);
        for task in self.timers.poll(now_ms) {
            match task {
                PeriodicTask::Openers => {
                    self.tick_openers(now_ms, out);
                    self.tick_openings(now_ms, out);
                }
                PeriodicTask::Replication => self.tick_replication(now_ms, out),
                PeriodicTask::Searches => self.tick_searches(now_ms),
                PeriodicTask::Sweep => self.tick_sweep(now_ms, out),
                PeriodicTask::Reports => self.send_reports(now_ms, out),
            }
        }
    }

    fn on_frame(
        &mut self,
        frame: &Frame<'_>,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) {
        match frame.kind {
            FrameKind::ToHome => self.route(packet, bytes, frame.hops, cx),
            FrameKind::AskHolder => self.on_ask_holder(frame, packet, bytes, cx),
            FrameKind::NoPin => self.handle_without_pin(packet, bytes, cx),
            FrameKind::AskOpener => self.on_ask_opener(frame, packet, bytes, cx),
            FrameKind::Granted => self.on_granted(frame, packet, bytes, cx),
            FrameKind::Refused => self.on_refused(frame, packet, cx),
            FrameKind::Close => self.on_close_frame(frame, packet, bytes, cx),
            FrameKind::Failed => self.on_failed_frame(frame, packet, bytes, cx),
            FrameKind::Released | FrameKind::Control => {}
        }
    }

    fn on_control(
        &mut self,
        from: std::net::SocketAddr,
        frame: &Frame<'_>,
        body: &[u8],
        now_ms: u64,
        out: &mut Outbox,
    ) {
        if frame.sent_at_ms.abs_diff(now_ms) > CONTROL_AGE_MAX_MS {
            return self.counters.count_drop(DropReason::BadPeerDatagram);
        }
        let Ok(message) = wire::decode(body) else {
            return self.counters.count_drop(DropReason::BadPeerDatagram);
        };
        match message {
            Control::Pins { sequence, pins } => {
                self.on_pins(frame.sender, &pins, now_ms);
                self.send_control(frame.sender, &Control::PinsAck { sequence }, now_ms, out);
            }
            Control::PinsAck { sequence } => self.replication.on_ack(frame.sender, sequence),
            Control::Report(report) => self.on_report(frame.sender, &report),
            Control::TransferDone { .. } => {
                self.moves.on_transfer_done(frame.sender);
                out.events.push(TrafficEvent::Control { from, sender: frame.sender, message });
            }
            Control::Probe(_) | Control::Revision(_) => {
                out.events.push(TrafficEvent::Control { from, sender: frame.sender, message });
            }
            // Only hosts with tagged affinity send these; they cannot be mixed with hosts that pin
            // flows.
            Control::Relay(_) | Control::Loads(_) => {
                self.counters.count_drop(DropReason::BadPeerDatagram);
            }
        }
    }

    // All packets from callers, and packets from targets that change the state of the connection,
    // go to the home. Data from targets needs only the settings, so any host returns it directly.
    fn route(&mut self, packet: &Packet, bytes: &mut [u8], hops: u8, cx: &mut Context<'_>) {
        let is_data = packet.view.tcp.is_none_or(|tcp| !tcp.is_control());
        if is_data && matches!(packet.direction, Direction::Return { .. }) {
            return self.send_to_caller(packet, bytes, cx);
        }
        match self.home_of(cx.view, packet) {
            Some(home) if home == self.me => self.handle_at_home(packet, bytes, cx),
            Some(home) if hops < HOPS_MAX => {
                self.counters.count(Counter::Relayed);
                let header =
                    self.header(FrameKind::ToHome, hops + 1, packet.listener_key, cx.now_ms);
                self.send_frame(home, &header, bytes, cx);
            }
            Some(_) => self.counters.count_drop(DropReason::HopLimit),
            None => self.counters.count_drop(DropReason::NoHome),
        }
    }

    // After a pause, the backup acts in this host's place until the others know that it is back.
    fn home_of(&self, view: &View, packet: &Packet) -> Option<HostId> {
        if let Some(home) = self.moves.overriding_home(packet.bucket) {
            return Some(home);
        }
        let owners = view.placement.owners(packet.bucket);
        if self.frozen_incarnation.is_some() && owners.home == Some(self.me) {
            return owners.backup;
        }
        owners.home
    }

    fn classify(&self, view: &View, bytes: &[u8]) -> Result<Packet, DropReason> {
        let parsed = PacketView::parse(bytes)?;
        let settings = &view.settings;
        if let Some(listener) = settings.find_listener(parsed.protocol, parsed.destination) {
            let key = FlowKey {
                protocol: parsed.protocol,
                caller: parsed.source,
                service: parsed.destination,
            };
            return Ok(packet_of(view, parsed, listener, &key, Direction::Forward));
        }
        let target = settings.find_target(parsed.source.ip()).ok_or(DropReason::NoListener)?;
        let listener = settings
            .find_listener_by_target_port(target, parsed.protocol, parsed.source.port())
            .ok_or(DropReason::NoListener)?;
        let key = FlowKey {
            protocol: parsed.protocol,
            caller: parsed.destination,
            service: settings.listener(listener).address,
        };
        let direction = Direction::Return { target: parsed.source.ip() };
        Ok(packet_of(view, parsed, listener, &key, direction))
    }

    fn send_to_target(
        &mut self,
        packet: &Packet,
        bytes: &mut [u8],
        target: IpAddr,
        cx: &mut Context<'_>,
    ) {
        let listener = cx.view.settings.listener(packet.listener);
        if !is_target_of(cx.view, listener, target) {
            return self.counters.count_drop(DropReason::WrongTarget);
        }
        let destination = std::net::SocketAddr::new(target, listener.target_port);
        if rewrite_destination(bytes, &packet.view, destination) {
            self.counters.count(Counter::Forwarded);
            cx.out.push_fabric(bytes);
        }
    }

    fn send_to_caller(&mut self, packet: &Packet, bytes: &mut [u8], cx: &mut Context<'_>) {
        let listener = cx.view.settings.listener(packet.listener);
        if rewrite_source(bytes, &packet.view, listener.address) {
            self.counters.count(Counter::Returned);
            cx.out.push_fabric(bytes);
        }
    }

    fn header(&self, kind: FrameKind, hops: u8, listener_key: u32, now_ms: u64) -> Frame<'static> {
        Frame {
            kind,
            hops,
            listener_key,
            sender: self.me,
            origin: self.me,
            sent_at_ms: now_ms,
            target: IpAddr::V6(std::net::Ipv6Addr::UNSPECIFIED),
            body: &[],
        }
    }

    fn send_frame(&mut self, to: HostId, header: &Frame<'_>, body: &[u8], cx: &mut Context<'_>) {
        let Some(peer) = cx.view.peer(to) else {
            return self.counters.count_drop(DropReason::NoHome);
        };
        let key = self.config.peer_key;
        let frame = Frame { body, ..*header };
        cx.out.push(Destination::Peer(peer.address), |buffer| frame.seal(&key, buffer));
    }

    fn send_control(&mut self, to: HostId, message: &Control, now_ms: u64, out: &mut Outbox) {
        let Some(view) = self.view.clone() else { return };
        let body = wire::encode(message);
        self.counters.add(Counter::ControlBytes, (body.len() + FRAME_HEADER_BYTES) as u64);
        let header = Frame {
            kind: FrameKind::Control,
            hops: 0,
            listener_key: 0,
            sender: self.me,
            origin: self.me,
            sent_at_ms: now_ms,
            target: IpAddr::V6(std::net::Ipv6Addr::UNSPECIFIED),
            body: &[],
        };
        self.send_frame(to, &header, &body, &mut Context { view: &view, now_ms, out });
    }

    fn check_for_freeze(&mut self, now_ms: u64, out: &mut Outbox) {
        let gap_ms = now_ms.saturating_sub(self.last_event_ms);
        self.last_event_ms = self.last_event_ms.max(now_ms);
        let Some(view) = &self.view else { return };
        if gap_ms < self.config.freeze_ms || self.frozen_incarnation.is_some() {
            return;
        }
        self.frozen_incarnation = Some(view.incarnation);
        self.openers.clear();
        self.counters.count(Counter::Freezes);
        out.events.push(TrafficEvent::Frozen { gap_ms });
    }

    /// The time since the host started, in tenths of a second.
    fn clock_ds(&self, now_ms: u64) -> u32 {
        (now_ms.saturating_sub(self.started_at_ms) / 100) as u32
    }
}

fn packet_of(
    view: &View,
    parsed: PacketView,
    listener: ListenerId,
    key: &FlowKey,
    direction: Direction,
) -> Packet {
    let hash = view.hasher.hash(key);
    Packet {
        view: parsed,
        hash,
        bucket: hash.bucket(view.placement.bucket_count()),
        listener,
        listener_key: view.settings.listener(listener).key,
        direction,
    }
}

/// Whether `target` belongs to the service of `listener` in the settings in force.
fn is_target_of(view: &View, listener: &Listener, target: IpAddr) -> bool {
    let found = view.settings.find_target(target);
    found.is_some_and(|id| view.settings.target(id).service == listener.service)
}

/// Opening packets that wait for a target, by flow.
type PacketMap = HashMap<FlowHash, Vec<u8>>;
