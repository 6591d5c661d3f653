//! The question that a home asks each member: its term, role and positions.

use crate::domain::member::{MemberReport, Role};
use crate::ports::back_end::BackEndError;
use pgwire::api::client::query::DefaultSimpleQueryHandler;
use pgwire::api::client::result::DataRowDecoder;
use pgwire::tokio::client::PgWireClient;
use stilequay_coordination::position::{LogPosition, Term};
use tokio::time::Instant;

/// The probe, in functions that PostgreSQL publishes.
pub const PROBE_QUERY: &str = "SELECT pg_is_in_recovery(), \
     (SELECT timeline_id FROM pg_control_checkpoint()), \
     pg_last_wal_receive_lsn(), \
     pg_last_wal_replay_lsn(), \
     CASE WHEN pg_is_in_recovery() THEN NULL ELSE pg_current_wal_lsn() END";

/// Asks a member once.
pub async fn probe(client: &mut PgWireClient) -> Result<MemberReport, BackEndError> {
    let started = Instant::now();
    let handler = DefaultSimpleQueryHandler::new();
    let responses = client.simple_query(handler, PROBE_QUERY).await;
    let responses = responses.map_err(|error| super::lost(&error))?;
    let response = responses
        .into_iter()
        .next()
        .ok_or_else(|| BackEndError::Malformed("no result".into()))?;
    let mut rows = response.into_data_rows_reader();
    let mut row = rows
        .next_row()
        .ok_or_else(|| BackEndError::Malformed("no row".into()))?;
    decode_report(&mut row, started)
}

fn decode_report(
    row: &mut DataRowDecoder<'_>,
    started: Instant,
) -> Result<MemberReport, BackEndError> {
    let in_recovery = parse_flag(&text(row)?.ok_or_else(|| missing("pg_is_in_recovery"))?)?;
    let term = parse_term(&text(row)?.ok_or_else(|| missing("timeline_id"))?)?;
    let received = optional_position(text(row)?)?;
    let replayed = optional_position(text(row)?)?;
    let current = optional_position(text(row)?)?;
    if in_recovery {
        let replayed = replayed.unwrap_or_default();
        return Ok(MemberReport {
            started,
            term,
            role: Role::Replica,
            received: received.unwrap_or(replayed),
            replayed,
        });
    }
    let current = current.ok_or_else(|| missing("pg_current_wal_lsn"))?;
    Ok(MemberReport {
        started,
        term,
        role: Role::Primary,
        received: current,
        replayed: current,
    })
}

fn text(row: &mut DataRowDecoder<'_>) -> Result<Option<String>, BackEndError> {
    row.next_value::<String>()
        .map_err(|error| super::lost(&error))
}

fn missing(column: &str) -> BackEndError {
    BackEndError::Malformed(format!("{column} is null"))
}

fn parse_flag(text: &str) -> Result<bool, BackEndError> {
    match text {
        "t" | "true" => Ok(true),
        "f" | "false" => Ok(false),
        _ => Err(BackEndError::Malformed(format!("{text} is not a boolean"))),
    }
}

fn parse_term(text: &str) -> Result<Term, BackEndError> {
    text.parse()
        .map(Term)
        .map_err(|_| BackEndError::Malformed(format!("{text} is not a timeline")))
}

fn optional_position(text: Option<String>) -> Result<Option<LogPosition>, BackEndError> {
    text.map(|text| parse_position(&text)).transpose()
}

/// Reads a log position as PostgreSQL prints it: two hexadecimal halves, `X/Y`.
pub fn parse_position(text: &str) -> Result<LogPosition, BackEndError> {
    let malformed = || BackEndError::Malformed(format!("{text} is not a log position"));
    let (high, low) = text.split_once('/').ok_or_else(malformed)?;
    let high = u32::from_str_radix(high, 16).map_err(|_| malformed())?;
    let low = u32::from_str_radix(low, 16).map_err(|_| malformed())?;
    Ok(LogPosition(u64::from(high) << 32 | u64::from(low)))
}
