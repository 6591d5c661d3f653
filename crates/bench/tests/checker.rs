//! The history checker finds every kind of violation and passes clean histories.

use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;
use stilequay_bench::checker::{ReadPromise, Report, ViolationCounts, check};
use stilequay_bench::history::{
    Action, FinalState, History, ItemId, Operation, ReadOperation, ReadOutcome, Row, RowValue,
    SessionHistory, WriteId, WriteOperation, WriteOutcome,
};
use stilequay_daemon::domain::names::{GroupName, SessionName};

const GROUP: &str = "orders";
const ITEM: ItemId = ItemId(1);
const OTHER_ITEM: ItemId = ItemId(2);

/// A row of `write`; its value is the write's number times ten plus `part`.
fn row(write: u64, part: u64) -> Row {
    Row {
        item: ITEM,
        value: RowValue(write * 10 + part),
        write: WriteId(write),
    }
}

fn write_of(id: u64, parts: u64, outcome: WriteOutcome) -> Action {
    Action::Write(WriteOperation {
        id: WriteId(id),
        rows: (0..parts).map(|part| row(id, part)).collect(),
        repeatable: false,
        outcome,
    })
}

fn read_of(rows: &[Row]) -> Action {
    Action::Read(ReadOperation {
        item: ITEM,
        outcome: ReadOutcome::Rows(rows.to_vec()),
    })
}

/// Operations one after another, each taking a millisecond from `start` milliseconds on.
fn session(name: &str, start: u64, actions: Vec<Action>) -> SessionHistory {
    let operation = |(number, action): (usize, Action)| Operation {
        group: GroupName::from(GROUP),
        invoked: Duration::from_millis(start + 2 * number as u64),
        completed: Duration::from_millis(start + 2 * number as u64 + 1),
        action,
    };
    SessionHistory {
        session: SessionName::from(name),
        operations: actions.into_iter().enumerate().map(operation).collect(),
    }
}

fn history(sessions: Vec<SessionHistory>, rows: &[Row], discarded: &[RowValue]) -> History {
    let state = FinalState {
        rows: rows.to_vec(),
        discarded: discarded.to_vec(),
    };
    History {
        sessions,
        groups: BTreeMap::from([(GroupName::from(GROUP), state)]),
    }
}

fn judge(actions: Vec<Action>, rows: &[Row]) -> Report {
    let history = history(vec![session("a", 0, actions)], rows, &[]);
    check(&history, ReadPromise::Session)
}

fn none() -> ViolationCounts {
    ViolationCounts::default()
}

#[rstest]
#[case::kept(WriteOutcome::Acknowledged, 1, 1, none())]
#[case::lost(WriteOutcome::Acknowledged, 1, 0, ViolationCounts { lost: 1, ..none() })]
#[case::torn(WriteOutcome::Acknowledged, 2, 1, ViolationCounts { mixed: 1, ..none() })]
#[case::not_run(WriteOutcome::NotRun, 1, 0, none())]
#[case::wrongly_not_run(WriteOutcome::NotRun, 1, 1, ViolationCounts { wrongly_not_run: 1, ..none() })]
#[case::refused(WriteOutcome::Refused, 1, 0, none())]
#[case::refused_yet_there(WriteOutcome::Refused, 1, 1, ViolationCounts { wrongly_not_run: 1, ..none() })]
#[case::rolled_back(WriteOutcome::RolledBack, 2, 0, none())]
#[case::rolled_back_yet_there(WriteOutcome::RolledBack, 2, 2, ViolationCounts { mixed: 1, ..none() })]
#[case::unknown_absent(WriteOutcome::MayHaveRun, 2, 0, none())]
#[case::unknown_there(WriteOutcome::MayHaveRun, 2, 2, none())]
#[case::unknown_torn(WriteOutcome::MayHaveRun, 2, 1, ViolationCounts { mixed: 1, ..none() })]
#[case::foreign_answer(WriteOutcome::ForeignAnswer, 1, 1, ViolationCounts { misdelivered: 1, ..none() })]
fn the_final_state_is_compared_with_what_a_write_was_told(
    #[case] outcome: WriteOutcome,
    #[case] parts: u64,
    #[case] present: u64,
    #[case] expected: ViolationCounts,
) {
    let rows: Vec<Row> = (0..present).map(|part| row(1, part)).collect();
    let report = judge(vec![write_of(1, parts, outcome)], &rows);
    assert_eq!(report.violations, expected);
}

#[test]
fn a_row_that_is_there_twice_is_doubled() {
    let write = write_of(1, 1, WriteOutcome::MayHaveRun);
    let report = judge(vec![write], &[row(1, 0), row(1, 0)]);
    assert_eq!(report.violations.doubled, 1);
}

