//! Child processes, which are killed when the task ends.

use std::{
    io::Read,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::{Arc, atomic::AtomicBool, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use eyre::{Result, WrapErr, bail, ensure};

/// How long a process may take to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The children of a task, in the order in which they were started.
#[derive(Debug)]
pub(crate) struct Processes {
    children: Vec<(String, Child)>,
    program_directory: PathBuf,
    is_interrupted: Arc<AtomicBool>,
}

impl Processes {
    /// Builds the programs in release mode and handles SIGINT and SIGTERM.
    pub(crate) fn new() -> Result<Processes> {
        let is_interrupted = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            signal_hook::flag::register(signal, is_interrupted.clone())?;
        }
        let status = Command::new("cargo")
            .args(["build", "--release", "--quiet", "--workspace", "--bins"])
            .status()
            .wrap_err("cargo cannot be run")?;
        ensure!(status.success(), "the build failed");
        let program_directory = Path::new("target/release").to_path_buf();
        Ok(Processes { children: Vec::new(), program_directory, is_interrupted })
    }

    /// Starts `program` in the background under `name`; its standard error goes to `target/logs`.
    pub(crate) fn start(&mut self, name: &str, program: &str, arguments: &[String]) -> Result<()> {
        let child = Command::new(self.program_directory.join(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file(name)?)
            .spawn()
            .wrap_err_with(|| format!("{program} cannot be started"))?;
        self.children.push((name.to_owned(), child));
        Ok(())
    }

    /// Runs `program` until it exits.
    pub(crate) fn run(&self, program: &str, arguments: &[String]) -> Result<Output> {
        Command::new(self.program_directory.join(program))
            .args(arguments)
            .stdin(Stdio::null())
            .output()
            .wrap_err_with(|| format!("{program} cannot be run"))
    }

    /// Sends a signal, named as for `kill`, to the process `name`.
    pub(crate) fn signal(&mut self, name: &str, signal: &str) -> Result<()> {
        let child = self.find(name)?;
        let status = Command::new("kill")
            .args([format!("-{signal}"), child.id().to_string()])
            .status()
            .wrap_err("kill cannot be run")?;
        ensure!(status.success(), "{name} cannot be sent {signal}");
        Ok(())
    }

    /// Waits for the process `name` to exit. Returns its exit code and standard output.
    pub(crate) fn wait(&mut self, name: &str, timeout: Duration) -> Result<(Option<i32>, String)> {
        let deadline = Instant::now() + timeout;
        let mut pipe = self.find(name)?.stdout.take();
        // Drains the pipe: a process that blocks on a full pipe never exits.
        let reader = thread::spawn(move || {
            let mut text = String::new();
            if let Some(pipe) = &mut pipe {
                let _ = pipe.read_to_string(&mut text);
            }
            text
        });
        loop {
            if let Some(status) = self.find(name)?.try_wait()? {
                let text = reader.join().unwrap_or_default();
                self.children.retain(|(child_name, _)| child_name != name);
                return Ok((status.code(), text));
            }
            if Instant::now() > deadline {
                bail!("{name} did not end within {timeout:?}");
            }
            self.sleep(Duration::from_millis(20))?;
        }
    }

    /// Sends SIGTERM to the process `name` and waits for it to exit.
    pub(crate) fn stop(&mut self, name: &str) -> Result<(Option<i32>, String)> {
        self.signal(name, "TERM")?;
        self.wait(name, EXIT_TIMEOUT)
    }

    /// Sleeps; fails when the task is interrupted.
    pub(crate) fn sleep(&self, duration: Duration) -> Result<()> {
        let deadline = Instant::now() + duration;
        loop {
            ensure!(!self.is_interrupted.load(Ordering::Relaxed), "interrupted");
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            thread::sleep(left.min(Duration::from_millis(50)));
        }
    }

    fn find(&mut self, name: &str) -> Result<&mut Child> {
        match self.children.iter_mut().find(|(child_name, _)| child_name == name) {
            Some((_, child)) => Ok(child),
            None => bail!("there is no process {name}"),
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            // The process may already have exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn log_file(name: &str) -> Result<Stdio> {
    let directory = Path::new("target/logs");
    std::fs::create_dir_all(directory)?;
    let file = std::fs::File::create(directory.join(format!("{name}.log")))?;
    Ok(Stdio::from(file))
}
