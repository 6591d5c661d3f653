//! Members that leave, or have left: for how long they may still be given work.

mod support;

use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::directory::{
    Departure, Directory, DirectoryChange, GONE_MEMORY, Member, MemberState,
};
use stilequay_engine::routing::is_past_use;
use support::Fleet;
use tokio::time::{Instant, advance};

const USE: Duration = Duration::from_secs(4);

/// Whether a member that leaves is past its use after `waited`, where its departure was
/// learned of `unseen` after the entries had last said nothing of it.
#[rstest]
#[case::learned_at_once(Some(0), 3_900, false)]
#[case::for_its_time(Some(0), 4_100, true)]
#[case::learned_late(Some(3_000), 900, false)]
#[case::learned_late_for_the_rest_of_its_time(Some(3_000), 1_100, true)]
#[case::seen_for_the_first_time_already_leaving(None, 0, true)]
#[tokio::test(start_paused = true)]
async fn a_leaving_member_is_used_from_when_others_may_have_known(
    #[case] unseen_ms: Option<u64>,
    #[case] waited_ms: u64,
    #[case] expected: bool,
) {
    let fleet = Fleet::start(1).await;
    let before = Instant::now();
    advance(Duration::from_millis(unseen_ms.unwrap_or(0))).await;
    let departure = Departure {
        learned: Instant::now(),
        earliest: unseen_ms.map(|_| before),
    };
    advance(Duration::from_millis(waited_ms)).await;
    let engine = &fleet.nodes[0].engine;
    assert_eq!(engine.settings().leaving_use, USE);
    for state in [
        MemberState::Leaving(departure),
        MemberState::Gone(departure),
    ] {
        assert_eq!(is_past_use(engine, state, Instant::now()), expected);
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
        state,
    }
}

/// Neither a repeated entry nor its disappearance makes a departure younger.
#[tokio::test(start_paused = true)]
async fn a_departure_keeps_its_age() {
    let first = Departure::at(Instant::now());
    let leaving = member(MemberState::Leaving(first));
    let directory = Directory::default().replaced(1, vec![leaving], first);
    advance(Duration::from_secs(1)).await;
    let later = Departure::at(Instant::now());
    let again = DirectoryChange::Present(member(MemberState::Leaving(later)));
    let directory = directory.updated(2, vec![again], later);
    let state = |directory: &Directory| directory.member("a").map(|member| member.state);
    assert_eq!(state(&directory), Some(MemberState::Leaving(first)));
    let gone = DirectoryChange::Gone(Arc::from("a"));
    let updated = directory.updated(3, vec![gone], later);
    assert_eq!(state(&updated), Some(MemberState::Gone(first)));
    let replaced = directory.replaced(3, Vec::new(), later);
    assert_eq!(state(&replaced), Some(MemberState::Gone(first)));
}

/// A server that is gone for good must not hold up changes of leader for ever.
#[tokio::test(start_paused = true)]
async fn what_has_gone_long_ago_is_forgotten_with_the_next_change() {
    let now = Departure::at(Instant::now());
    let directory = Directory::default().replaced(1, vec![member(MemberState::Ready)], now);
    let gone = DirectoryChange::Gone(Arc::from("a"));
    let directory = directory.updated(2, vec![gone], now);
    advance(GONE_MEMORY).await;
    let directory = directory.updated(3, Vec::new(), Departure::at(Instant::now()));
    assert!(directory.member("a").is_some());
    advance(Duration::from_secs(1)).await;
    let directory = directory.updated(4, Vec::new(), Departure::at(Instant::now()));
    assert!(directory.member("a").is_none());
}
