//! Marks that a caller gives in comments of the `key='value'` form.

use crate::domain::statement::Repeat;
use sqlparser::tokenizer::{Token, Whitespace};

const REPEAT_KEY: &str = "stilequay_repeat";
const REQUEST_KEY: &str = "stilequay_key";

/// What comments say of a text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Marks {
    /// Whether the request may be repeated when its outcome is not known.
    pub repeat: Option<Repeat>,
    /// The caller's own key of the request, shown in logs.
    pub key: Option<String>,
}

/// Reads the marks of all comments. Where marks disagree, `unsafe` wins.
pub(super) fn read_marks(tokens: &[Token]) -> Marks {
    let mut marks = Marks::default();
    for comment in tokens.iter().filter_map(comment_text) {
        for pair in comment.split(',') {
            apply_pair(&mut marks, pair);
        }
    }
    marks
}

fn comment_text(token: &Token) -> Option<&str> {
    match token {
        Token::Whitespace(Whitespace::MultiLineComment(comment)) => Some(comment),
        Token::Whitespace(Whitespace::SingleLineComment { comment, .. }) => Some(comment),
        _ => None,
    }
}

fn apply_pair(marks: &mut Marks, pair: &str) {
    let Some((key, quoted)) = pair.split_once('=') else {
        return;
    };
    let Some(value) = quoted
        .trim()
        .strip_prefix('\'')
        .and_then(|rest| rest.strip_suffix('\''))
    else {
        return;
    };
    match key.trim() {
        REPEAT_KEY if marks.repeat != Some(Repeat::Unsafe) => {
            // A value that can't be read is taken as the careful one.
            marks.repeat = Some(Repeat::parse(value).unwrap_or(Repeat::Unsafe));
        }
        REQUEST_KEY => marks.key = Some(value.to_owned()),
        _ => {}
    }
}
