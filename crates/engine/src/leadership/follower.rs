//! Follows the records in the store, and reads the term records when evidence is needed.

use super::fleet;
use super::fleet_index;
use super::record::{RecordError, TermPhase, TermRecord};
use super::roster;
use crate::decoding::{UndecodableKind, report_undecodable};
use crate::directory::{Directory, Role};
use crate::engine::Engine;
use crate::events::{DependencyMonitor, Event};
use crate::following::{self, Feed};
use crate::group::Group;
use crate::home::placement::block_of;
use crate::names::{GroupName, MemberId};
use crate::peers;
use crate::ports::{
    PutOutcome, Record, RecordChanges, RecordPut, RecordStore, RecordStoreError, TermSnapshot,
};
use crate::version::{StoreEra, StoreVersion, era_of};
use bytes::Bytes;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::{Instant, sleep};

/// A term record with its version in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedTerm {
    /// The record.
    pub record: TermRecord,
    /// Its version in the store; zero if the store has lost it.
    pub version: StoreVersion,
}

impl VersionedTerm {
    /// Decodes the content `value` of a record that the store has at `version`.
    ///
    /// # Errors
    ///
    /// [`RecordError::Malformed`] if `value` doesn't encode a term record.
    pub fn decode(value: &[u8], version: StoreVersion) -> Result<Self, RecordError> {
        let record = TermRecord::decode(value)?;
        Ok(Self { record, version })
    }

    /// The record as it is sent to other processes.
    pub(crate) fn to_snapshot(&self) -> TermSnapshot {
        TermSnapshot {
            value: self.record.encode(),
            version: self.version,
        }
    }

    /// The record in the form of the store.
    fn to_record(&self) -> Record {
        Record {
            key: TermRecord::key(&self.record.group),
            value: self.record.encode(),
            version: self.version,
        }
    }
}

/// Reads and watches the records in the store.
#[derive(Debug)]
pub struct TermFollower {
    records: Arc<dyn RecordStore>,
    reading: AsyncMutex<()>,
    known: Mutex<HashMap<GroupName, VersionedTerm>>,
    has_read: tokio::sync::watch::Sender<bool>,
    /// Whether it is known if the store has a record of this process.
    knows_own: tokio::sync::watch::Sender<bool>,
    other_records: tokio::sync::watch::Sender<HashMap<String, Record>>,
    version: tokio::sync::watch::Sender<StoreVersion>,
    /// Groups whose record the store has lost or has reverted to an earlier one.
    lost: tokio::sync::watch::Sender<BTreeSet<GroupName>>,
}

impl TermFollower {
    /// Creates a follower; reads nothing yet.
    pub fn new(records: Arc<dyn RecordStore>) -> Self {
        Self {
            records,
            reading: AsyncMutex::new(()),
            known: Mutex::default(),
            has_read: tokio::sync::watch::Sender::new(false),
            knows_own: tokio::sync::watch::Sender::new(false),
            other_records: tokio::sync::watch::Sender::new(HashMap::new()),
            version: tokio::sync::watch::Sender::new(0),
            lost: tokio::sync::watch::Sender::new(BTreeSet::new()),
        }
    }

    /// The store that holds the records.
    pub fn store(&self) -> &Arc<dyn RecordStore> {
        &self.records
    }

