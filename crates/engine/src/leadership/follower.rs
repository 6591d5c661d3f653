//! Follows the records of leaderships, and reads them when evidence is needed.

use super::fleet;
use super::fleet_index;
use super::record::{TermPhase, TermRecord};
use super::roster;
use crate::directory::{Directory, Role};
use crate::engine::Engine;
use crate::events::{DependencyMonitor, Event};
use crate::following::{self, Feed};
use crate::group::Group;
use crate::home::placement::block_of;
use crate::names::{GroupName, MemberId};
use crate::peers;
use crate::ports::{PutOutcome, Record, RecordChanges, RecordPut, RecordStore, RecordStoreError};
use crate::version::{StoreEra, StoreVersion, era_of};
use bytes::Bytes;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::{Instant, sleep};

/// A record of a leadership with its version in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedTerm {
    /// The record.
    pub record: TermRecord,
    /// Its version in the store; zero where the store has lost it.
    pub version: StoreVersion,
}

impl VersionedTerm {
    /// The record as the store has it.
    fn to_record(&self) -> Record {
        Record {
            key: TermRecord::key(&self.record.group),
            value: self.record.encode(),
            version: self.version,
        }
    }
}

/// Reads and watches records.
#[derive(Debug)]
pub struct TermFollower {
    records: Arc<dyn RecordStore>,
    reading: AsyncMutex<()>,
    known: Mutex<HashMap<GroupName, VersionedTerm>>,
    has_read: tokio::sync::watch::Sender<bool>,
    /// Whether it is known which record this process has.
    knows_own: tokio::sync::watch::Sender<bool>,
    others: tokio::sync::watch::Sender<HashMap<String, Record>>,
    version: tokio::sync::watch::Sender<StoreVersion>,
    /// Groups whose record the store has lost, or shows as it was before.
    lost: tokio::sync::watch::Sender<BTreeSet<GroupName>>,
}

impl TermFollower {
    /// Nothing is read yet.
    pub fn new(records: Arc<dyn RecordStore>) -> Self {
        Self {
            records,
            reading: AsyncMutex::new(()),
            known: Mutex::default(),
            has_read: tokio::sync::watch::Sender::new(false),
            knows_own: tokio::sync::watch::Sender::new(false),
            others: tokio::sync::watch::Sender::new(HashMap::new()),
            version: tokio::sync::watch::Sender::new(0),
            lost: tokio::sync::watch::Sender::new(BTreeSet::new()),
        }
    }

    /// The store that the records lie in.
    pub fn store(&self) -> &Arc<dyn RecordStore> {
        &self.records
    }

