//! Control messages and their Cap'n Proto encoding.

use std::{
    fmt,
    net::{IpAddr, Ipv6Addr, SocketAddr},
};

use capnp::{
    message::{Builder, HeapAllocator, ReaderOptions},
    serialize_packed,
};
use flow::FlowHash;
use membership::{Member, MemberState, Probe, ProbeKind};
use routing::{HostId, PinState};

use crate::{
    catalog_rows,
    frame::{from_ipv6, to_ipv6},
    peer_capnp::{control, load, member, pin, probe},
};

/// A control message.
#[derive(Debug, Clone, PartialEq)]
pub enum Control {
    /// A membership probe or its answer.
    Probe(Probe),
    /// A batch of pins for the receiver to store.
    Pins {
        /// The sender's sequence number of the batch.
        sequence: u64,
        /// The pins.
        pins: Vec<PinRecord>,
    },
    /// Acknowledges that a batch of pins was stored.
    PinsAck {
        /// The sequence number of the batch.
        sequence: u64,
    },
    /// Every pin that the receiver needs from the sender has been transferred.
    TransferDone {
        /// The incarnation of the receiver that the transfer was for.
        incarnation: u64,
    },
    /// The numbers of flows of one service at the sender.
    Report(LoadReport),
    /// The settings revision in force at the sender.
    Revision(u64),
    /// A message about the catalog.
    Relay(relay::Message),
    /// The flows that the sender sees, counted by target.
    Loads(Vec<tagged::TargetLoad>),
}

/// The form of a pin in messages between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PinRecord {
    /// The hash of the flow's key.
    pub hash: FlowHash,
    /// The target's address.
    pub target: IpAddr,
    /// The initial TCP sequence number of the target.
    pub sequence: u32,
    /// The age of the pin, in seconds.
    pub age_s: u32,
    /// The key of the listener.
    pub listener_key: u32,
    /// The state of the connection.
    pub state: PinState,
}

/// The numbers of flows of one service at one home, without flows below a minimum age.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// The hash of the service's name.
    pub service_seed: u64,
    /// The numbers of flows, by target and listener.
    pub loads: Vec<FlowLoad>,
}

/// The number of flows of one listener at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowLoad {
    /// The target's address.
    pub target: IpAddr,
    /// The key of the listener.
    pub listener_key: u32,
    /// The number of pinned flows that have reached the minimum age.
    pub flows: u32,
}

/// Why a control message cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(pub(crate) String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed control message: {}", self.0)
    }
}

impl std::error::Error for DecodeError {}

impl From<capnp::Error> for DecodeError {
    fn from(error: capnp::Error) -> DecodeError {
        DecodeError(error.to_string())
    }
}

/// Encodes `message`.
pub fn encode(message: &Control) -> Vec<u8> {
    let mut builder = Builder::new(HeapAllocator::new().first_segment_words(64));
    let mut root = builder.init_root::<control::Builder>();
    match message {
        Control::Probe(probe) => encode_probe(root.init_probe(), probe),
        Control::Pins { sequence, pins } => {
            let mut batch = root.init_pins();
            batch.set_sequence(*sequence);
            let mut list = batch.init_pins(pins.len() as u32);
            for (index, pin) in pins.iter().enumerate() {
                encode_pin(list.reborrow().get(index as u32), pin);
            }
        }
        Control::PinsAck { sequence } => root.init_pins_ack().set_sequence(*sequence),
        Control::TransferDone { incarnation } => {
            root.init_transfer_done().set_incarnation(*incarnation);
        }
        Control::Report(report) => {
            let mut out = root.init_report();
            out.set_service_seed(report.service_seed);
            let mut list = out.init_loads(report.loads.len() as u32);
            for (index, load) in report.loads.iter().enumerate() {
                encode_load(list.reborrow().get(index as u32), load);
            }
        }
        Control::Revision(revision) => root.set_revision(*revision),
        Control::Relay(message) => catalog_rows::encode(root, message),
        Control::Loads(loads) => {
            let mut list = root.init_loads(loads.len() as u32);
            for (index, load) in loads.iter().enumerate() {
                let mut out = list.reborrow().get(index as u32);
                out.set_target(load.target.0);
                out.set_flows(load.flows);
                out.set_busy(load.busy);
                out.set_is_dead(load.is_dead);
                out.set_answers(load.answers.answers);
                out.set_mean_us(load.answers.mean_us);
                out.set_failures(load.answers.failures);
            }
        }
    }
    // Packed encoding saves bandwidth: most fields are small numbers, and hosts have slow links.
    let mut bytes = Vec::new();
    match serialize_packed::write_message(&mut bytes, &builder) {
        Ok(()) => bytes,
        Err(error) => unreachable!("writing to memory does not fail: {error}"),
    }
}

