//! The thread that carries packets.

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

/// The largest packet, in bytes: the data and every head.
const DATAGRAM_BYTES: usize = 2_048;

/// How long the thread waits for a packet before it sweeps its tables, in milliseconds.
const WAIT_MS: u64 = 250;

/// How often loads, checks and events are handed to the control thread, in milliseconds.
const NOTICE_MS: u64 = 50;

/// How often the status is published, in milliseconds.
const STATUS_MS: u64 = 1_000;

/// How many packets wait for the first directory.
const HELD_MAX: usize = 256;

/// How long packets wait for the first directory, in milliseconds: callers send openings again after
/// 200 ms and give up after 1.4 s.
const HELD_MS: u64 = 1_000;

/// A packet that came before the first directory.
struct Held {
    received_at_ms: u64,
    datagram: Vec<u8>,
}

/// The state of the data thread.
pub(crate) struct DataThread<P> {
    shared: Arc<Shared>,
    traffic: Dispatcher,
    /// How long requests waited for their answers, by listener and kind.
    answer_wait: Histogram,
    directory: Option<Arc<Directory>>,
    held: Vec<Held>,
    out: Vec<u8>,
    next_notice_ms: u64,
    next_status_ms: u64,
    /// When no packet waited last.
    drained_at_ms: u64,
    platform: PhantomData<P>,
}

impl<P: Platform> DataThread<P> {
    pub(crate) fn new(shared: Arc<Shared>) -> Result<DataThread<P>> {
        shared
            .data
            .set_read_timeout(Some(Duration::from_millis(WAIT_MS)))
            .wrap_err("the data socket takes no time limit")?;
        let config = Config { domain_seed: shared.domain_seed, ..Config::default() };
        let traffic = Dispatcher::new(config, shared.me.0 ^ shared.incarnation);
        let answer_wait = shared.metrics.histogram("answer_wait");
        Ok(DataThread {
            shared,
            answer_wait,
            traffic,
            directory: None,
            held: Vec::new(),
            out: Vec::with_capacity(DATAGRAM_BYTES),
            next_notice_ms: 0,
            next_status_ms: 0,
            drained_at_ms: 0,
            platform: PhantomData,
        })
    }

    /// Runs until the process exits.
    pub(crate) fn run(&mut self) -> Result<()> {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        while !self.shared.is_exiting() {
            let asked_at_ms = clock::now_ms();
            let received = self.shared.data.recv_from(&mut buffer);
            let now_ms = clock::now_ms();
            if now_ms > asked_at_ms {
                // The socket was empty when it was asked.
                self.drained_at_ms = asked_at_ms;
            }
            self.take_directory(now_ms);
            self.take_commands(now_ms);
            if let Some(length) = length_of(received)? {
                self.handle(&buffer[..length], now_ms, now_ms);
            }
            self.send_resets();
            self.hand_over(now_ms);
        }
        Ok(())
    }

    fn handle(&mut self, datagram: &[u8], received_at_ms: u64, now_ms: u64) {
        let Some(segment) = P::parse(datagram) else { return };
        self.shared.packet_at_ms.store(now_ms, Ordering::Relaxed);
        let Some(directory) = self.directory.clone() else {
            if self.held.len() < HELD_MAX {
                self.held.push(Held { received_at_ms, datagram: datagram.to_vec() });
            }
            return;
        };
        let view = View { directory: &directory, age_ms: self.view_age_ms(now_ms) };
        let verdict = self.traffic.on_segment(view, &segment, now_ms);
        self.carry_out(verdict, &segment, datagram);
    }

    fn send_resets(&mut self) {
        for segment in self.traffic.take_resets() {
            self.send_reset(&segment);
        }
    }

    fn send_reset(&mut self, segment: &Segment) {
        self.out.clear();
        P::write_reset(segment, &mut self.out);
        // Callers listen at the port at which hosts receive.
        let to = (*segment.key.caller.ip(), self.shared.settings.data_address.port()).into();
        self.send(to);
    }

