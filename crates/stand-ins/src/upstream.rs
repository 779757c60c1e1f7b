//! Upstreams: targets that run requests in slots and serve sessions.
//!
//! A request is the line `REQ ID WORK_MS SIZE SERVICE`; the response is the line `RES ID SIZE` and
//! SIZE bytes, after which the target closes the connection. A session starts with the line
//! `SES ID SERVICE`; then the target responds to each line `PING N` with `PONG N`.

use std::{
    collections::BTreeMap,
    fs,
    net::{IpAddr, SocketAddr, UdpSocket},
    path::PathBuf,
    sync::{Arc, atomic::AtomicBool, atomic::Ordering},
    time::{Duration, Instant},
};

use argh::FromArgs;
use eyre::{Result, WrapErr, eyre};
use serde::{Deserialize, Serialize};
use settings::Tree;
use smoltcp::{iface::SocketHandle, socket::tcp::State};

use crate::{tcp_stack::TcpStack, wire};

/// Number of sockets that listen on each port at any time: the accept backlog.
const BACKLOG: usize = 48;

/// The targets of one upstream.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "upstream")]
pub struct Options {
    /// address of the fabric
    #[argh(option)]
    fabric: SocketAddr,
    /// the settings tree, a JSON file
    #[argh(option)]
    tree: PathBuf,
    /// name of the service
    #[argh(option)]
    service: String,
    /// name of the upstream
    #[argh(option)]
    upstream: String,
    /// number of requests that a target runs at a time
    #[argh(option, default = "3")]
    slots: usize,
    /// extra time of the first requests, in milliseconds; falls linearly to 0 within 5 s
    #[argh(option, default = "0")]
    cold_ms: u64,
    /// refuse every connection
    #[argh(switch)]
    shed: bool,
}

/// What an upstream did, printed as one JSON line when it exits.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct Report {
    /// How often each request was run, by request id.
    pub runs: BTreeMap<u64, u32>,
    /// Requests and sessions that were meant for another service.
    pub misdelivered: u64,
    /// Requests that had to wait in a target because its slots were in use.
    pub overflows: u64,
    /// Number of connections of each target when the process exited.
    pub connections: BTreeMap<String, usize>,
    /// Number of requests that each target ran.
    pub requests: BTreeMap<String, u64>,
}

/// State of one connection.
enum ConnectionState {
    Reading(Vec<u8>),
    Queued { id: u64, work_ms: u64, size: usize },
    Running { id: u64, until: Instant, size: usize },
    Sending { bytes: Vec<u8>, sent: usize },
    Session { input: Vec<u8>, output: Vec<u8> },
    Closing,
}

struct Connection {
    handle: SocketHandle,
    state: ConnectionState,
}

struct Target {
    stack: TcpStack,
    listening: BTreeMap<u16, Vec<SocketHandle>>,
    connections: Vec<Connection>,
}

struct UpstreamProcess<'a> {
    options: &'a Options,
    report: Report,
    started: Instant,
}

/// Serves until the process gets SIGTERM, then prints the report.
///
/// # Errors
///
/// Fails if the settings tree cannot be read or does not contain the upstream, or if the socket
/// cannot be bound.
pub fn run(options: &Options) -> Result<()> {
    let tree: Tree = serde_json::from_str(&fs::read_to_string(&options.tree)?)?;
    let service = tree
        .services
        .get(&options.service)
        .ok_or_else(|| eyre!("the settings tree has no service with the name of --service"))?;
    let upstream = service
        .upstreams
        .get(&options.upstream)
        .ok_or_else(|| eyre!("the service has no upstream with the name of --upstream"))?;
    let ports: Vec<u16> = service.listeners.values().map(|listener| listener.target_port).collect();
    let mut targets: Vec<Target> = upstream
        .targets
        .values()
        .enumerate()
        .map(|(index, target)| new_target(target.address, &ports, index as u64, options.shed))
        .collect();
    let socket =
        UdpSocket::bind((fabric_ip(options.fabric), 0)).wrap_err("cannot bind a UDP socket")?;
    socket.set_read_timeout(Some(Duration::from_millis(1)))?;
    let is_terminated = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGTERM, is_terminated.clone())?;
    let mut process =
        UpstreamProcess { options, report: Report::default(), started: Instant::now() };
    let mut registered_at: Option<Instant> = None;
    let mut buffer = vec![0; 65_535];
    while !is_terminated.load(Ordering::Relaxed) {
        if registered_at.is_none_or(|at| at.elapsed() > Duration::from_millis(500)) {
            registered_at = Some(Instant::now());
            for target in &targets {
                wire::register(&socket, options.fabric, target.stack.address);
            }
        }
        receive(&socket, &mut buffer, &mut targets);
        for target in &mut targets {
            process.serve(target);
            let packets: Vec<Vec<u8>> = target.stack.poll().collect();
            for packet in packets {
                let _ = socket.send_to(&packet, options.fabric);
            }
        }
    }
    for target in &targets {
        let name = target.stack.address.to_string();
        process.report.connections.insert(name, target.connections.len());
    }
    println!("{}", serde_json::to_string(&process.report)?);
    Ok(())
}

