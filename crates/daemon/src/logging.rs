//! Log lines: one JSON object a line on standard error.

use crate::settings::{LogLevel, LogSettings};
use log::kv::{self, Key, VisitSource};
use log::{Level, LevelFilter, Record};
use serde::Serialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::time::SystemTime;
use stilequay_engine::events;

/// Starts logging for the whole process.
///
/// # Errors
/// Fails where a logger is already there.
pub fn start(settings: &LogSettings) -> Result<(), log::SetLoggerError> {
    let mut dispatch = fern::Dispatch::new()
        .level(settings.level.into())
        .format(|out, message, record| {
            let line = format_line(SystemTime::now(), &message.to_string(), record);
            out.finish(format_args!("{line}"))
        })
        .chain(std::io::stderr());
    for (target, level) in &settings.targets {
        dispatch = dispatch.level_for(target.clone(), (*level).into());
    }
    dispatch.apply()
}

impl From<LogLevel> for LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Off => LevelFilter::Off,
            LogLevel::Error => LevelFilter::Error,
            LogLevel::Warn => LevelFilter::Warn,
            LogLevel::Info => LevelFilter::Info,
            LogLevel::Debug => LevelFilter::Debug,
            LogLevel::Trace => LevelFilter::Trace,
        }
    }
}

/// A line, in the order in which its parts are written.
#[derive(Serialize)]
struct LogLine<'a> {
    timestamp: String,
    level: &'static str,
    target: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    event: Option<&'a RawValue>,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// Keys that a record's own key-values can't have.
const RESERVED_KEYS: [&str; 5] = ["timestamp", "level", "target", "message", "event"];

/// One record as a line of JSON: time, level, target, message, then the record's own
/// key-values. Events are JSON already and are put in as they are, in place of the message.
pub fn format_line(time: SystemTime, message: &str, record: &Record) -> String {
    let mut fields = FieldReader { fields: Map::new() };
    // The reader never fails.
    let _ = record.key_values().visit(&mut fields);
    let event: Option<&RawValue> = (record.target() == events::TARGET)
        .then(|| serde_json::from_str(message).ok())
        .flatten();
    let line = LogLine {
        timestamp: humantime::format_rfc3339_micros(time).to_string(),
        level: level_name(record.level()),
        target: record.target(),
        message: event.is_none().then_some(message),
        event,
        fields: fields.fields,
    };
    // Texts, numbers and flags only: encoding can't fail.
    serde_json::to_string(&line).unwrap_or_default()
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}

/// Collects key-values.
struct FieldReader {
    fields: Map<String, Value>,
}

impl<'kvs> VisitSource<'kvs> for FieldReader {
    fn visit_pair(&mut self, key: Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        if !RESERVED_KEYS.contains(&key.as_str()) {
            self.fields.insert(key.as_str().to_owned(), to_json(&value));
        }
        Ok(())
    }
}

fn to_json(value: &kv::Value) -> Value {
    if let Some(number) = value.to_u64() {
        return Value::from(number);
    }
    if let Some(number) = value.to_i64() {
        return Value::from(number);
    }
    if let Some(number) = value.to_f64() {
        return Value::from(number);
    }
    match value.to_bool() {
        Some(flag) => Value::from(flag),
        None => Value::from(value.to_string()),
    }
}
