//! Structured logging: one JSON object per line, with a rate limit per event.

use std::{
    fmt::Display,
    io::Write,
    panic,
    sync::Mutex,
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use eyre::WrapErr;
use log::{Level, LevelFilter};
use serde_json::{Map, Value};

use crate::{Event, LogGuard, output};

/// The rate limit of each event, in lines per second: enough for the flows of a dead target at one
/// host.
const MAX_LINES_PER_SECOND: u32 = 50;

/// A named value of an event. The name includes the unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    name: &'static str,
    value: String,
}

/// Creates a field `name` with `value`.
pub fn field(name: &'static str, value: impl Display) -> Field {
    Field { name, value: value.to_string() }
}

/// The lines of an event that were written in the current second, and those suppressed since the last
/// written line.
#[derive(Debug, Clone, Copy, Default)]
struct RateLimit {
    second: u64,
    lines: u32,
    suppressed: u32,
}

static RATE_LIMITS: Mutex<[RateLimit; Event::ALL.len()]> =
    Mutex::new([RateLimit { second: 0, lines: 0, suppressed: 0 }; Event::ALL.len()]);

/// Starts logging to standard output. Each line contains the host's name. Panics are logged too, not
/// printed.
///
/// No caller waits for the output: another thread writes the lines, and those that it cannot write in
/// time are dropped and counted.
///
/// # Errors
///
/// Fails if logging has already been started, or if there is no standard output.
pub fn init(host: &str, level: LevelFilter) -> eyre::Result<LogGuard> {
    let (lines, guard) = output::start(host)?;
    let host = host.to_owned();
    let output = fern::Output::call(move |record| {
        let line = complete(&host, record.level(), &record.args().to_string());
        // The queue takes a line or counts it; this never fails.
        let _ = lines.clone().write_all(line.as_bytes());
    });
    fern::Dispatch::new()
        .level(level)
        .chain(output)
        .apply()
        .wrap_err("logging has already been started")?;
    panic::set_hook(Box::new(|info| {
        let thread = thread::current();
        let name = thread.name().unwrap_or_default();
        emit(Event::Panicked, &[field("thread", name), field("cause", info)]);
    }));
    Ok(guard)
}

/// The line of a message. Events are already JSON objects; other messages are wrapped in one.
fn complete(host: &str, level: Level, message: &str) -> String {
    if let Some(fields) = message.strip_prefix('{') {
        return format!("{{\"host\":\"{host}\",{fields}\n");
    }
    let text = Value::from(message);
    format!("{{\"host\":\"{host}\",\"level\":\"{level}\",\"message\":{text}}}\n")
}

/// The line of `event`, without a rate limit.
pub(crate) fn render(host: &str, event: Event, fields: &[Field]) -> String {
    let object = object(event, fields, now_ms(), 0);
    complete(host, event.level(), &Value::Object(object).to_string())
}

/// Logs `event` with `fields`.
pub fn emit(event: Event, fields: &[Field]) {
    let now_ms = now_ms();
    let Some(suppressed) = admit(event, now_ms / 1000) else { return };
    log::log!(event.level(), "{}", Value::Object(object(event, fields, now_ms, suppressed)));
}

/// Milliseconds since 1970.
fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn object(event: Event, fields: &[Field], now_ms: u64, suppressed: u32) -> Map<String, Value> {
    let mut object = Map::new();
    object.insert("at_ms".to_owned(), now_ms.into());
    object.insert("event".to_owned(), event.number().into());
    object.insert("name".to_owned(), event.name().into());
    if suppressed > 0 {
        object.insert("suppressed".to_owned(), suppressed.into());
    }
    for field in fields {
        object.insert(field.name.to_owned(), field.value.clone().into());
    }
    object
}

/// Applies the rate limit. Returns `None` if the line must be suppressed, otherwise the number of
/// lines suppressed before it.
fn admit(event: Event, second: u64) -> Option<u32> {
    let index = Event::ALL.iter().position(|known| *known == event)?;
    let mut rate_limits = RATE_LIMITS.lock().ok()?;
    let rate_limit = &mut rate_limits[index];
    if rate_limit.second != second {
        rate_limit.second = second;
        rate_limit.lines = 0;
    }
    if rate_limit.lines >= MAX_LINES_PER_SECOND {
        rate_limit.suppressed += 1;
        return None;
    }
    rate_limit.lines += 1;
    Some(std::mem::take(&mut rate_limit.suppressed))
}
