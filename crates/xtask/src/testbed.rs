//! A whole deployment on loopback: platform, fabric, hosts, upstreams and callers.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use eyre::{Result, WrapErr, bail, ensure};
use serde_json::{Value, json};
use stand_ins::{caller, upstream};

use crate::processes::Processes;

/// The shared key of the hosts, for messages between them.
const PEER_KEY: &str = "5ca1ab1e0ddba11a7c0ffee5eedf00d5";

/// How long hosts may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Configuration of a testbed.
#[derive(Debug, Clone)]
pub(crate) struct TestbedConfig {
    /// The settings tree, a JSON file.
    pub(crate) tree: PathBuf,
    /// Hosts in each failure domain.
    pub(crate) hosts_per_domain: usize,
    /// The seed of the fabric and of the callers.
    pub(crate) seed: u64,
    /// Additional arguments of the fabric, such as `--loss`.
    pub(crate) fabric_arguments: Vec<String>,
}

impl TestbedConfig {
    fn peer_addresses(&self) -> Result<Vec<String>> {
        let tree = read_json(&self.tree)?;
        let domains = object_entries(&tree["failure_domains"]).count();
        (0..domains * self.hosts_per_domain).map(|_| Ok(loopback(free_port()?))).collect()
    }
}

/// One host of a testbed.
#[derive(Debug, Clone)]
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) admin_port: u16,
    settings: PathBuf,
}

/// A deployment on loopback.
#[derive(Debug)]
pub(crate) struct Testbed {
    pub(crate) processes: Processes,
    pub(crate) hosts: Vec<Host>,
    pub(crate) store_port: u16,
    /// The peer addresses of all hosts. The platform's catalog lists them before the hosts start.
    peer_addresses: Vec<String>,
    fabric_port: u16,
    upstreams: Vec<String>,
    config: TestbedConfig,
}

impl Testbed {
    /// Starts everything but the callers, and waits until every host is ready.
    pub(crate) fn start(config: &TestbedConfig) -> Result<Testbed> {
        let processes = Processes::new()?;
        let mut testbed = Testbed {
            processes,
            hosts: Vec::new(),
            store_port: free_port()?,
            peer_addresses: config.peer_addresses()?,
            fabric_port: free_port()?,
            upstreams: Vec::new(),
            config: config.clone(),
        };
        testbed.start_platform()?;
        testbed.start_fabric()?;
        testbed.start_upstreams()?;
        testbed.start_hosts()?;
        testbed.wait_until_ready()?;
        Ok(testbed)
    }

    /// Starts the platform and one host that uses the fabric at `fabric`.
    pub(crate) fn start_one_host(config: &TestbedConfig, fabric: SocketAddr) -> Result<Testbed> {
        let mut testbed = Testbed {
            processes: Processes::new()?,
            hosts: Vec::new(),
            store_port: free_port()?,
            peer_addresses: config.peer_addresses()?,
            fabric_port: fabric.port(),
            upstreams: Vec::new(),
            config: config.clone(),
        };
        testbed.peer_addresses.truncate(1);
        testbed.start_platform()?;
        testbed.start_hosts()?;
        testbed.wait_until_ready()?;
        Ok(testbed)
    }

    /// The data address of the first host.
    pub(crate) fn data_address(&self) -> Result<SocketAddr> {
        let Some(host) = self.hosts.first() else { bail!("the testbed has no host") };
        let settings = read_json(&host.settings)?;
        Ok(settings["data_address"].as_str().unwrap_or_default().parse()?)
    }

    /// Starts the callers under `name`.
    pub(crate) fn start_callers(&mut self, name: &str, arguments: &[String]) -> Result<()> {
        let mut all = strings(&["caller", "--fabric", &loopback(self.fabric_port), "--tree"]);
        all.push(self.config.tree.display().to_string());
        all.extend(strings(&["--seed", &self.config.seed.to_string()]));
        all.extend_from_slice(arguments);
        self.processes.start(name, "stand-ins", &all)
    }

