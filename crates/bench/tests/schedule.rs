//! A schedule of faults is a function of its seed and keeps its promises.

use proptest::prelude::*;
use std::time::Duration;
use stilequay_bench::experiment::faults::schedule::{Affected, Targets, schedule};

const LENGTH: Duration = Duration::from_secs(30);
const TARGETS: Targets = Targets {
    daemons: 3,
    groups: 2,
    members: 3,
};

proptest! {
    #[test]
    fn the_same_seed_gives_the_same_schedule(seed in any::<u64>()) {
        prop_assert_eq!(schedule(seed, LENGTH, TARGETS), schedule(seed, LENGTH, TARGETS));
    }

    #[test]
    fn each_thing_has_one_fault_at_a_time_and_all_end(seed in any::<u64>()) {
        let faults = schedule(seed, LENGTH, TARGETS);
        for (index, fault) in faults.iter().enumerate() {
            prop_assert!(fault.begins < fault.ends && fault.ends <= LENGTH);
            let affected = fault.fault.affected();
            for later in &faults[index + 1..] {
                let together = later.begins <= fault.ends;
                let daemons = matches!(
                    (affected, later.fault.affected()),
                    (Affected::Daemon(_), Affected::Daemon(_))
                );
                prop_assert!(!(together && (daemons || later.fault.affected() == affected)));
            }
        }
    }
}

#[test]
fn different_seeds_give_different_schedules() {
    assert_ne!(schedule(1, LENGTH, TARGETS), schedule(2, LENGTH, TARGETS));
}
