//! SCRAM-SHA-256 with the one user of the group.

use super::member::Member;
use super::settings::GroupSettings;
use super::state::Role;
use async_trait::async_trait;
use pgwire::api::auth::sasl::SASLAuthStartupHandler;
use pgwire::api::auth::sasl::scram::{ScramAuth, gen_salted_password};
use pgwire::api::auth::{AuthSource, DefaultServerParameterProvider, LoginInfo, Password};
use pgwire::error::{PgWireError, PgWireResult};
use std::sync::Arc;

/// Rounds of SCRAM, as PostgreSQL has them by default.
const ITERATIONS: usize = 4096;
const SALT_LENGTH: usize = 16;

/// The startup handler of the protocol library, with SCRAM.
pub(crate) type ScramStartup = SASLAuthStartupHandler<DefaultServerParameterProvider>;

/// The user, and the password salted once for all connections.
#[derive(Debug)]
pub(crate) struct Authentication {
    user: String,
    salt: Vec<u8>,
    salted_password: Vec<u8>,
}

impl Authentication {
    /// The user of `settings`.
    pub(crate) fn new(settings: &GroupSettings) -> Self {
        let salt: [u8; SALT_LENGTH] = rand::random();
        Self {
            user: settings.user.clone(),
            salt: salt.to_vec(),
            salted_password: gen_salted_password(&settings.password, &salt, ITERATIONS),
        }
    }

    /// The startup handler for connections to `member`.
    pub(crate) fn startup(self: &Arc<Self>, member: &Member) -> ScramStartup {
        let mut scram = ScramAuth::new(self.clone());
        scram.set_iterations(ITERATIONS);
        let mut parameters = DefaultServerParameterProvider::default();
        parameters.in_hot_standby = member.state().role == Role::Replica;
        SASLAuthStartupHandler::new(Arc::new(parameters))
            .with_scram(scram)
            .with_pid_secret_key_generator(member.process_numbers.clone())
    }
}

#[async_trait]
impl AuthSource for Authentication {
    async fn get_password(&self, login: &LoginInfo) -> PgWireResult<Password> {
        let user = login.user().unwrap_or_default();
        if user != self.user {
            return Err(PgWireError::InvalidPassword(user.to_owned()));
        }
        Ok(Password::new(
            Some(self.salt.clone()),
            self.salted_password.clone(),
        ))
    }
}
