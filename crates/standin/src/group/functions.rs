//! SQL functions of PostgreSQL that SQLite lacks, and what they answer.

use super::error::RECOVERY_IN_PROGRESS;
use super::log::{Basis, position_text};
use rusqlite::functions::{Context, FunctionFlags};
use rusqlite::types::Value;
use rusqlite::{Connection, Error, Result};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What functions answer during one transaction.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Facts {
    /// Whether the member is a replica.
    pub(crate) in_recovery: bool,
    /// The highest term the member has voted for or learnt.
    pub(crate) term: u32,
    /// The received position, on members that were ever a replica.
    pub(crate) received: Option<u64>,
    /// The replayed position, on members that were ever a replica.
    pub(crate) replayed: Option<u64>,
    /// The written position, on a primary.
    pub(crate) written: u64,
    /// The process number of the caller's connection.
    pub(crate) backend: i32,
    /// Time and seed of the transaction.
    pub(crate) basis: Basis,
}

#[derive(Debug, Default)]
struct Cell {
    facts: Option<Facts>,
    /// How many random numbers the transaction has drawn.
    drawn: u64,
    sleep: Duration,
}

/// The facts, shared with the registered functions.
#[derive(Debug, Clone, Default)]
pub(crate) struct SharedFacts(Arc<Mutex<Cell>>);

impl SharedFacts {
    /// Replaces the facts, and starts the random numbers again.
    pub(crate) fn set(&self, facts: Facts) {
        *self.lock() = Cell {
            facts: Some(facts),
            ..Cell::default()
        };
    }

    /// How long the statement asked to sleep.
    pub(crate) fn take_sleep(&self) -> Duration {
        std::mem::take(&mut self.lock().sleep)
    }

    fn get(&self) -> Result<Facts> {
        self.lock()
            .facts
            .ok_or_else(|| function_error("the function has no answer here"))
    }

    fn next_random(&self) -> Result<u64> {
        let seed = self.get()?.basis.seed;
        let mut cell = self.lock();
        cell.drawn += 1;
        Ok(split_mix(
            seed.wrapping_add(cell.drawn.wrapping_mul(SPLIT_MIX_STEP)),
        ))
    }

    fn lock(&self) -> MutexGuard<'_, Cell> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const SPLIT_MIX_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// The output function of the SplitMix64 generator.
fn split_mix(state: u64) -> u64 {
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

fn function_error(message: &str) -> Error {
    Error::UserFunctionError(message.into())
}

/// Registers the functions with `connection`.
pub(crate) fn create_functions(connection: &Connection, facts: &SharedFacts) -> Result<()> {
    let fact = |name: &str, answer: fn(&Facts) -> Result<Value>| {
        let facts = facts.clone();
        connection.create_scalar_function(name, 0, FunctionFlags::SQLITE_UTF8, move |_| {
            answer(&facts.get()?)
        })
    };
    fact("pg_is_in_recovery", |facts| {
        Ok(Value::Integer(facts.in_recovery.into()))
    })?;
    fact("timeline", |facts| Ok(Value::Integer(facts.term.into())))?;
    fact("pg_last_wal_receive_lsn", |facts| {
        Ok(position_value(facts.received))
    })?;
    fact("pg_last_wal_replay_lsn", |facts| {
        Ok(position_value(facts.replayed))
    })?;
    fact("pg_current_wal_lsn", |facts| match facts.in_recovery {
        true => Err(function_error(RECOVERY_IN_PROGRESS)),
        false => Ok(position_value(Some(facts.written))),
    })?;
    fact("pg_backend_pid", |facts| {
        Ok(Value::Integer(facts.backend.into()))
    })?;
    fact("transaction_epoch", |facts| {
        Ok(Value::Real(facts.basis.now))
    })?;
    fact("version", |_| Ok(Value::Text(VERSION.to_owned())))?;
    create_random_functions(connection, facts)?;
    create_sleep(connection, facts)
}

/// What `version()` answers.
const VERSION: &str = "PostgreSQL 16.6 (stand-in)";

fn position_value(position: Option<u64>) -> Value {
    position.map_or(Value::Null, |position| Value::Text(position_text(position)))
}

fn create_random_functions(connection: &Connection, facts: &SharedFacts) -> Result<()> {
    let source = facts.clone();
    connection.create_scalar_function("random", 0, FunctionFlags::SQLITE_UTF8, move |_| {
        // 53 bits fill the mantissa, so that the result is below one.
        Ok((source.next_random()? >> 11) as f64 / (1_u64 << 53) as f64)
    })?;
    let source = facts.clone();
    connection.create_scalar_function(
        "gen_random_uuid",
        0,
        FunctionFlags::SQLITE_UTF8,
        move |_| {
            let (high, low) = (source.next_random()?, source.next_random()?);
            Ok(uuid_text(high, low))
        },
    )
}

/// A random UUID (version 4) of the given bits.
fn uuid_text(high: u64, low: u64) -> String {
    let time = (high & 0xFFFF_FFFF_FFFF_0FFF) | 0x4000;
    let node = (low & 0x3FFF_FFFF_FFFF_FFFF) | 0x8000_0000_0000_0000;
    format!(
        "{:08x}-{:04x}-{:04x}-{:04x}-{:012x}",
        time >> 32,
        (time >> 16) & 0xFFFF,
        time & 0xFFFF,
        node >> 48,
        node & 0xFFFF_FFFF_FFFF
    )
}

/// `pg_sleep` only notes the time: the connection's task sleeps, so that no other caller waits.
fn create_sleep(connection: &Connection, facts: &SharedFacts) -> Result<()> {
    let facts = facts.clone();
    let sleep = move |context: &mut Context<'_>| {
        let seconds: f64 = context.get(0)?;
        let duration = Duration::try_from_secs_f64(seconds)
            .map_err(|error| Error::UserFunctionError(Box::new(error)))?;
        facts.lock().sleep += duration;
        Ok(String::new())
    };
    connection.create_scalar_function("pg_sleep", 1, FunctionFlags::SQLITE_UTF8, sleep)
}
