//! A process whose log is not read.
//!
//! Failure scenario: the threads that log wait for the reader, and the process does nothing else.

use std::{
    env,
    io::{self, BufRead, BufReader, Read, Write},
    process::{Command, Stdio},
    thread,
    time::Duration,
};

use log::LevelFilter;
use serde_json::Value;

/// More than the pipe and the queue hold.
const LINES: usize = 20_000;

/// Set for the process that logs.
const CHILD: &str = "WAGTAILSTALL_TEST_CHILD";

/// Logs, in the process that [`counts_dropped_lines`] starts; does nothing elsewhere.
#[test]
fn child_process() {
    if env::var_os(CHILD).is_none() {
        return;
    }
    let guard = telemetry::init("h", LevelFilter::Info).expect("logging starts");
    for _ in 0..LINES {
        log::info!(
            "a line of a length that is usual for the log of a host, with a few words in it"
        );
    }
    writeln!(io::stderr(), "emitted").expect("standard error is read");
    let mut line = String::new();
    io::stdin().read_line(&mut line).expect("the parent writes");
    // By now the thread that writes has caught up with the reader.
    log::info!("last");
    assert!(telemetry::lines_dropped() > 0);
    drop(guard);
}

/// The messages and the count of dropped lines in the log `text`.
fn parse(text: &str) -> (Vec<String>, u64) {
    let (mut messages, mut dropped) = (Vec::new(), 0);
    for line in text.lines().filter(|line| line.starts_with('{')) {
        let line: Value = serde_json::from_str(line).expect("each line is whole");
        match line["message"].as_str() {
            Some(message) => messages.push(message.to_owned()),
            None if line["name"] == "lines_dropped" => {
                let count = line["count"].as_str().expect("a count");
                dropped += count.parse::<u64>().expect("a number");
            }
            None => {}
        }
    }
    (messages, dropped)
}

/// A thread that logs waits for nobody; what the reader does not take is dropped, and a line says how much.
#[test]
fn counts_dropped_lines() {
    let mut child = Command::new(env::current_exe().expect("this program"))
        .args(["--exact", "child_process", "--nocapture"])
        .env(CHILD, "1")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the child starts");
    let mut errors = BufReader::new(child.stderr.take().expect("a pipe"));
    let mut line = String::new();
    errors.read_line(&mut line).expect("the child writes");
    assert_eq!(line, "emitted\n", "the child logs although nobody reads");
    let mut output = child.stdout.take().expect("a pipe");
    let reader = thread::spawn(move || {
        let mut text = String::new();
        output.read_to_string(&mut text).map(|_| text)
    });
    // The queue is written while the pipe is read.
    thread::sleep(Duration::from_millis(500));
    child.stdin.take().expect("a pipe").write_all(b"go\n").expect("the child reads");
    assert!(child.wait().expect("the child ends").success());
    let text = reader.join().expect("the reader ends").expect("the log is text");
    let (messages, dropped) = parse(&text);
    assert!(dropped > 0);
    assert_eq!(messages.len() as u64 + dropped, LINES as u64 + 1, "each line is there or counted");
    assert_eq!(messages.last().map(String::as_str), Some("last"));
}
