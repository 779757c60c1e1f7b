//! The thread that forwards packets.

use std::{
    io::{self, ErrorKind},
    marker::PhantomData,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use catalog::{Directory, RequestKind};
use eyre::{Result, WrapErr};
use tagged::{Config, Dispatcher, Segment, Verdict, View};
use telemetry::{Event, Histogram, field};

use crate::{
    Platform, clock,
    shared::{Command, Notice, Shared, Status},
};

/// The largest datagram, in bytes, with all headers.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// How long the thread waits for a packet before it runs its periodic work, in milliseconds.
const RECEIVE_TIMEOUT_MS: u64 = 250;

/// How often the periodic work runs, in milliseconds. It sends loads, check requests and events to
/// the control thread.
const NOTICE_INTERVAL_MS: u64 = 50;

/// How often the status is published, in milliseconds.
const STATUS_INTERVAL_MS: u64 = 1_000;

/// How many packets may wait for the first directory.
const MAX_PENDING_PACKETS: usize = 256;

/// How long a packet may wait for the first directory, in milliseconds. Callers retransmit an
/// opening after 200 ms and give up after 1.4 s.
const PENDING_TIMEOUT_MS: u64 = 1_000;

/// How long a receive call takes at least if it had to wait for a packet, in microseconds: many times
/// what it takes if there is one.
const MIN_BLOCKED_US: u64 = 300;

/// How old the oldest packet in the receive queue may be before copies of openings are handled behind
/// the rest of the queue, in milliseconds. A caller's answer to the target may wait behind a copy, and
/// shows where the flow is open by then. Less than the time after which a copy goes to another target.
const LATE_COPY_MS: u64 = 50;

/// How many copies of openings may wait for the rest of the receive queue.
const MAX_LATE_COPIES: usize = 256;

/// A packet that waits: for the first directory, or for those behind it in the receive queue.
struct PendingPacket {
    received_at_ms: u64,
    datagram: Vec<u8>,
}

/// The state of the data thread.
pub(crate) struct DataThread<P> {
    shared: Arc<Shared>,
    dispatcher: Dispatcher,
    /// The time between a request and its answer, by listener and kind of request.
    answer_wait: Histogram,
    directory: Option<Arc<Directory>>,
    /// When `directory` was last confirmed as current, by the monotonic clock.
    confirmed_at_ms: u64,
    /// Until when new flows may be placed by `directory`, by the monotonic clock.
    placement_until_ms: u64,
    pending: Vec<PendingPacket>,
    /// Copies of openings that wait until the receive queue is empty.
    late_copies: Vec<PendingPacket>,
    send_buffer: Vec<u8>,
    next_notice_ms: u64,
    next_status_ms: u64,
    /// When the data socket's receive queue was last known to be empty, by the monotonic clock.
    drained_at_ms: u64,
    platform: PhantomData<P>,
}

impl<P: Platform> DataThread<P> {
    pub(crate) fn new(shared: Arc<Shared>) -> Result<DataThread<P>> {
        shared
            .data
            .set_read_timeout(Some(Duration::from_millis(RECEIVE_TIMEOUT_MS)))
            .wrap_err("the read timeout of the data socket cannot be set")?;
        let config = Config { domain_seed: shared.domain_seed, ..Config::default() };
        let config = shared.settings.placement.apply_to(config);
        let dispatcher = Dispatcher::new(config, shared.me.0 ^ shared.incarnation);
        let answer_wait = shared.metrics.histogram("answer_wait");
        Ok(DataThread {
            shared,
            answer_wait,
            dispatcher,
            directory: None,
            confirmed_at_ms: 0,
            placement_until_ms: 0,
            pending: Vec::new(),
            late_copies: Vec::new(),
            send_buffer: Vec::with_capacity(MAX_DATAGRAM_BYTES),
            next_notice_ms: 0,
            next_status_ms: 0,
            drained_at_ms: 0,
            platform: PhantomData,
        })
    }

    /// Runs until the process exits.
    pub(crate) fn run(&mut self) -> Result<()> {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while !self.shared.is_exiting() {
            let receive_started_at_us = clock::now_us();
            let length = received_length(self.shared.data.recv_from(&mut buffer))?;
            let now_us = clock::now_us();
            let now_ms = now_us / 1_000;
            if length.is_none() || now_us >= receive_started_at_us + MIN_BLOCKED_US {
                // There was no packet, so the receive queue was empty when the call began.
                self.drained_at_ms = receive_started_at_us / 1_000;
            }
            self.update_directory(now_ms);
            self.process_commands(now_ms);
            if let Some(length) = length {
                self.receive(&buffer[..length], now_ms)?;
            }
            self.handle_late_copies(length.is_none(), now_ms)?;
            self.send_resets();
            self.run_periodic_work(now_ms);
        }
        Ok(())
    }

    /// Handles a datagram, or keeps it until those behind it in the receive queue are handled.
    fn receive(&mut self, datagram: &[u8], now_ms: u64) -> Result<()> {
        let is_late = now_ms >= self.drained_at_ms + LATE_COPY_MS;
        let can_wait = self.directory.is_some() && self.late_copies.len() < MAX_LATE_COPIES;
        if !is_late || !can_wait || !P::parse(datagram).is_some_and(|segment| segment.is_copy()) {
            self.handle(datagram, now_ms, now_ms);
            return Ok(());
        }
        if self.late_copies.is_empty() {
            self.set_waiting(false)?;
        }
        let datagram = datagram.to_vec();
        self.late_copies.push(PendingPacket { received_at_ms: now_ms, datagram });
        Ok(())
    }

    /// Handles the copies of openings that wait, once the receive queue is empty or they have waited
    /// long enough.
    fn handle_late_copies(&mut self, is_queue_empty: bool, now_ms: u64) -> Result<()> {
        let Some(first) = self.late_copies.first() else { return Ok(()) };
        if !is_queue_empty && now_ms < first.received_at_ms + LATE_COPY_MS {
            return Ok(());
        }
        for copy in std::mem::take(&mut self.late_copies) {
            self.handle(&copy.datagram, copy.received_at_ms, now_ms);
        }
        self.set_waiting(true)
    }

    /// Whether a receive call waits for a packet if there is none.
    fn set_waiting(&self, waits: bool) -> Result<()> {
        let set = self.shared.data.set_nonblocking(!waits);
        set.wrap_err("the mode of the data socket cannot be set")
    }

    fn handle(&mut self, datagram: &[u8], received_at_ms: u64, now_ms: u64) {
        let Some(segment) = P::parse(datagram) else { return };
        self.shared.packet_at_ms.store(now_ms, Ordering::Relaxed);
        let Some(directory) = self.directory.clone() else {
            if self.pending.len() < MAX_PENDING_PACKETS {
                self.pending.push(PendingPacket { received_at_ms, datagram: datagram.to_vec() });
            }
            return;
        };
        let view = self.view(&directory, now_ms);
        let verdict = self.dispatcher.on_segment(view, &segment, now_ms);
        self.apply_verdict(verdict, &segment, datagram);
    }

    fn send_resets(&mut self) {
        for segment in self.dispatcher.take_resets() {
            self.send_reset(&segment);
        }
    }

    fn send_reset(&mut self, segment: &Segment) {
        self.send_buffer.clear();
        P::write_reset(segment, &mut self.send_buffer);
        // Callers receive on the same port number as hosts.
        let to = (*segment.key.caller.ip(), self.shared.settings.data_address.port()).into();
        self.send(to);
    }

    fn send(&self, to: SocketAddr) {
        if let Err(error) = self.shared.data.send_to(&self.send_buffer, to) {
            telemetry::emit(Event::SendFailed, &[field("cause", error), field("to", to)]);
        }
    }

    fn apply_verdict(&mut self, verdict: Verdict, segment: &Segment, packet: &[u8]) {
        match verdict {
            Verdict::Forward { target, address, tag } => {
                self.send_buffer.clear();
                P::write_forward(packet, target, tag, &mut self.send_buffer);
                self.send(address.into());
            }
            Verdict::Reset(_) => self.send_reset(segment),
            Verdict::Drop(_) => {}
        }
    }

    fn view<'a>(&self, directory: &'a Directory, now_ms: u64) -> View<'a> {
        View {
            directory,
            age_ms: now_ms.saturating_sub(self.confirmed_at_ms),
            can_place_flows: now_ms < self.placement_until_ms,
        }
    }

    fn update_directory(&mut self, now_ms: u64) {
        // Read before the directory, so that they never apply to an older one.
        self.confirmed_at_ms = self.shared.confirmed_at_ms.load(Ordering::Acquire);
        self.placement_until_ms = self.shared.placement_until_ms.load(Ordering::Acquire);
        let published = self.shared.directory.load();
        let is_same = match (&self.directory, &*published) {
            (Some(current), Some(latest)) => Arc::ptr_eq(current, latest),
            (_, None) => true,
            (None, Some(_)) => false,
        };
        if is_same {
            return;
        }
        let directory = published.clone();
        drop(published);
        if let Some(directory) = directory {
            self.dispatcher.on_directory(&directory, now_ms);
            self.directory = Some(directory);
        }
        for pending in std::mem::take(&mut self.pending) {
            if now_ms < pending.received_at_ms + PENDING_TIMEOUT_MS {
                self.handle(&pending.datagram, pending.received_at_ms, now_ms);
            }
        }
    }

    fn process_commands(&mut self, now_ms: u64) {
        while let Ok(command) = self.shared.commands.1.try_recv() {
            match command {
                Command::Loads(load) => self.dispatcher.on_report(load, now_ms),
                Command::Checked { target, verdict, started_at_ms } => {
                    self.dispatcher.on_check(target, verdict, started_at_ms, now_ms);
                }
                Command::Members(members) => {
                    self.dispatcher.on_members(self.shared.me, &members, now_ms);
                }
                Command::Explain(key, reply_sender) => {
                    // The operator's connection may be closed by now.
                    let _ = reply_sender.try_send(self.dispatcher.flow_report(&key, now_ms));
                }
            }
        }
    }

    fn run_periodic_work(&mut self, now_ms: u64) {
        if now_ms < self.next_notice_ms {
            return;
        }
        self.next_notice_ms = now_ms + NOTICE_INTERVAL_MS;
        self.dispatcher.set_host_count(self.shared.host_count.load(Ordering::Relaxed));
        if let Some(directory) = self.directory.clone() {
            let view = self.view(&directory, now_ms);
            self.dispatcher.on_tick(view, now_ms);
        }
        if let Some(update) = self.dispatcher.take_load_update() {
            self.notify(Notice::Loads(update));
        }
        for due in self.dispatcher.take_due_checks(self.drained_at_ms, now_ms) {
            self.notify(Notice::Check(due));
        }
        for sample in self.dispatcher.take_samples() {
            let listener = sample.listener.to_string();
            self.answer_wait.record(sample.answer_ms, &listener, kind_name(sample.kind));
        }
        let (events, dropped) = self.dispatcher.take_events();
        if !events.is_empty() {
            self.notify(Notice::Events(events, dropped));
        }
        if now_ms >= self.next_status_ms {
            self.next_status_ms = now_ms + STATUS_INTERVAL_MS;
            let status = Status {
                counters: *self.dispatcher.counters(),
                flows: self.dispatcher.flow_count(),
                speeds: self.dispatcher.speed_summary(),
            };
            if let Ok(mut shared) = self.shared.status.lock() {
                *shared = status;
            }
        }
    }

    fn notify(&self, notice: Notice) {
        // If the channel is full because the control thread lags, the notice is dropped.
        let _ = self.shared.notices.0.try_send(notice);
    }
}

/// The metric label of a kind of request.
fn kind_name(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::Unsafe => "unsafe",
        RequestKind::Download => "download",
    }
}

fn received_length(received: io::Result<(usize, SocketAddr)>) -> Result<Option<usize>> {
    match received {
        Ok((length, _)) => Ok(Some(length)),
        // ConnectionRefused is the ICMP error for an earlier datagram to a host that has stopped.
        Err(error)
            if matches!(
                error.kind(),
                ErrorKind::WouldBlock
                    | ErrorKind::TimedOut
                    | ErrorKind::ConnectionRefused
                    | ErrorKind::Interrupted
            ) =>
        {
            Ok(None)
        }
        Err(error) => Err(error).wrap_err("the data socket cannot be read"),
    }
}
