//! What is told of a request from the logs of several processes.

use insta::assert_snapshot;
use stilequay_ctl::explain::Explanation;

const FRONT_1: &str = r#"{"time":"2026-01-01T00:00:01.000Z","level":"info","node":"front-1","event":{"event":"configuration_taken","version":6,"routes":3}}
{"time":"2026-01-01T00:00:02.000Z","level":"info","node":"front-1","event":{"event":"configuration_taken","version":7,"routes":3}}
{"time":"2026-01-01T00:00:03.000Z","level":"info","node":"front-1","event":{"event":"leader_changed","group":"ledger","epoch":1,"leader":"i-7f","confirmed":true}}
{"time":"2026-01-01T00:00:03.500Z","level":"info","node":"front-1","event":{"event":"leader_changed","group":"other","epoch":9,"leader":"i-00","confirmed":true}}
{"time":"2026-01-01T00:00:04.000Z","level":"info","node":"front-1","event":{"event":"dependency","name":"term_records","available":false,"reason":"no answer: timed out"}}
  13.4 front-1 {"time":"2026-01-01T00:00:05.000Z","level":"warn","node":"front-1","event":{"event":"request","id":"5c0e","database":"orders","group":"ledger","statement":"read","configuration":7,"epoch":1,"evidence_age_ms":980,"after":null,"attempts":[],"outcome":{"failed":{"verdict":"not_run","reason":"no_leader","retry_after_ms":100}},"elapsed_ms":337}}
{"time":"2026-01-01T00:00:05.000Z","level":"warn","node":"front-1","event":{"event":"request","id":"another","database":"orders","group":"ledger","statement":"read","configuration":7,"epoch":1,"evidence_age_ms":980,"after":null,"attempts":[],"outcome":"completed","elapsed_ms":3}}
{"time":"2026-01-01T00:00:06.000Z","level":"info","node":"front-1","event":{"event":"dependency","name":"term_records","available":true,"reason":""}}
{"time":"2026-01-01T00:00:07.000Z","level":"info","node":"front-1","message":"no event"}
"#;

