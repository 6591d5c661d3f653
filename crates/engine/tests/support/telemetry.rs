//! Captures the log lines and the counters of the current thread, on which a test runs all of its
//! tasks.

use log::{LevelFilter, Log, Metadata, Record};
use metrics::{
    Counter, CounterFn, Gauge, Histogram, Key, KeyName, LocalRecorderGuard, Recorder, SharedString,
    Unit,
};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Once};
use stilequay_engine::events::TARGET;

thread_local! {
    static LINES: RefCell<Option<Vec<(String, String)>>> = const { RefCell::new(None) };
}

struct ThreadLogger;

impl Log for ThreadLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.with_borrow_mut(|lines| {
            if let Some(lines) = lines {
                lines.push((record.target().to_owned(), record.args().to_string()));
            }
        });
    }

    fn flush(&self) {}
}

/// Starts to capture the lines of this thread.
pub fn capture_log() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&ThreadLogger).expect("no other logger");
        log::set_max_level(LevelFilter::Info);
    });
    LINES.set(Some(Vec::new()));
}

/// The captured lines that aren't events.
pub fn messages() -> Vec<String> {
    let lines = LINES.with_borrow(|lines| lines.clone().unwrap_or_default());
    let messages = lines.into_iter().filter(|(target, _)| target != TARGET);
    messages.map(|(_, message)| message).collect()
}

/// The captured events named `name`.
pub fn events(name: &str) -> Vec<Value> {
    let lines = LINES.with_borrow(|lines| lines.clone().unwrap_or_default());
    let events = lines.into_iter().filter(|(target, _)| target == TARGET);
    events
        .map(|(_, line)| serde_json::from_str::<Value>(&line).expect("JSON"))
        .filter(|event| event["event"] == name)
        .collect()
}

struct Cell(AtomicU64);

impl CounterFn for Cell {
    fn increment(&self, value: u64) {
        self.0.fetch_add(value, Ordering::Relaxed);
    }

    fn absolute(&self, value: u64) {
        self.0.store(value, Ordering::Relaxed);
    }
}

/// The counters of this thread.
#[derive(Default)]
pub struct Counters {
    cells: Mutex<BTreeMap<String, Arc<Cell>>>,
}

impl Counters {
    /// Starts to capture the counters of this thread until the guard is dropped.
    pub fn capture(&self) -> LocalRecorderGuard<'_> {
        metrics::set_default_local_recorder(self)
    }

    /// The sum of the counters `name` that have all of `labels`.
    pub fn sum(&self, name: &str, labels: &[(&str, &str)]) -> u64 {
        let cells = self.cells.lock().expect("no panic");
        let matching = cells.iter().filter(|(key, _)| {
            let wanted =
                |(label, value): &(&str, &str)| key.contains(&format!(" {label}={value} "));
            key.starts_with(&format!("{name} ")) && labels.iter().all(wanted)
        });
        let values = matching.map(|(_, cell)| cell.0.load(Ordering::Relaxed));
        values.sum()
    }
}

impl Recorder for Counters {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &metrics::Metadata<'_>) -> Counter {
        let labels = key
            .labels()
            .map(|label| format!(" {}={} ", label.key(), label.value()));
        let name = format!("{} {}", key.name(), labels.collect::<String>());
        let mut cells = self.cells.lock().expect("no panic");
        let new = || Arc::new(Cell(AtomicU64::new(0)));
        Counter::from_arc(Arc::clone(cells.entry(name).or_insert_with(new)))
    }

    fn register_gauge(&self, _: &Key, _: &metrics::Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Key, _: &metrics::Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}
