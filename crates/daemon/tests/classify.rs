//! Classification of SQL text: tables of texts, and generated ones.

use proptest::prelude::*;
use rstest::rstest;
use stilequay_daemon::adapters::postgres::classify::{
    ClassificationCache, MAX_PARSED_BYTES, Repeat, StatementAccess, classify,
};

#[rstest]
#[case("SELECT 1")]
#[case("select name from kits where id = $1 and stock between 1 and 9")]
#[case("SELECT count(*), max(price) FROM kits GROUP BY name HAVING count(*) > 1")]
#[case("WITH recent AS (SELECT * FROM orders) SELECT * FROM recent")]
#[case("(SELECT 1) UNION ALL (SELECT 2)")]
#[case("VALUES (1), (2)")]
#[case("SELECT pg_catalog.lower(name) FROM kits; SELECT 2;")]
#[case("SELECT 'DELETE FROM kits'")]
#[case("SELECT $tag$ nextval('s') $tag$")]
#[case("SELECT substring(name from 1 for 2) FROM kits")]
#[case("SELECT \"update\" FROM kits /* DROP TABLE kits */")]
#[case("SELECT price::numeric(10, 2) FROM kits WHERE id IN (1, 2)")]
#[case("EXPLAIN SELECT * FROM kits")]
#[case("SHOW server_version")]
#[case("BEGIN READ ONLY")]
#[case("START TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY")]
fn reads(#[case] text: &str) {
    let classification = classify(text);
    assert_eq!(classification.access, StatementAccess::Read, "{text}");
    assert!(!classification.makes_session_state, "{text}");
}

#[rstest]
#[case("INSERT INTO kits VALUES (1)")]
#[case("SELECT 1; UPDATE kits SET stock = 0")]
#[case("SELECT nextval('order_id')")]
#[case("SELECT \"nextval\"('order_id')")]
#[case("SELECT pg_catalog . nextval /* now */ ('order_id')")]
#[case("SELECT ledger.lower(name) FROM kits")]
#[case("SELECT * FROM take_kit(1)")]
#[case("SELECT pg_advisory_xact_lock(1)")]
#[case("SELECT * FROM kits FOR UPDATE")]
#[case("SELECT * FROM kits FOR UPDATE SKIP LOCKED")]
#[case("SELECT * FROM kits FOR SHARE")]
#[case("SELECT * INTO copy_of_kits FROM kits")]
#[case("WITH gone AS (DELETE FROM kits RETURNING *) SELECT * FROM gone")]
#[case("EXPLAIN ANALYZE SELECT * FROM kits")]
#[case("BEGIN")]
#[case("BEGIN READ WRITE")]
#[case("BEGIN READ ONLY, READ WRITE")]
#[case("BEGIN READ ONLY; INSERT INTO kits VALUES (1)")]
#[case("COMMIT")]
#[case("CREATE TABLE kits (id int)")]
#[case("TRUNCATE kits")]
#[case("LOCK TABLE kits")]
#[case("SET LOCAL search_path = ledger")]
fn writes(#[case] text: &str) {
    let classification = classify(text);
    assert_eq!(classification.access, StatementAccess::Write, "{text}");
    assert!(!classification.makes_session_state, "{text}");
}

#[rstest]
#[case("SET search_path = ledger")]
#[case("SET SESSION timezone TO 'UTC'")]
#[case("RESET ALL")]
#[case("DISCARD ALL")]
#[case("LISTEN orders")]
#[case("PREPARE p AS SELECT 1")]
#[case("EXECUTE p")]
#[case("DEALLOCATE p")]
#[case("CREATE TEMPORARY TABLE basket (id int)")]
#[case("CREATE TEMP TABLE basket AS SELECT 1")]
#[case("SELECT 1 INTO TEMP basket")]
#[case("SELECT pg_advisory_lock(1)")]
#[case("SELECT set_config('search_path', 'ledger', false)")]
#[case("DECLARE c CURSOR WITH HOLD FOR SELECT 1")]
#[case("SELECT 1; SET search_path = ledger")]
#[case("DO $$ BEGIN PERFORM 1; END $$")]
// What the parser does not know.
#[case("SELECT * FROM kits FOR NO KEY UPDATE")]
#[case("TABLE kits")]
#[case("FROBNICATE kits")]
#[case("SELECT 'unterminated")]
#[case("SELECT FROM WHERE")]
fn session_state(#[case] text: &str) {
    let classification = classify(text);
    assert_eq!(classification.access, StatementAccess::Write, "{text}");
    assert!(classification.makes_session_state, "{text}");
}

#[rstest]
#[case("COPY kits FROM STDIN", true)]
#[case("copy (SELECT 1) to stdout", true)]
#[case("SELECT 1; COPY kits TO STDOUT WITH (FORMAT binary, FROBNICATE)", true)]
#[case("/* copy */ SELECT 'copy'", false)]
#[case("SELECT copy FROM kits", false)]
fn copy(#[case] text: &str, #[case] expected: bool) {
    assert_eq!(classify(text).is_copy, expected, "{text}");
}

