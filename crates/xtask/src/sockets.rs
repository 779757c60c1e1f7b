//! Measures the packet rate through one host's real sockets.

use std::{
    net::{IpAddr, SocketAddr, UdpSocket},
    path::PathBuf,
    time::{Duration, Instant},
};

use argh::FromArgs;
use etherparse::PacketBuilder;
use eyre::{Result, WrapErr, bail};
use serde_json::json;

use crate::testbed::{Testbed, TestbedConfig};

/// measure packets per second through one host's real sockets; the last line is one JSON object
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "sockets")]
pub(crate) struct Options {
    /// how long to send, in seconds
    #[argh(option, default = "5")]
    run_s: u64,
    /// packets that may be in flight at a time
    #[argh(option, default = "256")]
    window: usize,
}

/// The service address that the packets are sent to.
const SERVICE_ADDRESS: &str = "198.51.100.20:443";
/// The caller address that the packets come from.
const CALLER_ADDRESS: &str = "172.16.0.1:5000";

/// The initial TCP sequence numbers of caller and target.
const CALLER_INITIAL_SEQUENCE: u32 = 100;
const TARGET_INITIAL_SEQUENCE: u32 = 1_000;

/// Runs the measure. This process acts as the fabric, the caller and the target.
pub(crate) fn run(options: &Options) -> Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0").wrap_err("cannot bind a UDP socket")?;
    socket.set_read_timeout(Some(Duration::from_millis(200)))?;
    let config = TestbedConfig {
        tree: PathBuf::from("examples/agency.json"),
        hosts_per_domain: 1,
        seed: 1,
        fabric_arguments: Vec::new(),
    };
    let testbed = Testbed::start_one_host(&config, socket.local_addr()?)?;
    let host = testbed.data_address()?;
    let mut buffer = vec![0; 2048];
    open_flow(&socket, host, &mut buffer)?;
    let data_segment = tcp_segment(
        CALLER_ADDRESS,
        SERVICE_ADDRESS,
        "A",
        CALLER_INITIAL_SEQUENCE + 1,
        TARGET_INITIAL_SEQUENCE + 1,
    )?;
    let started = Instant::now();
    let (mut sent, mut received) = (0_u64, 0_u64);
    let mut in_flight = 0;
    while started.elapsed() < Duration::from_secs(options.run_s) {
        while in_flight < options.window {
            socket.send_to(&data_segment, host)?;
            in_flight += 1;
            sent += 1;
        }
        match receive(&socket, &mut buffer) {
            Some(_) => {
                received += 1;
                in_flight -= 1;
            }
            // Packets that were not forwarded before the read timeout count as lost.
            None => in_flight = 0,
        }
    }
    let packets_per_s = received as f64 / started.elapsed().as_secs_f64();
    println!(
        "{}",
        json!({ "sent": sent, "forwarded": received, "packets_per_s": packets_per_s as u64 })
    );
    Ok(())
}

/// Opens a flow through `host`: sends the SYN as its caller and the SYN-ACK as its target.
fn open_flow(socket: &UdpSocket, host: SocketAddr, buffer: &mut [u8]) -> Result<()> {
    socket.send_to(
        &tcp_segment(CALLER_ADDRESS, SERVICE_ADDRESS, "S", CALLER_INITIAL_SEQUENCE, 0)?,
        host,
    )?;
    let Some(length) = receive(socket, buffer) else { bail!("the SYN was not forwarded") };
    let forwarded_syn = buffer[..length].to_vec();
    let parsed = etherparse::SlicedPacket::from_ip(&forwarded_syn)?;
    let (Some(etherparse::NetSlice::Ipv4(ip)), Some(etherparse::TransportSlice::Tcp(tcp))) =
        (parsed.net, parsed.transport)
    else {
        bail!("the forwarded packet is not TCP over IPv4");
    };
    let target = SocketAddr::new(ip.header().destination_addr().into(), tcp.destination_port());
    let syn_ack = tcp_segment(
        &target.to_string(),
        CALLER_ADDRESS,
        "SA",
        TARGET_INITIAL_SEQUENCE,
        CALLER_INITIAL_SEQUENCE + 1,
    )?;
    socket.send_to(&syn_ack, host)?;
    match receive(socket, buffer) {
        Some(_) => Ok(()),
        None => bail!("the SYN-ACK was not forwarded"),
    }
}

/// Receives the next IP packet and returns its length; skips the host's announcements to the
/// fabric.
fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> Option<usize> {
    const IPV4: u8 = 4;
    loop {
        let (length, _) = socket.recv_from(buffer).ok()?;
        if buffer[0] >> 4 == IPV4 {
            return Some(length);
        }
    }
}

/// Builds a TCP segment. `flags` contains `S` for SYN and `A` for ACK; a segment with ACK alone has a
/// payload of 200 bytes.
fn tcp_segment(from: &str, to: &str, flags: &str, sequence: u32, ack: u32) -> Result<Vec<u8>> {
    let (from, to): (SocketAddr, SocketAddr) = (from.parse()?, to.parse()?);
    let (IpAddr::V4(source), IpAddr::V4(destination)) = (from.ip(), to.ip()) else {
        bail!("the addresses of a segment must be IPv4");
    };
    let ip = PacketBuilder::ipv4(source.octets(), destination.octets(), 64);
    let mut tcp = ip.tcp(from.port(), to.port(), sequence, 65_535);
    tcp = if flags.contains('S') { tcp.syn() } else { tcp };
    tcp = if flags.contains('A') { tcp.ack(ack) } else { tcp };
    let payload: &[u8] = if flags == "A" { &[b'x'; 200] } else { &[] };
    let mut bytes = Vec::new();
    tcp.write(&mut bytes, payload)?;
    Ok(bytes)
}
