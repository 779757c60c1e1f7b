//! Stand-ins of the platform on loopback for the scripts of this review: its store, routers, callers
//! and targets, and the real host processes among them.
//!
//! It uses the standard library only, and is built by `review/build.sh`. The callers, the targets and
//! the store follow `../given/kit/more/system/PROTOCOL.md`; nothing is taken from the code under review.

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

#[path = "cases.rs"]
mod cases;

pub const SYN: u8 = 64;
pub const ACK: u8 = 128;
pub const FIN: u8 = 8;
pub const RST: u8 = 2;
const HEADER_BYTES: usize = 36;

// ---------------------------------------------------------------------------------------------
// The record of a run.

/// Everything that callers, targets and the platform saw, in the order in which they saw it.
pub struct Recorder {
    started: Instant,
    lines: Mutex<Vec<String>>,
    ended: AtomicBool,
    broken: Mutex<Vec<String>>,
}

impl Recorder {
    fn new() -> Arc<Recorder> {
        Arc::new(Recorder {
            started: Instant::now(),
            lines: Mutex::default(),
            ended: AtomicBool::new(false),
            broken: Mutex::default(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}", self.now_ms(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Notes an observation that breaks the rule of the case.
    pub fn broken(&self, text: impl AsRef<str>) {
        self.note(format!("BROKEN {}", text.as_ref()));
        self.broken.lock().unwrap().push(text.as_ref().to_owned());
    }

    pub fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A small generator of pseudo-random numbers (SplitMix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.mixed()
    }

    fn mixed(&self) -> u64 {
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }
}

/// The hash by which the code under review derives tags and the order of hosts (`routing::mix`).
pub fn mix(key: u64, seed: u64) -> u64 {
    Random(key ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)).mixed()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------------------------------------
// Packets.

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub source: SocketAddrV4,
    pub destination: SocketAddrV4,
    pub data: Vec<u8>,
    /// Whether it carries the sum of a caller or a target; a reset of a host has the sum 0.
    pub is_summed: bool,
}

impl Packet {
    fn sum(&self) -> u32 {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ 0x7365_6372_6574;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
            }
        };
        add(&self.seq.to_be_bytes());
        add(&self.ack.to_be_bytes());
        add(&[self.flags]);
        add(&self.source.ip().octets());
        add(&self.source.port().to_be_bytes());
        add(&self.destination.port().to_be_bytes());
        add(&self.destination.ip().octets());
        add(&self.data);
        ((hash ^ (hash >> 32)) as u32).max(1)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEADER_BYTES + self.data.len());
        out.extend(self.echo.to_be_bytes());
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.push(self.flags);
        out.extend([0; 5]);
        out.extend(self.source.ip().octets());
        out.extend(self.source.port().to_be_bytes());
        out.extend(self.destination.port().to_be_bytes());
        out.extend(self.destination.ip().octets());
        out.extend(self.sum().to_be_bytes());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(&self.data);
        out
    }

    /// Decodes a packet; `None` if its sender didn't write it so.
    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        let head = bytes.get(..HEADER_BYTES)?;
        let word = |at: usize| u32::from_be_bytes(head[at..at + 4].try_into().unwrap());
        let port = |at: usize| u16::from_be_bytes(head[at..at + 2].try_into().unwrap());
        let sum = word(30);
        let packet = Packet {
            echo: word(0),
            seq: word(4),
            ack: word(8),
            flags: head[12],
            source: SocketAddrV4::new(Ipv4Addr::from(word(18)), port(22)),
            destination: SocketAddrV4::new(Ipv4Addr::from(word(26)), port(24)),
            data: bytes[HEADER_BYTES..].to_vec(),
            is_summed: sum != 0,
        };
        let is_reset_of_host = sum == 0 && packet.flags == RST && packet.data.is_empty();
        let is_sound =
            usize::from(port(34)) == packet.data.len() && (is_reset_of_host || sum == packet.sum());
        is_sound.then_some(packet)
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store.

#[derive(Clone)]
struct StoredItem {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, StoredItem>,
    changes: Vec<(u64, String, Option<StoredItem>)>,
}

/// The machines that the store turns away with 503, in the order in which they first called.
#[derive(Default)]
pub struct TurnedAway {
    /// How many machines it turns away; it serves every other one.
    pub most: usize,
    pub machines: Vec<Ipv4Addr>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Contents>, Condvar)>,
    pub turned_away: Arc<Mutex<TurnedAway>>,
    recorder: Arc<Recorder>,
}

