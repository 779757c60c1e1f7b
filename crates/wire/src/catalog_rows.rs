//! The Cap'n Proto encoding of relay messages, which carry rows of the catalog.

use std::net::{Ipv4Addr, SocketAddrV4};

use catalog::{
    Digest, Evacuation, Key, Limits, Listener, Presence, Record, RequestKind, Revision, Row,
    Service, Share, Stage, Target, TargetId,
};
use relay::{Heartbeat, KeyRange, Message, Pull, RowBatch, Scope};
use routing::HostId;

use crate::{
    control::DecodeError,
    peer_capnp::{control, heartbeat, pull, row, row_batch, row_key, share},
};

pub(crate) fn encode(mut root: control::Builder<'_>, message: &Message) {
    match message {
        Message::Heartbeat(heartbeat) => encode_heartbeat(root.init_heartbeat(), heartbeat),
        Message::Poll => root.set_poll(()),
        Message::Pull(pull) => {
            let mut out = root.init_pull();
            out.set_revision(pull.revision.number);
            out.set_era(pull.revision.era);
            out.set_digest(pull.digest.0);
            out.set_all(pull.scope == Scope::All);
            out.set_batches(pull.batches);
            encode_key(out.init_start(), pull.start);
        }
        Message::Rows(batch) => encode_batch(root.init_rows(), batch),
    }
}

pub(crate) fn decode_heartbeat(heartbeat: heartbeat::Reader<'_>) -> Heartbeat {
    Heartbeat {
        root: HostId(heartbeat.get_root()),
        revision: Revision::new(heartbeat.get_era(), heartbeat.get_revision()),
        settings_version: heartbeat.get_settings_version(),
        digest: Digest(heartbeat.get_digest()),
        age_ms: heartbeat.get_age_ms(),
        reader: HostId(heartbeat.get_reader()),
    }
}

pub(crate) fn decode_pull(pull: pull::Reader<'_>) -> Result<Pull, DecodeError> {
    Ok(Pull {
        revision: Revision::new(pull.get_era(), pull.get_revision()),
        digest: Digest(pull.get_digest()),
        scope: scope(pull.get_all()),
        start: decode_key(pull.get_start()?)?,
        batches: pull.get_batches(),
    })
}

pub(crate) fn decode_batch(batch: row_batch::Reader<'_>) -> Result<RowBatch, DecodeError> {
    let rows: Result<Vec<Row>, DecodeError> = batch.get_rows()?.iter().map(decode_row).collect();
    Ok(RowBatch {
        heartbeat: decode_heartbeat(batch.get_heartbeat()?),
        scope: scope(batch.get_all()),
        after: Revision::new(batch.get_after_era(), batch.get_after()),
        range: KeyRange {
            start: decode_key(batch.get_start()?)?,
            end: decode_key(batch.get_end()?)?,
        },
        ends_window: batch.get_ends_window(),
        rows: rows?,
    })
}

fn scope(all: bool) -> Scope {
    if all { Scope::All } else { Scope::Changes }
}

fn encode_heartbeat(mut out: heartbeat::Builder<'_>, heartbeat: &Heartbeat) {
    out.set_root(heartbeat.root.0);
    out.set_revision(heartbeat.revision.number);
    out.set_era(heartbeat.revision.era);
    out.set_settings_version(heartbeat.settings_version);
    out.set_digest(heartbeat.digest.0);
    out.set_age_ms(heartbeat.age_ms);
    out.set_reader(heartbeat.reader.0);
}

fn encode_batch(mut out: row_batch::Builder<'_>, batch: &RowBatch) {
    encode_heartbeat(out.reborrow().init_heartbeat(), &batch.heartbeat);
    out.set_after(batch.after.number);
    out.set_after_era(batch.after.era);
    out.set_all(batch.scope == Scope::All);
    encode_key(out.reborrow().init_start(), batch.range.start);
    encode_key(out.reborrow().init_end(), batch.range.end);
    out.set_ends_window(batch.ends_window);
    let mut list = out.init_rows(batch.rows.len() as u32);
    for (index, row) in batch.rows.iter().enumerate() {
        encode_row(list.reborrow().get(index as u32), row);
    }
}

fn encode_key(mut out: row_key::Builder<'_>, key: Option<Key>) {
    let (kind, id) = match key {
        None => (0, 0),
        Some(Key::Limits) => (1, 0),
        Some(Key::Service(seed)) => (2, seed),
        Some(Key::Target(target)) => (3, target.0),
        Some(Key::Evacuation(domain_seed)) => (5, domain_seed),
        Some(Key::Listener(address)) => {
            (4, u64::from(address.ip().to_bits()) << 16 | u64::from(address.port()))
        }
    };
    out.set_kind(kind);
    out.set_id(id);
}

fn decode_key(key: row_key::Reader<'_>) -> Result<Option<Key>, DecodeError> {
    let id = key.get_id();
    match key.get_kind() {
        0 => Ok(None),
        1 => Ok(Some(Key::Limits)),
        2 => Ok(Some(Key::Service(id))),
        3 => Ok(Some(Key::Target(TargetId(id)))),
        4 => Ok(Some(Key::Listener(address((id >> 16) as u32, id as u16)))),
        5 => Ok(Some(Key::Evacuation(id))),
        other => Err(DecodeError(format!("unknown kind of key {other}"))),
    }
}

