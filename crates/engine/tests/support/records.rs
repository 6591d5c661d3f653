//! In-memory record store that simulates the faults of the platform's store.

use super::freezer::Freezer;
use async_trait::async_trait;
use bytes::Bytes;
use std::collections::{BTreeMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stilequay_engine::ports::{
    PutOutcome, Record, RecordChanges, RecordPut, RecordStore, RecordStoreError,
};
use stilequay_engine::version::{era_of, number_of, version};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Duration of a call.
const CALL_LATENCY: Duration = Duration::from_millis(2);

/// A fault of the store, for all processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    #[default]
    None,
    /// Refuses every call.
    Refusing,
    /// Answers no call and changes nothing.
    Silent,
    /// Executes writes but loses their answers.
    LosingAnswers,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Record>,
    version: u64,
    fault: Fault,
    /// Injected bug: an old state that some processes read instead of the current one.
    stale_state: Option<(BTreeMap<String, Record>, u64)>,
    stale_nodes: HashSet<String>,
    falsely_renewed_nodes: HashSet<String>,
    refused_nodes: HashSet<String>,
    ignored_nodes: HashSet<String>,
    calls: u64,
    full_reads: u64,
    block_reads: u64,
    roster_puts: u64,
}

/// A backup of the store.
#[derive(Debug, Clone)]
pub struct Backup {
    rows: BTreeMap<String, Record>,
    number: u64,
}

/// The record store, shared by all processes.
#[derive(Debug)]
pub struct MemoryRecords {
    state: Mutex<State>,
    changes: watch::Sender<u64>,
    pub freezer: Freezer,
}

impl MemoryRecords {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changes: watch::Sender::new(0),
            freezer: Freezer::default(),
        })
    }

    /// The store as accessed by one process.
    pub fn for_node(self: &Arc<Self>, node: &str) -> Arc<NodeRecords> {
        Arc::new(NodeRecords {
            store: Arc::clone(self),
            node: node.to_owned(),
        })
    }

    pub fn set_fault(&self, fault: Fault) {
        self.state.lock().unwrap().fault = fault;
    }

    /// Freezes the state that one process reads, so that it sees no later writes. Its reads are
    /// then not linearizable, which violates the requirements on the store.
    pub fn serve_stale_data_to(&self, node: &str) {
        let mut state = self.state.lock().unwrap();
        state.stale_state = Some((state.rows.clone(), state.version));
        state.stale_nodes.insert(node.to_owned());
    }

    /// Confirms every lease renewal of one process, even if another process holds the lease, as if
    /// the process ignored conflicts. This violates the requirements on the store.
    pub fn fake_renewals_for(&self, node: &str) {
        let mut state = self.state.lock().unwrap();
        state.falsely_renewed_nodes.insert(node.to_owned());
    }

    /// Refuses all calls of one process, or serves them again.
    pub fn refuse_node(&self, node: &str, refused: bool) {
        let mut state = self.state.lock().unwrap();
        match refused {
            true => state.refused_nodes.insert(node.to_owned()),
            false => state.refused_nodes.remove(node),
        };
    }

    /// Stops answering one process.
    pub fn ignore_node(&self, node: &str) {
        let mut state = self.state.lock().unwrap();
        state.ignored_nodes.insert(node.to_owned());
    }

    /// Whether calls of the process `node` are answered.
    pub fn serves(&self, node: &str) -> bool {
        let state = self.state.lock().unwrap();
        let is_refused = state.refused_nodes.contains(node) || state.ignored_nodes.contains(node);
        state.fault == Fault::None && !is_refused && !self.freezer.is_frozen(node)
    }

    pub fn back_up(&self) -> Backup {
        let state = self.state.lock().unwrap();
        Backup {
            rows: state.rows.clone(),
            number: number_of(state.version),
        }
    }

    /// Restores a backup. Later writes are lost, and their version numbers are assigned again, in
    /// a new era.
    pub fn restore(&self, backup: Backup) {
        let mut state = self.state.lock().unwrap();
        let era = era_of(state.version) + 1;
        state.rows = backup.rows;
        for row in state.rows.values_mut() {
            row.version = version(era, number_of(row.version));
        }
        state.version = version(era, backup.number);
        let newest = state.version;
        drop(state);
        self.changes.send_replace(newest);
    }

    /// Writes a record without notifying watchers, and with a version that they have passed.
    pub fn put_without_notification(&self, key: &str) {
        let record = Record {
            key: key.to_owned(),
            value: Bytes::new(),
            version: 1,
        };
        let mut state = self.state.lock().unwrap();
        state.rows.insert(key.to_owned(), record);
    }

    /// Writes a record as another writer does, without regard to its version.
    pub fn overwrite(&self, key: &str, value: Bytes) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let record = Record {
            key: key.to_owned(),
            value,
            version,
        };
        state.rows.insert(key.to_owned(), record);
        drop(state);
        self.changes.send_replace(version);
    }

    pub fn get(&self, key: &str) -> Option<Record> {
        self.state.lock().unwrap().rows.get(key).cloned()
    }

    /// Number of reads of the whole store.
    pub fn full_reads(&self) -> u64 {
        self.state.lock().unwrap().full_reads
    }

    /// Number of reads of the term records of a block of groups.
    pub fn block_reads(&self) -> u64 {
        self.state.lock().unwrap().block_reads
    }

    /// Number of calls that wrote roster records, one or several each.
    pub fn roster_puts(&self) -> u64 {
        self.state.lock().unwrap().roster_puts
    }

    pub fn calls(&self) -> u64 {
        self.state.lock().unwrap().calls
    }
}

