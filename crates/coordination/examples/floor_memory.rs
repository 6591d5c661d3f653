//! Measures what a session's floor takes at a home: resident memory on Linux.
//!
//! `cargo run --release -p stilequay-coordination --example floor_memory -- [SESSIONS]`
//!
//! Prints one JSON line. The register is grown to its capacity and then goes on to
//! evict, as it would in operation.

use serde::Serialize;
use std::error::Error;
use stilequay_coordination::floors::{
    BYTES_PER_SESSION, Epoch, FloorPlacement, FloorRegister, FloorRegisterSettings, FloorRequest,
    SessionKey,
};
use stilequay_coordination::identity::NodeId;
use stilequay_coordination::position::{Floor, LogPosition, Term};

const DEFAULT_SESSIONS: u64 = 1_000_000;
const PAGE_BYTES: u64 = 4_096;

#[derive(Debug, Serialize)]
struct Report {
    sessions: usize,
    bytes_per_session_bound: usize,
    resident_bytes_per_session: f64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let sessions = match std::env::args().nth(1) {
        Some(text) => text.parse()?,
        None => DEFAULT_SESSIONS,
    };
    let mut register = register(sessions as usize);
    let before = resident_bytes()?;
    for number in 0..sessions * 2 {
        register.handle(FloorRequest::Store {
            epoch: Epoch(1),
            session: SessionKey::of(&format!("session-{number}")),
            floor: Floor::new(Term(1), LogPosition(number + 1)),
        });
    }
    let grown = resident_bytes()?.saturating_sub(before);
    let report = Report {
        sessions: register.sessions(),
        bytes_per_session_bound: BYTES_PER_SESSION,
        resident_bytes_per_session: grown as f64 / register.sessions() as f64,
    };
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}

fn register(capacity: usize) -> FloorRegister {
    let own = NodeId::new("home");
    let mut register = FloorRegister::new(own.clone(), FloorRegisterSettings { capacity });
    register.begin(FloorPlacement {
        epoch: Epoch(1),
        homes: vec![own],
        previous: Vec::new(),
    });
    register
}

fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).ok_or("no resident size")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