/// Decodes a message.
///
/// # Errors
///
/// Fails on anything that [`encode`] would not have written.
pub fn decode(bytes: &[u8]) -> Result<Control, DecodeError> {
    let mut rest = bytes;
    let reader = serialize_packed::read_message(&mut rest, ReaderOptions::new())?;
    let root = reader.get_root::<control::Reader>()?;
    match root.which().map_err(capnp::Error::from)? {
        control::Probe(probe) => Ok(Control::Probe(decode_probe(probe?)?)),
        control::Pins(batch) => {
            let batch = batch?;
            let pins: Result<Vec<PinRecord>, DecodeError> =
                batch.get_pins()?.iter().map(decode_pin).collect();
            Ok(Control::Pins { sequence: batch.get_sequence(), pins: pins? })
        }
        control::PinsAck(ack) => Ok(Control::PinsAck { sequence: ack?.get_sequence() }),
        control::TransferDone(done) => {
            Ok(Control::TransferDone { incarnation: done?.get_incarnation() })
        }
        control::Report(report) => {
            let report = report?;
            let loads = report.get_loads()?.iter().map(decode_load).collect();
            Ok(Control::Report(LoadReport { service_seed: report.get_service_seed(), loads }))
        }
        control::Revision(revision) => Ok(Control::Revision(revision)),
        control::Heartbeat(heartbeat) => Ok(Control::Relay(relay::Message::Heartbeat(
            catalog_rows::decode_heartbeat(heartbeat?),
        ))),
        control::Pull(pull) => {
            Ok(Control::Relay(relay::Message::Pull(catalog_rows::decode_pull(pull?)?)))
        }
        control::Poll(()) => Ok(Control::Relay(relay::Message::Poll)),
        control::Rows(batch) => {
            Ok(Control::Relay(relay::Message::Rows(catalog_rows::decode_batch(batch?)?)))
        }
        control::Loads(loads) => Ok(Control::Loads(
            loads?
                .iter()
                .map(|load| tagged::TargetLoad {
                    target: catalog::TargetId(load.get_target()),
                    flows: load.get_flows(),
                    busy: load.get_busy(),
                    is_dead: load.get_is_dead(),
                    answers: tagged::AnswerStats {
                        answers: load.get_answers(),
                        mean_us: load.get_mean_us(),
                        failures: load.get_failures(),
                    },
                })
                .collect(),
        )),
    }
}

fn encode_probe(mut out: probe::Builder<'_>, probe: &Probe) {
    out.set_kind(probe.kind as u8);
    out.set_sequence(probe.sequence);
    out.set_subject(probe.subject.0);
    out.set_revision(probe.revision);
    let mut list = out.init_members(probe.members.len() as u32);
    for (index, member) in probe.members.iter().enumerate() {
        encode_member(list.reborrow().get(index as u32), member);
    }
}

fn encode_member(mut out: member::Builder<'_>, member: &Member) {
    let (high, low) = split_halves(to_ipv6(member.address.ip()));
    out.set_host_id(member.id.0);
    out.set_address_high(high);
    out.set_address_low(low);
    out.set_port(member.address.port());
    out.set_domain_seed(member.domain_seed);
    out.set_rack_seed(member.rack_seed);
    out.set_incarnation(member.incarnation);
    out.set_state(member.state as u8);
}

fn encode_pin(mut out: pin::Builder<'_>, pin: &PinRecord) {
    let (high, low) = split_halves(to_ipv6(pin.target));
    out.set_hash_high((pin.hash.0 >> 64) as u64);
    out.set_hash_low(pin.hash.0 as u64);
    out.set_target_high(high);
    out.set_target_low(low);
    out.set_sequence(pin.sequence);
    out.set_age_s(pin.age_s);
    out.set_listener_key(pin.listener_key);
    out.set_state(pin.state as u8);
}

fn encode_load(mut out: load::Builder<'_>, load: &FlowLoad) {
    let (high, low) = split_halves(to_ipv6(load.target));
    out.set_target_high(high);
    out.set_target_low(low);
    out.set_listener_key(load.listener_key);
    out.set_flows(load.flows);
}

fn decode_probe(probe: probe::Reader<'_>) -> Result<Probe, DecodeError> {
    let members: Result<Vec<Member>, DecodeError> =
        probe.get_members()?.iter().map(decode_member).collect();
    Ok(Probe {
        kind: ProbeKind::from_number(probe.get_kind())
            .ok_or_else(|| DecodeError(format!("unknown probe kind {}", probe.get_kind())))?,
        sequence: probe.get_sequence(),
        subject: HostId(probe.get_subject()),
        revision: probe.get_revision(),
        members: members?,
    })
}

fn decode_member(member: member::Reader<'_>) -> Result<Member, DecodeError> {
    let ip = join_halves(member.get_address_high(), member.get_address_low());
    Ok(Member {
        id: HostId(member.get_host_id()),
        address: SocketAddr::new(ip, member.get_port()),
        domain_seed: member.get_domain_seed(),
        rack_seed: member.get_rack_seed(),
        incarnation: member.get_incarnation(),
        state: MemberState::from_number(member.get_state())
            .ok_or_else(|| DecodeError(format!("unknown member state {}", member.get_state())))?,
    })
}

fn decode_pin(pin: pin::Reader<'_>) -> Result<PinRecord, DecodeError> {
    let high = u128::from(pin.get_hash_high()) << 64;
    Ok(PinRecord {
        hash: FlowHash(high | u128::from(pin.get_hash_low())),
        target: join_halves(pin.get_target_high(), pin.get_target_low()),
        sequence: pin.get_sequence(),
        age_s: pin.get_age_s(),
        listener_key: pin.get_listener_key(),
        state: PinState::from_number(pin.get_state())
            .ok_or_else(|| DecodeError(format!("unknown pin state {}", pin.get_state())))?,
    })
}

fn decode_load(load: load::Reader<'_>) -> FlowLoad {
    FlowLoad {
        target: join_halves(load.get_target_high(), load.get_target_low()),
        listener_key: load.get_listener_key(),
        flows: load.get_flows(),
    }
}

fn split_halves(address: Ipv6Addr) -> (u64, u64) {
    let bits = address.to_bits();
    ((bits >> 64) as u64, bits as u64)
}

fn join_halves(high: u64, low: u64) -> IpAddr {
    from_ipv6(Ipv6Addr::from_bits(u128::from(high) << 64 | u128::from(low)))
}
