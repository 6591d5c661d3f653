//! Session floors: the register's rules one by one, and what happens without them.

use rstest::rstest;
use stilequay_coordination::floors::{
    Acknowledgement, BYTES_PER_SESSION, Epoch, FloorPlacement, FloorRefusal, FloorRegister,
    FloorRegisterSettings, FloorReply, FloorRequest, Readiness, SessionKey,
};
use stilequay_coordination::identity::NodeId;
use stilequay_coordination::position::{Floor, LogPosition, Term};

fn floor(position: u64) -> Floor {
    Floor::new(Term(1), LogPosition(position))
}

fn session(name: &str) -> SessionKey {
    SessionKey::of(name)
}

fn nodes(names: &str) -> Vec<NodeId> {
    names
        .chars()
        .map(|name| NodeId::new(String::from(name)))
        .collect()
}

fn placement(epoch: u64, homes: &str, previous: &str) -> FloorPlacement {
    FloorPlacement {
        epoch: Epoch(epoch),
        homes: nodes(homes),
        previous: nodes(previous),
    }
}

fn started(own: &str) -> FloorRegister {
    FloorRegister::new(NodeId::new(own), FloorRegisterSettings { capacity: 3 })
}

/// A register that serves `placement` with the default floor at `position`.
fn ready(own: &str, placement: FloorPlacement, position: u64) -> FloorRegister {
    let epoch = placement.epoch;
    let mut register = started(own);
    register.begin(placement);
    register.set_default_floor(epoch, floor(position));
    assert_eq!(register.readiness(), Readiness::Ready);
    register
}

fn store(register: &mut FloorRegister, epoch: u64, name: &str, position: u64) -> FloorReply {
    register.handle(FloorRequest::Store {
        epoch: Epoch(epoch),
        session: session(name),
        floor: floor(position),
    })
}

fn load(register: &mut FloorRegister, epoch: u64, name: &str) -> FloorReply {
    register.handle(FloorRequest::Load {
        epoch: Epoch(epoch),
        session: session(name),
    })
}

/// Lets `asked` acknowledge `epoch`, and tells `asker` of it.
fn acknowledge(asker: &mut FloorRegister, name: &str, asked: &mut FloorRegister, epoch: u64) {
    let reply = asked.handle(FloorRequest::Acknowledge {
        epoch: Epoch(epoch),
    });
    let FloorReply::Acknowledged(acknowledgement) = reply else {
        panic!("not acknowledged: {reply:?}");
    };
    asker.acknowledged_by(&NodeId::new(name), acknowledgement);
}

const NOT_READY: FloorReply = FloorReply::Refused(FloorRefusal::NotReady);

fn other_epoch(current: u64) -> FloorReply {
    let current = Epoch(current);
    FloorReply::Refused(FloorRefusal::OtherEpoch { current })
}

#[test]
fn a_home_stores_before_its_default_floor_and_answers_after_it() {
    let mut home = started("a");
    assert_eq!(store(&mut home, 0, "s", 1), NOT_READY);
    home.begin(placement(1, "abc", ""));
    assert_eq!(home.readiness(), Readiness::Storing);
    assert_eq!(store(&mut home, 1, "s", 9), FloorReply::Stored);
    assert_eq!(store(&mut home, 1, "late", 2), FloorReply::Stored);
    assert_eq!(load(&mut home, 1, "s"), NOT_READY);
    home.set_default_floor(Epoch(1), floor(5));
    assert_eq!(load(&mut home, 1, "s"), FloorReply::Floor(floor(9)));
    assert_eq!(load(&mut home, 1, "unknown"), FloorReply::Floor(floor(5)));
    // An earlier life may have kept a higher floor of this session than the late one.
    assert_eq!(load(&mut home, 1, "late"), FloorReply::Floor(floor(5)));
}

#[test]
fn a_late_store_of_a_lower_floor_changes_nothing() {
    let mut home = ready("a", placement(1, "abc", ""), 0);
    store(&mut home, 1, "s", 9);
    assert_eq!(store(&mut home, 1, "s", 4), FloorReply::Stored);
    assert_eq!(load(&mut home, 1, "s"), FloorReply::Floor(floor(9)));
}

#[test]
fn evicting_a_session_raises_the_default_floor_to_cover_it() {
    let mut home = ready("a", placement(1, "abc", ""), 1);
    for (name, position) in [("s", 5), ("t", 6), ("u", 7), ("s", 8), ("v", 9)] {
        store(&mut home, 1, name, position);
    }
    assert_eq!(home.sessions(), 3);
    // "t" was stored longest ago.
    assert_eq!(load(&mut home, 1, "t"), FloorReply::Floor(floor(6)));
    assert_eq!(load(&mut home, 1, "unknown"), FloorReply::Floor(floor(6)));
    assert_eq!(load(&mut home, 1, "s"), FloorReply::Floor(floor(8)));
}

#[test]
fn a_session_takes_at_most_a_hundred_bytes() {
    const { assert!(BYTES_PER_SESSION <= 100) };
}

#[rstest]
#[case::older(1, other_epoch(2))]
#[case::own(2, FloorReply::Floor(floor(5)))]
#[case::newer(3, other_epoch(2))]
fn a_home_refuses_calls_of_other_epochs(#[case] epoch: u64, #[case] expected: FloorReply) {
    let mut home = ready("a", placement(2, "abc", ""), 5);
    assert_eq!(load(&mut home, epoch, "s"), expected);
}

