//! Tenants: on whose behalf callers ask, how they prove it, and how much they may ask.

use crate::names::TenantName;
use crate::rate::RateBounds;
use crate::residency::Residency;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::time::Duration;

/// Bytes of a digest that are kept: enough that nobody finds another key with the same ones.
const DIGEST_BYTES: usize = 16;

/// An API key, as far as this system keeps it: a digest. The key itself is dropped where it
/// is decoded, so that no log, metric or message can hold it.
///
/// ```
/// use stilequay_engine::tenant::Credential;
/// let credential = Credential::of_key(b"a secret");
/// assert_eq!(credential, Credential::of_key(b"a secret"));
/// assert_ne!(credential, Credential::of_key(b"another"));
/// assert_eq!(format!("{credential:?}"), "Credential(..)");
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Credential([u8; DIGEST_BYTES]);

impl Credential {
    /// The digest of `key`.
    pub fn from_key(key: &[u8]) -> Self {
        let digest = Sha256::digest(key);
        let mut kept = [0; DIGEST_BYTES];
        kept.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(kept)
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Credential(..)")
    }
}

/// How much a tenant may ask of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Operations a second, in the long run.
    pub per_second: f64,
    /// Operations that may come at once after a rest.
    pub burst: f64,
}

/// What holds for one tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name; the members are told this one.
    pub name: TenantName,
    /// How much it may ask; `None` for as much as it likes.
    pub rate: Option<RateLimit>,
    /// Where its statements may run.
    #[serde(default)]
    pub residency: Residency,
}

/// What a deployment with tenants asks of every process.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantPolicy {
    /// How long after the removal of a credential was acknowledged it may still be used, on
    /// whichever process, in touch with others or not.
    pub revocation: Duration,
    /// How exactly tenants' rate limits are kept; `None` where they are not.
    pub rates: Option<RateBounds>,
}