fn encode_row(mut out: row::Builder<'_>, row: &Row) {
    out.set_revision(row.revision.number);
    out.set_era(row.revision.era);
    out.set_edition(row.edition);
    out.set_is_relisted(row.is_relisted);
    out.set_clock_resets(row.clock_resets);
    out.set_created(row.created.number);
    out.set_created_era(row.created.era);
    out.set_presence(match row.presence {
        Presence::Listed => 0,
        Presence::Lapsed => 1,
        Presence::Gone => 2,
    });
    match &row.record {
        Record::Limits(limits) => out.set_idle_timeout_ms(limits.idle_timeout_ms),
        Record::Listener(listener) => encode_listener(out.init_listener(), listener),
        Record::Service(service) => {
            let mut out = out.init_service();
            out.set_seed(service.seed);
            out.set_health_path(&service.health_path);
            out.set_flows_max(service.flows_max);
            out.set_limits_warmup(service.warmup_openings_per_ks.is_some());
            out.set_warmup_openings_per_ks(service.warmup_openings_per_ks.unwrap_or(0));
        }
        Record::Evacuation(evacuation) => {
            let mut out = out.init_evacuation();
            out.set_domain_seed(evacuation.domain_seed);
            out.set_domain(&evacuation.domain);
        }
        Record::Target(target) => {
            let mut out = out.init_target();
            out.set_id(target.id.0);
            out.set_service_seed(target.service_seed);
            out.set_ip(target.address.ip().to_bits());
            out.set_port(target.address.port());
            out.set_domain_seed(target.domain_seed);
            out.set_slots(target.slots);
            out.set_is_draining(target.stage == Stage::Draining);
            out.set_warmup_ms(target.warmup_ms);
            out.set_started_at_ms(target.started_at_ms);
        }
    }
}

fn encode_listener(mut out: row::listener::Builder<'_>, listener: &Listener) {
    out.set_ip(listener.address.ip().to_bits());
    out.set_port(listener.address.port());
    out.set_kind(match listener.kind {
        RequestKind::Idempotent => 0,
        RequestKind::Unsafe => 1,
        RequestKind::Download => 2,
    });
    out.set_priority(listener.priority);
    out.set_aim_ms(listener.aim_ms);
    out.set_timeout_ms(listener.timeout_ms);
    let mut shares = out.init_shares(listener.shares.len() as u32);
    for (index, share) in listener.shares.iter().enumerate() {
        let mut out = shares.reborrow().get(index as u32);
        out.set_service_seed(share.service_seed);
        out.set_weight(share.weight);
    }
}

fn decode_row(row: row::Reader<'_>) -> Result<Row, DecodeError> {
    let presence = match row.get_presence() {
        0 => Presence::Listed,
        1 => Presence::Lapsed,
        2 => Presence::Gone,
        other => return Err(DecodeError(format!("unknown presence {other}"))),
    };
    let record = match row.which().map_err(capnp::Error::from)? {
        row::IdleTimeoutMs(idle_timeout_ms) => Record::Limits(Limits { idle_timeout_ms }),
        row::Listener(listener) => Record::Listener(decode_listener(listener)?),
        row::Service(service) => Record::Service(Service {
            seed: service.get_seed(),
            health_path: service
                .get_health_path()?
                .to_string()
                .map_err(|error| DecodeError(format!("health path: {error}")))?,
            flows_max: service.get_flows_max(),
            warmup_openings_per_ks: service
                .get_limits_warmup()
                .then(|| service.get_warmup_openings_per_ks()),
        }),
        row::Evacuation(evacuation) => Record::Evacuation(Evacuation {
            domain_seed: evacuation.get_domain_seed(),
            domain: evacuation
                .get_domain()?
                .to_string()
                .map_err(|error| DecodeError(format!("domain: {error}")))?,
        }),
        row::Target(target) => Record::Target(Target {
            id: TargetId(target.get_id()),
            service_seed: target.get_service_seed(),
            address: address(target.get_ip(), target.get_port()),
            domain_seed: target.get_domain_seed(),
            slots: target.get_slots(),
            stage: if target.get_is_draining() { Stage::Draining } else { Stage::Ready },
            warmup_ms: target.get_warmup_ms(),
            started_at_ms: target.get_started_at_ms(),
        }),
    };
    Ok(Row {
        revision: Revision::new(row.get_era(), row.get_revision()),
        edition: row.get_edition(),
        presence,
        is_relisted: row.get_is_relisted(),
        clock_resets: row.get_clock_resets(),
        created: Revision::new(row.get_created_era(), row.get_created()),
        record,
    })
}

fn decode_listener(listener: row::listener::Reader<'_>) -> Result<Listener, DecodeError> {
    let kind = match listener.get_kind() {
        0 => RequestKind::Idempotent,
        1 => RequestKind::Unsafe,
        2 => RequestKind::Download,
        other => return Err(DecodeError(format!("unknown listener kind {other}"))),
    };
    let decode_share = |share: share::Reader<'_>| Share {
        service_seed: share.get_service_seed(),
        weight: share.get_weight(),
    };
    Ok(Listener {
        address: address(listener.get_ip(), listener.get_port()),
        shares: listener.get_shares()?.iter().map(decode_share).collect(),
        kind,
        priority: listener.get_priority(),
        aim_ms: listener.get_aim_ms(),
        timeout_ms: listener.get_timeout_ms(),
    })
}

fn address(ip: u32, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(ip), port)
}
