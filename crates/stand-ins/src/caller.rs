//! Callers: they make requests at random times and open sessions that last until the run ends.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket},
    path::PathBuf,
    sync::{Arc, atomic::AtomicBool, atomic::Ordering},
    time::{Duration, Instant},
};

use argh::FromArgs;
use eyre::{Result, WrapErr};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use settings::{Kind, Tree, listener_policy};
use smoltcp::{iface::SocketHandle, socket::tcp::State};

use crate::{
    tcp_stack::TcpStack,
    upstream::{body_byte, fabric_ip, read_into, take_line},
    wire,
};

/// How long a flow may wait for its connection or a response before it counts as broken.
const FLOW_TIMEOUT: Duration = Duration::from_secs(20);

/// The time between the openings of two sessions of a listener, in milliseconds.
const SESSION_INTERVAL_MS: u128 = 10;

/// The callers of all services of a settings tree.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "caller")]
pub struct Options {
    /// address of the fabric
    #[argh(option)]
    fabric: SocketAddr,
    /// the settings tree, a JSON file
    #[argh(option)]
    tree: PathBuf,
    /// seed of arrival times, caller addresses and response sizes
    #[argh(option, default = "1")]
    seed: u64,
    /// how long new requests arrive, in milliseconds
    #[argh(option, default = "10000")]
    run_ms: u64,
    /// requests per second to each request listener
    #[argh(option, default = "40.0")]
    rate: f64,
    /// number of sessions to each session listener
    #[argh(option, default = "60")]
    sessions: usize,
    /// how long a target works on a request, in milliseconds
    #[argh(option, default = "20")]
    work_ms: u64,
    /// number of caller addresses
    #[argh(option, default = "8")]
    addresses: u8,
}

/// What the callers observed, printed as one JSON line when they exit.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct Report {
    /// Requests that were made.
    pub requests: u64,
    /// Requests whose whole response arrived.
    pub completed: u64,
    /// Requests that were refused before any of their data was sent.
    pub refused: u64,
    /// Flows that broke after they were accepted, or that never got a response.
    pub broken_flows: u64,
    /// Responses that don't match the request.
    pub misdelivered: u64,
    /// Sessions that were opened.
    pub sessions: u64,
    /// Sessions that were refused.
    pub sessions_refused: u64,
    /// The ids of refused requests.
    pub refused_ids: Vec<u64>,
}

/// A listener that callers connect to.
#[derive(Debug, Clone)]
struct Endpoint {
    service: String,
    address: IpAddr,
    port: u16,
    kind: Kind,
}

enum Progress {
    Connecting,
    AwaitingResponse { input: Vec<u8> },
    Pinging { number: u64, input: Vec<u8>, next_ping_at: Instant, awaits_pong: bool },
    Closing,
}

struct Flow {
    id: u64,
    /// Index into [`CallerProcess::endpoints`].
    endpoint: usize,
    /// Index into [`CallerProcess::stacks`].
    stack: usize,
    handle: SocketHandle,
    progress: Progress,
    last_progress: Instant,
}

struct CallerProcess<'a> {
    options: &'a Options,
    endpoints: Vec<Endpoint>,
    stacks: Vec<TcpStack>,
    flows: Vec<Flow>,
    rng: StdRng,
    report: Report,
    next_id: u64,
    next_port: u16,
    opened_sessions: usize,
}

/// Runs until no more flows are opened and all have ended, then prints the report.
///
/// # Errors
///
/// Fails if the settings tree cannot be read or the socket cannot be bound.
pub fn run(options: &Options) -> Result<()> {
    let tree: Tree = serde_json::from_str(&fs::read_to_string(&options.tree)?)?;
    let socket =
        UdpSocket::bind((fabric_ip(options.fabric), 0)).wrap_err("cannot bind a UDP socket")?;
    socket.set_read_timeout(Some(Duration::from_millis(1)))?;
    let is_terminated = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGTERM, is_terminated.clone())?;
    let mut process = CallerProcess {
        options,
        endpoints: endpoints(&tree),
        stacks: (0..options.addresses)
            .map(|index| {
                let address = IpAddr::V4(Ipv4Addr::new(10, 9, 0, index + 1));
                TcpStack::new(address, options.seed.wrapping_mul(1000) + u64::from(index))
            })
            .collect(),
        flows: Vec::new(),
        rng: StdRng::seed_from_u64(options.seed),
        report: Report::default(),
        // Callers with different seeds use different request ids.
        next_id: options.seed.wrapping_mul(1_000_000_000),
        next_port: 10_000,
        opened_sessions: 0,
    };
    process.run(&socket, &is_terminated);
    println!("{}", serde_json::to_string(&process.report)?);
    Ok(())
}

