//! Messages as a back end encodes them.

use bytes::{Bytes, BytesMut};
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::{DecodeContext, Message, PgWireFrontendMessage};

/// Type object id of text.
pub const TEXT: u32 = 25;

pub fn decode(payload: &mut BytesMut) -> Option<PgWireFrontendMessage> {
    let mut context = DecodeContext::default();
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    PgWireFrontendMessage::decode(payload, &context).expect("the payload is well formed")
}

pub fn put<M: Message>(answer: &mut BytesMut, message: &M) {
    message.encode(answer).expect("encodes");
}

pub fn rows(count: usize) -> BytesMut {
    let mut bytes = BytesMut::new();
    put(&mut bytes, &row_description());
    for _ in 0..count {
        put(&mut bytes, &row("a row of a long answer"));
    }
    bytes
}

pub fn row(text: &str) -> DataRow {
    let mut fields = BytesMut::new();
    fields.extend_from_slice(&(text.len() as u32).to_be_bytes());
    fields.extend_from_slice(text.as_bytes());
    DataRow::new(fields, 1)
}

pub fn row_description() -> RowDescription {
    let field = FieldDescription::new("value".to_owned(), 0, 0, TEXT, -1, -1, 0);
    RowDescription::new(vec![field])
}

pub fn error_response(sqlstate: &str) -> Bytes {
    let field = |code: u8, text: &str| (code, text.to_owned());
    let fields = vec![
        field(b'S', "ERROR"),
        field(b'V', "ERROR"),
        field(b'C', sqlstate),
        field(b'M', "an error of the back end"),
    ];
    let mut bytes = BytesMut::new();
    put(&mut bytes, &ErrorResponse::new(fields));
    bytes.freeze()
}