const FRONT_2: &str = r#"{"time":"2026-01-01T00:00:04.500Z","level":"info","node":"front-2","event":{"event":"leader_suspected","group":"ledger","epoch":1,"leader":"i-7f","evidence":"unreachable","since_ms":104}}
{"time":"2026-01-01T00:00:05.100Z","level":"warn","node":"front-2","event":{"event":"request","id":"5c0e","database":"orders","group":"ledger","statement":"read","configuration":7,"epoch":1,"evidence_age_ms":20,"after":{"term":3,"number":7},"attempts":[{"member":"i-7f","result":"lagging","ended_ms":4},{"member":"i-80","result":"completed","ended_ms":9}],"outcome":"completed","elapsed_ms":9}}
{"time":"2026-01-01T00:00:06.000Z","level":"info","node":"front-2","event":{"event":"lifecycle","action":"stop","detail":"within 6000 ms"}}
{"time":"2026-01-01T00:00:06.200Z","level":"warn","node":"front-2","event":{"event":"session_refused","database":"orders","reason":"shutting_down","configuration":7,"suppressed_before":4}}
{broken
"#;

fn explain(id: &str) -> Explanation {
    let mut explanation = Explanation::default();
    for log in [FRONT_2, FRONT_1] {
        explanation.read(id, log.as_bytes()).expect("read");
    }
    explanation
}

#[test]
fn a_request_is_explained_from_the_logs_of_all_processes() {
    assert_snapshot!(explain("5c0e").text());
}

#[test]
fn a_request_that_no_line_tells_of_is_told_so() {
    assert!(explain("nobody").is_empty());
    assert!(!explain("another").is_empty());
    assert_snapshot!(explain("nobody").missing_text("nobody"));
}

/// A daemon's log, in which the events themselves name the node.
const DAEMON: &str = r#"{"timestamp":"2026-01-01T00:00:03.000000Z","level":"INFO","target":"stilequay::event","event":{"event":"leader_changed","group":"shop","epoch":2,"leader":"s1","confirmed":true,"node":"d1"}}
{"timestamp":"2026-01-01T00:00:05.000000Z","level":"WARN","target":"stilequay::event","event":{"event":"request","id":"77ab","database":"orders","group":"shop","statement":"write","configuration":7,"epoch":null,"evidence_age_ms":null,"after":null,"attempts":[{"member":"d2","result":"NotRun (HomeUnreachable): refused","ended_ms":4}],"outcome":{"failed":{"verdict":"not_run","reason":"home_unreachable","retry_after_ms":250}},"elapsed_ms":5,"node":"d1"}}
"#;

#[test]
fn a_request_is_explained_from_a_daemons_log_too() {
    let mut explanation = Explanation::default();
    explanation.read("77ab", DAEMON.as_bytes()).expect("read");
    assert_snapshot!(explanation.text());
}

/// Refusals by a tenant's rate and by its credential.
const TENANTS: &str = r#"{"time":"2026-01-01T00:00:05.000Z","level":"warn","node":"front-1","event":{"event":"request","id":"01","database":"orders","tenant":"one","group":"ledger","statement":"read","configuration":7,"proof_age_ms":412,"epoch":1,"evidence_age_ms":980,"after":null,"attempts":[],"outcome":{"failed":{"verdict":"not_run","reason":"rate_limited","retry_after_ms":18}},"elapsed_ms":2}}
{"time":"2026-01-01T00:00:06.000Z","level":"warn","node":"front-1","event":{"event":"request","id":"02","database":"orders","group":null,"statement":"read","configuration":8,"proof_age_ms":277,"epoch":null,"evidence_age_ms":null,"after":null,"attempts":[],"outcome":{"failed":{"verdict":"not_run","reason":"unknown_credential","retry_after_ms":null}},"elapsed_ms":0}}
"#;

#[test]
fn refusals_of_tenants_tell_what_they_rest_on() {
    let told = |id: &str| {
        let mut explanation = Explanation::default();
        explanation.read(id, TENANTS.as_bytes()).expect("read");
        explanation.text()
    };
    let newest = "configuration known to be the newest";
    let limited = format!("authorized by: tenant one, {newest} 412 ms before");
    assert!(told("01").contains(&limited), "{}", told("01"));
    let unknown = format!("authorized by: {newest} 277 ms before");
    assert!(told("02").contains(&unknown), "{}", told("02"));
}

/// What two processes wrote, one of which had its time of day jump ahead by ten seconds for
/// some lines, and was restarted at the end.
const STEPPED: &str = r#"{"time":"2026-01-01T00:00:01.000Z","uptime_ms":1000,"seq":0,"level":"info","node":"front-1","event":{"event":"leader_changed","group":"ledger","epoch":1,"leader":"i-7f","confirmed":true}}
{"time":"2026-01-01T00:00:02.000Z","uptime_ms":2000,"seq":1,"level":"info","node":"front-1","event":{"event":"configuration_taken","version":6,"routes":3}}
{"time":"2026-01-01T00:00:13.000Z","uptime_ms":3000,"seq":2,"level":"info","node":"front-1","event":{"event":"dependency","name":"term_records","available":false,"reason":"timed out"}}
{"time":"2026-01-01T00:00:14.000Z","uptime_ms":4000,"seq":3,"level":"info","node":"front-1","event":{"event":"leader_suspected","group":"ledger","epoch":1,"leader":"i-7f","evidence":"unreachable","since_ms":104}}
{"time":"2026-01-01T00:00:05.000Z","uptime_ms":5000,"seq":4,"level":"warn","node":"front-1","event":{"event":"request","id":"5c0e","database":"orders","group":"ledger","statement":"read","configuration":6,"epoch":1,"evidence_age_ms":980,"after":null,"attempts":[],"outcome":"completed","elapsed_ms":3}}
{"time":"2026-01-01T00:00:07.000Z","uptime_ms":10,"seq":0,"level":"info","node":"front-1","event":{"event":"lifecycle","action":"start","detail":"version 0.1.0"}}
"#;

#[test]
fn a_time_of_day_that_jumps_changes_no_order() {
    let mut explanation = Explanation::default();
    for log in [STEPPED, FRONT_2] {
        explanation.read("5c0e", log.as_bytes()).expect("read");
    }
    let text = explanation.text();
    let own = text.find("front-1: request 5c0e").expect("the request");
    // What was written before the request is told with it, although its time of day is later.
    let told = &text[own..];
    assert!(told.contains("dependency, available false"), "{text}");
    let suspected = told
        .find("front-1: leader_suspected")
        .expect("the suspicion");
    let by_another = told.find("front-2: leader_suspected").expect("another's");
    assert!(suspected < by_another, "{text}");
    // What came after it is not.
    assert!(
        !told[..suspected].contains("lifecycle, action start"),
        "{text}"
    );
}

/// A read at a surveyed position, after an accepted and a rejected survey and one of another group.
const SURVEYED: &str = r#"{"time":"2026-01-01T00:00:03.000Z","level":"info","node":"front-1","event":{"event":"position_survey","group":"ledger","epoch":2,"result":"accepted","position":{"term":3,"number":7},"members":[{"member":"i-7f","response":{"report":{"role":"replica","term":3,"received":{"term":3,"number":7},"paused_for":0}},"counted":"reported"},{"member":"i-80","response":{"silent":"no answer in time"},"counted":"unknown"}],"may_be_unknown":1}}
{"time":"2026-01-01T00:00:03.100Z","level":"info","node":"front-1","event":{"event":"position_survey","group":"ledger","epoch":2,"result":{"below_known":{"known":{"term":3,"number":7}}},"position":{"term":3,"number":5},"members":[],"may_be_unknown":1}}
{"time":"2026-01-01T00:00:03.200Z","level":"info","node":"front-1","event":{"event":"position_survey","group":"other","epoch":9,"result":"accepted","position":null,"members":[],"may_be_unknown":1}}
{"time":"2026-01-01T00:00:03.300Z","level":"info","node":"front-2","event":{"event":"position_survey","group":"ledger","epoch":2,"result":"too_many_unknown","position":null,"members":[],"may_be_unknown":1}}
{"time":"2026-01-01T00:00:04.000Z","level":"info","node":"front-1","event":{"event":"request","id":"5c0e","database":"menus","group":"ledger","statement":"read","configuration":7,"epoch":2,"evidence_age_ms":980,"after":{"term":3,"number":7},"after_origin":{"source":"survey","age_ms":1003,"epoch":2},"attempts":[{"member":"i-7f","result":"completed","ended_ms":9}],"outcome":"completed","elapsed_ms":9}}
"#;

#[test]
fn a_read_is_explained_with_the_source_of_its_position() {
    let mut explanation = Explanation::default();
    explanation.read("5c0e", SURVEYED.as_bytes()).expect("read");
    assert_snapshot!(explanation.text());
}
