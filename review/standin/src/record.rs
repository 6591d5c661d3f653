//! The record of what was sent, answered and run, and the violations found.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    violations: Mutex<Vec<String>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
            violations: Mutex::default(),
        })
    }

    /// Milliseconds since the beginning.
    pub fn now_ms(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:10.1} {text}\n", self.now_ms());
        let mut file = self.file.lock().unwrap();
        // Without a record the case can't be judged, so a failure ends the run.
        file.write_all(line.as_bytes())
            .expect("the record is written");
    }

    /// A line that is also shown on standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.1} s {text}", self.now_ms() / 1000.0);
        self.line(text);
    }

    pub fn violation(&self, rule: &str, seen: &str) {
        self.say(&format!("BROKEN {rule}: {seen}"));
        self.violations.lock().unwrap().push(rule.to_owned());
    }

    pub fn violations(&self) -> usize {
        self.violations.lock().unwrap().len()
    }
}