    fn send(&self, to: SocketAddr) {
        if let Err(error) = self.shared.data.send_to(&self.out, to) {
            telemetry::emit(Event::SendFailed, &[field("cause", error), field("to", to)]);
        }
    }

    fn carry_out(&mut self, verdict: Verdict, segment: &Segment, packet: &[u8]) {
        match verdict {
            Verdict::Forward { target, address, tag } => {
                self.out.clear();
                P::write_forward(packet, target, tag, &mut self.out);
                self.send(address.into());
            }
            Verdict::Reset(_) => self.send_reset(segment),
            Verdict::Drop(_) => {}
        }
    }

    fn view_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.shared.confirmed_at_ms.load(Ordering::Relaxed))
    }

    fn take_directory(&mut self, now_ms: u64) {
        let published = self.shared.directory.load();
        let is_same = match (&self.directory, &*published) {
            (Some(ours), Some(theirs)) => Arc::ptr_eq(ours, theirs),
            (_, None) => true,
            (None, Some(_)) => false,
        };
        if is_same {
            return;
        }
        let directory = published.clone();
        drop(published);
        if let Some(directory) = directory {
            self.traffic.on_directory(&directory, now_ms);
            self.directory = Some(directory);
        }
        for held in std::mem::take(&mut self.held) {
            if now_ms < held.received_at_ms + HELD_MS {
                self.handle(&held.datagram, held.received_at_ms, now_ms);
            }
        }
    }

    fn take_commands(&mut self, now_ms: u64) {
        while let Ok(command) = self.shared.commands.1.try_recv() {
            match command {
                Command::Loads(load) => self.traffic.on_report(load, now_ms),
                Command::Checked { target, verdict, started_at_ms } => {
                    self.traffic.on_check(target, verdict, started_at_ms, now_ms);
                }
                Command::Explain(key, answer) => {
                    // Who asked may have hung up.
                    let _ = answer.try_send(self.traffic.flow_report(&key, now_ms));
                }
            }
        }
    }

    fn hand_over(&mut self, now_ms: u64) {
        if now_ms < self.next_notice_ms {
            return;
        }
        self.next_notice_ms = now_ms + NOTICE_MS;
        if let Some(directory) = self.directory.clone() {
            let view = View { directory: &directory, age_ms: self.view_age_ms(now_ms) };
            self.traffic.on_tick(view, now_ms);
        }
        if let Some(news) = self.traffic.take_load_update() {
            self.tell(Notice::Loads(news));
        }
        for due in self.traffic.take_due_checks(self.drained_at_ms, now_ms) {
            self.tell(Notice::Check(due));
        }
        for sample in self.traffic.take_samples() {
            let listener = sample.listener.to_string();
            self.answer_wait.record(sample.answer_ms, &listener, kind_name(sample.kind));
        }
        let (events, left_out) = self.traffic.take_events();
        if !events.is_empty() {
            self.tell(Notice::Events(events, left_out));
        }
        if now_ms >= self.next_status_ms {
            self.next_status_ms = now_ms + STATUS_MS;
            let status =
                Status { counters: *self.traffic.counters(), flows: self.traffic.flow_count() };
            if let Ok(mut shared) = self.shared.status.lock() {
                *shared = status;
            }
        }
    }

    fn tell(&self, notice: Notice) {
        // A full channel means that control is behind; it gets the next report.
        let _ = self.shared.notices.0.try_send(notice);
    }
}

/// The kind of request in labels of metrics.
fn kind_name(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::Unsafe => "unsafe",
        RequestKind::Download => "download",
    }
}

fn length_of(received: io::Result<(usize, SocketAddr)>) -> Result<Option<usize>> {
    match received {
        Ok((length, _)) => Ok(Some(length)),
        // A refused connection is the echo of an earlier datagram to a host that is gone.
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
