//! Tenants, their credentials and their rate limits.

use crate::names::TenantName;
use crate::rate::RateBounds;
use crate::residency::Residency;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::time::Duration;

/// Length to which digests are truncated, in bytes. Long enough that a second key with the same
/// digest can't be found in practice.
const DIGEST_BYTES: usize = 16;

/// The digest of an API key. The key itself is dropped right after it is decoded, so it can't
/// appear in logs, metrics or messages.
///
/// ```
/// use stilequay_engine::tenant::Credential;
/// let credential = Credential::from_key(b"a secret");
/// assert_eq!(credential, Credential::from_key(b"a secret"));
/// assert_ne!(credential, Credential::from_key(b"another"));
/// assert_eq!(format!("{credential:?}"), "Credential(..)");
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Credential([u8; DIGEST_BYTES]);

impl Credential {
    /// Computes the digest of `key`.
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

/// A tenant's rate limit for the whole fleet (a token bucket).
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Sustained operations per second.
    pub per_second: f64,
    /// Maximum burst of operations after an idle time.
    pub burst: f64,
}

/// The settings of one tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, which is also passed on to members.
    pub name: TenantName,
    /// Its rate limit; `None` for no limit.
    pub rate: Option<RateLimit>,
    /// The regions in which its statements may run.
    #[serde(default)]
    pub residency: Residency,
}

/// The tenant policy that every process of a deployment must enforce.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantPolicy {
    /// How long a credential may still be accepted after its removal was acknowledged. Holds for
    /// every process, including ones that are partitioned from all others.
    pub revocation: Duration,
    /// How strictly rate limits are enforced; `None` if they aren't.
    pub rates: Option<RateBounds>,
}
