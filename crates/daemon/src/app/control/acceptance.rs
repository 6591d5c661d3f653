//! Acceptance of changes: one transaction on the table service each.
//!
//! A change is accepted when its transaction has committed. Where an answer is
//! lost, the log itself tells: the transaction can only have made the revision
//! after the one it was based on, and that revision carries the token of the
//! transaction that made it. Nothing is ever guessed.

use super::catalogue::{read_body, write_body};
use super::identifier::random_identifier;
use super::pause::Pause;
use crate::domain::document::{Resource, ResourceKey, VersionedResource};
use crate::domain::names::Revision;
use crate::ports::platform::{PlatformError, Precondition, ResourceTable, StoredResource};
use quick_error::quick_error;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A change to be accepted.
#[derive(Debug, Clone)]
pub struct ProposedChange {
    /// The resource that changes.
    pub key: ResourceKey,
    /// The resource after the change; `None` to delete it.
    pub resource: Option<Resource>,
    /// What must hold of the resource before.
    pub precondition: Precondition,
}

/// Names a transaction whose outcome is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingChange {
    /// The only revision that the transaction can have made.
    pub revision: Revision,
    /// The transaction's token.
    pub request_token: String,
}

quick_error! {
    /// Why a change was not accepted.
    #[derive(Debug)]
    pub enum AcceptanceError {
        /// The resource is not as the precondition says; nothing was changed.
        Conflict(current: Option<Revision>) {
            display("the resource has changed in the meantime")
        }
        /// The platform refuses for the moment; nothing was changed.
        Throttled(retry_after: Option<Duration>) {
            display("the platform refuses changes for the moment")
        }
        /// The platform can't be reached; nothing was changed.
        Unavailable(reason: String) {
            display("the platform is unavailable: {reason}")
        }
        /// Whether the change was accepted can't be learnt at present.
        Unknown(pending: PendingChange) {
            display("it is unknown whether the change was accepted")
        }
        /// The resource can't be encoded; nothing was changed.
        Encoding(error: serde_json::Error) {
            from()
            display("{error}")
        }
    }
}

/// What became of a transaction whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingOutcome {
    /// It has committed.
    Accepted,
    /// It has not and never will: another change took its revision.
    Refused,
    /// It has not committed so far, and still may.
    Open,
}

/// Accepts changes.
#[derive(Clone)]
pub struct Acceptor {
    table: Arc<dyn ResourceTable>,
    /// Time that one acceptance may take.
    timeout: Duration,
}

/// One transaction: all its attempts say the same.
struct Transaction {
    change: StoredResource,
    precondition: Precondition,
    previous: Revision,
    request_token: String,
}

impl Transaction {
    fn pending(&self) -> PendingChange {
        PendingChange {
            revision: Revision(self.previous.0 + 1),
            request_token: self.request_token.clone(),
        }
    }
}

/// What an attempt has come to.
enum Attempt {
    Committed,
    /// A condition did not hold, and the transaction can't commit any more.
    ConditionFailed,
    /// Refused, and nothing of it is under way.
    Refused(PlatformError),
    /// May have committed, or may still.
    Unknown,
}

impl Acceptor {
    /// Accepts changes at `table`; one acceptance may take `timeout`.
    pub fn new(table: Arc<dyn ResourceTable>, timeout: Duration) -> Self {
        Self { table, timeout }
    }

    /// A resource as the platform has it now.
    pub async fn current(
        &self,
        key: &ResourceKey,
    ) -> Result<Option<VersionedResource>, AcceptanceError> {
        let deadline = Instant::now() + self.timeout;
        let stored = self.read(key, deadline).await.map_err(refused)?;
        let Some(stored) = stored else {
            return Ok(None);
        };
        let Some(body) = &stored.body else {
            return Ok(None);
        };
        Ok(Some(VersionedResource {
            resource: read_body(body)?,
            version: stored.revision,
        }))
    }

    /// Reads a resource, again and again until the deadline.
    async fn read(
        &self,
        key: &ResourceKey,
        deadline: Instant,
    ) -> Result<Option<StoredResource>, PlatformError> {
        let key = key.to_string();
        let mut pause = Pause::new();
        loop {
            match self.table.get(&key).await {
                Ok(stored) => return Ok(stored),
                Err(error) if Instant::now() >= deadline => return Err(error),
                Err(_) => pause.wait().await,
            }
        }
    }

