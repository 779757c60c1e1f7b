//! Callers: requests that arrive at random, and sessions that stay open all along.

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
    tcp_host::TcpHost,
    upstream::{body_byte, fabric_side, read_into, take_line},
    wire,
};

/// How long a flow may take to be opened or answered before it counts as broken.
const PATIENCE: Duration = Duration::from_secs(20);

/// The time between two sessions of a listener, in milliseconds.
const SESSION_GAP_MS: u128 = 10;

/// The callers of all services of a tree.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "caller")]
pub struct Options {
    /// address of the fabric
    #[argh(option)]
    fabric: SocketAddr,
    /// the tree of settings
    #[argh(option)]
    tree: PathBuf,
    /// seed of the arrivals
    #[argh(option, default = "1")]
    seed: u64,
    /// how long new requests arrive, in milliseconds
    #[argh(option, default = "10000")]
    run_ms: u64,
    /// requests a second for each request listener
    #[argh(option, default = "40.0")]
    rate: f64,
    /// sessions for each session listener
    #[argh(option, default = "60")]
    sessions: usize,
    /// how long a request takes at the target, in milliseconds
    #[argh(option, default = "20")]
    work_ms: u64,
    /// how many caller addresses there are
    #[argh(option, default = "8")]
    addresses: u8,
}

/// What the callers saw, printed as one JSON line at their end.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct Report {
    /// Requests that were made.
    pub requests: u64,
    /// Requests whose whole answer arrived.
    pub completed: u64,
    /// Requests that were refused before any of their data was sent.
    pub refused: u64,
    /// Flows that broke after they were accepted, or were never answered.
    pub broken_flows: u64,
    /// Answers to something else than was asked.
    pub misdelivered: u64,
    /// Sessions that were opened.
    pub sessions: u64,
    /// Sessions that were refused.
    pub sessions_refused: u64,
    /// The ids of refused requests.
    pub refused_ids: Vec<u64>,
}

#[derive(Debug, Clone)]
struct Class {
    service: String,
    address: IpAddr,
    port: u16,
    kind: Kind,
}

enum Progress {
    Connecting,
    AwaitingAnswer { input: Vec<u8> },
    Pinging { number: u64, input: Vec<u8>, next: Instant, is_waiting: bool },
    Ending,
}

struct Flow {
    id: u64,
    class: usize,
    host: usize,
    handle: SocketHandle,
    progress: Progress,
    since: Instant,
}

struct Process<'a> {
    options: &'a Options,
    classes: Vec<Class>,
    hosts: Vec<TcpHost>,
    flows: Vec<Flow>,
    rng: StdRng,
    report: Report,
    next_id: u64,
    next_port: u16,
    opened_sessions: usize,
}

/// Runs until all requests have ended, then prints the report.
///
/// # Errors
///
/// Fails if the tree cannot be read.
pub fn run(options: &Options) -> Result<()> {
    let tree: Tree = serde_json::from_str(&fs::read_to_string(&options.tree)?)?;
    let socket = UdpSocket::bind((fabric_side(options.fabric), 0)).wrap_err("no socket")?;
    socket.set_read_timeout(Some(Duration::from_millis(1)))?;
    let is_ended = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGTERM, is_ended.clone())?;
    let mut process = Process {
        options,
        classes: classes(&tree),
        hosts: (0..options.addresses)
            .map(|index| {
                let address = IpAddr::V4(Ipv4Addr::new(10, 9, 0, index + 1));
                TcpHost::new(address, options.seed.wrapping_mul(1000) + u64::from(index))
            })
            .collect(),
        flows: Vec::new(),
        rng: StdRng::seed_from_u64(options.seed),
        report: Report::default(),
        next_id: options.seed.wrapping_mul(1_000_000_000),
        next_port: 10_000,
        opened_sessions: 0,
    };
    process.run(&socket, &is_ended);
    println!("{}", serde_json::to_string(&process.report)?);
    Ok(())
}

