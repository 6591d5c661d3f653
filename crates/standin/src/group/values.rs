//! Between SQLite's values and the wire.

use super::engine::Outcome;
use super::error::SqlError;
use super::log::parse_position;
use super::sql::{Action, Column, Statement};
use pgwire::api::Type;
use pgwire::api::portal::{Format, Portal};
use pgwire::api::results::{DataRowEncoder, FieldFormat, FieldInfo, QueryResponse};
use pgwire::error::{ErrorInfo, PgWireError, PgWireResult, SEVERITY_ERROR};
use pgwire::messages::data::DataRow;
use rusqlite::types::Value;
use std::sync::Arc;

impl From<SqlError> for ErrorInfo {
    fn from(error: SqlError) -> Self {
        ErrorInfo::new(
            SEVERITY_ERROR.to_owned(),
            error.state.code().to_owned(),
            error.message,
        )
    }
}

impl From<SqlError> for PgWireError {
    fn from(error: SqlError) -> Self {
        PgWireError::UserError(Box::new(error.into()))
    }
}

/// The description of `columns` in the given format.
pub(crate) fn fields(columns: &[Column], format: &Format) -> Vec<FieldInfo> {
    let describe = |(index, column): (usize, &Column)| {
        let format = format.format_for(index);
        FieldInfo::new(
            column.name.clone(),
            None,
            None,
            column.column_type.clone(),
            format,
        )
    };
    columns.iter().enumerate().map(describe).collect()
}

/// The answer that carries the rows of `outcome`.
pub(crate) fn rows(
    statement: &Statement,
    outcome: &Outcome,
    format: &Format,
) -> PgWireResult<QueryResponse> {
    let fields = Arc::new(fields(&statement.columns, format));
    let mut encoder = DataRowEncoder::new(fields.clone());
    let rows: PgWireResult<Vec<DataRow>> = outcome
        .rows
        .iter()
        .map(|row| encode_row(&mut encoder, &fields, row))
        .collect();
    let rows = futures::stream::iter(rows?.into_iter().map(Ok));
    let mut response = QueryResponse::new(fields, rows);
    if let Action::Write { tag } = statement.action {
        response.set_command_tag(tag);
    }
    Ok(response)
}

fn encode_row(
    encoder: &mut DataRowEncoder,
    fields: &[FieldInfo],
    row: &[Value],
) -> PgWireResult<DataRow> {
    for (field, value) in fields.iter().zip(row) {
        encode(encoder, field, value)?;
    }
    Ok(encoder.take_row())
}

fn encode(encoder: &mut DataRowEncoder, field: &FieldInfo, value: &Value) -> PgWireResult<()> {
    match *field.datatype() {
        Type::BOOL => encoder.encode_field(&integer(value).map(|integer| integer != 0)),
        Type::INT2 => encoder.encode_field(&integer(value).map(|integer| integer as i16)),
        Type::INT4 => encoder.encode_field(&integer(value).map(|integer| integer as i32)),
        Type::INT8 => encoder.encode_field(&integer(value)),
        Type::FLOAT4 => encoder.encode_field(&real(value).map(|real| real as f32)),
        Type::FLOAT8 => encoder.encode_field(&real(value)),
        Type::BYTEA => encoder.encode_field(&bytes(value)),
        Type::PG_LSN if field.format() == FieldFormat::Binary => {
            // In binary, a position travels as a 64-bit integer.
            let position = text(value).and_then(|text| parse_position(&text));
            let options = field.format_options();
            encoder.encode_field_with_type_and_format(
                &position.map(u64::cast_signed),
                &Type::INT8,
                FieldFormat::Binary,
                options,
            )
        }
        _ => encoder.encode_field(&text(value)),
    }
}

fn integer(value: &Value) -> Option<i64> {
    match value {
        Value::Null => None,
        Value::Integer(integer) => Some(*integer),
        Value::Real(real) => Some(*real as i64),
        Value::Text(text) => text.parse().ok(),
        Value::Blob(_) => None,
    }
}

fn real(value: &Value) -> Option<f64> {
    match value {
        Value::Integer(integer) => Some(*integer as f64),
        Value::Real(real) => Some(*real),
        Value::Text(text) => text.parse().ok(),
        Value::Null | Value::Blob(_) => None,
    }
}

fn text(value: &Value) -> Option<String> {
    match value {
        Value::Null => None,
        Value::Integer(integer) => Some(integer.to_string()),
        Value::Real(real) => Some(real.to_string()),
        Value::Text(text) => Some(text.clone()),
        Value::Blob(bytes) => Some(String::from_utf8_lossy(bytes).into_owned()),
    }
}

fn bytes(value: &Value) -> Option<Vec<u8>> {
    match value {
        Value::Blob(bytes) => Some(bytes.clone()),
        other => text(other).map(String::into_bytes),
    }
}

/// The parameters bound to `portal`.
pub(crate) fn parameters(portal: &Portal<Arc<Statement>>) -> PgWireResult<Vec<Value>> {
    let given = &portal.statement.parameter_types;
    let inferred = &portal.statement.statement.parameter_types;
    let decode_at = |index: usize| {
        let given = given.get(index).and_then(Option::as_ref);
        // The type "unknown" leaves the choice to the server.
        let given = given.filter(|given| **given != Type::UNKNOWN);
        let parameter_type = given.or(inferred.get(index)).unwrap_or(&Type::TEXT);
        parameter(portal, index, parameter_type)
    };
    (0..portal.parameter_len()).map(decode_at).collect()
}

fn parameter(portal: &Portal<Arc<Statement>>, index: usize, kind: &Type) -> PgWireResult<Value> {
    let value = match *kind {
        Type::BOOL => portal.parameter::<bool>(index, kind)?.map(Value::from),
        Type::INT2 => portal.parameter::<i16>(index, kind)?.map(Value::from),
        Type::INT4 => portal.parameter::<i32>(index, kind)?.map(Value::from),
        Type::INT8 => portal.parameter::<i64>(index, kind)?.map(Value::from),
        Type::FLOAT4 => portal
            .parameter::<f32>(index, kind)?
            .map(|real| f64::from(real).into()),
        Type::FLOAT8 => portal.parameter::<f64>(index, kind)?.map(Value::from),
        Type::BYTEA => portal.parameter::<Vec<u8>>(index, kind)?.map(Value::from),
        // Other types are kept as the text they are given as.
        _ if is_text(kind) || portal.parameter_format.is_text(index) => portal
            .parameter::<String>(index, &Type::TEXT)?
            .map(Value::from),
        _ => {
            return Err(SqlError::unsupported(format!("a binary parameter of type {kind}")).into());
        }
    };
    Ok(value.unwrap_or(Value::Null))
}

fn is_text(kind: &Type) -> bool {
    [
        Type::TEXT,
        Type::VARCHAR,
        Type::BPCHAR,
        Type::NAME,
        Type::UNKNOWN,
    ]
    .contains(kind)
}
