//! Openings at the opener, which owns the pool of a service in its failure domain.

use std::net::IpAddr;

use admission::{Opening, Outcome, Pool, PoolTarget, Refusal, Verdict, Wait};
use flow::{FlowHash, PacketView};
use routing::{HostId, mix};
use settings::{ListenerPolicy, Service};
use wire::{Frame, FrameKind};

use crate::{
    Outbox, View,
    traffic::{Context, Direction, Packet, PacketMap, Traffic, packet_of},
};

/// The hop count of an opening that found no free slot at any opener tried and now waits at the
/// first.
const HOPS_FINAL: u8 = u8::MAX;

/// The maximum number of failure domains tried for a free slot before an opening waits.
const DOMAINS_TRIED_MAX: usize = 3;

/// The shortest delay before a failed opening is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 20;

/// The result code of a refusal that is encoded as `number` in a frame's hop count.
pub(super) fn refusal_code(number: u8) -> u16 {
    const FIRST_CODE: u16 = 501;
    FIRST_CODE + u16::from(number)
}

fn refusal_number(refusal: Refusal) -> u8 {
    match refusal {
        Refusal::NoTarget => 0,
        Refusal::UnknownListener => 1,
        Refusal::QueueFull => 2,
        Refusal::Deadline => 3,
    }
}

/// The pool of a service that this host assigns targets for.
#[derive(Debug)]
struct ServicePool {
    service_seed: u64,
    pool: Pool,
}

/// A failed opening that is retried after a delay.
#[derive(Debug)]
struct DelayedRetry {
    due_ms: u64,
    hash: FlowHash,
    origin: HostId,
    failed_target: IpAddr,
}

/// The pools of this host, sorted by service, and the openings that wait for a target.
#[derive(Debug, Default)]
pub(super) struct OpenerTable {
    pools: Vec<ServicePool>,
    packets: PacketMap,
    delayed_retries: Vec<DelayedRetry>,
}

impl OpenerTable {
    pub(super) fn clear(&mut self) {
        *self = OpenerTable::default();
    }

    fn get(&mut self, service_seed: u64) -> Option<&mut Pool> {
        let found = self.pools.binary_search_by_key(&service_seed, |entry| entry.service_seed);
        found.ok().map(|position| &mut self.pools[position].pool)
    }

    fn get_or_add(&mut self, service_seed: u64, configure: impl FnOnce(&mut Pool)) -> &mut Pool {
        let found = self.pools.binary_search_by_key(&service_seed, |entry| entry.service_seed);
        let position = match found {
            Ok(position) => position,
            Err(position) => {
                let mut pool = Pool::default();
                configure(&mut pool);
                self.pools.insert(position, ServicePool { service_seed, pool });
                position
            }
        };
        &mut self.pools[position].pool
    }
}

impl Traffic {
    /// The usage of each target that this host assigns flows to, with its address.
    pub fn usage(&self) -> Vec<(IpAddr, admission::Usage)> {
        self.openers.pools.iter().flat_map(|entry| entry.pool.usage()).collect()
    }

    /// The number of openings that wait for a slot at this host.
    pub fn waiting(&self) -> usize {
        self.openers.pools.iter().map(|entry| entry.pool.waiting()).sum()
    }

    pub(super) fn configure_openers(&mut self, view: &View, now_ms: u64) {
        self.openers.pools.retain(|entry| {
            view.openers.opener(view.domain_seed, entry.service_seed) == Some(self.me)
        });
        for service in &view.settings.services {
            if view.openers.opener(view.domain_seed, service.seed) != Some(self.me) {
                continue;
            }
            let pool = self.openers.get_or_add(service.seed, |_| {});
            pool.configure(&pool_targets(view, service), &pool_listeners(view, service), now_ms);
            pool.retain_homes(|home| view.is_alive(home));
        }
    }

    pub(super) fn on_ask_opener(
        &mut self,
        frame: &Frame<'_>,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) {
        if self.frozen_incarnation.is_some() {
            return;
        }
        let openers = self.openers_from(cx.view, frame.origin, packet);
        let is_last = openers.len() <= 1 || frame.hops == HOPS_FINAL;
        let wait = if is_last { Wait::Yes } else { Wait::No };
        let has_failed_target = !frame.target.is_unspecified();
        let avoid = has_failed_target.then_some(frame.target);
        let opening = Opening { avoid, ..opening_of(packet, frame.origin) };
        let pool = self.pool_for(cx.view, packet, cx.now_ms);
        match pool.open(&opening, wait, cx.now_ms) {
            Verdict::Granted(target) => {
                self.grant(frame.origin, packet, bytes, target, cx);
            }
            Verdict::Waiting => {
                self.openers.packets.insert(packet.hash, bytes.to_vec());
            }
            Verdict::Refused(refusal) if is_last => {
                self.refuse(frame.origin, packet, bytes, refusal, cx);
            }
            Verdict::Refused(_) => {
                self.ask_next_opener(&openers, frame, packet, bytes, cx);
            }
        }
    }

