//! The platform's ports over the real adapters, against the stand-in.
#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;
use stilequay_daemon::adapters::platform::guard::{
    GuardSettings, GuardedMachineList, GuardedResourceTable, GuardedSnapshotStore,
};
use stilequay_daemon::adapters::platform::{DynamoTable, HttpMachineList, S3SnapshotStore};
use stilequay_daemon::domain::names::Revision;
use stilequay_daemon::ports::platform::{
    PlatformError, Precondition, ResourceTable, Snapshot, StoredResource,
};
use stilequay_standin::platform::{
    AnswerLoss, LossMoment, LossSelection, Outage, PlatformHandle, PlatformSettings, ServiceFaults,
    start,
};

/// Long enough for any call on any machine under load.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Longer than any test lasts.
pub const FOREVER_MILLIS: u64 = 3_600_000;

/// The ports of a daemon before a platform.
pub struct Ports {
    pub platform: PlatformHandle,
    pub table: GuardedResourceTable<DynamoTable>,
    pub snapshots: GuardedSnapshotStore<S3SnapshotStore>,
    pub machines: GuardedMachineList<HttpMachineList>,
}

/// Starts a platform and the ports before it. A call may take `timeout`, and
/// repetitions of a read begin within three times that.
pub async fn ports(timeout: Duration) -> Ports {
    let settings = GuardSettings {
        repeat_within_millis: 3 * u64::try_from(timeout.as_millis()).expect("short"),
        ..GuardSettings::default()
    };
    let platform = start(PlatformSettings::default()).await.expect("started");
    let table = DynamoTable::new(&platform.table_url(), timeout);
    let snapshots = S3SnapshotStore::new(&platform.objects_url(), timeout).expect("valid");
    let machines = HttpMachineList::new(&platform.machines_url(), timeout).expect("valid");
    Ports {
        table: GuardedResourceTable::new(table, timeout, settings.clone()),
        snapshots: GuardedSnapshotStore::new(snapshots, timeout, settings.clone()),
        machines: GuardedMachineList::new(machines, timeout, settings),
        platform,
    }
}

/// A service that is out of order as a whole.
pub fn outage(outage: Outage) -> ServiceFaults {
    ServiceFaults {
        outage: Some(outage),
        ..ServiceFaults::default()
    }
}

/// The next `count` calls of any operation lose their answers.
pub fn lose_next(count: u32, moment: LossMoment) -> ServiceFaults {
    ServiceFaults {
        answer_loss: Some(AnswerLoss {
            selection: LossSelection::Next(count),
            moment,
            operations: Vec::new(),
        }),
        ..ServiceFaults::default()
    }
}

/// A change that writes `body` to `key` as `revision`.
pub fn change(key: &str, revision: u64, body: &[u8]) -> StoredResource {
    StoredResource {
        key: key.to_owned(),
        revision: Revision(revision),
        body: Some(body.to_vec()),
    }
}

/// A snapshot as of `revision`.
pub fn snapshot(revision: u64) -> Snapshot {
    Snapshot {
        revision: Revision(revision),
        body: format!("as of {revision}").into(),
    }
}

/// Creates `key` as revision `previous + 1`.
pub async fn create(
    table: &impl ResourceTable,
    key: &str,
    previous: u64,
    token: &str,
) -> Result<(), PlatformError> {
    let change = change(key, previous + 1, key.as_bytes());
    let previous = Revision(previous);
    table
        .commit(change, Precondition::Absent, previous, token)
        .await
}

/// The kind of a result, without its reasons.
pub fn kind<T>(result: &Result<T, PlatformError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(PlatformError::ConditionFailed) => "condition failed",
        Err(PlatformError::Throttled(_)) => "throttled",
        Err(PlatformError::Unavailable(_)) => "unavailable",
        Err(PlatformError::OutcomeUnknown(_)) => "outcome unknown",
        Err(PlatformError::Malformed(_)) => "malformed",
    }
}