pub(crate) fn fabric_ip(fabric: SocketAddr) -> IpAddr {
    fabric.ip()
}

fn receive(socket: &UdpSocket, buffer: &mut [u8], targets: &mut [Target]) {
    // Each read waits for up to the read timeout. The limit makes sure that the targets are served
    // also while packets keep arriving.
    let mut remaining = 256;
    while let Ok((length, _)) = socket.recv_from(buffer) {
        let packet = &buffer[..length];
        let destination = wire::destination(packet);
        let found = targets.iter_mut().find(|target| Some(target.stack.address) == destination);
        if let Some(target) = found {
            target.stack.receive(packet);
        }
        remaining -= 1;
        if remaining == 0 {
            return;
        }
    }
}

fn new_target(address: IpAddr, ports: &[u16], seed: u64, shed: bool) -> Target {
    let mut stack = TcpStack::new(address, seed + 1);
    let mut listening = BTreeMap::new();
    if !shed {
        for port in ports {
            let handles = (0..BACKLOG).map(|_| stack.listen(*port)).collect();
            listening.insert(*port, handles);
        }
    }
    Target { stack, listening, connections: Vec::new() }
}

impl UpstreamProcess<'_> {
    fn serve(&mut self, target: &mut Target) {
        accept(target);
        let is_running =
            |connection: &Connection| matches!(connection.state, ConnectionState::Running { .. });
        let mut busy_slots = target.connections.iter().filter(|entry| is_running(entry)).count();
        let name = target.stack.address.to_string();
        for connection in &mut target.connections {
            let socket = target.stack.sockets.get_mut(connection.handle);
            let state = std::mem::replace(&mut connection.state, ConnectionState::Closing);
            connection.state = self.advance(state, socket, &mut busy_slots, &name);
        }
        let stack = &mut target.stack;
        target.connections.retain(|connection| {
            let is_closed = stack.socket(connection.handle).state() == State::Closed;
            if is_closed {
                stack.remove(connection.handle);
            }
            !is_closed
        });
    }

    fn advance(
        &mut self,
        state: ConnectionState,
        socket: &mut smoltcp::socket::tcp::Socket<'static>,
        busy_slots: &mut usize,
        target: &str,
    ) -> ConnectionState {
        match state {
            ConnectionState::Reading(mut input) => {
                read_into(socket, &mut input);
                let Some(line) = take_line(&mut input) else {
                    if !socket.may_recv() {
                        socket.close();
                        return ConnectionState::Closing;
                    }
                    return ConnectionState::Reading(input);
                };
                self.start(&line, input, *busy_slots, target)
            }
            ConnectionState::Queued { id, work_ms, size } => {
                if *busy_slots >= self.options.slots {
                    return ConnectionState::Queued { id, work_ms, size };
                }
                *busy_slots += 1;
                let work = Duration::from_millis(work_ms + self.warm_up_delay_ms());
                ConnectionState::Running { id, until: Instant::now() + work, size }
            }
            ConnectionState::Running { id, until, size } => {
                if Instant::now() < until {
                    return ConnectionState::Running { id, until, size };
                }
                ConnectionState::Sending { bytes: response(id, size), sent: 0 }
            }
            ConnectionState::Sending { bytes, mut sent } => {
                sent += socket.send_slice(&bytes[sent..]).unwrap_or(0);
                if sent == bytes.len() || !socket.may_send() {
                    socket.close();
                    return ConnectionState::Closing;
                }
                ConnectionState::Sending { bytes, sent }
            }
            ConnectionState::Session { mut input, mut output } => {
                read_into(socket, &mut input);
                while let Some(line) = take_line(&mut input) {
                    if let Some(number) = line.strip_prefix("PING ") {
                        output.extend_from_slice(format!("PONG {number}\n").as_bytes());
                    }
                }
                let sent = socket.send_slice(&output).unwrap_or(0);
                output.drain(..sent);
                if !socket.may_recv() {
                    socket.close();
                    return ConnectionState::Closing;
                }
                ConnectionState::Session { input, output }
            }
            ConnectionState::Closing => ConnectionState::Closing,
        }
    }

    fn start(
        &mut self,
        line: &str,
        remaining_input: Vec<u8>,
        busy_slots: usize,
        target: &str,
    ) -> ConnectionState {
        let words: Vec<&str> = line.split(' ').collect();
        match words.as_slice() {
            ["REQ", id, work_ms, size, service] => {
                self.count_misdelivered(service);
                let id = id.parse().unwrap_or(0);
                *self.report.runs.entry(id).or_default() += 1;
                *self.report.requests.entry(target.to_owned()).or_default() += 1;
                if busy_slots >= self.options.slots {
                    self.report.overflows += 1;
                }
                ConnectionState::Queued {
                    id,
                    work_ms: work_ms.parse().unwrap_or(0),
                    size: size.parse().unwrap_or(0),
                }
            }
            ["SES", _, service] => {
                self.count_misdelivered(service);
                ConnectionState::Session { input: remaining_input, output: Vec::new() }
            }
            _ => ConnectionState::Closing,
        }
    }

    fn count_misdelivered(&mut self, service: &str) {
        self.report.misdelivered += u64::from(service != self.options.service);
    }

    fn warm_up_delay_ms(&self) -> u64 {
        const WARM_UP_MS: u64 = 5_000;
        let age_ms = (self.started.elapsed().as_millis() as u64).min(WARM_UP_MS);
        self.options.cold_ms * (WARM_UP_MS - age_ms) / WARM_UP_MS
    }
}

