//! Members that are leaving or gone: how long they may still receive statements.

mod support;

use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::directory::{
    Departure, Directory, DirectoryChange, GONE_RETENTION, Member, MemberState,
};
use stilequay_engine::routing::is_use_expired;
use support::Fleet;
use tokio::time::{Instant, advance};

const GRACE: Duration = Duration::from_secs(4);

/// A departed member's grace period starts when the entries last did not show its departure,
/// `unseen_ms` before it was learned of, since other processes may have known of it from then on.
/// It has already ended for a member that is first seen while leaving.
#[rstest]
#[case::learned_at_once(Some(0), 3_900, false)]
#[case::for_its_time(Some(0), 4_100, true)]
#[case::learned_late(Some(3_000), 900, false)]
#[case::learned_late_for_the_rest_of_its_time(Some(3_000), 1_100, true)]
#[case::seen_for_the_first_time_already_leaving(None, 0, true)]
#[tokio::test(start_paused = true)]
async fn the_grace_period_starts_when_others_may_have_known_of_the_departure(
    #[case] unseen_ms: Option<u64>,
    #[case] waited_ms: u64,
    #[case] expected: bool,
) {
    let fleet = Fleet::start(1).await;
    let before = Instant::now();
    advance(Duration::from_millis(unseen_ms.unwrap_or(0))).await;
    let departure = Departure {
        learned_at: Instant::now(),
        earliest: unseen_ms.map(|_| before),
        lapsed_until: None,
    };
    advance(Duration::from_millis(waited_ms)).await;
    let engine = &fleet.nodes[0].engine;
    assert_eq!(engine.settings().departure_grace, GRACE);
    for state in [
        MemberState::Leaving(departure),
        MemberState::Gone(departure),
    ] {
        assert_eq!(is_use_expired(engine, state, Instant::now()), expected);
    }
}

fn member(state: MemberState) -> Member {
    Member {
        id: "a".into(),
        group: "ledger".into(),
        address: "10.0.0.1:5000".parse().expect("an address"),
        zone: "hall".into(),
        role: stilequay_engine::directory::Role::Replica,
        slots: 3,
        cold_until: None,
        state,
        changed: 0,
    }
}

/// Neither a repeated entry nor its removal resets the time of a departure.
#[tokio::test(start_paused = true)]
async fn a_departure_keeps_its_age() {
    let first = Departure::at(Instant::now());
    let leaving = member(MemberState::Leaving(first));
    let directory = Directory::default().with_entries(1, vec![leaving], first);
    advance(Duration::from_secs(1)).await;
    let later = Departure::at(Instant::now());
    let again = DirectoryChange::Present(member(MemberState::Leaving(later)));
    let directory = directory.with_changes(2, vec![again], later);
    let state = |directory: &Directory| directory.member("a").map(|member| member.state);
    assert_eq!(state(&directory), Some(MemberState::Leaving(first)));
    let gone = DirectoryChange::Gone {
        id: Arc::from("a"),
        changed: 2,
    };
    let updated = directory.with_changes(3, vec![gone], later);
    assert_eq!(state(&updated), Some(MemberState::Gone(first)));
    let replaced = directory.with_entries(3, Vec::new(), later);
    assert_eq!(state(&replaced), Some(MemberState::Gone(first)));
}

/// A server that is gone for good must not block changes of leader forever.
#[tokio::test(start_paused = true)]
async fn members_gone_for_long_are_removed_with_the_next_change() {
    let now = Departure::at(Instant::now());
    let directory = Directory::default().with_entries(1, vec![member(MemberState::Ready)], now);
    let gone = DirectoryChange::Gone {
        id: Arc::from("a"),
        changed: 2,
    };
    let directory = directory.with_changes(2, vec![gone], now);
    advance(GONE_RETENTION).await;
    let directory = directory.with_changes(3, Vec::new(), Departure::at(Instant::now()));
    assert!(directory.member("a").is_some());
    advance(Duration::from_secs(1)).await;
    let directory = directory.with_changes(4, Vec::new(), Departure::at(Instant::now()));
    assert!(directory.member("a").is_none());
}

