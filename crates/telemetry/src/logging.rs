//! Structured logging: one JSON object per line, with a rate limit per event.

use std::{
    fmt::Display,
    io,
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

use eyre::WrapErr;
use log::LevelFilter;
use serde_json::{Map, Value};

use crate::Event;

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

/// Starts logging to standard output. Each line contains the host's name.
///
/// # Errors
///
/// Fails if logging has already been started.
pub fn init(host: &str, level: LevelFilter) -> eyre::Result<()> {
    let host = host.to_owned();
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let line = format!("{message}");
            // Events are already JSON objects; other messages are wrapped in one.
            if let Some(fields) = line.strip_prefix('{') {
                return out.finish(format_args!("{{\"host\":\"{host}\",{fields}"));
            }
            let text = Value::String(line);
            let level = record.level();
            out.finish(format_args!(
                "{{\"host\":\"{host}\",\"level\":\"{level}\",\"message\":{text}}}"
            ));
        })
        .chain(io::stdout())
        .apply()
        .wrap_err("logging has already been started")
}

/// Logs `event` with `fields`.
pub fn emit(event: Event, fields: &[Field]) {
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64);
    let Some(suppressed) = admit(event, now_ms / 1000) else { return };
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
    log::log!(event.level(), "{}", Value::Object(object));
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