    /// The last known record of `group`.
    pub fn known(&self, group: &str) -> Option<VersionedTerm> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(group).cloned()
    }

    /// Notifies of changes of the records other than term records, by key.
    pub fn subscribe_other_records(&self) -> tokio::sync::watch::Receiver<HashMap<String, Record>> {
        self.other_records.subscribe()
    }

    /// Reads the record of `group` and those of the other groups of its [block](block_of), unless
    /// another task has done so since `since`.
    ///
    /// # Errors
    ///
    /// [`RecordStoreError`] if the store did not answer.
    pub async fn refresh(
        &self,
        engine: &Engine,
        group: &Group,
        since: Instant,
    ) -> Result<(), RecordStoreError> {
        let _one_at_a_time = self.reading.lock().await;
        if group.evidence() >= Some(since) {
            return Ok(());
        }
        let directory = engine.directory();
        let groups = groups_in_block(&directory, group);
        // The block contains the group, so it isn't empty.
        let (first, last) = (&groups[0], &groups[groups.len() - 1]);
        let (first, last) = (TermRecord::key(first), TermRecord::key(last));
        let read_started = Instant::now();
        let records = self.records.read_between(&first, &last).await?;
        self.apply(engine, &records, Some(read_started));
        self.apply_initial_leaders(engine, groups, read_started);
        Ok(())
    }

    /// Confirms the known records of `group` and of the other groups of its block as the newest
    /// ones at the time `as_of`.
    pub(super) fn confirm_block(&self, engine: &Engine, group: &Group, as_of: Instant) {
        let directory = engine.directory();
        let groups = groups_in_block(&directory, group);
        for name in groups {
            if let Some(term) = self.known(name) {
                let record = resolve_acting_leader(&directory, term.record);
                let group = engine.group(name);
                if group.apply_record(&record, Some(as_of), Instant::now()) {
                    emit_leader_changed(engine, &group);
                }
            }
        }
        self.apply_initial_leaders(engine, groups, as_of);
    }

    /// Reads all term records.
    ///
    /// # Errors
    ///
    /// [`RecordStoreError`] if the store did not answer.
    pub(super) async fn read_terms(&self, engine: &Engine) -> Result<(), RecordStoreError> {
        let read_started = Instant::now();
        let read = self.records.read(TermRecord::KEY_PREFIX).await?;
        self.apply(engine, &read, Some(read_started));
        Ok(())
    }

    /// The version of the newest known term record; zero if there is none.
    pub(super) fn newest_term(&self) -> StoreVersion {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let versions = known.values().map(|term| term.version);
        versions.max().unwrap_or(0)
    }

    /// Reads only the fleet index; returns whether there is one.
    ///
    /// # Errors
    ///
    /// [`RecordStoreError`] if the store did not answer.
    pub async fn read_index(&self) -> Result<bool, RecordStoreError> {
        let key = fleet_index::KEY;
        let read = self.records.read_between(key, key).await?;
        let found = !read.written.is_empty();
        self.insert_other_records(read.written);
        Ok(found)
    }

    /// Reads only the records of the processes of the fleet.
    ///
    /// # Errors
    ///
    /// [`RecordStoreError`] if the store did not answer.
    pub async fn read_processes(&self) -> Result<(), RecordStoreError> {
        let read = self.records.read(fleet::KEY_PREFIX).await?;
        self.insert_other_records(read.written);
        self.knows_own.send_replace(true);
        Ok(())
    }

    fn insert_other_records(&self, records: Vec<Record>) {
        let records = records.into_iter();
        self.other_records.send_modify(|others| {
            others.extend(records.map(|record| (record.key.clone(), record)));
        });
    }

    /// Waits until it is known whether the store has a record of this process.
    pub async fn wait_until_own_known(&self) {
        let mut knows_own = self.knows_own.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = knows_own.wait_for(|known| *known).await;
    }

    /// Follows the records until the process ends.
    pub async fn follow(&self, engine: &Engine) {
        let mut version = None;
        let mut failures = 0;
        let mut dependency = DependencyMonitor::new("term_records");
        loop {
            let became_direct = engine.following().wait_until_direct().await;
            if became_direct {
                version = engine.following().resume_from(Feed::Records);
                version = version.filter(|_| self.has_read());
            }
            let read_started = Instant::now();
            let result = match version {
                None => self.records.read("").await,
                Some(after) => {
                    let wait = following::initial_watch_timeout(
                        became_direct,
                        failures,
                        engine.watch_timeout(),
                    );
                    self.records.watch(after, wait).await
                }
            };
            match result {
                Ok(changes) => {
                    failures = 0;
                    dependency.record_outcome(engine.events(), None);
                    let is_full_read = version.is_none();
                    self.apply(engine, &changes, is_full_read.then_some(read_started));
                    self.mark_read();
                    if is_full_read {
                        self.drop_lost(era_of(changes.version));
                        let groups = engine.directory().groups();
                        self.apply_initial_leaders(engine, &groups, read_started);
                    }
                    version = Some(changes.version);
                    self.advance_version(changes.version);
                    engine.slow_starts().advance_records_as_of(read_started);
                    let now = Instant::now();
                    engine
                        .following()
                        .mark_current(Feed::Records, now, changes.version);
                    if !changes.written.is_empty() {
                        following::pause_after_changes(engine, Feed::Records).await;
                    }
                }
                Err(RecordStoreError::HistoryGone) => version = None,
                Err(error) => {
                    failures += 1;
                    engine.following().mark_failed(Feed::Records, failures);
                    dependency.record_outcome(engine.events(), Some(error.to_string()));
                    if !following::uses_relays(engine) {
                        peers::query(engine, &engine.directory().groups()).await;
                    }
                    sleep(following::retry_backoff(engine, failures)).await;
                }
            }
        }
    }

    /// The version of the store as of which the records are known.
    pub fn version(&self) -> StoreVersion {
        *self.version.borrow()
    }

    /// Notifies of later versions.
    pub fn subscribe_version(&self) -> tokio::sync::watch::Receiver<StoreVersion> {
        self.version.subscribe()
    }

    /// Notifies of groups whose record the store has lost.
    pub fn subscribe_lost(&self) -> tokio::sync::watch::Receiver<BTreeSet<GroupName>> {
        self.lost.subscribe()
    }

    /// Notes that the store has the record of `group`, or another one, again.
    pub fn clear_lost(&self, group: &GroupName) {
        self.lost.send_if_modified(|lost| lost.remove(group));
    }

    /// The known records that were written after `version`.
    pub fn records_after(&self, version: StoreVersion) -> Vec<Record> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let terms = known.values().map(|term| term.to_record());
        let others = self.other_records.borrow();
        let all = terms.chain(others.values().cloned());
        all.filter(|record| record.version > version).collect()
    }

    /// Applies changes that another process has read from the store.
    pub fn apply_changes(&self, engine: &Engine, changes: &RecordChanges) {
        let era = era_of(changes.version);
        let is_new_era = era > era_of(self.version());
        self.apply(engine, changes, None);
        // On entering a later era, the changes contain every record of it.
        if is_new_era {
            self.drop_lost(era);
        }
        self.advance_version(changes.version);
        // The first changes contain all records: groups without one were never promoted.
        if changes.version > 0 && !self.mark_read() {
            self.directory_changed(engine);
        }
    }

    /// Drops the records that the store has lost, which are those not seen in `era`; all records of
    /// `era` must be known. Term records are only marked as lost, because an epoch that was given
    /// to one leader must not be given to another.
    fn drop_lost(&self, era: StoreEra) {
        let is_lost = |version: StoreVersion| version > 0 && era_of(version) < era;
        self.other_records.send_if_modified(|others| {
            let before = others.len();
            others.retain(|_, record| !is_lost(record.version));
            others.len() < before
        });
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        for term in known.values_mut().filter(|term| is_lost(term.version)) {
            term.version = 0;
            self.mark_lost(&term.record.group);
        }
    }

    fn mark_lost(&self, group: &GroupName) {
        self.lost.send_modify(|lost| {
            lost.insert(group.clone());
        });
    }

    fn advance_version(&self, version: StoreVersion) {
        self.version.send_if_modified(|known| {
            let later = *known < version;
            *known = version.max(*known);
            later
        });
    }

    /// Applies one term record that this process has just written or read. `evidence` is the time
    /// at which that call was started, if the record is known to be the newest.
    pub fn apply_one(&self, engine: &Engine, term: VersionedTerm, evidence: Option<Instant>) {
        if !self.insert_if_newer(&term) {
            return;
        }
        let group = engine.group(&term.record.group);
        let record = resolve_acting_leader(&engine.directory(), term.record);
        if group.apply_record(&record, evidence, Instant::now()) {
            emit_leader_changed(engine, &group);
        }
    }

    /// Writes `value` over `known`, a record other than a term record, and remembers it. A record
    /// that another process has written meanwhile is not overwritten.
    ///
    /// # Errors
    ///
    /// [`RecordStoreError`] if the store did not answer.
    pub async fn put_other_record(
        &self,
        key: String,
        known: Option<&Record>,
        value: Bytes,
    ) -> Result<PutOutcome, RecordStoreError> {
        let expected = known.map_or(0, |known| known.version);
        let put = RecordPut {
            key,
            expected,
            value,
        };
        self.put_other_records(vec![put]).await
    }

    /// Like [`Self::put_other_record`] for several records in one call: all are written, or none.
    ///
    /// # Errors
    ///
    /// [`RecordStoreError`] if the store did not answer.
    pub async fn put_other_records(
        &self,
        puts: Vec<RecordPut>,
    ) -> Result<PutOutcome, RecordStoreError> {
        let outcome = self.records.put_all(&puts).await?;
        if let PutOutcome::Stored(version) = outcome {
            let written = puts.into_iter().map(|put| Record {
                key: put.key,
                value: put.value,
                version,
            });
            self.insert_other_records(written.collect());
        }
        Ok(outcome)
    }

    /// Applies a changed directory: a leader may have returned under another member id.
    pub fn directory_changed(&self, engine: &Engine) {
        let directory = engine.directory();
        for name in directory.groups() {
            let group = engine.group(&name);
            let changed = match self.known(&name) {
                Some(term) => {
                    let record = resolve_acting_leader(&directory, term.record);
                    group.apply_record(&record, None, Instant::now())
                }
                None => group.apply_initial_leader(initial_leader(&directory, &name), None),
            };
            if changed {
                emit_leader_changed(engine, &group);
            }
        }
    }

    /// Applies records that were read. `evidence` is the time at which the read was started, if it
    /// returned the newest records. A watch may deliver changes late, so its results are no
    /// evidence.
    fn apply(&self, engine: &Engine, changes: &RecordChanges, evidence: Option<Instant>) {
        for record in &changes.written {
            if record.key.starts_with(TermRecord::KEY_PREFIX) {
                self.apply_stored(engine, record, evidence);
            } else {
                roster::apply_record(engine, record);
                self.other_records.send_modify(|others| {
                    others.insert(record.key.clone(), record.clone());
                });
            }
        }
    }

    /// Whether all records were read. Before that, members whose entries have gone may be unknown.
    pub fn has_read(&self) -> bool {
        *self.has_read.borrow()
    }

    /// Notes that all records are known; returns whether they already were.
    fn mark_read(&self) -> bool {
        self.knows_own.send_replace(true);
        self.has_read.send_replace(true)
    }

    /// Waits until all records were read.
    pub async fn wait_until_read(&self) {
        let mut has_read = self.has_read.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = has_read.wait_for(|read| *read).await;
    }

    fn apply_stored(&self, engine: &Engine, record: &Record, evidence: Option<Instant>) {
        match VersionedTerm::decode(&record.value, record.version) {
            Ok(term) => self.apply_one(engine, term, evidence),
            Err(error) => {
                let (events, kind) = (engine.events(), UndecodableKind::TermRecord);
                report_undecodable(events, kind, &record.key, None, &error.into());
            }
        }
    }

    /// Applies the leaders of groups without a record. Nobody was ever promoted there, so the
    /// member whose entry says that it is primary leads.
    fn apply_initial_leaders(&self, engine: &Engine, groups: &[GroupName], as_of: Instant) {
        let directory = engine.directory();
        for name in groups {
            if self.known(name).is_none() {
                let leader = initial_leader(&directory, name);
                engine.group(name).apply_initial_leader(leader, Some(as_of));
            }
        }
    }

    /// Stores `term` unless a later one is known; returns whether it was stored. A restored store
    /// may return an earlier term under a later version: of that, only the version is kept, to be
    /// overwritten with the known term.
    fn insert_if_newer(&self, term: &VersionedTerm) -> bool {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let group = &term.record.group;
        match known.get_mut(group) {
            Some(before) if before.version > term.version => false,
            Some(before) if before.record.is_ahead_of(&term.record) => {
                before.version = term.version;
                self.mark_lost(group);
                false
            }
            _ => {
                known.insert(group.clone(), term.clone());
                self.clear_lost(group);
                true
            }
        }
    }
}

