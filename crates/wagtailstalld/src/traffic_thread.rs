//! The thread that forwards packets.

use std::{
    io::{self, ErrorKind},
    sync::Arc,
    time::Duration,
};

use eyre::{Result, WrapErr};
use futures_lite::FutureExt;
use host::{Destination, Outbox, Traffic, TrafficEvent, View};
use smol::{Async, Timer};
use telemetry::{Event, Histogram, field};

use crate::{
    clock,
    shared::{Shared, TrafficStatus},
};

/// How many datagrams are read from one socket before the other is read.
const MAX_BATCH_PACKETS: usize = 128;

/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// How long the thread waits for datagrams before it runs its periodic work, in milliseconds.
const MAX_IDLE_WAIT_MS: u64 = 10;

/// How often the status is published, in milliseconds.
const STATUS_INTERVAL_MS: u64 = 200;

/// Runs until the process exits.
pub(crate) fn run(shared: &Arc<Shared>) -> Result<()> {
    let data = Async::new_nonblocking(shared.data.try_clone()?)
        .wrap_err("the data socket cannot be registered for polling")?;
    let peer = Async::new_nonblocking(shared.peer.try_clone()?)
        .wrap_err("the peer socket cannot be registered for polling")?;
    let mut worker = Worker {
        shared: shared.clone(),
        traffic: Traffic::new(shared.config.clone(), clock::now_ms()),
        view: None,
        outbox: Outbox::default(),
        buffer: vec![0; MAX_DATAGRAM_BYTES],
        opening_wait: shared.metrics.histogram("opening_wait"),
        flow_duration: shared.metrics.histogram("flow_duration"),
        refusal_codes: shared.metrics.histogram("refusal_code"),
        next_status_ms: 0,
    };
    smol::block_on(async {
        while !shared.is_exiting() {
            let idle = async {
                Timer::after(Duration::from_millis(MAX_IDLE_WAIT_MS)).await;
                Ok(())
            };
            data.readable().or(peer.readable()).or(idle).await?;
            worker.run_once()?;
        }
        Ok(())
    })
}

/// The state of the traffic thread.
struct Worker {
    shared: Arc<Shared>,
    traffic: Traffic,
    view: Option<Arc<View>>,
    outbox: Outbox,
    buffer: Vec<u8>,
    opening_wait: Histogram,
    flow_duration: Histogram,
    refusal_codes: Histogram,
    next_status_ms: u64,
}

impl Worker {
    fn run_once(&mut self) -> Result<()> {
        self.update_view();
        for _ in 0..MAX_BATCH_PACKETS {
            let received = self.shared.data.recv_from(&mut self.buffer);
            let Some((length, _)) = ignore_transient_errors(received)? else { break };
            let packet = &mut self.buffer[..length];
            self.traffic.on_fabric(packet, clock::now_ms(), &mut self.outbox);
        }
        for _ in 0..MAX_BATCH_PACKETS {
            let received = self.shared.peer.recv_from(&mut self.buffer);
            let Some((length, from)) = ignore_transient_errors(received)? else { break };
            let datagram = &mut self.buffer[..length];
            self.traffic.on_peer(from, datagram, clock::now_ms(), &mut self.outbox);
        }
        self.traffic.on_tick(clock::now_ms(), &mut self.outbox);
        self.answer_flow_queries();
        self.flush();
        self.publish_status();
        Ok(())
    }

    fn update_view(&mut self) {
        let published = self.shared.view.load_full();
        let is_same = match (&self.view, &published) {
            (Some(current), Some(latest)) => Arc::ptr_eq(current, latest),
            (_, None) => true,
            (None, Some(_)) => false,
        };
        if is_same {
            return;
        }
        if let Some(view) = published {
            self.view = Some(view.clone());
            self.traffic.on_view(view, clock::now_ms(), &mut self.outbox);
        }
    }

    fn answer_flow_queries(&mut self) {
        while let Ok(flow_query) = self.shared.flow_queries.1.try_recv() {
            // The operator's connection may be closed by now.
            let _ = flow_query.answer.try_send(self.traffic.explain(&flow_query.key));
        }
    }

    fn flush(&mut self) {
        for (destination, bytes) in self.outbox.datagrams() {
            let sent = match destination {
                Destination::Fabric => {
                    self.shared.data.send_to(bytes, self.shared.settings.fabric_address)
                }
                Destination::Peer(address) => self.shared.peer.send_to(bytes, address),
            };
            log_send_failure(sent);
        }
        for event in std::mem::take(&mut self.outbox.events) {
            self.handle(event);
        }
        self.outbox.clear();
    }

    fn handle(&self, event: TrafficEvent) {
        match event {
            TrafficEvent::Opened { listener_key, waited_ms } => {
                self.record(&self.opening_wait, listener_key, waited_ms);
            }
            TrafficEvent::Closed { listener_key, open_ms } => {
                self.record(&self.flow_duration, listener_key, open_ms);
            }
            TrafficEvent::Refused { listener_key, code } => {
                self.record(&self.refusal_codes, listener_key, u64::from(code));
            }
            event => {
                // A control message that a full channel drops is repeated by its sender.
                let _ = self.shared.events.0.try_send(event);
            }
        }
    }

    fn record(&self, histogram: &Histogram, listener_key: u32, value: u64) {
        let Some(view) = &self.view else { return };
        let Some(listener) = view.settings.find_listener_by_key(listener_key) else { return };
        let service = &view.settings.service(listener.service).name;
        histogram.record(value, service, &listener.name);
    }

    fn publish_status(&mut self) {
        let now_ms = clock::now_ms();
        if now_ms < self.next_status_ms {
            return;
        }
        self.next_status_ms = now_ms + STATUS_INTERVAL_MS;
        let status = TrafficStatus {
            counters: *self.traffic.counters(),
            pins: self.traffic.pin_count(),
            pin_memory_bytes: self.traffic.pin_memory_bytes(),
            waiting: self.traffic.waiting(),
            usage: self.traffic.usage(),
        };
        if let Ok(mut shared) = self.shared.status.lock() {
            *shared = status;
        }
    }
}

fn ignore_transient_errors<T>(received: io::Result<T>) -> Result<Option<T>> {
    match received {
        Ok(value) => Ok(Some(value)),
        // ConnectionRefused is the ICMP error for an earlier datagram to a host that has stopped.
        Err(error)
            if matches!(
                error.kind(),
                ErrorKind::WouldBlock | ErrorKind::ConnectionRefused | ErrorKind::Interrupted
            ) =>
        {
            Ok(None)
        }
        Err(error) => Err(error).wrap_err("a socket cannot be read"),
    }
}

fn log_send_failure(sent: io::Result<usize>) {
    let Err(error) = sent else { return };
    if error.kind() != ErrorKind::ConnectionRefused {
        telemetry::emit(Event::SendFailed, &[field("cause", error)]);
    }
}
