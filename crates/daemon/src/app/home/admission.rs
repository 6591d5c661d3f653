//! Admission of units: how many of one service may be in flight or wait at a home.

use super::settings::HomeSettings;
use crate::domain::names::ServiceName;
use crate::domain::verdict::{FailureKind, RequestFailure};
use crate::ports::configuration::ConfigurationReceiver;
use std::sync::Arc;
use stilequay_coordination::limit::{Limiter, LimiterSettings, Permit, Rejected, TenantLimits};
use tokio::time::Instant;

/// Admits the units of all services at a home.
pub struct Admission {
    configuration: ConfigurationReceiver,
    settings: Arc<HomeSettings>,
    limiter: Limiter<ServiceName>,
}

/// Lets one unit be in flight for as long as it lives.
pub type Admitted = Permit<ServiceName>;

impl Admission {
    /// No unit is in flight yet.
    pub fn new(configuration: ConfigurationReceiver, settings: Arc<HomeSettings>) -> Self {
        let limiter = Limiter::new(limiter_settings(&settings, settings.units_in_flight));
        Self {
            configuration,
            settings,
            limiter,
        }
    }

    /// Waits for the service's turn until `deadline`. Every failure is `NotRun`.
    pub async fn admit(
        &self,
        service: &ServiceName,
        deadline: Instant,
    ) -> Result<Admitted, RequestFailure> {
        let limits = TenantLimits {
            in_flight: self.greatest_in_flight(service)?,
            queue_length: self.settings.queued_units_per_service,
            rank: 0,
        };
        let admission = self
            .limiter
            .acquire_within(service.clone(), limits, deadline);
        admission
            .await
            .map_err(|rejected| overloaded("the home admits no more of the service", rejected))
    }

    fn greatest_in_flight(&self, service: &ServiceName) -> Result<usize, RequestFailure> {
        let configuration = self.configuration.borrow();
        let spec = configuration
            .as_ref()
            .and_then(|configuration| configuration.services.get(service));
        let Some(spec) = spec else {
            let message = format!("service {service} is not declared");
            return Err(RequestFailure::not_run(FailureKind::NotPermitted, message));
        };
        Ok(spec.max_in_flight as usize)
    }
}

/// A limiter of `slots`, with the queues that the settings allow.
pub fn limiter_settings(settings: &HomeSettings, slots: usize) -> LimiterSettings {
    LimiterSettings {
        slots,
        queue_length: settings.queued_units,
        queue_time: settings.queue_time(),
        tenant: TenantLimits {
            in_flight: slots,
            queue_length: settings.queued_units_per_service,
            rank: 0,
        },
    }
}

/// The failure of a unit that was not admitted: nothing of it has been sent.
pub fn overloaded(what: &str, rejected: Rejected) -> RequestFailure {
    let message = format!("{what}: {}", rejected.reason);
    RequestFailure::not_run(FailureKind::Overloaded, message).with_retry_after(rejected.retry_after)
}
