//! What this process has used, as the kernel counts it.

use nix::sys::resource::{UsageWho, getrusage};
use nix::unistd::{SysconfVar, sysconf};
use std::fs;

/// Processor time of this process, in seconds.
pub fn processor_seconds() -> f64 {
    let Ok(usage) = getrusage(UsageWho::RUSAGE_SELF) else {
        return 0.0;
    };
    let seconds =
        |time: nix::sys::time::TimeVal| time.tv_sec() as f64 + time.tv_usec() as f64 / 1e6;
    seconds(usage.user_time()) + seconds(usage.system_time())
}

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let pages: Option<u64> = fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse().ok());
    let page = sysconf(SysconfVar::PAGE_SIZE)
        .ok()
        .flatten()
        .unwrap_or(4_096);
    pages.unwrap_or(0) * page as u64
}

/// The load average of the machine over the last minute: other work shares it.
pub fn load_average() -> f64 {
    fs::read_to_string("/proc/loadavg")
        .ok()
        .and_then(|text| text.split_whitespace().next()?.parse().ok())
        .unwrap_or(0.0)
}