/// What happens to a server's entry after it disappeared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryChange {
    Stays,
    Returns,
    Replaced,
}

/// Expected state of an entry that disappeared, some time later, if the store was away before.
#[rstest]
#[case::the_store_was_there(None, EntryChange::Stays, 0, "gone")]
#[case::just_back(Some(0), EntryChange::Stays, 0, "lapsed")]
#[case::within_two_seconds(Some(0), EntryChange::Stays, 1_900, "lapsed")]
#[case::missing_after_that(Some(0), EntryChange::Stays, 2_500, "gone")]
#[case::learned_late(Some(1_500), EntryChange::Stays, 1_000, "gone")]
#[case::long_after_the_return(Some(3_000), EntryChange::Stays, 0, "gone")]
#[case::returns(Some(0), EntryChange::Returns, 1_500, "ready")]
#[case::returns_late(Some(0), EntryChange::Returns, 4_000, "ready")]
#[case::replaced(Some(0), EntryChange::Replaced, 300, "gone")]
#[tokio::test(start_paused = true)]
async fn entries_that_lapse_during_a_store_outage_are_expected_to_return(
    #[case] back_for_ms: Option<u64>,
    #[case] change: EntryChange,
    #[case] later_ms: u64,
    #[case] expected: &str,
) {
    let fleet = Fleet::start(1).await;
    let engine = &fleet.nodes[0].engine;
    let start = Departure::at(Instant::now());
    let directory = Directory::default().with_entries(1, vec![member(MemberState::Ready)], start);
    let returned = Instant::now();
    advance(Duration::from_millis(back_for_ms.unwrap_or(0))).await;
    let departure = Departure::at(Instant::now()).lapsing(back_for_ms.map(|_| returned));
    let mut directory = directory.with_entries(2, Vec::new(), departure);
    let lapsed = directory.member("a").map(|member| member.state);
    if lapsed.is_some_and(|state| state.takes_work()) {
        // The member is used as before, and neither a promotion nor a grace period starts.
        assert!(!is_use_expired(
            engine,
            lapsed.expect("one"),
            Instant::now()
        ));
        assert!(!directory.member("a").expect("one").is_gone());
    }
    advance(Duration::from_millis(later_ms)).await;
    let now = Instant::now();
    let present = match change {
        EntryChange::Stays => None,
        EntryChange::Returns => Some(member(MemberState::Ready)),
        EntryChange::Replaced => Some(Member {
            id: "b".into(),
            ..member(MemberState::Ready)
        }),
    };
    if let Some(present) = present {
        let departure = Departure::at(now).lapsing(Some(returned));
        directory = directory.with_entries(3, vec![present], departure);
    }
    let directory = directory.without_expired_lapses(now).unwrap_or(directory);
    assert_eq!(directory.member("a").expect("one").state.name(), expected);
}

/// Other processes learn that an entry has lapsed and how long it is still expected to return.
#[tokio::test(start_paused = true)]
async fn lapsed_entries_are_sent_to_other_processes() {
    let fleet = Fleet::start(2).await;
    let engines = [&fleet.nodes[0].engine, &fleet.nodes[1].engine];
    let until_known = || engines.iter().all(|engine| engine.processes() == 2);
    support::until(until_known).await;
    let now = Instant::now();
    let departure = Departure::at(now).lapsing(Some(now));
    let entries = fleet.world.entries().into_iter();
    let present = entries.filter(|member| &*member.id != "c");
    let version = engines[1].directory().version + 1_000_000;
    let directory = engines[0].directory();
    engines[0].set_directory(directory.with_entries(version, present.collect(), departure));
    fleet.world.unlisted.lock().unwrap().insert("c".to_owned());
    stilequay_engine::peers::declared::query(engines[1]).await;
    let state = engines[1]
        .directory()
        .member("c")
        .map(|member| member.state);
    assert_eq!(state.expect("one").name(), "lapsed");
}
