//! Classification of SQL text: what a statement needs of the member that runs it
//! and of the connection that it runs on.
//!
//! A statement counts as a read only when everything in it is known to be
//! harmless: it parses as a query, holds no keyword that writes or locks, and
//! calls only functions of a fixed list. Whatever is in doubt is a write.
//! Text that does not parse is a write that also holds its connection.

mod cache;
mod functions;
mod marks;
mod statement;

pub use crate::domain::statement::{Repeat, StatementAccess};
pub use cache::ClassificationCache;
pub use marks::Marks;

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};

/// Longest text that is parsed, bytes; longer text is treated as text that does not parse.
pub const MAX_PARSED_BYTES: usize = 256 << 10;

/// What running a text needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Classification {
    /// Whether any statement may write.
    pub access: StatementAccess,
    /// Whether any statement leaves state behind in the connection.
    pub makes_session_state: bool,
    /// Whether any statement is COPY, which the proxy refuses.
    pub is_copy: bool,
    /// The change of a setting of the proxy itself, where the text is just that.
    pub proxy_setting: Option<ProxySetting>,
    /// What the caller said in comments.
    pub marks: Marks,
}

/// `SET stilequay.<name> = '<value>'`, which the proxy handles itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProxySetting {
    /// The name after `stilequay.`, lower case.
    pub name: String,
    /// The value without its quotes.
    pub value: String,
}

impl Classification {
    /// A text about which nothing is known: a write that holds its connection.
    fn unknown() -> Self {
        Self {
            access: StatementAccess::Write,
            makes_session_state: true,
            is_copy: false,
            proxy_setting: None,
            marks: Marks::default(),
        }
    }
}

/// Classifies one text of any number of statements.
pub fn classify(text: &str) -> Classification {
    if text.len() > MAX_PARSED_BYTES {
        return Classification {
            is_copy: statement::begins_with_copy(text),
            ..Classification::unknown()
        };
    }
    let dialect = PostgreSqlDialect {};
    let Ok(tokens) = Tokenizer::new(&dialect, text).tokenize() else {
        return Classification {
            is_copy: statement::mentions_copy(text),
            ..Classification::unknown()
        };
    };
    let marks = marks::read_marks(&tokens);
    let significant: Vec<&Token> = tokens
        .iter()
        .filter(|token| !matches!(token, Token::Whitespace(_) | Token::EOF))
        .collect();
    let classification = classify_tokens(&significant, || parses(&dialect, text));
    Classification {
        marks,
        ..classification
    }
}

fn parses(dialect: &PostgreSqlDialect, text: &str) -> Option<Vec<sqlparser::ast::Statement>> {
    Parser::parse_sql(dialect, text).ok()
}

fn classify_tokens(
    tokens: &[&Token],
    parse: impl FnOnce() -> Option<Vec<sqlparser::ast::Statement>>,
) -> Classification {
    if let Some(setting) = statement::proxy_setting(tokens) {
        return Classification {
            access: StatementAccess::Read,
            makes_session_state: false,
            proxy_setting: Some(setting),
            ..Classification::unknown()
        };
    }
    let statements: Vec<&[&Token]> = tokens
        .split(|token| matches!(token, Token::SemiColon))
        .filter(|statement| !statement.is_empty())
        .collect();
    let is_copy = statements.iter().any(|tokens| statement::is_copy(tokens));
    let Some(parsed) = parse() else {
        return Classification {
            is_copy,
            ..Classification::unknown()
        };
    };
    let reads = parsed.iter().all(statement::is_query)
        && statements
            .iter()
            .all(|tokens| statement::only_reads(tokens));
    Classification {
        access: if reads {
            StatementAccess::Read
        } else {
            StatementAccess::Write
        },
        makes_session_state: statements
            .iter()
            .any(|tokens| statement::makes_session_state(tokens)),
        is_copy,
        ..Classification::unknown()
    }
}
