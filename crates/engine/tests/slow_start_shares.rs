//! Shares of cold members without a fleet: windows, order of admission, and a model of processes
//! that learn of the store's records late and send as much as they may.

use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stilequay_engine::names::NodeName;
use stilequay_engine::slow_start::allotment::{Allotment, Senders, Shares, divide};
use stilequay_engine::slow_start::window::{
    Allowance, SendPriority, SendWindow, StatementGate, WINDOW,
};
use tokio::time::{Instant, sleep};

const SECOND: Duration = Duration::from_secs(1);

fn max_per_second(at: &[Instant]) -> usize {
    let within = |first: &Instant| {
        let until = *first + SECOND;
        at.iter().filter(|at| *at >= first && **at < until).count()
    };
    at.iter().map(within).max().unwrap_or(0)
}

#[rstest]
#[case::few(1, 3)]
#[case::fewer_than_processes(5, 18)]
#[case::even(31, 7)]
#[case::many(400, 16)]
#[case::none(0, 4)]
fn the_shares_add_up_to_at_most_the_limit(#[case] most: usize, #[case] nodes: usize) {
    let names: Vec<NodeName> = (0..nodes).map(|n| Arc::from(format!("n{n}"))).collect();
    for senders in [Senders::All(names.clone()), Senders::Candidates(names)] {
        let sum: usize = divide(most, &senders).into_values().sum();
        assert!(sum <= most, "{senders:?}");
        assert!(sum * 10 + 19 >= most * 9, "{sum} of {most}");
    }
}

#[test]
fn decreases_apply_at_once_and_increases_after_settling() {
    let shares = |list: &[(&str, usize)]| -> Shares {
        let entries = list.iter().map(|(node, share)| (Arc::from(*node), *share));
        entries.collect()
    };
    let allotment = Allotment {
        most: 30,
        shares: shares(&[("a", 20), ("b", 5)]),
        before: Some(shares(&[("a", 5), ("b", 20), ("c", 3)])),
    };
    let now = |settled| ["a", "b", "c"].map(|node| allotment.share(node, 30, settled));
    assert_eq!(now(false), [5, 5, 0]);
    assert_eq!(now(true), [20, 5, 0]);
    // A configuration that lowers the limit takes effect at once.
    assert_eq!(allotment.share("a", 15, true), 10);
    assert_eq!(allotment.share("a", 60, true), 20);
}

/// A stored share is never used beyond the member's limit, however large it is.
#[test]
fn a_stored_share_that_overflows_is_limited() {
    let allotment = Allotment {
        most: usize::MAX,
        shares: BTreeMap::from([(Arc::from("a"), usize::MAX), (Arc::from("b"), 4)]),
        before: None,
    };
    assert!(allotment.share("a", 20, true) <= 20);
    assert_eq!(allotment.share("b", 20, true), 0);
    let allotment = Allotment {
        most: 20,
        ..allotment
    };
    assert!(allotment.share("a", 20, true) <= 20);
    assert!(allotment.share("a", 10, true) <= 10);
}

/// A limit that overflows when it is weighted is still divided completely.
#[test]
fn a_limit_that_overflows_is_divided() {
    let names: Vec<NodeName> = (0..4).map(|n| Arc::from(format!("n{n}"))).collect();
    let shares = divide(usize::MAX, &Senders::Candidates(names));
    let sum: u128 = shares.values().map(|share| *share as u128).sum();
    assert!(sum <= usize::MAX as u128);
    assert!(sum * 10 + 19 >= usize::MAX as u128 * 9);
}

#[tokio::test(start_paused = true)]
async fn statements_are_admitted_in_order_of_arrival() {
    let gate = Arc::new(StatementGate::default());
    let order: Arc<Mutex<Vec<usize>>> = Arc::default();
    let mut tasks = Vec::new();
    for index in 0..9 {
        let (gate, order) = (Arc::clone(&gate), Arc::clone(&order));
        tasks.push(tokio::spawn(async move {
            sleep(Duration::from_millis(index as u64)).await;
            let until = Instant::now() + WINDOW * 5;
            let passed = gate
                .admit(SendPriority::InOrder(until), |_| Allowance::Share(2))
                .await;
            passed.expect("in time");
            order.lock().unwrap().push(index);
        }));
    }
    for task in tasks {
        task.await.expect("it ends");
    }
    assert_eq!(*order.lock().unwrap(), (0..9).collect::<Vec<_>>());
}