#[test]
fn a_write_that_is_safe_to_repeat_may_be_there_twice() {
    let write = Action::Write(WriteOperation {
        id: WriteId(1),
        rows: vec![row(1, 0)],
        repeatable: true,
        outcome: WriteOutcome::Acknowledged,
    });
    assert!(judge(vec![write], &[row(1, 0), row(1, 0)]).is_clean());
}

#[test]
fn an_acknowledged_write_on_a_discarded_branch_names_the_replaced_primary() {
    let write = write_of(1, 1, WriteOutcome::Acknowledged);
    let history = history(vec![session("a", 0, vec![write])], &[], &[row(1, 0).value]);
    let report = check(&history, ReadPromise::Session);
    let expected = ViolationCounts {
        lost: 1,
        acknowledged_by_replaced_primary: 1,
        ..none()
    };
    assert_eq!(report.violations, expected);
}

#[test]
fn a_write_told_not_run_must_not_be_on_a_discarded_branch_either() {
    let write = write_of(1, 1, WriteOutcome::NotRun);
    let history = history(vec![session("a", 0, vec![write])], &[], &[row(1, 0).value]);
    let report = check(&history, ReadPromise::Session);
    assert_eq!(report.violations.wrongly_not_run, 1);
}

/// The session has write 1 acknowledged, then reads; write 2 was added by nobody it knows.
#[rstest]
#[case::own_write_seen(vec![read_of(&[row(1, 0)])], none())]
#[case::own_write_missed(vec![read_of(&[])], ViolationCounts { stale: 1, ..none() })]
#[case::goes_back(
    vec![read_of(&[row(1, 0), row(2, 0)]), read_of(&[row(1, 0)])],
    ViolationCounts { stale: 1, ..none() }
)]
#[case::goes_on(
    vec![read_of(&[row(1, 0)]), read_of(&[row(1, 0), row(2, 0)])],
    none()
)]
#[case::row_shown_twice(
    vec![read_of(&[row(1, 0), row(1, 0)])],
    ViolationCounts { doubled: 1, ..none() }
)]
#[case::row_of_nobody(
    vec![read_of(&[row(1, 0), row(9, 0)])],
    ViolationCounts { misdelivered: 1, ..none() }
)]
#[case::row_of_another_item(
    vec![read_of(&[row(1, 0), Row { item: OTHER_ITEM, ..row(2, 0) }])],
    ViolationCounts { misdelivered: 1, ..none() }
)]
#[case::torn_transaction_shown(
    vec![read_of(&[row(1, 0), row(3, 1)])],
    ViolationCounts { mixed: 1, ..none() }
)]
#[case::failed_read(
    vec![Action::Read(ReadOperation { item: ITEM, outcome: ReadOutcome::Failed })],
    none()
)]
#[case::foreign_read(
    vec![Action::Read(ReadOperation { item: ITEM, outcome: ReadOutcome::ForeignAnswer })],
    ViolationCounts { misdelivered: 1, ..none() }
)]
fn reads_are_compared_with_what_the_session_knows(
    #[case] reads: Vec<Action>,
    #[case] expected: ViolationCounts,
) {
    let mut actions = vec![write_of(1, 1, WriteOutcome::Acknowledged)];
    actions.extend(reads);
    let others = vec![
        write_of(2, 1, WriteOutcome::Acknowledged),
        write_of(3, 2, WriteOutcome::Acknowledged),
    ];
    let sessions = vec![session("a", 0, actions), session("b", 0, others)];
    let rows = [row(1, 0), row(2, 0), row(3, 0), row(3, 1)];
    let report = check(&history(sessions, &rows, &[]), ReadPromise::Session);
    assert_eq!(report.violations, expected);
}

#[rstest]
#[case::strong(ReadPromise::Strong, 1)]
#[case::session(ReadPromise::Session, 0)]
#[case::stale(ReadPromise::Stale, 0)]
fn only_a_strong_read_must_see_the_writes_of_others(
    #[case] promise: ReadPromise,
    #[case] stale: u64,
) {
    let writer = session("w", 0, vec![write_of(1, 1, WriteOutcome::Acknowledged)]);
    let reader = session("r", 100, vec![read_of(&[])]);
    let report = check(&history(vec![writer, reader], &[row(1, 0)], &[]), promise);
    assert_eq!(report.violations.stale, stale);
}

#[test]
fn a_row_seen_and_gone_is_counted_but_breaks_no_promise() {
    let unknown = write_of(1, 1, WriteOutcome::MayHaveRun);
    let report = judge(vec![unknown, read_of(&[row(1, 0)]), read_of(&[])], &[]);
    assert!(report.is_clean());
    assert_eq!(report.operations.rows_seen_and_gone, 1);
}

