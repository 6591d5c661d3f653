//! Where the application reads the configuration in force.

use crate::domain::configuration::Configuration;
use std::sync::Arc;
use tokio::sync::watch;

/// The configuration in force and its changes. The value only ever moves to a
/// higher revision; `None` means that the daemon has not caught up yet and must
/// serve nobody.
pub type ConfigurationReceiver = watch::Receiver<Option<Arc<Configuration>>>;