    /// The record of `group` as it was last seen.
    pub fn known(&self, group: &str) -> Option<VersionedTerm> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(group).cloned()
    }

    /// Records other than those of leaderships, by key.
    pub fn subscribe_others(&self) -> tokio::sync::watch::Receiver<HashMap<String, Record>> {
        self.others.subscribe()
    }

    /// Reads the record of `group` now, and those of the other groups of its
    /// [block](block_of), unless another task has done so since `since`.
    ///
    /// # Errors
    ///
    /// [`RecordStoreError`] where the store gave no answer.
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
        let groups = groups_beside(&directory, group);
        // Neither is empty: they hold the group.
        let (first, last) = (&groups[0], &groups[groups.len() - 1]);
        let (first, last) = (TermRecord::key(first), TermRecord::key(last));
        let begun = Instant::now();
        let records = self.records.read_between(&first, &last).await?;
        self.apply(engine, &records, Some(begun));
        self.apply_first_leaders(engine, groups, begun);
        Ok(())
    }

    /// Takes what is known of `group`, and of the other groups of its block, for the newest as of
    /// `begun`.
    pub(super) fn confirm_block(&self, engine: &Engine, group: &Group, begun: Instant) {
        let directory = engine.directory();
        let groups = groups_beside(&directory, group);
        for name in groups {
            if let Some(term) = self.known(name) {
                let record = acting_record(&directory, term.record);
                let group = engine.group(name);
                if group.apply_record(&record, Some(begun), Instant::now()) {
                    tell_leader(engine, &group);
                }
            }
        }
        self.apply_first_leaders(engine, groups, begun);
    }

    /// Reads the records of all terms.
    ///
    /// # Errors
    ///
    /// [`RecordStoreError`] where the store gave no answer.
    pub(super) async fn read_terms(&self, engine: &Engine) -> Result<(), RecordStoreError> {
        let begun = Instant::now();
        let read = self.records.read(TermRecord::KEY_PREFIX).await?;
        self.apply(engine, &read, Some(begun));
        Ok(())
    }

    /// The version of the newest record of a term that is known; zero where there is none.
    pub(super) fn newest_term(&self) -> StoreVersion {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let versions = known.values().map(|term| term.version);
        versions.max().unwrap_or(0)
    }

    /// Reads the index of the fleet, and no other records; returns whether there is one.
    ///
    /// # Errors
    ///
    /// [`RecordStoreError`] where the store gave no answer.
    pub async fn read_index(&self) -> Result<bool, RecordStoreError> {
        let key = fleet_index::KEY;
        let read = self.records.read_between(key, key).await?;
        let found = !read.written.is_empty();
        self.note_others(read.written);
        Ok(found)
    }

    /// Reads the records of the processes of the fleet, and no others.
    ///
    /// # Errors
    ///
    /// [`RecordStoreError`] where the store gave no answer.
    pub async fn read_processes(&self) -> Result<(), RecordStoreError> {
        let read = self.records.read(fleet::KEY_PREFIX).await?;
        self.note_others(read.written);
        self.knows_own.send_replace(true);
        Ok(())
    }

    fn note_others(&self, records: Vec<Record>) {
        let records = records.into_iter();
        self.others.send_modify(|others| {
            others.extend(records.map(|record| (record.key.clone(), record)));
        });
    }

    /// Resolves once it is known whether this process has a record.
    pub async fn until_own_known(&self) {
        let mut knows_own = self.knows_own.subscribe();
        // The sender lives as long as this does.
        let _ = knows_own.wait_for(|known| *known).await;
    }

    /// Follows the records until the process ends.
    pub async fn follow(&self, engine: &Engine) {
        let mut version = None;
        let mut failures = 0;
        let mut dependency = DependencyMonitor::new("term_records");
        loop {
            let turned = engine.following().until_direct().await;
            if turned {
                version = engine.following().resume_from(Feed::Records);
                version = version.filter(|_| self.has_read());
            }
            let begun = Instant::now();
            let result = match version {
                None => self.records.read("").await,
                Some(after) => {
                    let wait = following::first_wait(turned, failures, engine.feed_wait());
                    self.records.watch(after, wait).await
                }
            };
            match result {
                Ok(changes) => {
                    failures = 0;
                    dependency.note(engine.events(), None);
                    let whole = version.is_none();
                    self.apply(engine, &changes, whole.then_some(begun));
                    self.note_read();
                    if whole {
                        self.forget_lost(era_of(changes.version));
                        let groups = engine.directory().groups();
                        self.apply_first_leaders(engine, &groups, begun);
                    }
                    version = Some(changes.version);
                    self.advance(changes.version);
                    engine.slow_starts().advance_records_as_of(begun);
                    let now = Instant::now();
                    engine
                        .following()
                        .heard(Feed::Records, now, changes.version);
                    if !changes.written.is_empty() {
                        following::pause_after_changes(engine, Feed::Records).await;
                    }
                }
                Err(RecordStoreError::HistoryGone) => version = None,
                Err(error) => {
                    failures += 1;
                    engine.following().failed(Feed::Records, failures);
                    dependency.note(engine.events(), Some(error.to_string()));
                    if !following::follows_others(engine) {
                        peers::ask(engine, &engine.directory().groups()).await;
                    }
                    sleep(following::retry_pause(engine, failures)).await;
                }
            }
        }
    }

    /// The store's version as of which the records are known.
    pub fn version(&self) -> StoreVersion {
        *self.version.borrow()
    }

    /// Tells of later versions.
    pub fn subscribe_version(&self) -> tokio::sync::watch::Receiver<StoreVersion> {
        self.version.subscribe()
    }

    /// Tells of groups whose record the store has lost.
    pub fn subscribe_lost(&self) -> tokio::sync::watch::Receiver<BTreeSet<GroupName>> {
        self.lost.subscribe()
    }

    /// Notes that the record of `group` is in the store again, or another in its place.
    pub fn found(&self, group: &GroupName) {
        self.lost.send_if_modified(|lost| lost.remove(group));
    }

    /// The records that were written after `version`, as far as they are known.
    pub fn records_after(&self, version: StoreVersion) -> Vec<Record> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let terms = known.values().map(|term| term.to_record());
        let others = self.others.borrow();
        let all = terms.chain(others.values().cloned());
        all.filter(|record| record.version > version).collect()
    }

    /// Takes changes that another process has learned from the store.
    pub fn take_changes(&self, engine: &Engine, changes: &RecordChanges) {
        let era = era_of(changes.version);
        let entered = era > era_of(self.version());
        self.apply(engine, changes, None);
        // All that there is in a later era is newer than what was known.
        if entered {
            self.forget_lost(era);
        }
        self.advance(changes.version);
        // Whoever knows nothing is told everything: groups without a record were never promoted.
        if changes.version > 0 && !self.note_read() {
            self.directory_changed(engine);
        }
    }

    /// Forgets what the store has lost: what was not seen in `era`, of which everything is
    /// known. Terms are not forgotten: a number that was given to one leader must not be given
    /// to another.
    fn forget_lost(&self, era: StoreEra) {
        let is_lost = |version: StoreVersion| version > 0 && era_of(version) < era;
        self.others.send_if_modified(|others| {
            let before = others.len();
            others.retain(|_, record| !is_lost(record.version));
            others.len() < before
        });
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        for term in known.values_mut().filter(|term| is_lost(term.version)) {
            term.version = 0;
            self.note_lost(&term.record.group);
        }
    }

    fn note_lost(&self, group: &GroupName) {
        self.lost.send_modify(|lost| {
            lost.insert(group.clone());
        });
    }

    fn advance(&self, version: StoreVersion) {
        self.version.send_if_modified(|known| {
            let later = *known < version;
            *known = version.max(*known);
            later
        });
    }

    /// Takes one record that this process has just written or read.
    pub fn apply_one(&self, engine: &Engine, term: VersionedTerm, begun: Option<Instant>) {
        if !self.keep(&term) {
            return;
        }
        let group = engine.group(&term.record.group);
        let record = acting_record(&engine.directory(), term.record);
        if group.apply_record(&record, begun, Instant::now()) {
            tell_leader(engine, &group);
        }
    }

    /// Writes `value` in place of `known`, a record other than a leadership's, and notes it. One
    /// that another process has written meanwhile is left.
    ///
    /// # Errors
    ///
    /// [`RecordStoreError`] where the store gave no answer.
    pub async fn put_other(
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
        self.put_others(vec![put]).await
    }

    /// The same of several records, in one call: all are written or none.
    ///
    /// # Errors
    ///
    /// [`RecordStoreError`] where the store gave no answer.
    pub async fn put_others(&self, puts: Vec<RecordPut>) -> Result<PutOutcome, RecordStoreError> {
        let outcome = self.records.put_all(&puts).await?;
        if let PutOutcome::Stored(version) = outcome {
            let written = puts.into_iter().map(|put| Record {
                key: put.key,
                value: put.value,
                version,
            });
            self.note_others(written.collect());
        }
        Ok(outcome)
    }

    /// Takes a changed directory: a leader may have come back under another name.
    pub fn directory_changed(&self, engine: &Engine) {
        let directory = engine.directory();
        for name in directory.groups() {
            let group = engine.group(&name);
            let changed = match self.known(&name) {
                Some(term) => {
                    let record = acting_record(&directory, term.record);
                    group.apply_record(&record, None, Instant::now())
                }
                None => group.apply_initial_leader(first_leader(&directory, &name), None),
            };
            if changed {
                tell_leader(engine, &group);
            }
        }
    }

    /// Applies what was read. `evidence` is when the read was begun, if it showed the newest
    /// records: a watch may hear of changes late, so what it tells is no evidence.
    fn apply(&self, engine: &Engine, changes: &RecordChanges, evidence: Option<Instant>) {
        for record in &changes.written {
            if record.key.starts_with(TermRecord::KEY_PREFIX) {
                self.apply_stored(engine, record, evidence);
            } else {
                roster::take(engine, record);
                self.others.send_modify(|others| {
                    others.insert(record.key.clone(), record.clone());
                });
            }
        }
    }

    /// Whether the records were read in whole: before, members may be unknown whose entries
    /// have gone.
    pub fn has_read(&self) -> bool {
        *self.has_read.borrow()
    }

    /// Notes that all records are known; returns whether they were.
    fn note_read(&self) -> bool {
        self.knows_own.send_replace(true);
        self.has_read.send_replace(true)
    }

    /// Resolves once the records were read in whole.
    pub async fn until_read(&self) {
        let mut has_read = self.has_read.subscribe();
        // The sender lives as long as this does.
        let _ = has_read.wait_for(|read| *read).await;
    }

    fn apply_stored(&self, engine: &Engine, record: &Record, begun: Option<Instant>) {
        match TermRecord::decode(&record.value) {
            Ok(term) => {
                let version = record.version;
                let record = term;
                self.apply_one(engine, VersionedTerm { record, version }, begun);
            }
            Err(error) => log::error!("record {}: {error}", record.key),
        }
    }

    /// Groups without a record are led by whoever says so: nobody was ever promoted.
    fn apply_first_leaders(&self, engine: &Engine, groups: &[GroupName], begun: Instant) {
        let directory = engine.directory();
        for name in groups {
            if self.known(name).is_none() {
                let leader = first_leader(&directory, name);
                engine.group(name).apply_initial_leader(leader, Some(begun));
            }
        }
    }

    /// Remembers `term` unless a later version is known; returns whether none is. A store that
    /// was restored may show a later version of an earlier term: that is only noted as what
    /// is to be written over.
    fn keep(&self, term: &VersionedTerm) -> bool {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let group = &term.record.group;
        match known.get_mut(group) {
            Some(before) if before.version > term.version => false,
            Some(before) if before.record.is_ahead_of(&term.record) => {
                before.version = term.version;
                self.note_lost(group);
                false
            }
            _ => {
                known.insert(group.clone(), term.clone());
                self.found(group);
                true
            }
        }
    }
}

/// The groups of the [block](block_of) of `group`, it included.
fn groups_beside<'a>(directory: &'a Directory, group: &'a Group) -> &'a [GroupName] {
    let block = block_of(directory.group_names(), group.name());
    block.map_or(std::slice::from_ref(group.name()), |block| block.groups)
}

/// The record with the names of those that act for its target and the leader before.
fn acting_record(directory: &Directory, record: TermRecord) -> TermRecord {
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

fn tell_leader(engine: &Engine, group: &Group) {
    let view = group.view();
    engine.events().write(&Event::LeaderChanged {
        group: group.name().clone(),
        epoch: view.epoch,
        leader: view.leader,
        confirmed: view.confirmed,
    });
}

/// The only member of `group` that says it leads.
fn first_leader(directory: &Directory, group: &str) -> Option<MemberId> {
    let members = directory.members_of(group);
    let mut leaders = members
        .iter()
        .filter(|member| member.role == Role::Primary)
        .filter(|member| !member.is_gone());
    let leader = leaders.next()?;
    leaders.next().is_none().then(|| leader.id.clone())
}
