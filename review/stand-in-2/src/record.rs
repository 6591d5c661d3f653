//! The record of a run: what was sent, answered and run, with times in ms since its start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Debug)]
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        let started = Instant::now();
        Ok(Self { started, file })
    }

    /// The time since the start, in ms.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.started).as_millis()
    }

    pub fn line(&self, text: &str) {
        let at = self.ms(Instant::now());
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:7} {text}");
    }

    /// Writes a line, also to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.file.lock().unwrap().flush();
    }
}