    // The openers to try, starting in the home's own failure domain. All openers compute the same
    // order.
    fn openers_from(&self, view: &View, origin: HostId, packet: &Packet) -> Vec<HostId> {
        let service = view.settings.listener(packet.listener).service;
        let domain_seed = view.peer(origin).map_or(view.domain_seed, |peer| peer.domain_seed);
        let mut openers = view.openers_for(service, packet.hash, domain_seed);
        openers.truncate(DOMAINS_TRIED_MAX);
        openers
    }

    fn ask_next_opener(
        &mut self,
        openers: &[HostId],
        frame: &Frame<'_>,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) {
        let next = usize::from(frame.hops) + 1;
        let (to, hops) = match openers.get(next) {
            Some(opener) => (*opener, next as u8),
            None => (openers[0], HOPS_FINAL),
        };
        let header = Frame {
            hops,
            origin: frame.origin,
            ..self.header(FrameKind::AskOpener, hops, packet.listener_key, cx.now_ms)
        };
        if to == self.me {
            return self.on_ask_opener(&header, packet, bytes, cx);
        }
        self.send_frame(to, &header, bytes, cx);
    }

    pub(super) fn on_close_frame(
        &mut self,
        frame: &Frame<'_>,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) {
        let opening = opening_of(packet, frame.origin);
        let service_seed = service_seed(cx.view, packet);
        let mut outcomes = Vec::new();
        if let Some(pool) = self.openers.get(service_seed) {
            pool.close(&opening, frame.target, cx.now_ms);
            pool.grant_waiting(cx.now_ms, &mut outcomes);
        }
        self.send_to_caller(packet, bytes, cx);
        self.send_outcomes(&outcomes, cx);
    }

    pub(super) fn on_released(&mut self, frame: &Frame<'_>, body: &[u8], cx: &mut Context<'_>) {
        let Ok(hash) = <[u8; 16]>::try_from(body) else { return };
        let hash = FlowHash(u128::from_be_bytes(hash));
        let Some(listener) = cx.view.settings.find_listener_by_key(frame.listener_key) else {
            return;
        };
        let service_seed = cx.view.settings.service(listener.service).seed;
        let opening = Opening {
            hash,
            // The frame does not name the caller. Only waiting openings need it, to queue fairly.
            caller: frame.target,
            listener_key: frame.listener_key,
            home: frame.origin,
            avoid: None,
        };
        self.openers.packets.remove(&hash);
        let mut outcomes = Vec::new();
        if let Some(pool) = self.openers.get(service_seed) {
            pool.cancel(hash);
            pool.close(&opening, frame.target, cx.now_ms);
            pool.grant_waiting(cx.now_ms, &mut outcomes);
        }
        self.send_outcomes(&outcomes, cx);
    }

    pub(super) fn on_failed_frame(
        &mut self,
        frame: &Frame<'_>,
        packet: &Packet,
        bytes: &mut [u8],
        cx: &mut Context<'_>,
    ) {
        let opening = opening_of(packet, frame.origin);
        let pool = self.pool_for(cx.view, packet, cx.now_ms);
        if !pool.fail(&opening, frame.target, cx.now_ms) {
            let refusal = Refusal::NoTarget;
            return self.refuse(frame.origin, packet, bytes, refusal, cx);
        }
        let jitter_ms = mix(packet.hash.seed(), cx.now_ms) % RETRY_DELAY_MS;
        let due_ms = cx.now_ms + RETRY_DELAY_MS + jitter_ms;
        self.openers.packets.insert(packet.hash, bytes.to_vec());
        self.openers.delayed_retries.push(DelayedRetry {
            due_ms,
            hash: packet.hash,
            origin: frame.origin,
            failed_target: frame.target,
        });
    }

