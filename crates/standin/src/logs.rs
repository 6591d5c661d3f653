//! Logs as JSON lines on standard error.

use fern::{Dispatch, FormatCallback};
use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Record, SetLoggerError};
use serde_json::Map;
use std::fmt::Arguments;
use std::time::SystemTime;

/// Starts logging at level `info`.
pub fn start() -> Result<(), SetLoggerError> {
    Dispatch::new()
        .level(LevelFilter::Info)
        .format(write_line)
        .chain(std::io::stderr())
        .apply()
}

fn write_line(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let mut line = Line(Map::new());
    line.put("time", humantime::format_rfc3339_millis(SystemTime::now()));
    line.put("level", record.level());
    line.put("target", record.target());
    line.put("message", message);
    // The visitor never fails.
    let _ = record.key_values().visit(&mut line);
    out.finish(format_args!("{}", serde_json::Value::Object(line.0)));
}

struct Line(Map<String, serde_json::Value>);

impl Line {
    fn put(&mut self, key: &str, value: impl ToString) {
        self.0.insert(key.to_owned(), value.to_string().into());
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.put(key.as_str(), value);
        Ok(())
    }
}
