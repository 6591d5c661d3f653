//! Rules for one statement, by its tokens.
//!
//! Working on tokens rather than on the syntax tree sees every keyword and every
//! call wherever it stands, so that no node of the tree can be forgotten.

use super::ProxySetting;
use super::functions;
use sqlparser::ast::Statement;
use sqlparser::tokenizer::{Token, Word};

const COPY: &str = "copy";
const SETTING_PREFIX: &str = "stilequay";
const SYSTEM_SCHEMA: &str = "pg_catalog";

/// First words of statements that leave state in the session.
const SESSION_STATE_STATEMENTS: &[&str] = &[
    "deallocate",
    "discard",
    "do",
    "execute",
    "listen",
    "load",
    "prepare",
    "reset",
    "unlisten",
];

/// Words which make a statement a write wherever they stand unquoted.
const WRITING_WORDS: &[&str] = &[
    "alter", "analyze", "begin", "call", "commit", "copy", "create", "delete", "do", "drop",
    "execute", "grant", "insert", "into", "lock", "merge", "refresh", "revoke", "rollback", "set",
    "truncate", "update", "vacuum",
];

/// Words after FOR that make a locking clause.
const LOCKING_WORDS: &[&str] = &["key", "no", "share", "update"];

/// First words of a statement that may be a read.
const READING_STATEMENTS: &[&str] = &["explain", "select", "show", "table", "values", "with"];

/// Whether the parser took the statement for a query, EXPLAIN, SHOW or a
/// read-only BEGIN.
pub(super) fn is_query(statement: &Statement) -> bool {
    matches!(
        statement,
        Statement::Query(_)
            | Statement::Explain { .. }
            | Statement::ShowVariable { .. }
            | Statement::StartTransaction { .. }
    )
}

/// Whether the tokens of one statement certainly only read.
pub(super) fn only_reads(tokens: &[&Token]) -> bool {
    if begins_read_only(tokens) {
        return true;
    }
    begins_as_read(tokens)
        && !tokens.iter().any(|token| is_writing_word(token))
        && !has_locking_clause(tokens)
        && calls(tokens).all(|call| call.is_harmless())
}

/// `BEGIN READ ONLY` or `START TRANSACTION READ ONLY`, with other modes around it.
fn begins_read_only(tokens: &[&Token]) -> bool {
    let first = tokens.first().and_then(|token| unquoted(token));
    let begins = matches!(first.as_deref(), Some("begin" | "start"));
    begins && has_sequence(tokens, "read", &["only"]) && !has_sequence(tokens, "read", &["write"])
}

fn begins_as_read(tokens: &[&Token]) -> bool {
    let first = tokens
        .iter()
        .find(|token| !matches!(token, Token::LParen))
        .and_then(|token| unquoted(token));
    first.is_some_and(|word| READING_STATEMENTS.contains(&word.as_str()))
}

fn is_writing_word(token: &Token) -> bool {
    unquoted(token).is_some_and(|word| WRITING_WORDS.contains(&word.as_str()))
}

fn has_locking_clause(tokens: &[&Token]) -> bool {
    has_sequence(tokens, "for", LOCKING_WORDS)
}

/// Whether `first` is followed at once by one of `seconds`.
fn has_sequence(tokens: &[&Token], first: &str, seconds: &[&str]) -> bool {
    tokens.windows(2).any(|pair| {
        unquoted(pair[0]).is_some_and(|word| word == first)
            && unquoted(pair[1]).is_some_and(|word| seconds.contains(&word.as_str()))
    })
}

/// Whether the statement leaves state behind in its connection.
pub(super) fn makes_session_state(tokens: &[&Token]) -> bool {
    let words: Vec<String> = tokens.iter().filter_map(|token| unquoted(token)).collect();
    let first = words.first().map(String::as_str).unwrap_or_default();
    let second = words.get(1).map(String::as_str).unwrap_or_default();
    let has = |word: &str| words.iter().any(|other| other == word);
    let by_statement = match first {
        "set" => !matches!(second, "local" | "transaction" | "constraints"),
        "prepare" => second != "transaction",
        "declare" => has("hold"),
        _ => SESSION_STATE_STATEMENTS.contains(&first),
    };
    by_statement
        || has("temp")
        || has("temporary")
        || calls(tokens).any(|call| functions::makes_session_state(&call.name))
}

/// Whether the statement is COPY.
pub(super) fn is_copy(tokens: &[&Token]) -> bool {
    tokens
        .first()
        .and_then(|token| unquoted(token))
        .is_some_and(|word| word == COPY)
}

/// Whether a text that is not read further begins with COPY.
pub(super) fn begins_with_copy(text: &str) -> bool {
    text.trim_start()
        .get(..COPY.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(COPY))
}

/// Whether a text that has no tokens holds the word at all.
pub(super) fn mentions_copy(text: &str) -> bool {
    text.to_ascii_lowercase()
        .split(|character: char| !character.is_ascii_alphanumeric() && character != '_')
        .any(|word| word == COPY)
}

/// Reads `SET [SESSION] stilequay.<name> {=|TO} <value>`, alone in its text.
pub(super) fn proxy_setting(tokens: &[&Token]) -> Option<ProxySetting> {
    let tokens = match tokens {
        [rest @ .., Token::SemiColon] => rest,
        all => all,
    };
    let [set, rest @ ..] = tokens else {
        return None;
    };
    if unquoted(set)? != "set" {
        return None;
    }
    let rest = match rest {
        [Token::Word(word), after @ ..] if word.value.eq_ignore_ascii_case("session") => after,
        all => all,
    };
    let [prefix, Token::Period, name, assignment, value] = rest else {
        return None;
    };
    let assigns = matches!(assignment, Token::Eq) || unquoted(assignment).as_deref() == Some("to");
    if unquoted(prefix)? != SETTING_PREFIX || !assigns {
        return None;
    }
    Some(ProxySetting {
        name: unquoted(name)?,
        value: literal(value)?,
    })
}

fn literal(token: &Token) -> Option<String> {
    match token {
        Token::SingleQuotedString(text) => Some(text.clone()),
        Token::Word(word) => Some(word.value.clone()),
        Token::Number(digits, _) => Some(digits.clone()),
        _ => None,
    }
}

/// A name before an opening parenthesis.
struct Call {
    schema: Option<String>,
    name: String,
}

impl Call {
    fn is_harmless(&self) -> bool {
        let built_in = self.schema.as_deref().is_none_or(|it| it == SYSTEM_SCHEMA);
        built_in && functions::is_harmless(&self.name)
    }
}

fn calls<'a>(tokens: &'a [&'a Token]) -> impl Iterator<Item = Call> + 'a {
    tokens.windows(2).enumerate().filter_map(|(index, pair)| {
        let (Token::Word(word), Token::LParen) = (pair[0], pair[1]) else {
            return None;
        };
        Some(Call {
            schema: schema_before(&tokens[..index]),
            name: folded(word),
        })
    })
}

fn schema_before(tokens: &[&Token]) -> Option<String> {
    match tokens {
        [.., Token::Word(schema), Token::Period] => Some(folded(schema)),
        [.., Token::Period] => Some(String::new()),
        _ => None,
    }
}

/// A name as PostgreSQL folds it: quoted names keep their case.
fn folded(word: &Word) -> String {
    match word.quote_style {
        Some(_) => word.value.clone(),
        None => word.value.to_ascii_lowercase(),
    }
}

/// The lower-case text of an unquoted word.
fn unquoted(token: &Token) -> Option<String> {
    match token {
        Token::Word(word) if word.quote_style.is_none() => Some(word.value.to_ascii_lowercase()),
        _ => None,
    }
}