#[rstest]
#[case(
    "/* stilequay_repeat='safe' */ INSERT INTO t VALUES (1)",
    Some(Repeat::Safe)
)]
#[case(
    "INSERT INTO t VALUES (1) -- stilequay_repeat='safe',stilequay_key='o-1'",
    Some(Repeat::Safe)
)]
#[case(
    "/* a='b', stilequay_repeat='unsafe' */ SELECT 1",
    Some(Repeat::Unsafe)
)]
#[case(
    "/*stilequay_repeat='unsafe'*/ SELECT 1 /*stilequay_repeat='safe'*/",
    Some(Repeat::Unsafe)
)]
#[case("/* stilequay_repeat='perhaps' */ SELECT 1", Some(Repeat::Unsafe))]
#[case("INSERT INTO t VALUES ('/* stilequay_repeat=''safe'' */')", None)]
#[case("/* stilequay_repeat=safe */ SELECT 1", None)]
fn marks(#[case] text: &str, #[case] expected: Option<Repeat>) {
    assert_eq!(classify(text).marks.repeat, expected, "{text}");
}

#[test]
fn a_key_is_read_from_a_comment() {
    let marks = classify("/* stilequay_key='order-7' */ SELECT 1").marks;
    assert_eq!(marks.key.as_deref(), Some("order-7"));
}

#[test]
fn a_text_too_long_to_parse_is_a_write_that_holds_its_connection() {
    let text = format!("SELECT '{}'", "x".repeat(MAX_PARSED_BYTES));
    let classification = classify(&text);
    assert_eq!(classification.access, StatementAccess::Write);
    assert!(classification.makes_session_state);
}

#[test]
fn the_cache_gives_what_classifying_gives() {
    let cache = ClassificationCache::new(2);
    let texts = [
        "SELECT 1",
        "SELECT 2",
        "COMMIT",
        "SELECT nextval('s')",
        "COPY t TO STDOUT",
    ];
    for text in texts.iter().cycle().take(50) {
        assert_eq!(*cache.classify(text), classify(text));
    }
}

/// Statements and parts of statements that write.
const WRITES: &[&str] = &[
    "INSERT INTO kits VALUES (1)",
    "UPDATE kits SET stock = 1",
    "DELETE FROM kits",
    "MERGE INTO kits USING s ON true WHEN MATCHED THEN DELETE",
    "SELECT nextval('s')",
    "SELECT take_kit(1) FROM kits",
    "SELECT * FROM kits FOR UPDATE",
    "WITH d AS (INSERT INTO kits VALUES (1) RETURNING id) SELECT * FROM d",
    "SELECT id INTO t FROM kits",
    "DROP TABLE kits",
    "CALL settle()",
];

const HARMLESS: &[&str] = &[
    "",
    "SELECT 1",
    "SELECT 'it''s' AS \"a;b\"",
    "SELECT $$ ; $$",
    "SELECT E'\\'' -- '",
    "VALUES (1)",
    "BEGIN READ ONLY",
];

const GAPS: &[&str] = &[
    " ",
    "\n",
    "/* c ; ' */",
    "/* /* nested */ ' */",
    "-- ' $$ /* \n",
    "\t",
];

fn mixed_case(text: &str, bits: u64) -> String {
    let flip = |(index, character): (usize, char)| match bits >> (index % 64) & 1 {
        1 if !text.contains('\'') => character.to_ascii_lowercase(),
        _ => character,
    };
    text.chars().enumerate().map(flip).collect()
}

/// A text that holds a write, in any case, among harmless statements and comments.
fn texts_with_a_write() -> impl Strategy<Value = String> {
    let write = prop::sample::select(WRITES);
    let around = prop::collection::vec(prop::sample::select(HARMLESS), 0..3);
    let gap = prop::sample::select(GAPS);
    (around.clone(), write, around, gap, any::<u64>()).prop_map(
        |(before, write, after, gap, bits)| {
            let write = mixed_case(write, bits).replace(' ', &format!(" {gap}"));
            let mut statements: Vec<String> = before.iter().map(|it| (*it).to_owned()).collect();
            statements.push(write);
            statements.extend(after.iter().map(|it| (*it).to_owned()));
            statements.join(&format!("{gap}\n;{gap}"))
        },
    )
}

proptest! {
    #[test]
    fn a_text_with_a_write_is_never_a_read(text in texts_with_a_write()) {
        prop_assert_eq!(classify(&text).access, StatementAccess::Write);
    }

    #[test]
    fn a_call_of_an_unknown_function_is_never_a_read(name in "[a-z]{1,8}_kit") {
        let text = format!("SELECT {name} (1)");
        prop_assert_eq!(classify(&text).access, StatementAccess::Write);
    }

    #[test]
    fn any_text_is_classified(text in "\\PC{0,80}") {
        classify(&text);
    }

    #[test]
    fn any_sequence_of_words_is_classified(words in prop::collection::vec(
        prop::sample::select(&["SELECT", "(", ")", ";", "'", "$$", "/*", "*/", "--", "\n", "COPY",
            "FOR", "UPDATE", "WITH", "a", "1", ",", "\"", "E'", "\\", "SET", "stilequay", ".", "="][..]),
        0..30,
    )) {
        classify(&words.join(" "));
    }
}