#[tokio::test(start_paused = true)]
async fn a_statement_that_would_wait_too_long_is_refused_at_once() {
    let gate = StatementGate::default();
    let share = |_| Allowance::Share(1);
    let in_order = || SendPriority::InOrder(Instant::now() + Duration::from_millis(300));
    gate.admit(in_order(), share).await.expect("a place");
    let requested_at = Instant::now();
    let wait = gate
        .admit(in_order(), share)
        .await
        .expect_err("no place in time");
    assert_eq!(requested_at.elapsed(), Duration::ZERO);
    assert_eq!(wait, WINDOW);
    sleep(Duration::from_millis(900)).await;
    gate.admit(in_order(), share).await.expect("in time");
    let none = gate.admit(in_order(), |_| Allowance::Share(0)).await;
    assert!(none.is_err());
    assert_eq!(
        gate.admit(in_order(), |_| Allowance::Unbounded).await,
        Ok(None)
    );
}

/// Rule that the model leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedBug {
    None,
    /// Increases are used at once.
    NoSettlingTime,
    /// A process's view of the store may be of any age.
    NoAgeLimit,
    /// A restarted process uses its share at once.
    NoStartupWait,
    /// An allotment may be replaced before it is settled.
    ReplacesUnsettled,
}

/// One step of a schedule.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A process reads the records in the store.
    ReadStore(usize),
    /// A process restarts.
    Restart(usize),
    /// All processes restart.
    RestartAll,
    /// A process redistributes the shares.
    Redistribute(usize),
}

struct Process {
    window: SendWindow,
    began: Instant,
    as_of: Option<Instant>,
    known: Option<(usize, Instant)>,
}

const MODEL_PROCESSES: usize = 5;
const MODEL_LIMIT: usize = 12;
const TICK: Duration = Duration::from_millis(50);

fn step() -> impl Strategy<Value = Option<Step>> {
    let process = 0..MODEL_PROCESSES;
    prop_oneof![
        8 => Just(None),
        8 => process.clone().prop_map(|p| Some(Step::ReadStore(p))),
        2 => process.clone().prop_map(|p| Some(Step::Restart(p))),
        1 => Just(Some(Step::RestartAll)),
        2 => process.prop_map(|p| Some(Step::Redistribute(p))),
    ]
}