/// A step of the serial model: who acts, and how.
#[derive(Debug, Clone)]
enum Step {
    Write {
        parts: u64,
        outcome: WriteOutcome,
        takes_effect: bool,
    },
    Read,
}

fn any_step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        4 => Just((WriteOutcome::Acknowledged, true)),
        1 => Just((WriteOutcome::MayHaveRun, true)),
        1 => Just((WriteOutcome::MayHaveRun, false)),
        1 => Just((WriteOutcome::NotRun, false)),
        1 => Just((WriteOutcome::RolledBack, false)),
        1 => Just((WriteOutcome::Refused, false)),
    ];
    let write = (1..4u64, outcome).prop_map(|(parts, (outcome, takes_effect))| Step::Write {
        parts,
        outcome,
        takes_effect,
    });
    prop_oneof![2 => write, 1 => Just(Step::Read)]
}

/// Plays steps of three sessions against one serial store: correct by construction.
fn play(steps: &[(usize, Step)]) -> History {
    let mut store = Vec::new();
    let mut sessions: Vec<SessionHistory> = ["a", "b", "c"]
        .map(|name| session(name, 0, Vec::new()))
        .into();
    for (number, (actor, step)) in steps.iter().enumerate() {
        let action = match step {
            Step::Read => read_of(&store),
            Step::Write {
                parts,
                outcome,
                takes_effect,
            } => {
                let id = number as u64 + 1;
                if *takes_effect {
                    store.extend((0..*parts).map(|part| row(id, part)));
                }
                write_of(id, *parts, *outcome)
            }
        };
        let at = session("", 2 * number as u64, vec![action]).operations;
        sessions[*actor].operations.extend(at);
    }
    history(sessions, &store, &[])
}

fn any_steps() -> impl Strategy<Value = Vec<(usize, Step)>> {
    prop::collection::vec((0..3usize, any_step()), 1..40)
}

proptest! {
    #[test]
    fn a_serial_run_is_clean(steps in any_steps()) {
        let report = check(&play(&steps), ReadPromise::Strong);
        prop_assert!(report.is_clean(), "{:?}", report.details);
    }

    #[test]
    fn taking_a_row_from_the_final_state_of_a_serial_run_is_found(
        steps in any_steps(),
        pick in any::<prop::sample::Index>(),
    ) {
        let mut damaged = play(&steps);
        damaged.sessions.iter_mut().for_each(|session| session.operations.retain(is_acknowledged));
        let rows = &mut damaged.groups.get_mut(&GroupName::from(GROUP)).expect("the group").rows;
        rows.retain(|row| steps_acknowledge(&steps, row.write));
        prop_assume!(!rows.is_empty());
        rows.remove(pick.index(rows.len()));
        let report = check(&damaged, ReadPromise::Strong);
        prop_assert_eq!(report.violations.lost + report.violations.mixed, 1);
    }

    #[test]
    fn taking_a_row_from_a_read_of_a_serial_run_is_found(
        steps in any_steps(),
        pick in any::<prop::sample::Index>(),
    ) {
        let mut damaged = play(&steps);
        let Some(rows) = last_rows(&mut damaged) else { return Ok(()) };
        let acknowledged: Vec<usize> = (0..rows.len())
            .filter(|at| steps_acknowledge(&steps, rows[*at].write))
            .collect();
        prop_assume!(!acknowledged.is_empty());
        rows.remove(acknowledged[pick.index(acknowledged.len())]);
        let report = check(&damaged, ReadPromise::Strong);
        prop_assert!(report.violations.stale >= 1);
    }
}

fn is_acknowledged(operation: &Operation) -> bool {
    matches!(
        &operation.action,
        Action::Write(WriteOperation {
            outcome: WriteOutcome::Acknowledged,
            ..
        })
    )
}

fn steps_acknowledge(steps: &[(usize, Step)], write: WriteId) -> bool {
    let step = &steps[write.0 as usize - 1].1;
    matches!(
        step,
        Step::Write {
            outcome: WriteOutcome::Acknowledged,
            ..
        }
    )
}

fn last_rows(history: &mut History) -> Option<&mut Vec<Row>> {
    let operations = history
        .sessions
        .iter_mut()
        .flat_map(|session| &mut session.operations);
    operations
        .filter_map(|operation| match &mut operation.action {
            Action::Read(ReadOperation {
                outcome: ReadOutcome::Rows(rows),
                ..
            }) => Some(rows),
            _ => None,
        })
        .last()
}