/// The store as accessed by one process.
#[derive(Debug)]
pub struct NodeRecords {
    store: Arc<MemoryRecords>,
    node: String,
}

impl NodeRecords {
    /// The rows and the version that this process reads.
    fn visible_rows(&self) -> (BTreeMap<String, Record>, u64) {
        let state = self.store.state.lock().unwrap();
        let present = (state.rows.clone(), state.version);
        match state.stale_nodes.contains(&self.node) {
            true => state.stale_state.clone().unwrap_or(present),
            false => present,
        }
    }

    fn fakes_renewals(&self) -> bool {
        let state = self.store.state.lock().unwrap();
        state.falsely_renewed_nodes.contains(&self.node)
    }

    async fn read_where(
        &self,
        is_wanted: impl Fn(&str) -> bool + Send,
    ) -> Result<RecordChanges, RecordStoreError> {
        self.begin_call().await?;
        let (rows, version) = self.visible_rows();
        self.store.freezer.wait_until_resumed(&self.node).await;
        let written = rows.into_values().filter(|row| is_wanted(&row.key));
        Ok(RecordChanges {
            written: written.collect(),
            version,
        })
    }

    /// Simulates the duration of a call and applies the current fault.
    async fn begin_call(&self) -> Result<Fault, RecordStoreError> {
        sleep(CALL_LATENCY).await;
        let (fault, refused) = {
            let mut state = self.store.state.lock().unwrap();
            state.calls += 1;
            let fault = match state.ignored_nodes.contains(&self.node) {
                true => Fault::Silent,
                false => state.fault,
            };
            (fault, state.refused_nodes.contains(&self.node))
        };
        match fault {
            Fault::Refusing => Err(RecordStoreError::Unavailable("refused".to_owned())),
            Fault::Silent => {
                sleep(Duration::from_millis(1_500)).await;
                Err(RecordStoreError::Unknown("timed out".to_owned()))
            }
            _ if refused => Err(RecordStoreError::Unavailable(
                "refused for this process".to_owned(),
            )),
            fault => Ok(fault),
        }
    }
}

#[async_trait]
impl RecordStore for NodeRecords {
    async fn read(&self, prefix: &str) -> Result<RecordChanges, RecordStoreError> {
        self.store.state.lock().unwrap().full_reads += u64::from(prefix.is_empty());
        self.read_where(|key| key.starts_with(prefix)).await
    }

    async fn read_between(
        &self,
        first: &str,
        last: &str,
    ) -> Result<RecordChanges, RecordStoreError> {
        self.store.state.lock().unwrap().block_reads += u64::from(first.starts_with("term/"));
        self.read_where(|key| (first..=last).contains(&key)).await
    }

    async fn watch(&self, version: u64, wait: Duration) -> Result<RecordChanges, RecordStoreError> {
        let mut changes = self.store.changes.subscribe();
        let _ = timeout(wait, changes.wait_for(|newest| *newest > version)).await;
        self.begin_call().await?;
        let state = self.store.state.lock().unwrap();
        if state.stale_nodes.contains(&self.node) {
            return Ok(RecordChanges {
                written: Vec::new(),
                version,
            });
        }
        if version > state.version || era_of(version) < era_of(state.version) {
            return Err(RecordStoreError::HistoryGone);
        }
        let written = state.rows.values().filter(|row| row.version > version);
        Ok(RecordChanges {
            written: written.cloned().collect(),
            version: state.version,
        })
    }

    async fn put_all(&self, puts: &[RecordPut]) -> Result<PutOutcome, RecordStoreError> {
        let fault = self.begin_call().await?;
        let is_roster = puts.iter().any(|put| put.key.starts_with("roster/"));
        self.store.state.lock().unwrap().roster_puts += u64::from(is_roster);
        if let [put] = puts
            && put.key.starts_with("lease/")
            && self.fakes_renewals()
        {
            return Ok(PutOutcome::Stored(put.expected + 1));
        }
        let version = {
            let mut state = self.store.state.lock().unwrap();
            let present = |key: &String| state.rows.get(key).map_or(0, |row| row.version);
            if puts.iter().any(|put| present(&put.key) != put.expected) {
                return Ok(PutOutcome::Conflict);
            }
            state.version += 1;
            let version = state.version;
            for put in puts {
                let row = Record {
                    key: put.key.clone(),
                    value: put.value.clone(),
                    version,
                };
                state.rows.insert(put.key.clone(), row);
            }
            version
        };
        self.store.changes.send_replace(version);
        self.store.freezer.wait_until_resumed(&self.node).await;
        match fault {
            Fault::LosingAnswers => Err(RecordStoreError::Unknown("answer lost".to_owned())),
            _ => Ok(PutOutcome::Stored(version)),
        }
    }
}