/// Simulates a schedule; returns the times at which statements were sent.
fn simulate(steps: &[Option<Step>], bug: InjectedBug) -> Vec<Instant> {
    let start = Instant::now();
    let max_record_age = Duration::from_secs(2);
    let settling = max_record_age + WINDOW;
    let names: Vec<NodeName> = (0..MODEL_PROCESSES)
        .map(|n| Arc::from(format!("n{n}")))
        .collect();
    let new_process = |began| Process {
        window: SendWindow::default(),
        began,
        as_of: None,
        known: None,
    };
    let mut processes: Vec<Process> = names.iter().map(|_| new_process(start)).collect();
    let mut store: Vec<Allotment> = Vec::new();
    let mut sent = Vec::new();
    for (tick, step) in steps.iter().enumerate() {
        let now = start + TICK * u32::try_from(tick).expect("few");
        match *step {
            None => {}
            Some(Step::ReadStore(p)) => {
                let newest = store.len().checked_sub(1);
                let sender = &mut processes[p];
                sender.as_of = Some(now);
                if let Some(newest) = newest
                    && sender.known.is_none_or(|(known, _)| known < newest)
                {
                    sender.known = Some((newest, now));
                }
            }
            Some(Step::Restart(p)) => processes[p] = new_process(now),
            Some(Step::RestartAll) => processes.iter_mut().for_each(|s| *s = new_process(now)),
            Some(Step::Redistribute(p)) => {
                let newest = store.len().checked_sub(1);
                let known = processes[p].known;
                let is_newest = known.map(|(known, _)| known) == newest;
                let settled = known.is_none_or(|(_, since)| now >= since + settling);
                if is_newest && (settled || bug == InjectedBug::ReplacesUnsettled) {
                    // The writer assigns the whole limit to itself.
                    let mut order = names.clone();
                    order.rotate_left(p);
                    let shares: BTreeMap<NodeName, usize> =
                        divide(MODEL_LIMIT, &Senders::Candidates(order[..1].to_vec()));
                    let before = newest.map(|newest| store[newest].shares.clone());
                    store.push(Allotment {
                        most: MODEL_LIMIT,
                        shares,
                        before,
                    });
                }
            }
        }
        for (sender, name) in processes.iter_mut().zip(&names) {
            let recent = sender.as_of.is_some_and(|at| now <= at + max_record_age);
            let may_send = (recent || bug == InjectedBug::NoAgeLimit)
                && (now >= sender.began + WINDOW || bug == InjectedBug::NoStartupWait);
            let Some((known, since)) = sender.known.filter(|_| may_send) else {
                continue;
            };
            let settled = now >= since + settling || bug == InjectedBug::NoSettlingTime;
            let share = store[known].share(name, MODEL_LIMIT, settled);
            while sender.window.try_take(share, now).is_ok() {
                sent.push(now);
            }
        }
    }
    sent
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn shares_hold_however_late_processes_read_the_store(
        steps in proptest::collection::vec(step(), 100..600),
    ) {
        let most = max_per_second(&simulate(&steps, InjectedBug::None));
        prop_assert!(most <= MODEL_LIMIT, "{most} in a second");
    }
}

/// A schedule in which the first process redistributes the shares, and the second does so after
/// `pause` ticks. In between, the second reads the store, and the first too if `both_read`.
fn two_writers(pause: usize, both_read: bool) -> Vec<Option<Step>> {
    let mut steps = vec![
        Some(Step::Redistribute(0)),
        Some(Step::ReadStore(0)),
        Some(Step::ReadStore(1)),
    ];
    // Until both have been running for a window.
    steps.extend((0..60).map(|tick| (tick % 9 == 0).then_some(Step::ReadStore(0))));
    steps.extend((0..pause).map(|tick| match tick % 3 {
        0 => Some(Step::ReadStore(1)),
        1 if both_read => Some(Step::ReadStore(0)),
        _ => None,
    }));
    steps.push(Some(Step::Redistribute(1)));
    steps.extend((0..120).map(|tick| (tick % 3 == 0).then_some(Step::ReadStore(1))));
    steps
}

#[rstest]
#[case::increases_are_used_at_once(two_writers(90, true), InjectedBug::NoSettlingTime)]
#[case::outdated_records_are_used(two_writers(90, true), InjectedBug::NoAgeLimit)]
#[case::a_restarted_process_does_not_wait(
    {
        let mut steps = two_writers(0, true);
        steps.truncate(60);
        steps.extend([Some(Step::Restart(0)), Some(Step::ReadStore(0))]);
        steps
    },
    InjectedBug::NoStartupWait
)]
#[case::an_allotment_is_replaced_too_soon(
    {
        // The same process redistributes twice, although the first result is not settled yet.
        let mut steps = two_writers(90, true);
        let last_division =
            steps.iter().rposition(|step| matches!(step, Some(Step::Redistribute(_))));
        steps.truncate(last_division.expect("a division") + 1);
        steps.extend([
            Some(Step::ReadStore(1)),
            Some(Step::Redistribute(1)),
            Some(Step::ReadStore(1)),
        ]);
        steps
    },
    InjectedBug::ReplacesUnsettled
)]
fn planted_mistakes_are_noticed(#[case] steps: Vec<Option<Step>>, #[case] bug: InjectedBug) {
    let right = max_per_second(&simulate(&steps, InjectedBug::None));
    assert!(right <= MODEL_LIMIT, "{right} in a second");
    let wrong = max_per_second(&simulate(&steps, bug));
    assert!(wrong > MODEL_LIMIT, "only {wrong} in a second");
}
