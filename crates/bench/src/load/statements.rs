//! The statements of the load, and how their answers are read.

use crate::history::{ItemId, ReadOutcome, Row, RowValue, WriteId};
use tokio_postgres::{SimpleQueryMessage, SimpleQueryRow};

/// Creates the table, where it is missing.
pub const CREATE_TABLE: &str = "CREATE TABLE IF NOT EXISTS history \
     (item BIGINT NOT NULL, value BIGINT NOT NULL, write_id BIGINT NOT NULL)";

/// Creates the index, where it is missing.
pub const CREATE_INDEX: &str = "CREATE INDEX IF NOT EXISTS history_by_item ON history (item)";

/// Reads one item with parameters: the read's own number, and the item.
pub const SELECT_ITEM: &str =
    "SELECT $1::BIGINT AS nonce, item, value, write_id FROM history WHERE item = $2";

/// Reads all rows.
pub const SELECT_ALL: &str = "SELECT item, value, write_id FROM history";

/// Adds a row.
pub fn insert(row: &Row) -> String {
    let (item, value, write) = (row.item.0, row.value.0, row.write.0);
    format!("INSERT INTO history (item, value, write_id) VALUES ({item}, {value}, {write})")
}

/// Reads one item; the answer repeats `nonce` in every row.
pub fn select_item(item: ItemId, nonce: u64) -> String {
    let item = item.0;
    format!("SELECT {nonce} AS nonce, item, value, write_id FROM history WHERE item = {item}")
}

/// The rows of an answer to [`SELECT_ALL`]; `None` if it has another form.
pub fn rows_of(messages: &[SimpleQueryMessage]) -> Option<Vec<Row>> {
    let rows = messages.iter().filter_map(row_of_message);
    rows.map(|row| read_row(row, 0)).collect()
}

/// The outcome of [`select_item`] from its answer.
pub fn read_outcome(messages: &[SimpleQueryMessage], nonce: u64) -> ReadOutcome {
    let mut rows = Vec::new();
    for row in messages.iter().filter_map(row_of_message) {
        let is_own = number(row, 0) == Some(nonce);
        match read_row(row, 1).filter(|_| is_own) {
            Some(row) => rows.push(row),
            None => return ReadOutcome::ForeignAnswer,
        }
    }
    match is_complete(messages) {
        true => ReadOutcome::Rows(rows),
        false => ReadOutcome::ForeignAnswer,
    }
}

/// The outcome of [`SELECT_ITEM`] from its answer.
pub fn prepared_read_outcome(rows: &[tokio_postgres::Row], nonce: u64) -> ReadOutcome {
    let mut result = Vec::new();
    for row in rows {
        let column = |index: usize| row.try_get::<_, i64>(index).ok().map(|n| n as u64);
        let (Some(own), Some(item), Some(value), Some(write)) =
            (column(0), column(1), column(2), column(3))
        else {
            return ReadOutcome::ForeignAnswer;
        };
        if own != nonce {
            return ReadOutcome::ForeignAnswer;
        }
        result.push(Row {
            item: ItemId(item),
            value: RowValue(value),
            write: WriteId(write),
        });
    }
    ReadOutcome::Rows(result)
}

/// Rows that the answer says were affected; `None` if it is no regular end.
pub fn affected_rows(messages: &[SimpleQueryMessage]) -> Option<u64> {
    match messages {
        [SimpleQueryMessage::CommandComplete(count)] => Some(*count),
        _ => None,
    }
}

fn is_complete(messages: &[SimpleQueryMessage]) -> bool {
    matches!(
        messages.last(),
        Some(SimpleQueryMessage::CommandComplete(_))
    )
}

fn row_of_message(message: &SimpleQueryMessage) -> Option<&SimpleQueryRow> {
    match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    }
}

fn read_row(row: &SimpleQueryRow, first_column: usize) -> Option<Row> {
    Some(Row {
        item: ItemId(number(row, first_column)?),
        value: RowValue(number(row, first_column + 1)?),
        write: WriteId(number(row, first_column + 2)?),
    })
}

fn number(row: &SimpleQueryRow, column: usize) -> Option<u64> {
    row.try_get(column).ok()??.parse().ok()
}
