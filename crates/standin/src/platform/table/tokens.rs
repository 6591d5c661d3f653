//! Client request tokens, which make a repeated transaction take effect once.

use super::error::TableError;
use serde_json::Value;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// How long a token is remembered after its transaction.
const LIFETIME: Duration = Duration::from_secs(600);

/// Tokens of transactions that took effect.
#[derive(Debug, Default)]
pub struct RequestTokens {
    used: VecDeque<UsedToken>,
}

#[derive(Debug)]
struct UsedToken {
    token: String,
    transaction: Value,
    used_at: Instant,
}

impl RequestTokens {
    /// Whether `transaction` took effect under `token` before.
    pub fn has_run(&mut self, token: &str, transaction: &Value) -> Result<bool, TableError> {
        self.forget_old(Instant::now());
        match self.used.iter().find(|used| used.token == token) {
            None => Ok(false),
            Some(used) if used.transaction == *transaction => Ok(true),
            Some(_) => Err(TableError::IdempotentParameterMismatch),
        }
    }

    /// Remembers that `transaction` took effect under `token`.
    pub fn remember(&mut self, token: String, transaction: Value) {
        self.used.push_back(UsedToken {
            token,
            transaction,
            used_at: Instant::now(),
        });
    }

    fn forget_old(&mut self, now: Instant) {
        while self
            .used
            .front()
            .is_some_and(|oldest| now.duration_since(oldest.used_at) > LIFETIME)
        {
            self.used.pop_front();
        }
    }
}