fn endpoints(tree: &Tree) -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for (name, service) in &tree.services {
        for listener in service.listeners.values() {
            endpoints.push(Endpoint {
                service: name.clone(),
                address: listener.address,
                port: listener.port,
                kind: listener_policy(tree, service, listener).kind,
            });
        }
    }
    endpoints
}

impl CallerProcess<'_> {
    fn run(&mut self, socket: &UdpSocket, is_terminated: &AtomicBool) {
        let started = Instant::now();
        let run = Duration::from_millis(self.options.run_ms);
        let mut next_arrivals: Vec<Instant> = vec![started; self.endpoints.len()];
        let mut registered_at: Option<Instant> = None;
        let mut buffer = vec![0; 65_535];
        loop {
            if registered_at.is_none_or(|at| at.elapsed() > Duration::from_millis(500)) {
                registered_at = Some(Instant::now());
                for stack in &self.stacks {
                    wire::register(socket, self.options.fabric, stack.address);
                }
            }
            let is_running = started.elapsed() < run && !is_terminated.load(Ordering::Relaxed);
            if is_running {
                self.open_sessions(started.elapsed());
                self.open_requests(&mut next_arrivals);
            }
            self.receive(socket, &mut buffer);
            self.advance_flows(is_running);
            self.send(socket);
            if !is_running && self.flows.is_empty() {
                return;
            }
        }
    }

    // Opens sessions at regular intervals rather than all at once.
    fn open_sessions(&mut self, elapsed: Duration) {
        let due = self.options.sessions.min((elapsed.as_millis() / SESSION_INTERVAL_MS) as usize);
        while self.opened_sessions < due {
            self.opened_sessions += 1;
            for endpoint in 0..self.endpoints.len() {
                if self.endpoints[endpoint].kind == Kind::Session {
                    self.open(endpoint);
                }
            }
        }
    }

    fn open_requests(&mut self, next_arrivals: &mut [Instant]) {
        let now = Instant::now();
        for (endpoint, next_arrival) in next_arrivals.iter_mut().enumerate() {
            if self.endpoints[endpoint].kind != Kind::Request {
                continue;
            }
            while *next_arrival <= now {
                self.open(endpoint);
                let uniform: f64 = self.rng.random_range(0.0001..1.0);
                let gap = -uniform.ln() / self.options.rate;
                *next_arrival += Duration::from_secs_f64(gap);
            }
        }
    }

    fn open(&mut self, endpoint: usize) {
        let stack = self.rng.random_range(0..self.stacks.len());
        self.next_port = if self.next_port >= 60_000 { 10_000 } else { self.next_port + 1 };
        self.next_id += 1;
        let remote = (self.endpoints[endpoint].address, self.endpoints[endpoint].port);
        let handle = self.stacks[stack].connect(remote, self.next_port);
        match self.endpoints[endpoint].kind {
            Kind::Request => self.report.requests += 1,
            Kind::Session => self.report.sessions += 1,
        }
        self.flows.push(Flow {
            id: self.next_id,
            endpoint,
            stack,
            handle,
            progress: Progress::Connecting,
            last_progress: Instant::now(),
        });
    }

    fn receive(&mut self, socket: &UdpSocket, buffer: &mut [u8]) {
        // Each read waits for up to the read timeout. The limit makes sure that flows advance also
        // while packets keep arriving.
        let mut remaining = 256;
        while let Ok((length, _)) = socket.recv_from(buffer) {
            let packet = &buffer[..length];
            let destination = wire::destination(packet);
            let found = self.stacks.iter_mut().find(|stack| Some(stack.address) == destination);
            if let Some(stack) = found {
                stack.receive(packet);
            }
            remaining -= 1;
            if remaining == 0 {
                return;
            }
        }
    }

    fn send(&mut self, socket: &UdpSocket) {
        for stack in &mut self.stacks {
            for packet in stack.poll() {
                let _ = socket.send_to(&packet, self.options.fabric);
            }
        }
    }

    fn advance_flows(&mut self, is_running: bool) {
        let mut flows = std::mem::take(&mut self.flows);
        flows.retain_mut(|flow| {
            let is_kept = self.advance(flow, is_running);
            if !is_kept {
                self.stacks[flow.stack].remove(flow.handle);
            }
            is_kept
        });
        self.flows.append(&mut flows);
    }

    // Advances the flow; returns whether it stays open.
    fn advance(&mut self, flow: &mut Flow, is_running: bool) -> bool {
        let endpoint = self.endpoints[flow.endpoint].clone();
        let socket = self.stacks[flow.stack].socket(flow.handle);
        let state = socket.state();
        match &mut flow.progress {
            Progress::Connecting => match state {
                State::Closed => {
                    self.record_refusal(flow.id, endpoint.kind);
                    false
                }
                State::Established | State::CloseWait => {
                    let line = match endpoint.kind {
                        Kind::Request => {
                            let size = self.rng.random_range(100..3_000);
                            let work_ms = self.options.work_ms;
                            format!("REQ {} {work_ms} {size} {}\n", flow.id, endpoint.service)
                        }
                        Kind::Session => format!("SES {} {}\n", flow.id, endpoint.service),
                    };
                    let _ = socket.send_slice(line.as_bytes());
                    flow.last_progress = Instant::now();
                    flow.progress = match endpoint.kind {
                        Kind::Request => Progress::AwaitingResponse { input: Vec::new() },
                        Kind::Session => Progress::Pinging {
                            number: 0,
                            input: Vec::new(),
                            next_ping_at: Instant::now(),
                            awaits_pong: false,
                        },
                    };
                    true
                }
                _ => self.continue_or_time_out(flow),
            },
            Progress::AwaitingResponse { input } => {
                read_into(socket, input);
                let is_over = !socket.may_recv();
                match check_response(input, flow.id) {
                    Response::Complete => {
                        self.report.completed += 1;
                        socket.close();
                        flow.progress = Progress::Closing;
                        flow.last_progress = Instant::now();
                        true
                    }
                    Response::Wrong => {
                        self.report.misdelivered += 1;
                        false
                    }
                    Response::Partial if is_over => {
                        let address = self.stacks[flow.stack].address;
                        eprintln!(
                            "request {} of {address} ended in {state} after {} ms with {} bytes",
                            flow.id,
                            flow.last_progress.elapsed().as_millis(),
                            input.len()
                        );
                        self.report.broken_flows += 1;
                        false
                    }
                    Response::Partial => self.continue_or_time_out(flow),
                }
            }
            Progress::Pinging { number, input, next_ping_at, awaits_pong } => {
                if !is_running && !*awaits_pong {
                    socket.close();
                    flow.progress = Progress::Closing;
                    flow.last_progress = Instant::now();
                    return true;
                }
                if !socket.may_recv() || !socket.may_send() {
                    eprintln!("session {} ended in {state} at message {number}", flow.id);
                    self.report.broken_flows += 1;
                    return false;
                }
                read_into(socket, input);
                if let Some(line) = take_line(input) {
                    if line != format!("PONG {number}") {
                        self.report.misdelivered += 1;
                        return false;
                    }
                    *awaits_pong = false;
                    *next_ping_at = Instant::now() + Duration::from_millis(400);
                }
                if !*awaits_pong && Instant::now() >= *next_ping_at {
                    *number += 1;
                    *awaits_pong = true;
                    flow.last_progress = Instant::now();
                    let _ = socket.send_slice(format!("PING {number}\n").as_bytes());
                }
                if *awaits_pong && flow.last_progress.elapsed() > FLOW_TIMEOUT {
                    eprintln!("session {} got no response to message {number}", flow.id);
                    self.report.broken_flows += 1;
                    return false;
                }
                true
            }
            // The outcome is already counted, so a flow that does not close in time is dropped.
            Progress::Closing => {
                state != State::Closed
                    && state != State::TimeWait
                    && flow.last_progress.elapsed() < Duration::from_secs(3)
            }
        }
    }

    fn continue_or_time_out(&mut self, flow: &Flow) -> bool {
        let is_in_time = flow.last_progress.elapsed() < FLOW_TIMEOUT;
        if !is_in_time {
            self.report.broken_flows += 1;
            eprintln!("flow {} got no response in time", flow.id);
        }
        is_in_time
    }

    fn record_refusal(&mut self, id: u64, kind: Kind) {
        match kind {
            Kind::Request => {
                self.report.refused += 1;
                self.report.refused_ids.push(id);
            }
            Kind::Session => self.report.sessions_refused += 1,
        }
    }
}

enum Response {
    Partial,
    Complete,
    Wrong,
}

fn check_response(input: &[u8], id: u64) -> Response {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else { return Response::Partial };
    let line = String::from_utf8_lossy(&input[..end]);
    let words: Vec<&str> = line.split(' ').collect();
    let ["RES", response_id, size] = words.as_slice() else { return Response::Wrong };
    if response_id.parse() != Ok(id) {
        return Response::Wrong;
    }
    let body = &input[end + 1..];
    let size: usize = size.parse().unwrap_or(usize::MAX);
    if body.len() < size {
        return Response::Partial;
    }
    let is_right = body.iter().enumerate().all(|(index, byte)| *byte == body_byte(id, index));
    if body.len() == size && is_right { Response::Complete } else { Response::Wrong }
}