#[test]
fn an_acknowledged_epoch_ends_the_one_before() {
    let mut home = ready("a", placement(1, "abc", ""), 5);
    home.handle(FloorRequest::Acknowledge { epoch: Epoch(2) });
    assert_eq!(load(&mut home, 1, "s"), other_epoch(2));
    assert_eq!(store(&mut home, 1, "s", 9), other_epoch(2));
    // An older placement does not bring it back.
    home.begin(placement(1, "abc", ""));
    assert_eq!(load(&mut home, 1, "s"), other_epoch(2));
}

#[test]
fn an_epoch_is_sealed_only_after_the_one_before_it() {
    let mut home = started("d");
    home.begin(placement(3, "def", "abc"));
    let unsealed = Acknowledgement {
        epoch: Epoch(3),
        sealed: Epoch(1),
    };
    home.acknowledged_by(&NodeId::new("a"), unsealed);
    home.acknowledged_by(&NodeId::new("b"), unsealed);
    assert_eq!(home.readiness(), Readiness::Refusing);
    let sealed = Acknowledgement {
        sealed: Epoch(2),
        ..unsealed
    };
    home.acknowledged_by(&NodeId::new("b"), sealed);
    assert_eq!(home.readiness(), Readiness::Storing);
}

#[test]
fn a_home_of_both_sets_keeps_its_floors_and_needs_no_new_default_floor() {
    let (mut a, mut b) = (
        ready("a", placement(1, "abc", ""), 1),
        ready("b", placement(1, "abc", ""), 1),
    );
    store(&mut a, 1, "s", 9);
    a.begin(placement(2, "abd", "abc"));
    assert_eq!(load(&mut a, 2, "s"), NOT_READY);
    let itself = Acknowledgement {
        epoch: Epoch(2),
        sealed: Epoch(1),
    };
    a.acknowledged_by(&NodeId::new("a"), itself);
    acknowledge(&mut a, "b", &mut b, 2);
    assert_eq!(load(&mut a, 2, "s"), FloorReply::Floor(floor(9)));
}

#[test]
fn a_placement_published_again_as_sealed_needs_no_acknowledgements() {
    let mut home = started("d");
    home.begin(placement(3, "def", "abc"));
    assert_eq!(home.readiness(), Readiness::Refusing);
    home.begin(placement(3, "def", ""));
    assert_eq!(home.readiness(), Readiness::Storing);
}

#[test]
fn a_barrier_of_an_earlier_epoch_gives_no_default_floor() {
    let mut home = started("d");
    home.begin(placement(1, "bcd", ""));
    home.begin(placement(2, "cde", ""));
    home.set_default_floor(Epoch(1), floor(5));
    assert_eq!(load(&mut home, 2, "s"), NOT_READY);
}

/// Two majorities of different sets need not meet: with no rule for epochs, a new
/// home can take its default floor, and then a write is acknowledged by the old set.
#[test]
fn without_the_rule_for_epochs_a_read_misses_an_acknowledged_write() {
    let mut old = [
        ready("a", placement(1, "abc", ""), 1),
        ready("b", placement(1, "abc", ""), 1),
    ];
    // Wrong on purpose: nothing before the new epoch is sealed.
    let mut new = [
        ready("d", placement(2, "cde", ""), 5),
        ready("e", placement(2, "cde", ""), 5),
    ];
    for home in &mut old {
        assert_eq!(store(home, 1, "s", 6), FloorReply::Stored);
    }
    for home in &mut new {
        assert_eq!(load(home, 2, "s"), FloorReply::Floor(floor(5)));
    }
}

#[test]
fn with_the_rule_for_epochs_the_old_set_acknowledges_nothing_that_the_new_one_misses() {
    let mut old = [
        ready("a", placement(1, "abc", ""), 1),
        ready("b", placement(1, "abc", ""), 1),
    ];
    let mut new = started("d");
    new.begin(placement(2, "cde", "abc"));
    new.set_default_floor(Epoch(2), floor(5));
    assert_eq!(load(&mut new, 2, "s"), NOT_READY);
    assert_eq!(store(&mut new, 2, "s", 6), NOT_READY);
    for (home, name) in old.iter_mut().zip(["a", "b"]) {
        acknowledge(&mut new, name, home, 2);
        assert_eq!(store(home, 1, "s", 6), other_epoch(2));
    }
    assert_eq!(new.readiness(), Readiness::Storing);
}

/// A mark placed before the commit is not enough: the home may lose it and take its
/// default floor before the commit happens.
#[rstest]
#[case::mark_before_the_commit(true, 5)]
#[case::floor_after_the_commit(false, 6)]
fn a_mark_placed_before_the_commit_can_be_lost(
    #[case] stored_before: bool,
    #[case] floor_read: u64,
) {
    let mut committed = 5;
    let mut homes = [
        ready("a", placement(1, "abc", ""), 1),
        ready("b", placement(1, "abc", ""), 1),
    ];
    if stored_before {
        for home in &mut homes {
            store(home, 1, "s", committed + 1);
        }
    }
    // Both lose their memory, one after the other, and take their default floors.
    homes = [
        ready("a", placement(1, "abc", ""), committed),
        ready("b", placement(1, "abc", ""), committed),
    ];
    committed += 1;
    if !stored_before {
        for home in &mut homes {
            store(home, 1, "s", committed);
        }
    }
    // The write is acknowledged here: both homes said that they keep its floor.
    for home in &mut homes {
        assert_eq!(load(home, 1, "s"), FloorReply::Floor(floor(floor_read)));
    }
}