fn classes(tree: &Tree) -> Vec<Class> {
    let mut classes = Vec::new();
    for (name, service) in &tree.services {
        for listener in service.listeners.values() {
            classes.push(Class {
                service: name.clone(),
                address: listener.address,
                port: listener.port,
                kind: listener_policy(tree, service, listener).kind,
            });
        }
    }
    classes
}

impl Process<'_> {
    fn run(&mut self, socket: &UdpSocket, is_ended: &AtomicBool) {
        let started = Instant::now();
        let run = Duration::from_millis(self.options.run_ms);
        let mut arrivals: Vec<Instant> = vec![started; self.classes.len()];
        let mut registered: Option<Instant> = None;
        let mut buffer = vec![0; 65_535];
        loop {
            if registered.is_none_or(|at| at.elapsed() > Duration::from_millis(500)) {
                registered = Some(Instant::now());
                for host in &self.hosts {
                    wire::register(socket, self.options.fabric, host.address);
                }
            }
            let is_open = started.elapsed() < run && !is_ended.load(Ordering::Relaxed);
            if is_open {
                self.open_sessions(started.elapsed());
                self.open_requests(&mut arrivals);
            }
            self.receive(socket, &mut buffer);
            self.step_flows(is_open);
            self.send(socket);
            if !is_open && self.flows.is_empty() {
                return;
            }
        }
    }

    // Sessions are opened one after the other, as people arrive.
    fn open_sessions(&mut self, elapsed: Duration) {
        let due = self.options.sessions.min((elapsed.as_millis() / SESSION_GAP_MS) as usize);
        while self.opened_sessions < due {
            self.opened_sessions += 1;
            for class in 0..self.classes.len() {
                if self.classes[class].kind == Kind::Session {
                    self.open(class);
                }
            }
        }
    }

    fn open_requests(&mut self, arrivals: &mut [Instant]) {
        let now = Instant::now();
        for (class, arrival) in arrivals.iter_mut().enumerate() {
            if self.classes[class].kind != Kind::Request {
                continue;
            }
            while *arrival <= now {
                self.open(class);
                let uniform: f64 = self.rng.random_range(0.0001..1.0);
                let gap = -uniform.ln() / self.options.rate;
                *arrival += Duration::from_secs_f64(gap);
            }
        }
    }

    fn open(&mut self, class: usize) {
        let host = self.rng.random_range(0..self.hosts.len());
        self.next_port = if self.next_port >= 60_000 { 10_000 } else { self.next_port + 1 };
        self.next_id += 1;
        let target = (self.classes[class].address, self.classes[class].port);
        let handle = self.hosts[host].connect(target, self.next_port);
        match self.classes[class].kind {
            Kind::Request => self.report.requests += 1,
            Kind::Session => self.report.sessions += 1,
        }
        self.flows.push(Flow {
            id: self.next_id,
            class,
            host,
            handle,
            progress: Progress::Connecting,
            since: Instant::now(),
        });
    }

    fn receive(&mut self, socket: &UdpSocket, buffer: &mut [u8]) {
        let mut budget = 256;
        while let Ok((length, _)) = socket.recv_from(buffer) {
            let packet = &buffer[..length];
            let destination = wire::destination(packet);
            let found = self.hosts.iter_mut().find(|host| Some(host.address) == destination);
            if let Some(host) = found {
                host.receive(packet);
            }
            budget -= 1;
            if budget == 0 {
                return;
            }
        }
    }

    fn send(&mut self, socket: &UdpSocket) {
        for host in &mut self.hosts {
            for packet in host.poll() {
                let _ = socket.send_to(&packet, self.options.fabric);
            }
        }
    }

    fn step_flows(&mut self, is_open: bool) {
        let mut flows = std::mem::take(&mut self.flows);
        flows.retain_mut(|flow| {
            let is_kept = self.step(flow, is_open);
            if !is_kept {
                self.hosts[flow.host].remove(flow.handle);
            }
            is_kept
        });
        self.flows.append(&mut flows);
    }

    // Whether the flow goes on.
    fn step(&mut self, flow: &mut Flow, is_open: bool) -> bool {
        let class = self.classes[flow.class].clone();
        let socket = self.hosts[flow.host].socket(flow.handle);
        let state = socket.state();
        match &mut flow.progress {
            Progress::Connecting => match state {
                State::Closed => {
                    self.note_refused(flow.id, class.kind);
                    false
                }
                State::Established | State::CloseWait => {
                    let line = match class.kind {
                        Kind::Request => {
                            let size = self.rng.random_range(100..3_000);
                            let work_ms = self.options.work_ms;
                            format!("REQ {} {work_ms} {size} {}\n", flow.id, class.service)
                        }
                        Kind::Session => format!("SES {} {}\n", flow.id, class.service),
                    };
                    let _ = socket.send_slice(line.as_bytes());
                    flow.since = Instant::now();
                    flow.progress = match class.kind {
                        Kind::Request => Progress::AwaitingAnswer { input: Vec::new() },
                        Kind::Session => Progress::Pinging {
                            number: 0,
                            input: Vec::new(),
                            next: Instant::now(),
                            is_waiting: false,
                        },
                    };
                    true
                }
                _ => self.keep_waiting(flow),
            },
            Progress::AwaitingAnswer { input } => {
                read_into(socket, input);
                let is_over = !socket.may_recv();
                match check_answer(input, flow.id) {
                    Answer::Whole => {
                        self.report.completed += 1;
                        socket.close();
                        flow.progress = Progress::Ending;
                        flow.since = Instant::now();
                        true
                    }
                    Answer::Wrong => {
                        self.report.misdelivered += 1;
                        false
                    }
                    Answer::Partial if is_over => {
                        let address = self.hosts[flow.host].address;
                        eprintln!(
                            "request {} of {address} ended in {state} after {} ms with {} bytes",
                            flow.id,
                            flow.since.elapsed().as_millis(),
                            input.len()
                        );
                        self.report.broken_flows += 1;
                        false
                    }
                    Answer::Partial => self.keep_waiting(flow),
                }
            }
            Progress::Pinging { number, input, next, is_waiting } => {
                if !is_open && !*is_waiting {
                    socket.close();
                    flow.progress = Progress::Ending;
                    flow.since = Instant::now();
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
                    *is_waiting = false;
                    *next = Instant::now() + Duration::from_millis(400);
                }
                if !*is_waiting && Instant::now() >= *next {
                    *number += 1;
                    *is_waiting = true;
                    flow.since = Instant::now();
                    let _ = socket.send_slice(format!("PING {number}\n").as_bytes());
                }
                if *is_waiting && flow.since.elapsed() > PATIENCE {
                    eprintln!("session {} was not answered at message {number}", flow.id);
                    self.report.broken_flows += 1;
                    return false;
                }
                true
            }
            Progress::Ending => {
                state != State::Closed
                    && state != State::TimeWait
                    && flow.since.elapsed() < Duration::from_secs(3)
            }
        }
    }

    fn keep_waiting(&mut self, flow: &Flow) -> bool {
        let is_patient = flow.since.elapsed() < PATIENCE;
        if !is_patient {
            self.report.broken_flows += 1;
            eprintln!("flow {} was not answered in time", flow.id);
        }
        is_patient
    }

    fn note_refused(&mut self, id: u64, kind: Kind) {
        match kind {
            Kind::Request => {
                self.report.refused += 1;
                self.report.refused_ids.push(id);
            }
            Kind::Session => self.report.sessions_refused += 1,
        }
    }
}

enum Answer {
    Partial,
    Whole,
    Wrong,
}

fn check_answer(input: &[u8], id: u64) -> Answer {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else { return Answer::Partial };
    let line = String::from_utf8_lossy(&input[..end]);
    let words: Vec<&str> = line.split(' ').collect();
    let ["RES", answered, size] = words.as_slice() else { return Answer::Wrong };
    if answered.parse() != Ok(id) {
        return Answer::Wrong;
    }
    let body = &input[end + 1..];
    let size: usize = size.parse().unwrap_or(usize::MAX);
    if body.len() < size {
        return Answer::Partial;
    }
    let is_right = body.iter().enumerate().all(|(index, byte)| *byte == body_byte(id, index));
    if body.len() == size && is_right { Answer::Whole } else { Answer::Wrong }
}