impl Store {
    /// Starts the store. `entrances` are addresses of the same store, one for each machine, by which it
    /// tells the machines apart: on loopback they would all call from the same address.
    fn start(entrances: &[(SocketAddrV4, Ipv4Addr)], recorder: &Arc<Recorder>) -> Store {
        let shared = Arc::new((Mutex::new(Contents::default()), Condvar::new()));
        shared.0.lock().unwrap().revision = 100;
        let store = Store { shared, turned_away: Arc::default(), recorder: recorder.clone() };
        for (address, machine) in entrances {
            let listener = TcpListener::bind(address).expect("the store's address");
            let (server, machine) = (store.clone(), *machine);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let server = server.clone();
                    thread::spawn(move || server.serve(stream, machine));
                }
            });
        }
        store
    }

    /// Turns away the first `most` machines that call from now on; 0 serves all again.
    pub fn turn_away(&self, most: usize) {
        let mut turned_away = self.turned_away.lock().unwrap();
        turned_away.most = most;
        turned_away.machines.clear();
        self.shared.1.notify_all();
    }

    /// Whether the store turns away a call of `machine`.
    fn turns_away(&self, machine: Ipv4Addr) -> bool {
        let mut turned_away = self.turned_away.lock().unwrap();
        if turned_away.machines.contains(&machine) {
            return true;
        }
        if turned_away.machines.len() >= turned_away.most {
            return false;
        }
        turned_away.machines.push(machine);
        self.recorder.note(format!("store: turns away {machine} from now on"));
        true
    }

    /// Writes a key; the answer is the acknowledgement.
    pub fn write(&self, key: &str, value: &str) -> u64 {
        let (lock, changed) = &*self.shared;
        let mut contents = lock.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        let created = contents.items.get(key).map_or(revision, |item| item.created);
        let item = StoredItem { value: value.as_bytes().to_vec(), revision, created };
        contents.items.insert(key.to_owned(), item.clone());
        contents.changes.push((revision, key.to_owned(), Some(item)));
        changed.notify_all();
        drop(contents);
        let shown: String = value.chars().take(400).collect();
        self.recorder.note(format!("store: {key} written at revision {revision}: {shown}"));
        revision
    }

    /// The value of a key.
    pub fn read(&self, key: &str) -> Option<String> {
        let contents = self.shared.0.lock().unwrap();
        let item = contents.items.get(key)?;
        Some(String::from_utf8_lossy(&item.value).into_owned())
    }

    fn serve(&self, mut stream: TcpStream, machine: Ipv4Addr) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        loop {
            let Some(head) = read_head(&mut stream, &mut buffer) else { return };
            let target = head.split(' ').nth(1).unwrap_or("").to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let parameter = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|pair| pair.0 == name).map(|pair| unescape(pair.1))
            };
            let prefix = parameter("prefix").unwrap_or_default();
            // The store answers in 4 ms.
            sleep_ms(4);
            let (status, body) = match path {
                _ if self.turns_away(machine) => (503, "{}".to_owned()),
                "/api/kv-range" => (200, self.range(&prefix, parameter("after").as_deref())),
                "/api/kv-watch" => {
                    let number =
                        |name| parameter(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                    self.watch(&prefix, number("after"), number("wait-ms"), machine)
                }
                _ => (404, "{}".to_owned()),
            };
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> String {
        let contents = self.shared.0.lock().unwrap();
        let mut found: Vec<String> = contents
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
            .map(|(key, item)| item_json(key, item))
            .collect();
        let is_truncated = found.len() > 500;
        found.truncate(500);
        format!(
            "{{\"items\":[{}],\"truncated\":{is_truncated},\"store-revision\":{}}}",
            found.join(","),
            contents.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64, machine: Ipv4Addr) -> (u16, String) {
        let (lock, changed) = &*self.shared;
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut contents = lock.lock().unwrap();
        loop {
            // A watch that waits is cut when the store begins to turn its machine away.
            if self.turns_away(machine) {
                return (503, "{}".to_owned());
            }
            let events: Vec<String> = contents
                .changes
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"store-revision\":{}}}",
                    events.join(","),
                    contents.revision
                );
                return (200, body);
            }
            contents = changed.wait_timeout(contents, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &StoredItem) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create-rev\":{},\"lease\":0}}",
        base64(&item.value),
        item.revision,
        item.created
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .enumerate()
            .fold(0_u32, |word, (index, byte)| word | u32::from(*byte) << (16 - 8 * index));
        for digit in 0..4 {
            if digit <= chunk.len() {
                out.push(DIGITS[(word >> (18 - 6 * digit)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits: Vec<u8> = bytes.by_ref().take(2).collect();
        let text = String::from_utf8_lossy(&digits).into_owned();
        out.push(u8::from_str_radix(&text, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a request up to the end of its head; requests to the store have no body here.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Some(head);
        }
        let mut part = [0; 4_096];
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(length) => buffer.extend(&part[..length]),
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Targets.

struct TargetFlow {
    own_seq: u32,
    is_open: bool,
    next_seq: u32,
    last_answer: Option<Packet>,
}

/// An opening that a target took: the SYN to which it gave its first SYN+ACK.
#[derive(Debug, Clone)]
pub struct Taken {
    pub at_ms: u64,
    pub target: u64,
    pub listener: SocketAddrV4,
    pub caller: SocketAddrV4,
    pub host: SocketAddr,
}

pub struct Target {
    pub id: u64,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub born: u64,
    sequence: AtomicU64,
    pub taken: Mutex<Vec<Taken>>,
    /// Requests that this target has run.
    pub runs: AtomicU64,
}

impl Target {
    pub fn key(&self) -> String {
        format!("servers/i-{:08x}", self.id)
    }

    /// The target's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":3,\
             \"state\":\"{state}\",\"warmup-left-ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    fn start(target: Target, caller_port: u16, recorder: &Arc<Recorder>) -> Arc<Target> {
        let target = Arc::new(target);
        let socket = UdpSocket::bind(target.address).expect("the target's UDP address");
        socket.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        let health = TcpListener::bind(target.address).expect("the target's TCP address");
        thread::spawn(move || {
            // Answers health checks; a connection that sends nothing is only accepted.
            for mut stream in health.incoming().flatten() {
                thread::spawn(move || {
                    let mut buffer = Vec::new();
                    while read_head(&mut stream, &mut buffer).is_some() {
                        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                        if stream.write_all(answer).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let (worker, recorder) = (target.clone(), recorder.clone());
        thread::spawn(move || worker.run(&socket, caller_port, &recorder));
        target
    }

    fn run(&self, socket: &UdpSocket, caller_port: u16, recorder: &Recorder) {
        let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), TargetFlow> = HashMap::new();
        let mut random = Random(self.id);
        let mut buffer = [0; 4_096];
        while !recorder.is_ended() {
            let Ok((length, from)) = socket.recv_from(&mut buffer) else { continue };
            let Some((id, packet)) = buffer[..length].split_at_checked(8) else { continue };
            let id = u64::from_be_bytes(id.try_into().unwrap());
            if id != 0 && id != self.id {
                continue;
            }
            let Some(packet) = Packet::decode(packet) else {
                recorder.note(format!("target {:x}: a packet that nobody wrote so", self.id));
                continue;
            };
            if let Some(answer) = self.handle(&packet, from, &mut flows, &mut random, recorder) {
                let to = SocketAddrV4::new(*answer.destination.ip(), caller_port);
                let _ = socket.send_to(&answer.encode(), to);
            }
        }
    }

    fn handle(
        &self,
        packet: &Packet,
        host: SocketAddr,
        flows: &mut HashMap<(SocketAddrV4, SocketAddrV4), TargetFlow>,
        random: &mut Random,
        recorder: &Recorder,
    ) -> Option<Packet> {
        let key = (packet.source, packet.destination);
        let reply = |flags: u8, seq: u32, ack: u32, data: Vec<u8>| Packet {
            echo: packet.echo,
            seq,
            ack,
            flags,
            source: packet.destination,
            destination: packet.source,
            data,
            is_summed: true,
        };
        if packet.flags & SYN != 0 {
            let flow = flows.entry(key).or_insert_with(|| {
                self.taken.lock().unwrap().push(Taken {
                    at_ms: recorder.now_ms(),
                    target: self.id,
                    listener: packet.destination,
                    caller: packet.source,
                    host,
                });
                TargetFlow {
                    own_seq: random.next() as u32,
                    is_open: false,
                    next_seq: packet.seq.wrapping_add(1),
                    last_answer: None,
                }
            });
            let own_seq = if flow.is_open { flow.own_seq.wrapping_sub(1) } else { flow.own_seq };
            return Some(reply(SYN | ACK, own_seq, packet.seq.wrapping_add(1), Vec::new()));
        }
        let Some(flow) = flows.get_mut(&key) else {
            let ack = packet.seq.wrapping_add(packet.data.len() as u32);
            return (packet.flags & RST == 0).then(|| reply(RST, packet.ack, ack, Vec::new()));
        };
        if packet.flags & RST != 0 {
            flows.remove(&key);
            return None;
        }
        if !flow.is_open {
            if packet.ack != flow.own_seq.wrapping_add(1) {
                // It acknowledges the SYN+ACK of another target: the flow is not open here.
                return None;
            }
            flow.is_open = true;
            flow.own_seq = flow.own_seq.wrapping_add(1);
        }
        if packet.flags & FIN != 0 {
            let (seq, ack) = (flow.own_seq, packet.seq.wrapping_add(1));
            flows.remove(&key);
            return Some(reply(ACK | FIN, seq, ack, Vec::new()));
        }
        if packet.data.is_empty() {
            return None;
        }
        if packet.seq != flow.next_seq {
            return flow.last_answer.clone().map(|answer| Packet { echo: packet.echo, ..answer });
        }
        let text = String::from_utf8_lossy(&packet.data);
        let attempt = text
            .lines()
            .find_map(|line| line.strip_prefix("X-Wagtailstall-Attempt-Id: "))
            .unwrap_or("none")
            .to_owned();
        self.runs.fetch_add(1, Ordering::Relaxed);
        recorder.note(format!("target {:x}: runs {attempt} of {}", self.id, packet.source));
        sleep_ms(3);
        let body = format!("{attempt} run by {:x}", self.id);
        let data = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let ack = packet.seq.wrapping_add(packet.data.len() as u32);
        let answer = reply(ACK, flow.own_seq, ack, data.into_bytes());
        flow.next_seq = ack;
        flow.own_seq = flow.own_seq.wrapping_add(answer.data.len() as u32);
        flow.last_answer = Some(answer.clone());
        Some(answer)
    }
}

// ---------------------------------------------------------------------------------------------
// Routers.

struct RouterEntry {
    ip: Ipv4Addr,
    zone: usize,
    misses: u32,
}

/// The routers: they ask each host twice a second whether it is ready.
#[derive(Clone)]
pub struct Router {
    entries: Arc<Mutex<Vec<RouterEntry>>>,
    data_port: u16,
}

impl Router {
    fn start(
        hosts: &[(Ipv4Addr, usize)],
        data_port: u16,
        ready_port: u16,
        recorder: &Arc<Recorder>,
    ) -> Router {
        let entries =
            hosts.iter().map(|(ip, zone)| RouterEntry { ip: *ip, zone: *zone, misses: 2 });
        let router = Router { entries: Arc::new(Mutex::new(entries.collect())), data_port };
        for (index, (ip, _)) in hosts.iter().enumerate() {
            let (router, recorder) = (router.clone(), recorder.clone());
            let address = SocketAddr::from((*ip, ready_port));
            thread::spawn(move || {
                while !recorder.is_ended() {
                    let is_ready = ask_ready(address);
                    {
                        let mut entries = router.entries.lock().unwrap();
                        let entry = &mut entries[index];
                        let was_in = entry.misses < 2;
                        entry.misses = if is_ready { 0 } else { entry.misses.saturating_add(1) };
                        if was_in != (entry.misses < 2) {
                            let word = if was_in { "out of" } else { "in" };
                            recorder.note(format!("router: host {} is {word} rotation", entry.ip));
                        }
                    }
                    sleep_ms(500);
                }
            });
        }
        router
    }

    /// The host for a packet of a client of `zone`: a hash over the hosts in rotation, of which only
    /// the flows of a host move that joins or leaves (`steady`).
    pub fn pick(&self, zone: usize, key: (SocketAddrV4, SocketAddrV4)) -> SocketAddrV4 {
        let entries = self.entries.lock().unwrap();
        let of = |zone: usize| entries.iter().filter(move |entry| entry.zone == zone);
        let in_rotation = |zone: usize| of(zone).filter(|entry| entry.misses < 2).count();
        let zones = entries.iter().map(|entry| entry.zone).max().unwrap_or(0) + 1;
        let mut chosen = zone;
        if in_rotation(zone) == 0 {
            chosen = (0..zones).find(|zone| in_rotation(*zone) > 0).unwrap_or(zone);
        }
        let uses_all = in_rotation(chosen) * 2 < of(chosen).count();
        let best = of(chosen).filter(|entry| uses_all || entry.misses < 2).max_by_key(|entry| {
            let mut random = Random(
                u64::from(u32::from(*key.0.ip())) << 32
                    ^ u64::from(key.0.port()) << 16
                    ^ u64::from(key.1.port())
                    ^ u64::from(u32::from(*key.1.ip())) << 24,
            );
            Random(random.next() ^ u64::from(u32::from(entry.ip))).next()
        });
        SocketAddrV4::new(best.map_or(Ipv4Addr::LOCALHOST, |entry| entry.ip), self.data_port)
    }

    pub fn ready_count(&self) -> usize {
        self.entries.lock().unwrap().iter().filter(|entry| entry.misses == 0).count()
    }
}

fn ask_ready(address: SocketAddr) -> bool {
    let timeout = Duration::from_millis(500);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else { return false };
    let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    let mut head = [0; 12];
    stream.set_read_timeout(Some(timeout)).is_ok()
        && stream.write_all(request.as_bytes()).is_ok()
        && stream.read_exact(&mut head).is_ok()
        && &head[9..] == b"200"
}

// ---------------------------------------------------------------------------------------------
// Callers.

/// How a flow or an attempt to open one ended, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    NotOpened,
    ResetByHost,
    ResetByTarget,
    NoAnswer,
    Closed,
}

pub struct Caller {
    pub zone: usize,
    pub socket: UdpSocket,
    pub ip: Ipv4Addr,
    pub router: Router,
    pub recorder: Arc<Recorder>,
    pub counts: Arc<Counts>,
    /// The time limit of a request.
    pub limit_ms: u64,
    next_port: u16,
    random: Random,
}

#[derive(Default)]
pub struct Counts {
    pub answered: AtomicU64,
    pub not_opened: AtomicU64,
    pub unanswered: AtomicU64,
    pub reset_by_host: AtomicU64,
    pub reset_by_target: AtomicU64,
}

impl Counts {
    pub fn text(&self) -> String {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        format!(
            "answered {}, not opened {}, unanswered {}, reset by a host {}, reset by a target {}",
            read(&self.answered),
            read(&self.not_opened),
            read(&self.unanswered),
            read(&self.reset_by_host),
            read(&self.reset_by_target)
        )
    }
}

#[derive(Debug, Clone)]
pub struct CallerFlow {
    pub source: SocketAddrV4,
    pub listener: SocketAddrV4,
    pub echo: u32,
    pub seq: u32,
    pub ack: u32,
    pub opened_at_ms: u64,
    /// The target that answered last on it.
    pub target: Option<String>,
}

impl Caller {
    /// Opens a flow: a SYN, and copies after 200 ms and 600 ms; given up after 1.4 s.
    pub fn open(&mut self, listener: SocketAddrV4) -> Result<CallerFlow, End> {
        self.next_port = self.next_port.checked_add(1).unwrap_or(1_025).max(1_025);
        let source = SocketAddrV4::new(self.ip, self.next_port);
        let seq = self.random.next() as u32;
        let started = Instant::now();
        for (copy, until_ms) in [200, 600, 1_400].into_iter().enumerate() {
            let flow = CallerFlow {
                source,
                listener,
                echo: 0,
                seq,
                ack: copy as u32,
                opened_at_ms: 0,
                target: None,
            };
            self.send(&flow, SYN, Vec::new());
            let deadline = started + Duration::from_millis(until_ms);
            while let Some(packet) = self.receive(&flow, deadline) {
                if packet.flags & RST != 0 {
                    return Err(if packet.is_summed {
                        End::ResetByTarget
                    } else {
                        End::ResetByHost
                    });
                }
                if packet.flags & (SYN | ACK) == SYN | ACK && packet.ack == seq.wrapping_add(1) {
                    let flow = CallerFlow {
                        echo: packet.echo,
                        seq: seq.wrapping_add(1),
                        ack: packet.seq.wrapping_add(1),
                        opened_at_ms: self.recorder.now_ms(),
                        ..flow
                    };
                    self.send(&flow, ACK, Vec::new());
                    return Ok(flow);
                }
            }
        }
        Err(End::NotOpened)
    }

    /// Sends a request and waits `limit_ms` for its answer; data is sent again after 200 ms, 400 ms and
    /// so on.
    pub fn request(&mut self, flow: &mut CallerFlow, limit_ms: u64) -> Result<(), End> {
        let attempt = self.random.next();
        let data = format!(
            "GET /board HTTP/1.1\r\nHost: x\r\nX-Wagtailstall-Attempt-Id: {attempt:016x}\r\n\r\n"
        )
        .into_bytes();
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        let mut pause_ms = 200;
        let mut again_at = Instant::now() + Duration::from_millis(pause_ms);
        self.recorder.note(format!("caller {}: sends {attempt:016x}", flow.source));
        self.send(flow, ACK, data.clone());
        while Instant::now() < deadline {
            let Some(packet) = self.receive(flow, again_at.min(deadline)) else {
                pause_ms = (pause_ms * 2).min(1_600);
                again_at += Duration::from_millis(pause_ms);
                if Instant::now() < deadline {
                    self.send(flow, ACK, data.clone());
                }
                continue;
            };
            if let Some(end) = reset_of(flow, &packet) {
                return Err(end);
            }
            if packet.data.is_empty() || packet.seq != flow.ack {
                continue;
            }
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            if !text.contains(&format!("{attempt:016x}")) {
                self.recorder
                    .note(format!("caller {} got an answer of another request", flow.source));
                continue;
            }
            self.recorder.note(format!("caller {}: {attempt:016x} is answered", flow.source));
            flow.target = text.rsplit(' ').next().map(str::to_owned);
            flow.seq = flow.seq.wrapping_add(data.len() as u32);
            flow.ack = packet.seq.wrapping_add(packet.data.len() as u32);
            flow.echo = packet.echo;
            self.send(flow, ACK, Vec::new());
            return Ok(());
        }
        Err(End::NoAnswer)
    }

    /// Waits `wait_ms` on an idle flow; returns how it ended, if it did.
    pub fn idle(&mut self, flow: &CallerFlow, wait_ms: u64) -> Option<End> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        while let Some(packet) = self.receive(flow, deadline) {
            if let Some(end) = reset_of(flow, &packet) {
                return Some(end);
            }
        }
        None
    }

    pub fn close(&mut self, flow: &CallerFlow) {
        self.send(flow, FIN | ACK, Vec::new());
    }

    fn send(&self, flow: &CallerFlow, flags: u8, data: Vec<u8>) {
        let packet = Packet {
            echo: flow.echo,
            seq: flow.seq,
            ack: flow.ack,
            flags,
            source: flow.source,
            destination: flow.listener,
            data,
            is_summed: true,
        };
        let host = self.router.pick(self.zone, (flow.source, flow.listener));
        let _ = self.socket.send_to(&packet.encode(), host);
    }

    fn receive(&self, flow: &CallerFlow, deadline: Instant) -> Option<Packet> {
        let mut buffer = [0; 4_096];
        loop {
            let left = deadline.checked_duration_since(Instant::now())?;
            self.socket.set_read_timeout(Some(left.max(Duration::from_millis(1)))).unwrap();
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else { continue };
            let Some(packet) = Packet::decode(&buffer[..length]) else {
                self.recorder.note(format!("caller {}: a packet that nobody wrote so", self.ip));
                continue;
            };
            if packet.destination == flow.source && packet.source == flow.listener {
                return Some(packet);
            }
        }
    }

    /// Opens flows one after the other and sends `requests` requests on each, with pauses.
    pub fn run(&mut self, listener: SocketAddrV4, requests: u64, pause_ms: u64, on_end: OnEnd) {
        while !self.recorder.is_ended() {
            let counts = self.counts.clone();
            let add = |count: &AtomicU64| {
                count.fetch_add(1, Ordering::Relaxed);
            };
            let mut flow = match self.open(listener) {
                Ok(flow) => flow,
                Err(end) => {
                    add(&counts.not_opened);
                    on_end(None, end, &self.recorder);
                    sleep_ms(50);
                    continue;
                }
            };
            let mut end = End::Closed;
            for _ in 0..requests {
                if self.recorder.is_ended() {
                    break;
                }
                if let Err(error) = self.request(&mut flow, self.limit_ms) {
                    end = error;
                    break;
                }
                add(&counts.answered);
                let pause_ms = pause_ms / 2 + self.random.below(pause_ms.max(1));
                if let Some(error) = self.idle(&flow, pause_ms) {
                    end = error;
                    break;
                }
            }
            match end {
                End::ResetByHost => add(&counts.reset_by_host),
                End::ResetByTarget => add(&counts.reset_by_target),
                End::NoAnswer => add(&counts.unanswered),
                End::Closed | End::NotOpened => self.close(&flow),
            }
            self.recorder.note(format!("caller {}: the flow ends: {end:?}", flow.source));
            on_end(Some(&flow), end, &self.recorder);
        }
    }
}

/// Called with a flow, if it was open, and how it ended.
pub type OnEnd = fn(Option<&CallerFlow>, End, &Recorder);

/// Whether `packet` resets the open `flow`, and who sent it. A reset of a host counts if its number is
/// within 76,800 of the caller's last acknowledgement.
fn reset_of(flow: &CallerFlow, packet: &Packet) -> Option<End> {
    if packet.flags & RST == 0 {
        return None;
    }
    if packet.is_summed {
        return Some(End::ResetByTarget);
    }
    let distance = packet.seq.wrapping_sub(flow.ack) as i32;
    (distance.unsigned_abs() <= 76_800).then_some(End::ResetByHost)
}

// ---------------------------------------------------------------------------------------------
// The deployment.

pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: usize,
    settings: PathBuf,
    pub log: PathBuf,
    pub process: Option<Child>,
}

pub struct Deployment {
    pub recorder: Arc<Recorder>,
    pub store: Store,
    pub router: Router,
    pub hosts: Vec<Host>,
    pub targets: Vec<Arc<Target>>,
    pub counts: Arc<Counts>,
    pub data_port: u16,
    pub target_port: u16,
    folder: PathBuf,
    /// Keeps other runs from using the same block of addresses.
    _block_lock: TcpListener,
    /// Whether the log collector reads nothing.
    pub is_log_reader_stalled: Arc<AtomicBool>,
    run_line: Vec<String>,
    block: u8,
    next_caller: u8,
}

pub const ZONES: [&str; 3] = ["sthlm-a", "sthlm-b", "sthlm-c"];

impl Deployment {
    /// Starts the store and, for each zone, as many hosts as `hosts` says. `prepare` fills the store
    /// and starts targets before the hosts start.
    pub fn start(
        folder: &Path,
        hosts: [usize; 3],
        prepare: impl FnOnce(&mut Deployment),
    ) -> Option<Deployment> {
        let recorder = Recorder::new();
        let (block, block_lock) = take_block()?;
        let store_port = free_port();
        let (data_port, ready_port, control_port) = (free_port(), free_port(), free_port());
        let (peer_port, target_port) = (free_port(), free_port());
        let (run_line, template) = read_deploy_file()?;
        let mut places = Vec::new();
        for (zone, count) in hosts.iter().enumerate() {
            for number in 0..*count {
                places.push((Ipv4Addr::new(127, block, 1 + zone as u8, 10 + number as u8), zone));
            }
        }
        let entrance = |number: usize| {
            SocketAddrV4::new(Ipv4Addr::new(127, block, 200, 10 + number as u8), store_port)
        };
        let entrances: Vec<(SocketAddrV4, Ipv4Addr)> =
            places.iter().enumerate().map(|(number, place)| (entrance(number), place.0)).collect();
        let store = Store::start(&entrances, &recorder);
        let seeds: Vec<String> =
            (0..3).map(|zone| format!("\"127.{block}.{}.10:{control_port}\"", 1 + zone)).collect();
        let mut all = Vec::new();
        for (number, (ip, zone)) in places.iter().enumerate() {
            let store_address = entrance(number);
            let name = format!("front-{}-{}", ZONES[*zone], ip.octets()[3] - 9);
            let text = template
                .replace("{{node-name|json}}", &format!("\"{name}\""))
                .replace("{{listen.datagram-addr|json}}", &format!("\"{ip}:{data_port}\""))
                .replace("{{listen.ready|json}}", &format!("\"{ip}:{ready_port}\""))
                .replace("{{ip}}", &ip.to_string())
                .replace("{{internal-ports.0}}", &peer_port.to_string())
                .replace("{{zone|json}}", &format!("\"{}\"", ZONES[*zone]))
                .replace("{{platform.address|json}}", &format!("\"{store_address}\""))
                .replace("{{seeds|json}}", &format!("[{}]", seeds.join(",")));
            let settings = folder.join(format!("{name}.settings"));
            fs::write(&settings, text).ok()?;
            let log = folder.join(format!("{name}.log"));
            all.push(Host { name, ip: *ip, zone: *zone, settings, log, process: None });
        }
        let router = Router::start(&places, data_port, ready_port, &recorder);
        let mut deployment = Deployment {
            recorder,
            store,
            router,
            hosts: all,
            targets: Vec::new(),
            counts: Arc::default(),
            data_port,
            target_port,
            folder: folder.to_owned(),
            _block_lock: block_lock,
            is_log_reader_stalled: Arc::default(),
            run_line,
            block,
            next_caller: 0,
        };
        prepare(&mut deployment);
        for index in 0..deployment.hosts.len() {
            deployment.start_host(index);
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        while deployment.router.ready_count() < deployment.hosts.len() {
            if Instant::now() > deadline {
                deployment.recorder.note("not all hosts are ready in time");
                deployment.finish();
                return None;
            }
            sleep_ms(50);
        }
        deployment.recorder.note("all hosts are ready");
        Some(deployment)
    }

    /// The address of the route with this number. Nothing listens there: only packets name it.
    pub fn listener(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.block, 250, number), 8_443)
    }

    /// Writes the configuration, as the operator does: routes as (number, service), and services.
    pub fn configure(&self, version: u64, routes: &[(u8, &str)], services: &[&str]) {
        let routes: Vec<(SocketAddrV4, &str)> =
            routes.iter().map(|(number, service)| (self.listener(*number), *service)).collect();
        self.store.write("op/config", &configuration(version, &routes, services));
    }

    /// Starts a target and returns it. It has to be announced.
    pub fn add_target(&mut self, id: u64, service: &str, zone: usize) -> Arc<Target> {
        let number = 10 + self.targets.len() as u8;
        let ip = Ipv4Addr::new(127, self.block, 100, number);
        let target = Target {
            id,
            service: service.to_owned(),
            zone: ZONES[zone].to_owned(),
            address: SocketAddrV4::new(ip, self.target_port),
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            taken: Mutex::default(),
            runs: AtomicU64::new(0),
        };
        let target = Target::start(target, self.data_port, &self.recorder);
        self.targets.push(target.clone());
        target
    }

    pub fn announce(&self, target: &Target, state: &str) {
        self.store.write(&target.key(), &target.entry(state));
    }

    pub fn start_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let log = fs::File::options().create(true).append(true).open(&host.log).unwrap();
        let mut words = self.run_line.iter();
        let program = words.next().unwrap();
        let settings = host.settings.display().to_string();
        let mut child = Command::new(program)
            .args(words.map(|word| word.replace("/etc/wagtailstall/settings.yaml", &settings)))
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("WAGTAILSTALL_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.try_clone().unwrap())
            .spawn()
            .expect("the host's program");
        // For the script, which ends the processes if this program does not.
        let _ = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"))
            .and_then(|mut file| writeln!(file, "{}", child.id()));
        let output = child.stdout.take().unwrap();
        let (is_stalled, recorder) = (self.is_log_reader_stalled.clone(), self.recorder.clone());
        thread::spawn(move || collect_log(output, log, &is_stalled, &recorder));
        self.recorder.note(format!("platform: started {} at {}", host.name, host.ip));
        host.process = Some(child);
    }

    /// Sends SIGTERM to a host.
    pub fn terminate_host(&mut self, index: usize) {
        if let Some(child) = &self.hosts[index].process {
            let _ = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status();
            self.recorder.note(format!("platform: SIGTERM to {}", self.hosts[index].name));
        }
    }

    /// Whether a host's process has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        let process = self.hosts[index].process.as_mut();
        process.is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    pub fn caller(&mut self, zone: usize) -> Caller {
        self.next_caller += 1;
        let ip = Ipv4Addr::new(127, self.block, 150 + zone as u8, self.next_caller);
        let socket = UdpSocket::bind((ip, self.data_port)).expect("the caller's address");
        Caller {
            zone,
            socket,
            ip,
            router: self.router.clone(),
            recorder: self.recorder.clone(),
            counts: self.counts.clone(),
            limit_ms: 2_000,
            next_port: 20_000,
            random: Random(u64::from(u32::from(ip)) ^ unix_ms()),
        }
    }

    /// The openings that targets took, in the order of time.
    pub fn taken(&self) -> Vec<Taken> {
        let mut taken: Vec<Taken> =
            self.targets.iter().flat_map(|target| target.taken.lock().unwrap().clone()).collect();
        taken.sort_by_key(|taken| taken.at_ms);
        taken
    }

    /// Ends all processes.
    pub fn finish(&mut self) {
        self.recorder.end();
        for host in &mut self.hosts {
            if let Some(mut child) = host.process.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_file(self.folder.join("pids"));
    }
}

/// The log collector of the platform: copies what a process writes to its standard output.
fn collect_log(
    mut output: ChildStdout,
    mut log: fs::File,
    is_stalled: &AtomicBool,
    recorder: &Recorder,
) {
    let mut buffer = [0; 4_096];
    loop {
        while is_stalled.load(Ordering::Relaxed) && !recorder.is_ended() {
            sleep_ms(20);
        }
        match output.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) => {
                let _ = log.write_all(&buffer[..length]);
            }
        }
    }
}

/// A block of loopback addresses, 127.BLOCK.0.0/16, that no other run uses.
fn take_block() -> Option<(u8, TcpListener)> {
    let first = std::process::id() % 200;
    (0..200).find_map(|step| {
        let block = 10 + ((first + step) % 200) as u8;
        let lock = TcpListener::bind((Ipv4Addr::new(127, block, 254, 1), 9_100)).ok()?;
        Some((block, lock))
    })
}

fn free_port() -> u16 {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap().local_addr().unwrap().port()
}

/// The words of `run` in the deploy file, and the text of its template.
fn read_deploy_file() -> Option<(Vec<String>, String)> {
    let text = fs::read_to_string("deploy/system.toml").ok()?;
    let value = |name: &str| {
        let start = format!("{name} = \"");
        let line = text.lines().find_map(|line| line.strip_prefix(&start))?;
        Some(line.trim_end_matches('"').to_owned())
    };
    let words = value("run")?.split(' ').map(str::to_owned).collect();
    Some((words, fs::read_to_string(value("template")?).ok()?))
}

/// The value of the configuration's key.
fn configuration(version: u64, routes: &[(SocketAddrV4, &str)], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(number, (address, service))| {
            format!(
                "{{\"name\":\"r-{number}\",\"host\":\"{}\",\"prefix\":\"/{}/\",\
                 \"kind\":\"safe\",\"timeout-ms\":2000,\"aim-ms\":200,\"priority\":2,\
                 \"service\":\"{service}\",\"max-attempts\":2}}",
                address.ip(),
                address.port()
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"{service}\",\"health-path\":\"/health\",\"max-conns\":4500,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = arguments.as_slice() else {
        eprintln!("use: stand_in CASE FOLDER RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    if fs::create_dir_all(&folder).is_err() {
        std::process::exit(2);
    }
    let Some(mut deployment) = cases::run(case, &folder, has_trouble) else {
        eprintln!("the case could not run; logs are in {}", folder.display());
        std::process::exit(2);
    };
    deployment.finish();
    let recorder = deployment.recorder.clone();
    recorder.note(format!("requests: {}", deployment.counts.text()));
    let broken = recorder.broken.lock().unwrap().clone();
    recorder.note(format!("the rule was broken {} times", broken.len()));
    let lines = recorder.lines.lock().unwrap().join("\n");
    if fs::write(record, lines + "\n").is_err() {
        std::process::exit(2);
    }
    println!("{}", deployment.counts.text());
    for text in broken.iter().take(5) {
        println!("broken: {text}");
    }
    println!("broken {} times", broken.len());
    std::process::exit(i32::from(!broken.is_empty()));
}
