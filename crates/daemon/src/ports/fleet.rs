//! Where the application reads which daemons are alive.

use crate::domain::membership::FleetView;
use std::sync::Arc;
use tokio::sync::watch;

/// The fleet as this daemon sees it, itself included, and its changes.
pub type FleetReceiver = watch::Receiver<Arc<FleetView>>;
