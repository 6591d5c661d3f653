//! What a process uses, as the operating system tells.

use crate::launch::LaunchError;
use crate::launch::process::Process;
use std::fs;
use std::time::Duration;

/// Ticks of processor time in a second, as Linux reports them to programs.
const TICKS_PER_SECOND: u64 = 100;
/// Fields of `/proc/<id>/stat` after the name in brackets, counted from 0.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;
/// The line of `/proc/<id>/status` that tells resident memory.
const RESIDENT_MEMORY: &str = "VmRSS:";
const BYTES_PER_KIB: u64 = 1024;

/// Processor time used so far, in steps of 10 ms.
pub fn processor_time(process: &Process) -> Result<Duration, LaunchError> {
    let text = read(process, "stat")?;
    let malformed = || LaunchError::Settings("/proc stat has an unknown form".to_owned());
    let (_, after_name) = text.rsplit_once(") ").ok_or_else(malformed)?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<u64>().ok())
    };
    let user = ticks(USER_TICKS_FIELD).ok_or_else(malformed)?;
    let system = ticks(SYSTEM_TICKS_FIELD).ok_or_else(malformed)?;
    Ok(Duration::from_millis(
        (user + system) * 1_000 / TICKS_PER_SECOND,
    ))
}

/// Resident memory, bytes.
pub fn resident_bytes(process: &Process) -> Result<u64, LaunchError> {
    let text = read(process, "status")?;
    let line = text.lines().find(|line| line.starts_with(RESIDENT_MEMORY));
    let kib = line
        .and_then(|line| line.split_whitespace().nth(1))
        .and_then(|value| value.parse::<u64>().ok());
    kib.map(|kib| kib * BYTES_PER_KIB)
        .ok_or_else(|| LaunchError::Settings("/proc status has an unknown form".to_owned()))
}

fn read(process: &Process, file: &str) -> Result<String, LaunchError> {
    let ended = || LaunchError::Signal(process.label().to_owned(), "it has ended".to_owned());
    let path = format!("/proc/{}/{file}", process.id().ok_or_else(ended)?);
    fs::read_to_string(&path).map_err(|error| LaunchError::Settings(format!("{path}: {error}")))
}
