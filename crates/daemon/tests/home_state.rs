//! What a home concludes from the members' reports.

use rstest::rstest;
use std::time::Duration;
use stilequay_coordination::position::{Floor, LogPosition, Term};
use stilequay_daemon::adapters::postgres::back_end::parse_position;
use stilequay_daemon::app::home::state::{GroupState, MemberReport, Primary, Role, TermCheck};
use stilequay_daemon::domain::names::MemberName;
use tokio::time::Instant;

const NAMES: [&str; 3] = ["one", "two", "three"];

fn name(index: usize) -> MemberName {
    MemberName::from(NAMES[index])
}

fn report(role: Role, term: u32, position: u64, started: Instant) -> MemberReport {
    MemberReport {
        started,
        term: Term(term),
        role,
        received: LogPosition(position),
        replayed: LogPosition(position),
    }
}

/// A state of three members; a member without a report does not answer.
fn state(reports: [Option<MemberReport>; 3]) -> GroupState {
    let mut state = GroupState::default();
    for (index, member) in NAMES.into_iter().enumerate() {
        state.set_member(&member.into(), &"zone".into(), false);
        if let Some(report) = reports[index] {
            state.record_report(&name(index), report);
        }
    }
    state
}

fn leads(term: u32) -> Option<MemberReport> {
    Some(report(Role::Primary, term, 10, Instant::now()))
}

fn follows(term: u32) -> Option<MemberReport> {
    Some(report(Role::Replica, term, 10, Instant::now()))
}

#[rstest]
#[case::all_at_one_term([leads(1), follows(1), follows(1)], Some((0, 1)))]
#[case::one_replica_away([leads(1), follows(1), None], Some((0, 1)))]
#[case::only_the_primary_answers([leads(1), None, None], None)]
#[case::two_claim_to_lead([leads(1), leads(2), follows(2)], Some((1, 2)))]
#[case::a_later_term_without_its_primary([leads(1), follows(2), follows(2)], None)]
#[case::a_later_term_known_to_one_only([leads(1), follows(1), follows(2)], None)]
#[case::nobody_leads([follows(2), follows(2), follows(2)], None)]
fn the_primary_is_the_one_at_the_term_that_a_majority_knows(
    #[case] reports: [Option<MemberReport>; 3],
    #[case] expected: Option<(usize, u32)>,
) {
    let expected = expected.map(|(index, term)| Primary {
        member: name(index),
        term: Term(term),
    });
    assert_eq!(state(reports).primary(), expected);
}

#[rstest]
#[case::all_asked_since([0, 0, 0], 1, TermCheck::Confirmed)]
#[case::a_majority_asked_since([0, 0, -1], 1, TermCheck::Confirmed)]
#[case::a_minority_asked_since([0, -1, -1], 1, TermCheck::Pending)]
#[case::a_higher_term_seen_before([0, 0, -1], 0, TermCheck::Replaced(Term(1)))]
fn a_term_is_confirmed_only_by_answers_to_later_questions(
    #[case] asked_millis: [i64; 3],
    #[case] term: u32,
    #[case] expected: TermCheck,
) {
    let since = Instant::now() + Duration::from_secs(1);
    let reports = asked_millis.map(|millis| {
        let early = Duration::from_millis(millis.unsigned_abs());
        Some(report(Role::Replica, 1, 10, since - early))
    });
    assert_eq!(state(reports).check_term(Term(term), since), expected);
}

/// A member at another term does not count, however long its log.
#[rstest]
#[case::all_hold_it([(1, 10), (1, 10), (1, 10)], true)]
#[case::a_majority_holds_it([(1, 10), (1, 10), (1, 9)], true)]
#[case::only_the_primary_holds_it([(1, 10), (1, 9), (1, 9)], false)]
#[case::a_dead_branch_runs_ahead([(2, 10), (1, 99), (2, 9)], false)]
fn a_position_is_held_by_a_majority_of_its_own_term(
    #[case] members: [(u32, u64); 3],
    #[case] expected: bool,
) {
    let now = Instant::now();
    let highest = members
        .iter()
        .map(|(term, _)| *term)
        .max()
        .unwrap_or_default();
    let reports = members.map(|(term, position)| Some(report(Role::Replica, term, position, now)));
    let floor = Floor::new(Term(highest), LogPosition(10));
    assert_eq!(state(reports).is_held_by_majority(floor), expected);
}

#[test]
fn a_replica_of_an_earlier_term_has_not_replayed_a_floor() {
    let now = Instant::now();
    let reports = [
        leads(2),
        Some(report(Role::Replica, 1, 99, now)),
        follows(2),
    ];
    let floor = Floor::new(Term(2), LogPosition(10));
    let state = state(reports);
    assert!(!state.has_replayed(&name(1), floor));
    assert!(state.has_replayed(&name(2), floor));
}

#[test]
fn a_member_is_as_old_as_the_latest_primary_position_it_has_reached() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut state = state([None, None, None]);
    let primary = |position, started| report(Role::Primary, 1, position, started);
    let replica = |position, started| report(Role::Replica, 1, position, started);
    state.record_report(&name(2), replica(0, start));
    state.record_report(&name(0), primary(10, at(0)));
    state.record_report(&name(0), primary(20, at(100)));
    state.record_report(&name(0), primary(30, at(200)));
    state.record_report(&name(1), replica(20, at(210)));
    let staleness = state
        .staleness(&name(1), at(300))
        .expect("the member has been caught up");
    assert_eq!(staleness.age, Duration::from_millis(200));
    assert_eq!(staleness.bytes, 10);
}

#[rstest]
#[case("0/0", Some(0))]
#[case("1/0", Some(1 << 32))]
#[case("A/FF", Some((10 << 32) + 255))]
#[case("FFFFFFFF/FFFFFFFF", Some(u64::MAX))]
#[case("1", None)]
#[case("1/", None)]
#[case("/1", None)]
#[case("1/G", None)]
#[case("1/100000000", None)]
fn positions_are_read_as_postgresql_prints_them(#[case] text: &str, #[case] expected: Option<u64>) {
    assert_eq!(parse_position(text).ok(), expected.map(LogPosition));
}
