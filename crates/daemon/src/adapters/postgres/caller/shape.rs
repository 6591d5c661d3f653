//! Checks the shape of a frame before the codec decodes it.
//!
//! The codec takes counts and lengths within a frame on trust and panics where
//! they point beyond its end, and it replaces bytes that are not UTF-8. A frame
//! that passes this check decodes without either.

use bytes::Buf;
use pgwire::messages::copy;
use pgwire::messages::extendedquery as extended;
use pgwire::messages::simplequery::MESSAGE_TYPE_BYTE_QUERY;
use pgwire::messages::startup::MESSAGE_TYPE_BYTE_PASSWORD_MESSAGE_FAMILY;
use pgwire::messages::terminate::MESSAGE_TYPE_BYTE_TERMINATE;

/// Whether the body of a frame has the shape of a front-end message of this type.
pub fn is_well_formed(message_type: u8, body: &[u8]) -> bool {
    let mut body = body;
    let consumed = match message_type {
        MESSAGE_TYPE_BYTE_QUERY => text(&mut body),
        extended::MESSAGE_TYPE_BYTE_PARSE => parse(&mut body),
        extended::MESSAGE_TYPE_BYTE_BIND => bind(&mut body),
        extended::MESSAGE_TYPE_BYTE_DESCRIBE | extended::MESSAGE_TYPE_BYTE_CLOSE => {
            target(&mut body)
        }
        extended::MESSAGE_TYPE_BYTE_EXECUTE => execute(&mut body),
        extended::MESSAGE_TYPE_BYTE_SYNC
        | extended::MESSAGE_TYPE_BYTE_FLUSH
        | MESSAGE_TYPE_BYTE_TERMINATE => Some(()),
        MESSAGE_TYPE_BYTE_PASSWORD_MESSAGE_FAMILY
        | copy::MESSAGE_TYPE_BYTE_COPY_DATA
        | copy::MESSAGE_TYPE_BYTE_COPY_DONE
        | copy::MESSAGE_TYPE_BYTE_COPY_FAIL => return true,
        _ => None,
    };
    consumed.is_some() && body.is_empty()
}

/// Whether a password message has the shape of a SASL initial response.
pub fn is_sasl_initial_response(body: &[u8]) -> bool {
    let mut body = body;
    let consumed = text(&mut body).and_then(|()| value(&mut body));
    consumed.is_some() && body.is_empty()
}

fn parse(body: &mut &[u8]) -> Option<()> {
    text(body)?;
    text(body)?;
    counted(body, size_of::<u32>())
}

fn bind(body: &mut &[u8]) -> Option<()> {
    text(body)?;
    text(body)?;
    counted(body, size_of::<i16>())?;
    let values = body.try_get_u16().ok()?;
    for _ in 0..values {
        value(body)?;
    }
    counted(body, size_of::<i16>())
}

fn target(body: &mut &[u8]) -> Option<()> {
    let kind = body.try_get_u8().ok()?;
    let known = [
        extended::TARGET_TYPE_BYTE_STATEMENT,
        extended::TARGET_TYPE_BYTE_PORTAL,
    ];
    known.contains(&kind).then_some(())?;
    text(body)
}

fn execute(body: &mut &[u8]) -> Option<()> {
    text(body)?;
    body.try_get_i32().ok().map(|_| ())
}

/// Text in UTF-8 that ends with a zero byte.
fn text(body: &mut &[u8]) -> Option<()> {
    let end = body.iter().position(|byte| *byte == 0)?;
    std::str::from_utf8(&body[..end]).ok()?;
    body.advance(end + 1);
    Some(())
}

/// A count and as many elements of a fixed size.
fn counted(body: &mut &[u8], element_size: usize) -> Option<()> {
    let count = body.try_get_u16().ok()?;
    skip(body, usize::from(count) * element_size)
}

/// A length and as many bytes; -1 for no value.
fn value(body: &mut &[u8]) -> Option<()> {
    match body.try_get_i32().ok()? {
        -1 => Some(()),
        length => skip(body, usize::try_from(length).ok()?),
    }
}

fn skip(body: &mut &[u8], length: usize) -> Option<()> {
    (body.len() >= length).then(|| body.advance(length))
}
