//! Log lines: one JSON object a line on standard error.

use crate::settings::{LogLevel, LogSettings};
use log::kv::{self, Key, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value};
use std::time::SystemTime;

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

/// One record as a line of JSON: time, level, target, message, then the
/// record's own key-values.
pub fn format_line(time: SystemTime, message: &str, record: &Record) -> String {
    let mut line = Map::new();
    let timestamp = humantime::format_rfc3339_micros(time).to_string();
    line.insert("timestamp".to_owned(), Value::String(timestamp));
    let level = record.level().as_str().to_ascii_lowercase();
    line.insert("level".to_owned(), Value::String(level));
    line.insert(
        "target".to_owned(),
        Value::String(record.target().to_owned()),
    );
    line.insert("message".to_owned(), Value::String(message.to_owned()));
    let mut fields = FieldWriter { line: &mut line };
    // The writer below never fails.
    let _ = record.key_values().visit(&mut fields);
    Value::Object(line).to_string()
}

/// Writes key-values into a line; the line's own keys are stronger.
struct FieldWriter<'a> {
    line: &'a mut Map<String, Value>,
}

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = to_json(&value);
        self.line.entry(key.as_str()).or_insert(value);
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