/// Moves sockets that left the handshake from the listening sockets to the connections, and refills
/// the backlog.
fn accept(target: &mut Target) {
    let ports: Vec<u16> = target.listening.keys().copied().collect();
    for port in ports {
        let Some(handles) = target.listening.get_mut(&port) else { continue };
        let stack = &mut target.stack;
        let mut accepted = Vec::new();
        handles.retain(|handle| {
            let state = stack.socket(*handle).state();
            let is_waiting = matches!(state, State::Listen | State::SynReceived);
            if !is_waiting {
                accepted.push(*handle);
            }
            is_waiting
        });
        let free_sockets =
            handles.iter().filter(|handle| stack.socket(**handle).state() == State::Listen).count();
        for _ in free_sockets..BACKLOG {
            handles.push(stack.listen(port));
        }
        for handle in accepted {
            let state = ConnectionState::Reading(Vec::new());
            target.connections.push(Connection { handle, state });
        }
    }
}

fn response(id: u64, size: usize) -> Vec<u8> {
    let mut bytes = format!("RES {id} {size}\n").into_bytes();
    bytes.extend((0..size).map(|index| body_byte(id, index)));
    bytes
}

/// The byte at `index` of the response body to request `id`.
pub(crate) fn body_byte(id: u64, index: usize) -> u8 {
    (id as usize).wrapping_mul(31).wrapping_add(index.wrapping_mul(7)) as u8
}

/// Appends all received bytes of `socket` to `input`.
pub(crate) fn read_into(socket: &mut smoltcp::socket::tcp::Socket<'static>, input: &mut Vec<u8>) {
    let mut chunk = [0; 4096];
    while let Ok(length) = socket.recv_slice(&mut chunk) {
        if length == 0 {
            return;
        }
        input.extend_from_slice(&chunk[..length]);
    }
}

/// Removes the first whole line from `input` and returns it without its line feed.
pub(crate) fn take_line(input: &mut Vec<u8>) -> Option<String> {
    let end = input.iter().position(|byte| *byte == b'\n')?;
    let line: Vec<u8> = input.drain(..=end).collect();
    Some(String::from_utf8_lossy(&line[..end]).into_owned())
}