/// The groups of the [block](block_of) of `group`, including itself.
fn groups_in_block<'a>(directory: &'a Directory, group: &'a Group) -> &'a [GroupName] {
    let block = block_of(directory.group_names(), group.name());
    block.map_or(std::slice::from_ref(group.name()), |block| block.groups)
}

/// The record with its target replaced by the member that acts for it, if the term is active.
pub(super) fn resolve_acting_leader(directory: &Directory, record: TermRecord) -> TermRecord {
    let acting = |id: &MemberId| {
        let address = record.target_address;
        let member = directory.acting_member(&record.group, id, address);
        member.map_or_else(|| id.clone(), |member| member.id.clone())
    };
    let target = match record.phase {
        TermPhase::Active => record.target.as_ref().map(acting),
        _ => record.target.clone(),
    };
    TermRecord { target, ..record }
}

fn emit_leader_changed(engine: &Engine, group: &Group) {
    let view = group.view();
    engine.events().write(&Event::LeaderChanged {
        group: group.name().clone(),
        epoch: view.epoch,
        leader: view.leader,
        confirmed: view.confirmed,
    });
}

/// The only member of `group` whose entry says that it is primary, if there is exactly one.
fn initial_leader(directory: &Directory, group: &str) -> Option<MemberId> {
    let members = directory.members_of(group);
    let mut leaders = members
        .iter()
        .filter(|member| member.role == Role::Primary)
        .filter(|member| !member.is_gone());
    let leader = leaders.next()?;
    leaders.next().is_none().then(|| leader.id.clone())
}
