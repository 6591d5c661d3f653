//! Audit lines: who changed what, and what came of it.

use super::access::Operator;
use super::changes::AcceptedChange;
use super::failure::ApiFailure;
use super::requests::ApiRequestId;
use crate::domain::document::ResourceKey;

/// Target of audit lines in the log.
pub const AUDIT_TARGET: &str = "stilequay::audit";

/// What an operator does.
#[derive(Debug, Clone, Copy)]
pub enum Verb {
    /// Creates a resource.
    Create,
    /// Replaces one.
    Replace,
    /// Patches one.
    Patch,
    /// Deletes one.
    Delete,
}

impl Verb {
    fn as_str(self) -> &'static str {
        match self {
            Self::Create => "create",
            Self::Replace => "replace",
            Self::Patch => "patch",
            Self::Delete => "delete",
        }
    }
}

/// One attempt of an operator to change a resource.
pub struct Audit {
    operator: Operator,
    request: ApiRequestId,
    verb: Verb,
    resource: String,
}

impl Audit {
    /// An attempt that begins.
    pub fn new(operator: Operator, request: ApiRequestId, verb: Verb, key: &ResourceKey) -> Self {
        Self {
            operator,
            request,
            verb,
            resource: key.to_string(),
        }
    }

    /// Writes the line.
    pub fn record(&self, result: &Result<AcceptedChange, ApiFailure>) {
        let outcome = match result {
            Ok(_) => "Accepted".to_owned(),
            Err(failure) => format!("{:?}", failure.code),
        };
        let version = result.as_ref().map_or(0, |accepted| accepted.version.0);
        metrics::counter!(
            "stilequay_api_changes_total",
            "verb" => self.verb.as_str(), "outcome" => outcome.clone()
        )
        .increment(1);
        log::info!(
            target: AUDIT_TARGET,
            request = self.request.0.as_str(), operator = self.operator.name.as_str(),
            verb = self.verb.as_str(), resource = self.resource.as_str(),
            outcome = outcome.as_str(), version = version;
            "change of configuration"
        );
    }
}
