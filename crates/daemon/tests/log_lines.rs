//! Log lines: one JSON object each, whatever is logged.

use log::{Level, Record};
use rstest::rstest;
use serde_json::Value;
use std::time::{Duration, SystemTime};
use stilequay_daemon::logging::format_line;

fn line(message: &str, key_values: &[(&str, log::kv::Value)]) -> String {
    let time = SystemTime::UNIX_EPOCH + Duration::from_millis(1_500);
    let key_values: Vec<_> = key_values.to_vec();
    let record = Record::builder()
        .level(Level::Warn)
        .target("stilequay::test")
        .key_values(&key_values)
        .build();
    format_line(time, message, &record)
}

#[test]
fn a_line_has_time_level_target_message_and_key_values_in_this_order() {
    let fields = [
        ("request", log::kv::Value::from("00ff")),
        ("micros", log::kv::Value::from(12_u64)),
        ("shared", log::kv::Value::from(true)),
    ];
    insta::assert_snapshot!(line("a \"quoted\"\ntext", &fields));
}

#[rstest]
#[case::quotes("say \"no\"")]
#[case::line_end("one\ntwo")]
#[case::control("\u{0}\u{1b}[31m")]
#[case::wide("परीक्षा")]
#[case::empty("")]
fn any_text_stays_on_one_line_and_is_kept(#[case] text: &str) {
    let line = line(text, &[("text", log::kv::Value::from(text))]);
    assert!(!line.contains('\n'));
    let parsed: Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(parsed["message"], text);
    assert_eq!(parsed["text"], text);
}

#[test]
fn a_key_value_cannot_replace_a_part_of_the_line() {
    let line = line(
        "the message",
        &[("message", log::kv::Value::from("another"))],
    );
    let parsed: Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(parsed["message"], "the message");
}

#[test]
fn an_event_stands_in_its_line_as_it_is() {
    let time = SystemTime::UNIX_EPOCH;
    let record = Record::builder()
        .level(Level::Info)
        .target(stilequay_engine::events::TARGET)
        .build();
    let line = format_line(time, r#"{"event":"request","id":"00ff"}"#, &record);
    let parsed: Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(parsed["event"]["id"], "00ff");
    assert_eq!(parsed.get("message"), None);
    // What is no JSON is told as a message.
    let line = format_line(time, "not an event", &record);
    let parsed: Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(parsed["message"], "not an event");
}