    /// Waits for the callers `name` to exit and returns their report.
    pub(crate) fn wait_for_callers(&mut self, name: &str) -> Result<caller::Report> {
        let (code, text) = self.processes.wait(name, Duration::from_secs(120))?;
        ensure!(code == Some(0), "the callers failed; see target/logs/{name}.log");
        serde_json::from_str(&text).wrap_err("cannot parse the report of the callers")
    }

    /// Stops the upstreams and returns their reports.
    pub(crate) fn stop_upstreams(&mut self) -> Result<Vec<upstream::Report>> {
        let mut reports = Vec::new();
        for name in std::mem::take(&mut self.upstreams) {
            let (_, text) = self.processes.stop(&name)?;
            reports.push(
                serde_json::from_str(&text).wrap_err("cannot parse the report of an upstream")?,
            );
        }
        Ok(reports)
    }

    /// Sets the faults of the store to those in a query such as `down=1`.
    pub(crate) fn set_store_faults(&self, query: &str) -> Result<()> {
        let mut stream = TcpStream::connect(("127.0.0.1", self.store_port))?;
        let request = format!(
            "GET /stand-in/faults?{query} HTTP/1.1\r\nhost: platform\r\nconnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        ensure!(answer.starts_with("HTTP/1.1 200"), "the store responded with {answer}");
        Ok(())
    }

    /// Runs the operators' program, `wagtailstall`, and returns its JSON output.
    pub(crate) fn run_cli(&self, arguments: &[String]) -> Result<Value> {
        let mut all = strings(&["--store", &loopback(self.store_port), "--json"]);
        for host in &self.hosts {
            all.extend(strings(&["--admin", &loopback(host.admin_port)]));
        }
        all.extend_from_slice(arguments);
        let output = self.processes.run("wagtailstall", &all)?;
        if !output.status.success() {
            bail!("wagtailstall {arguments:?}: {}", String::from_utf8_lossy(&output.stderr));
        }
        serde_json::from_slice(&output.stdout).wrap_err("cannot parse the output of wagtailstall")
    }

    /// Stops `host` with `wagtailstall stop-host` and waits for it to exit.
    pub(crate) fn stop_with_cli(&mut self, host: &Host) -> Result<(Option<i32>, String)> {
        let admin = loopback(host.admin_port);
        let output =
            self.processes.run("wagtailstall", &strings(&["--admin", &admin, "stop-host"]))?;
        ensure!(output.status.success(), "stop-host: {}", String::from_utf8_lossy(&output.stderr));
        self.processes.wait(&host.name, Duration::from_secs(60))
    }

    /// Starts `host`, for the first time or again.
    pub(crate) fn start_host(&mut self, host: &Host) -> Result<()> {
        let arguments = strings(&["--settings", &host.settings.display().to_string()]);
        self.processes.start(&host.name, "wagtailstalld", &arguments)
    }

    /// Waits until every host answers, is ready, has settings and lists all hosts as ready members.
    pub(crate) fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            let status = self.run_cli(&strings(&["status"]))?;
            let rows = status.as_array().map_or(&[][..], Vec::as_slice);
            let is_ready = |row: &Value| row["stage"] == "Ready" && row["revision"] != 0;
            let lists_all_ready = |row: &Value| {
                let members = row["members"].as_array().map_or(&[][..], Vec::as_slice);
                let ready = members.iter().filter(|member| member["state"] == "Ready");
                ready.count() >= self.hosts.len()
            };
            if rows.len() == self.hosts.len()
                && rows.iter().all(|row| is_ready(row) && lists_all_ready(row))
            {
                return Ok(());
            }
            self.processes.sleep(Duration::from_millis(100))?;
        }
        bail!("the hosts were not ready within {READY_TIMEOUT:?}; see target/logs")
    }

    fn start_platform(&mut self) -> Result<()> {
        let mut arguments = strings(&["platform", "--listen", &loopback(self.store_port)]);
        for peer in &self.peer_addresses {
            arguments.extend(strings(&["--host", peer]));
        }
        self.processes.start("platform", "stand-ins", &arguments)?;
        let tree = self.config.tree.display().to_string();
        let apply = strings(&["apply", &tree, "--base", "0", "--note", "first tree"]);
        let deadline = Instant::now() + Duration::from_secs(5);
        loop {
            match self.run_cli(&apply) {
                Ok(_) => return Ok(()),
                Err(error) if Instant::now() > deadline => return Err(error),
                Err(_) => self.processes.sleep(Duration::from_millis(50))?,
            }
        }
    }

    fn start_fabric(&mut self) -> Result<()> {
        let seed = self.config.seed.to_string();
        let mut arguments = strings(&["fabric", "--listen", &loopback(self.fabric_port)]);
        arguments.extend(strings(&["--seed", &seed]));
        arguments.extend_from_slice(&self.config.fabric_arguments);
        self.processes.start("fabric", "stand-ins", &arguments)
    }

    fn start_upstreams(&mut self) -> Result<()> {
        let tree = read_json(&self.config.tree)?;
        for (service, node) in object_entries(&tree["services"]) {
            for (upstream, _) in object_entries(&node["upstreams"]) {
                let name = format!("upstream-{service}-{upstream}");
                let fabric = loopback(self.fabric_port);
                let path = self.config.tree.display().to_string();
                let mut arguments = strings(&["upstream", "--fabric", &fabric, "--tree", &path]);
                arguments.extend(strings(&["--service", service, "--upstream", upstream]));
                self.processes.start(&name, "stand-ins", &arguments)?;
                self.upstreams.push(name);
            }
        }
        Ok(())
    }

    fn start_hosts(&mut self) -> Result<()> {
        let tree = read_json(&self.config.tree)?;
        let directory = Path::new("target/bed");
        fs::create_dir_all(directory)?;
        let mut peer_addresses = self.peer_addresses.clone().into_iter();
        for (domain, _) in object_entries(&tree["failure_domains"]) {
            for number in 1..=self.config.hosts_per_domain {
                let name = format!("host-{domain}-{number}");
                let Some(peer) = peer_addresses.next() else { return Ok(()) };
                let admin_port = free_port()?;
                let settings = directory.join(format!("{name}.json"));
                let text = json!({
                    "host": name,
                    "data_address": loopback(free_port()?),
                    "peer_address": peer,
                    "admin_address": loopback(admin_port),
                    "fabric_address": loopback(self.fabric_port),
                    "failure_domain": domain,
                    "rack": format!("{domain}-rack-{}", number % 2),
                    "store_addresses": [loopback(self.store_port)],
                    "peer_key": PEER_KEY,
                });
                fs::write(&settings, text.to_string())?;
                let host = Host { name, admin_port, settings };
                self.start_host(&host)?;
                self.hosts.push(host);
            }
        }
        Ok(())
    }
}

/// Converts `texts` to owned strings.
pub(crate) fn strings(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

fn read_json(path: &Path) -> Result<Value> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("{}", path.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{}", path.display()))
}

fn object_entries(value: &Value) -> impl Iterator<Item = (&String, &Value)> {
    value.as_object().into_iter().flatten()
}

fn loopback(port: u16) -> String {
    format!("127.0.0.1:{port}")
}

// Finds a port that is free for both TCP and UDP, below the ephemeral ports of the kernel. The search
// starts at a port that depends on the process id, so that concurrent tasks rarely collide.
fn free_port() -> Result<u16> {
    const FIRST: u16 = 20_000;
    const COUNT: u16 = 12_000;
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % u32::from(COUNT)) as u16;
    for _ in 0..COUNT {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (start.wrapping_add(offset)) % COUNT;
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if is_free {
            return Ok(port);
        }
    }
    bail!("no port is free")
}