    pub(super) fn tick_openers(&mut self, now_ms: u64, out: &mut Outbox) {
        let Some(view) = self.view.clone() else { return };
        let due: Vec<DelayedRetry> =
            self.openers.delayed_retries.extract_if(.., |entry| entry.due_ms <= now_ms).collect();
        for entry in due {
            let Some(mut bytes) = self.openers.packets.remove(&entry.hash) else { continue };
            let Some(packet) = self.reparse(&view, &bytes) else { continue };
            let header = Frame {
                origin: entry.origin,
                target: entry.failed_target,
                ..self.header(FrameKind::AskOpener, 0, packet.listener_key, now_ms)
            };
            self.on_ask_opener(
                &header,
                &packet,
                &mut bytes,
                &mut Context { view: &view, now_ms, out },
            );
        }
        let outcomes: Vec<Outcome> =
            self.openers.pools.iter_mut().flat_map(|entry| entry.pool.tick(now_ms)).collect();
        self.send_outcomes(&outcomes, &mut Context { view: &view, now_ms, out });
    }

    fn send_outcomes(&mut self, outcomes: &[Outcome], cx: &mut Context<'_>) {
        for outcome in outcomes {
            let Some(mut bytes) = self.openers.packets.remove(&outcome.hash) else { continue };
            let Some(packet) = self.reparse(cx.view, &bytes) else { continue };
            match outcome.verdict {
                Verdict::Granted(target) => {
                    self.grant(outcome.home, &packet, &mut bytes, target, cx);
                }
                Verdict::Refused(refusal) => {
                    self.refuse(outcome.home, &packet, &mut bytes, refusal, cx);
                }
                Verdict::Waiting => {}
            }
        }
    }

    fn grant(
        &mut self,
        origin: HostId,
        packet: &Packet,
        bytes: &mut [u8],
        target: IpAddr,
        cx: &mut Context<'_>,
    ) {
        let header =
            Frame { target, ..self.header(FrameKind::Granted, 0, packet.listener_key, cx.now_ms) };
        if origin == self.me {
            return self.on_granted(&header, packet, bytes, cx);
        }
        self.send_frame(origin, &header, bytes, cx);
    }

    fn refuse(
        &mut self,
        origin: HostId,
        packet: &Packet,
        bytes: &mut [u8],
        refusal: Refusal,
        cx: &mut Context<'_>,
    ) {
        let header = self.header(
            FrameKind::Refused,
            refusal_number(refusal),
            packet.listener_key,
            cx.now_ms,
        );
        if origin == self.me {
            return self.on_refused(&header, packet, cx);
        }
        self.send_frame(origin, &header, bytes, cx);
    }

    fn pool_for(&mut self, view: &View, packet: &Packet, now_ms: u64) -> &mut Pool {
        let service = view.settings.service(view.settings.listener(packet.listener).service);
        self.openers.get_or_add(service.seed, |pool| {
            pool.configure(&pool_targets(view, service), &pool_listeners(view, service), now_ms);
        })
    }

    pub(super) fn on_report(&mut self, home: HostId, report: &wire::LoadReport) {
        let loads: Vec<(IpAddr, u32, u32)> =
            report.loads.iter().map(|load| (load.target, load.listener_key, load.flows)).collect();
        if let Some(pool) = self.openers.get(report.service_seed) {
            pool.report(home, &loads);
        }
    }

    pub(super) fn reparse(&self, view: &View, bytes: &[u8]) -> Option<Packet> {
        let parsed = PacketView::parse(bytes).ok()?;
        let listener = view.settings.find_listener(parsed.protocol, parsed.destination)?;
        let key = flow::FlowKey {
            protocol: parsed.protocol,
            caller: parsed.source,
            service: parsed.destination,
        };
        Some(packet_of(view, parsed, listener, &key, Direction::Forward))
    }
}

fn opening_of(packet: &Packet, home: HostId) -> Opening {
    Opening {
        hash: packet.hash,
        caller: packet.caller(),
        listener_key: packet.listener_key,
        home,
        avoid: None,
    }
}

fn service_seed(view: &View, packet: &Packet) -> u64 {
    view.settings.service(view.settings.listener(packet.listener).service).seed
}

/// The targets of `service` in this host's failure domain, sorted by address.
fn pool_targets(view: &View, service: &Service) -> Vec<PoolTarget> {
    service
        .targets
        .iter()
        .map(|id| view.settings.target(*id))
        .filter(|target| view.settings.domain_seed(target) == view.domain_seed)
        .map(|target| PoolTarget {
            address: target.address,
            seed: target.seed,
            policy: target.policy,
        })
        .collect()
}

fn pool_listeners(view: &View, service: &Service) -> Vec<(u32, ListenerPolicy)> {
    service
        .listeners
        .iter()
        .map(|id| view.settings.listener(*id))
        .map(|listener| (listener.key, listener.policy))
        .collect()
}
