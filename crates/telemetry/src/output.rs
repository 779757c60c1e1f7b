//! Writes log lines on a thread of its own, so that no other thread waits for the reader of the output.
//!
//! Failure scenario: the process that collects the logs stands still, or ends. Lines that the queue does
//! not hold are dropped and counted; the process goes on.

use std::{
    fs::File,
    io::{self, Write},
    os::fd::AsFd,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use eyre::WrapErr;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

use crate::{Event, field, logging::render};

/// How many lines wait to be written at most. A few hundred bytes each, and 50 a second of an event.
const QUEUE_LINES_MAX: usize = 256;

/// How long the end of the process waits for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The lines that did not fit into the queue.
static OVERFLOWS: OnceLock<ErrorCounter> = OnceLock::new();

/// The number of lines that could not be written.
static WRITE_ERRORS: AtomicU64 = AtomicU64::new(0);

/// The number of log lines of this process that were dropped: the queue was full, since the reader of the
/// output did not keep up, or the output was closed.
pub fn lines_dropped() -> u64 {
    let overflows = OVERFLOWS.get().map_or(0, |counter| counter.dropped_lines() as u64);
    overflows + WRITE_ERRORS.load(Ordering::Relaxed)
}

/// Keeps the log going. When it is dropped, the last lines are written if the reader takes them within
/// 1.5 seconds.
#[derive(Debug)]
#[must_use = "logging ends when the guard is dropped"]
pub struct LogGuard(Option<WorkerGuard>);

impl Drop for LogGuard {
    fn drop(&mut self) {
        let guard = self.0.take();
        within(FLUSH_TIMEOUT, move || drop(guard));
    }
}

/// Writes `text` to standard error, unless its reader does not take it within 1.5 seconds.
pub fn print_error(text: String) {
    within(FLUSH_TIMEOUT, move || {
        // Nobody is left to tell if standard error is closed.
        let _ = writeln!(io::stderr(), "{text}");
    });
}

/// Runs `work` on another thread, and waits for its end for `timeout` at most.
fn within(timeout: Duration, work: impl FnOnce() + Send + 'static) {
    let (done, is_done) = mpsc::channel();
    let spawned = thread::Builder::new().name("flush".to_owned()).spawn(move || {
        work();
        // The other end may have stopped waiting.
        let _ = done.send(());
    });
    if spawned.is_ok() {
        let _ = is_done.recv_timeout(timeout);
    }
}

/// Starts the thread that writes lines to standard output.
pub(crate) fn start(host: &str) -> eyre::Result<(NonBlocking, LogGuard)> {
    // Not `io::Stdout`: its lock would be held while a write waits.
    let file = io::stdout().as_fd().try_clone_to_owned().wrap_err("no standard output")?;
    let output = Output { host: host.to_owned(), file: file.into(), reported: 0 };
    let (lines, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUE_LINES_MAX)
        .thread_name("log")
        .finish(output);
    OVERFLOWS.get_or_init(|| lines.error_counter());
    Ok((lines, LogGuard(Some(guard))))
}

/// Standard output, as the writing thread uses it.
struct Output {
    host: String,
    file: File,
    /// The number of dropped lines that a line has told of.
    reported: u64,
}

impl Output {
    /// Tells how many lines were dropped before the next one that was written.
    fn report_dropped(&mut self) -> io::Result<()> {
        let dropped = lines_dropped();
        if dropped > self.reported {
            let count = dropped - self.reported;
            let line = render(&self.host, Event::LinesDropped, &[field("count", count)]);
            self.file.write_all(line.as_bytes())?;
            self.reported = dropped;
        }
        Ok(())
    }
}

impl Write for Output {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.report_dropped().and_then(|()| self.file.write_all(line)).is_err() {
            WRITE_ERRORS.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
