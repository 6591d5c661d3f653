//! Between declared types and the types on the wire.

use pgwire::api::Type;
use sqlparser::ast::DataType;

/// The wire type of a declared type such as `BIGINT` or `character varying(20)`.
///
/// Types besides the common ones travel as text.
pub(crate) fn declared_type(declared: &str) -> Type {
    let name = declared
        .split('(')
        .next()
        .unwrap_or_default()
        .trim()
        .to_ascii_uppercase();
    match name.as_str() {
        "SMALLINT" | "INT2" => Type::INT2,
        "INT" | "INTEGER" | "INT4" => Type::INT4,
        "BIGINT" | "INT8" => Type::INT8,
        "REAL" | "FLOAT4" => Type::FLOAT4,
        "DOUBLE PRECISION" | "DOUBLE" | "FLOAT" | "FLOAT8" | "NUMERIC" | "DECIMAL" => Type::FLOAT8,
        "BOOL" | "BOOLEAN" => Type::BOOL,
        "VARCHAR" | "CHARACTER VARYING" | "CHAR" | "CHARACTER" => Type::VARCHAR,
        "BYTEA" => Type::BYTEA,
        "PG_LSN" => Type::PG_LSN,
        _ => Type::TEXT,
    }
}

/// The wire type of a type in a cast.
pub(super) fn cast_type(data_type: &DataType) -> Type {
    declared_type(&data_type.to_string())
}

/// The type to cast to in SQLite, where one changes the value's representation.
pub(super) fn storage_type(wire_type: &Type) -> Option<DataType> {
    match *wire_type {
        Type::INT2 | Type::INT4 | Type::INT8 => Some(DataType::Integer(None)),
        Type::FLOAT4 | Type::FLOAT8 => Some(DataType::Real),
        Type::TEXT | Type::VARCHAR => Some(DataType::Text),
        _ => None,
    }
}

/// The type of an arithmetic result over `left` and `right`.
pub(super) fn wider(left: Option<Type>, right: Option<Type>) -> Option<Type> {
    let rank = |wire_type: &Type| match *wire_type {
        Type::INT2 => 1,
        Type::INT4 => 2,
        Type::INT8 => 3,
        Type::FLOAT4 => 4,
        Type::FLOAT8 => 5,
        _ => 0,
    };
    match (left, right) {
        (Some(left), Some(right)) => Some(if rank(&left) >= rank(&right) {
            left
        } else {
            right
        }),
        (left, right) => left.or(right),
    }
}
