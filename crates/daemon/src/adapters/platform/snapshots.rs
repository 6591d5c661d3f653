//! Snapshots of the configuration in the object store.
//!
//! One object holds the latest snapshot. It is replaced only on condition that
//! it is still the object that was read, so of two writers at once the one with
//! the earlier revision can't win.

use super::snapshot_errors::{read_error, write_error};
use super::{REGION, STATIC_CREDENTIAL};
use crate::domain::names::Revision;
use crate::ports::platform::{PlatformError, Snapshot, SnapshotStore};
use async_trait::async_trait;
use bytes::Bytes;
use object_store::aws::{AmazonS3, AmazonS3Builder, S3ConditionalPut};
use object_store::path::Path;
use object_store::{
    ClientOptions, ObjectStore, ObjectStoreExt, PutMode, PutOptions, RetryConfig, UpdateVersion,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bucket that holds the snapshots.
const BUCKET: &str = "stilequay";
/// Object that holds the latest snapshot.
const LATEST: &str = "configuration/latest";
/// Attempts at replacing the object while others replace it too.
const MAX_ATTEMPTS: usize = 5;

/// Snapshots in a bucket of an S3 service.
#[derive(Debug)]
pub struct S3SnapshotStore {
    store: AmazonS3,
}

/// A snapshot as its object holds it.
#[derive(Serialize, Deserialize)]
struct StoredSnapshot {
    revision: Revision,
    #[serde(with = "serde_bytes")]
    body: Vec<u8>,
}

/// The latest snapshot with the version of its object.
struct Found {
    snapshot: StoredSnapshot,
    version: UpdateVersion,
}

impl S3SnapshotStore {
    /// The store at `endpoint`; a call may take `timeout`.
    ///
    /// # Errors
    /// Fails where the client can't be set up.
    pub fn new(endpoint: &str, timeout: Duration) -> Result<Self, PlatformError> {
        let options = ClientOptions::new()
            .with_timeout(timeout)
            .with_connect_timeout(timeout)
            .with_allow_http(true);
        let no_retries = RetryConfig {
            max_retries: 0,
            ..RetryConfig::default()
        };
        let store = AmazonS3Builder::new()
            .with_endpoint(endpoint)
            .with_bucket_name(BUCKET)
            .with_region(REGION)
            .with_access_key_id(STATIC_CREDENTIAL)
            .with_secret_access_key(STATIC_CREDENTIAL)
            .with_virtual_hosted_style_request(false)
            .with_conditional_put(S3ConditionalPut::ETagMatch)
            .with_client_options(options)
            .with_retry(no_retries)
            .build()
            .map_err(|error| PlatformError::Unavailable(error.to_string()))?;
        Ok(Self { store })
    }

    async fn read(&self) -> Result<Option<Found>, PlatformError> {
        let answer = match self.store.get(&Path::from(LATEST)).await {
            Ok(answer) => answer,
            Err(object_store::Error::NotFound { .. }) => return Ok(None),
            Err(error) => return Err(read_error(error)),
        };
        let version = UpdateVersion {
            e_tag: answer.meta.e_tag.clone(),
            version: answer.meta.version.clone(),
        };
        let body = answer.bytes().await.map_err(read_error)?;
        let snapshot = rmp_serde::from_slice(&body)
            .map_err(|error| PlatformError::Malformed(error.to_string()))?;
        Ok(Some(Found { snapshot, version }))
    }
}

#[async_trait]
impl SnapshotStore for S3SnapshotStore {
    async fn latest(&self) -> Result<Option<Snapshot>, PlatformError> {
        let found = self.read().await?;
        Ok(found.map(|found| Snapshot {
            revision: found.snapshot.revision,
            body: Bytes::from(found.snapshot.body),
        }))
    }

    async fn store(&self, snapshot: Snapshot) -> Result<(), PlatformError> {
        let stored = StoredSnapshot {
            revision: snapshot.revision,
            body: snapshot.body.to_vec(),
        };
        let body = rmp_serde::to_vec_named(&stored)
            .map_err(|error| PlatformError::Malformed(error.to_string()))?;
        for _ in 0..MAX_ATTEMPTS {
            let mode = match self.read().await? {
                Some(found) if found.snapshot.revision >= snapshot.revision => return Ok(()),
                Some(found) => PutMode::Update(found.version),
                None => PutMode::Create,
            };
            let options = PutOptions::from(mode);
            let put = self
                .store
                .put_opts(&Path::from(LATEST), body.clone().into(), options)
                .await;
            match put {
                Ok(_) => return Ok(()),
                Err(object_store::Error::Precondition { .. })
                | Err(object_store::Error::AlreadyExists { .. }) => {}
                Err(error) => return Err(write_error(error)),
            }
        }
        Err(PlatformError::ConditionFailed)
    }
}
