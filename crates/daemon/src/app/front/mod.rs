//! The callers' side of the data path: runs their units at a home of the database asked
//! for, and passes the answers on as they arrive. How callers speak is for an adapter.

mod attempt;
mod dispatch;
mod freshness;
mod health;
mod limits;
mod retry;
mod rights;
mod session;
mod settings;
mod telemetry;
mod trace;

pub use freshness::SessionFreshness;
pub use limits::{Admission, ConnectionLimits, ServicePermit};
pub use retry::with_return_time;
pub use rights::{AccessError, configuration, policy_for};
pub use session::{CallerSession, RunError, Unit, UnitRun};
pub use settings::{FrontSettingFault, FrontSettings};
pub use telemetry::{ConnectionGauge, count_refusal};

use crate::ports::configuration::ConfigurationReceiver;
use crate::ports::exchange::HomeConnector;
use crate::ports::homes::HomeSelector;
use health::HomeHealth;
use std::sync::Arc;
use stilequay_coordination::retry::RetryBudget;
use stilequay_engine::events::EventLog;
use tokio_util::sync::CancellationToken;

/// What the caller side works with.
pub struct FrontContext {
    /// The configuration in force.
    pub configuration: ConfigurationReceiver,
    /// Which daemons are homes of a group.
    pub homes: Arc<dyn HomeSelector>,
    /// How homes are reached.
    pub connector: Arc<dyn HomeConnector>,
    /// Settings, already checked.
    pub settings: FrontSettings,
    /// The log of decisions.
    pub events: Arc<EventLog>,
}

/// What all callers' sessions share.
pub struct Front {
    configuration: ConfigurationReceiver,
    homes: Arc<dyn HomeSelector>,
    connector: Arc<dyn HomeConnector>,
    settings: FrontSettings,
    limits: ConnectionLimits,
    retry_budget: Arc<RetryBudget>,
    health: HomeHealth,
    events: Arc<EventLog>,
    leaving: CancellationToken,
    cut: CancellationToken,
}

impl Front {
    /// A front without callers. A planned stop begins when `leaving` is cancelled.
    pub fn new(context: FrontContext, leaving: CancellationToken) -> Self {
        let settings = context.settings;
        Self {
            configuration: context.configuration,
            homes: context.homes,
            connector: context.connector,
            limits: ConnectionLimits::new(settings.max_connections),
            retry_budget: Arc::new(RetryBudget::new(settings.retry_budget())),
            health: HomeHealth::new(settings.home_avoidance()),
            settings,
            events: context.events,
            leaving,
            cut: CancellationToken::new(),
        }
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &ConfigurationReceiver {
        &self.configuration
    }

    /// Settings.
    pub fn settings(&self) -> &FrontSettings {
        &self.settings
    }

    /// Limits on callers' connections.
    pub fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    /// Cancelled when a planned stop begins.
    pub fn leaving(&self) -> &CancellationToken {
        &self.leaving
    }

    /// Cancelled when a planned stop can't wait any longer.
    pub fn cut(&self) -> &CancellationToken {
        &self.cut
    }
}