    /// Commits a change and returns its revision.
    ///
    /// Where other changes took place in between, of other resources, it is tried
    /// again after them.
    pub async fn accept(&self, proposed: ProposedChange) -> Result<Revision, AcceptanceError> {
        let deadline = Instant::now() + self.timeout;
        let mut pause = Pause::new();
        loop {
            let transaction = self.begin(&proposed, deadline).await?;
            match self.commit(&transaction, deadline).await {
                Attempt::Committed => return Ok(transaction.pending().revision),
                Attempt::ConditionFailed => {
                    self.check_resource(&proposed, deadline).await?;
                }
                Attempt::Refused(error) if Instant::now() >= deadline => {
                    return Err(refused(error));
                }
                Attempt::Refused(_) => {}
                Attempt::Unknown => return Err(AcceptanceError::Unknown(transaction.pending())),
            }
            if Instant::now() >= deadline {
                return Err(AcceptanceError::Throttled(None));
            }
            pause.wait().await;
        }
    }

    /// A transaction based on the head of the log as it is now.
    async fn begin(
        &self,
        proposed: &ProposedChange,
        deadline: Instant,
    ) -> Result<Transaction, AcceptanceError> {
        let mut pause = Pause::new();
        let previous = loop {
            match self.table.head().await {
                Ok(head) => break head,
                Err(error) if Instant::now() >= deadline => return Err(refused(error)),
                Err(_) => pause.wait().await,
            }
        };
        let body = proposed.resource.as_ref().map(write_body).transpose()?;
        Ok(Transaction {
            change: StoredResource {
                key: proposed.key.to_string(),
                revision: Revision(previous.0 + 1),
                body,
            },
            precondition: proposed.precondition,
            previous,
            request_token: random_identifier(),
        })
    }

    /// Sends a transaction until its outcome is known or the deadline has passed.
    async fn commit(&self, transaction: &Transaction, deadline: Instant) -> Attempt {
        let mut may_be_under_way = false;
        let mut pause = Pause::new();
        loop {
            let error = match self.send(transaction).await {
                Ok(()) => return Attempt::Committed,
                Err(error) if !may_be_under_way && is_refusal(&error) => {
                    return Attempt::Refused(error);
                }
                Err(error) => error,
            };
            may_be_under_way |= error != PlatformError::ConditionFailed;
            match self.outcome(&transaction.pending()).await {
                Ok(PendingOutcome::Accepted) => return Attempt::Committed,
                Ok(PendingOutcome::Refused) => return Attempt::ConditionFailed,
                // The log still ends where the transaction is based, so the
                // condition that failed was the resource's: no earlier attempt
                // can commit either, since a change of the resource moves the log.
                Ok(PendingOutcome::Open) if error == PlatformError::ConditionFailed => {
                    return Attempt::ConditionFailed;
                }
                Ok(PendingOutcome::Open) | Err(_) => {}
            }
            if Instant::now() >= deadline {
                return Attempt::Unknown;
            }
            pause.wait().await;
        }
    }

    async fn send(&self, transaction: &Transaction) -> Result<(), PlatformError> {
        let result = self
            .table
            .commit(
                transaction.change.clone(),
                transaction.precondition,
                transaction.previous,
                &transaction.request_token,
            )
            .await;
        if let Err(PlatformError::OutcomeUnknown(reason)) = &result {
            log::warn!(
                key = transaction.change.key.as_str(), revision = transaction.change.revision.0;
                "the answer to a change was lost: {reason}"
            );
        }
        result
    }

    /// What became of a transaction, as the log tells.
    pub async fn outcome(&self, pending: &PendingChange) -> Result<PendingOutcome, PlatformError> {
        match self.table.change(pending.revision).await? {
            None => Ok(PendingOutcome::Open),
            Some(logged) if logged.request_token == pending.request_token => {
                Ok(PendingOutcome::Accepted)
            }
            Some(_) => Ok(PendingOutcome::Refused),
        }
    }

    /// After a condition did not hold: fails if it was the resource's own.
    async fn check_resource(
        &self,
        proposed: &ProposedChange,
        deadline: Instant,
    ) -> Result<(), AcceptanceError> {
        let stored = self.read(&proposed.key, deadline).await;
        let current = match stored {
            Ok(stored) => stored.map(|stored| stored.revision),
            Err(error) => return Err(refused(error)),
        };
        let expected = match proposed.precondition {
            Precondition::Absent => None,
            Precondition::AtRevision(revision) => Some(revision),
        };
        match current == expected {
            true => Ok(()),
            false => Err(AcceptanceError::Conflict(current)),
        }
    }
}

/// Whether the call was refused before it had any effect. A condition that did not
/// hold is no refusal in this sense: where the platform has forgotten the token, an
/// earlier attempt of the same call may be what broke the condition.
fn is_refusal(error: &PlatformError) -> bool {
    matches!(
        error,
        PlatformError::Throttled(_) | PlatformError::Unavailable(_)
    )
}

/// The error of a change of which nothing is under way.
fn refused(error: PlatformError) -> AcceptanceError {
    match error {
        PlatformError::Throttled(retry_after) => AcceptanceError::Throttled(retry_after),
        other => AcceptanceError::Unavailable(other.to_string()),
    }
}
