//! Hosts whose standard output and standard error are not read, or closed.
//!
//! Failure scenario: the process that collects the logs stands still or ends, and hosts no longer answer,
//! follow the store or stop.

use std::{
    fs,
    io::{ErrorKind, Write},
    net::{Ipv4Addr, SocketAddr},
    os::{fd::OwnedFd, unix::net::UnixStream},
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

/// The time within which a host has to exit on a signal.
const GRACE: Duration = Duration::from_secs(6);

/// A running host.
struct Host {
    process: Child,
    admin: SocketAddr,
}

impl Drop for Host {
    fn drop(&mut self) {
        // An error means that it has ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Host {
    /// Starts a host that logs to `output`. `number` keeps the addresses of the tests apart.
    fn start(affinity: &str, number: u8, output: UnixStream) -> Host {
        let pid = std::process::id();
        let ip = Ipv4Addr::new(127, 100 + number, (pid >> 8) as u8, pid as u8 | 1);
        let address = |port: u16| SocketAddr::from((ip, port));
        let mut settings = json!({
            "host": "host-1",
            "data_address": address(6_080),
            "peer_address": address(7_000),
            "admin_address": address(9_101),
            "failure_domain": "zone-0",
            "peer_key": "000102030405060708090a0b0c0d0e0f",
        });
        let more = match affinity {
            "tagged" => json!({
                "ready_address": address(9_100),
                "store_address": address(8_500),
                "seed_addresses": [],
            }),
            _ => json!({
                "fabric_address": address(6_081),
                "rack": "rack-1",
                "store_addresses": [address(8_500)],
            }),
        };
        let fields = settings.as_object_mut().expect("an object");
        fields.extend(more.as_object().expect("an object").clone());
        let file =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("stalled-{pid}-{number}.json"));
        fs::write(&file, settings.to_string()).expect("the settings are written");
        let errors = output.try_clone().expect("the socket is duplicated");
        let process = Command::new(env!("CARGO_BIN_EXE_wagtailstalld"))
            .args(["--affinity", affinity, "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(OwnedFd::from(output))
            .stderr(OwnedFd::from(errors))
            .spawn()
            .expect("the host starts");
        Host { process, admin: address(9_101) }
    }

    /// A page of the host; `None` if it does not answer within five seconds.
    fn page(&self, path: &str) -> Option<String> {
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until {
            let answer = store::get_text(self.admin, path, Duration::from_secs(1));
            if let Ok((200, text)) = smol::block_on(answer) {
                return Some(text);
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    fn signal(&self, name: &str) {
        let pid = self.process.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Whether the host has counted lines of its log that were not written.
    fn drops_lines(&self) -> bool {
        let metrics = self.page("/metrics").expect("the host does not answer");
        let mut lines = metrics.lines();
        let dropped = lines.find(|line| line.starts_with("log_lines_dropped"));
        !dropped.expect("the metric is there").ends_with(" 0")
    }

    /// Asserts that the host exits with 0 on SIGTERM.
    fn assert_stops(&mut self) {
        self.signal("-TERM");
        let until = Instant::now() + GRACE;
        while Instant::now() < until {
            if let Some(status) = self.process.try_wait().expect("the process is known") {
                assert!(status.success(), "{status}");
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("the host still runs {GRACE:?} after SIGTERM");
    }
}

/// Two connected sockets, the first of which takes no more bytes until the second one is read.
fn full_socket() -> (UnixStream, UnixStream) {
    let (mut writer, reader) = UnixStream::pair().expect("a pair of sockets");
    writer.set_nonblocking(true).expect("the mode is set");
    loop {
        match writer.write(&[b'x'; 1_024]) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => panic!("{error}"),
        }
    }
    while writer.write(b"x").is_ok() {}
    writer.set_nonblocking(false).expect("the mode is set");
    (writer, reader)
}

/// A host whose log nobody reads answered no page and ignored SIGTERM.
fn check_stalled(affinity: &str, number: u8) {
    let (output, _reader) = full_socket();
    let mut host = Host::start(affinity, number, output);
    assert!(host.page("/status").is_some(), "the host does not answer");
    host.assert_stops();
}

/// A host whose log has lost its reader ended with the next line.
fn check_closed(affinity: &str, number: u8) {
    let (output, reader) = UnixStream::pair().expect("a pair of sockets");
    drop(reader);
    let mut host = Host::start(affinity, number, output);
    assert!(host.page("/status").is_some(), "the host does not answer");
    host.signal("-HUP");
    let until = Instant::now() + GRACE;
    // The thread that writes the log counts a line when it gets to it.
    while !host.drops_lines() {
        assert!(Instant::now() < until, "no dropped line was counted within {GRACE:?}");
        thread::sleep(Duration::from_millis(50));
    }
    host.assert_stops();
}

#[test]
fn stalled_tagged() {
    check_stalled("tagged", 0);
}

#[test]
fn stalled_pinned() {
    check_stalled("pinned", 1);
}

#[test]
fn closed_tagged() {
    check_closed("tagged", 2);
}

#[test]
fn closed_pinned() {
    check_closed("pinned", 3);
}
