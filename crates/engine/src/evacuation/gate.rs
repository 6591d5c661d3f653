//! Checks before each command whether its member's zone is evacuated.

use super::schedule::{MayNotSend, Schedule, Sender};
use crate::names::ZoneName;
use std::sync::Arc;
use tokio::time::Instant;

/// Decides whether commands may be sent to one member, given the evacuation of its zone. The
/// default gate is always open.
#[derive(Debug, Clone, Default)]
pub struct EvacuationGate {
    gated: Option<GatedZone>,
}

#[derive(Debug, Clone)]
struct GatedZone {
    schedule: Arc<Schedule>,
    zone: ZoneName,
    sender: Sender,
}

impl EvacuationGate {
    /// Creates the gate for members of `zone` and commands from `sender`.
    pub fn new(schedule: Arc<Schedule>, zone: ZoneName, sender: Sender) -> Self {
        let gated = GatedZone {
            schedule,
            zone,
            sender,
        };
        Self { gated: Some(gated) }
    }

    /// Checks whether commands may be sent at `now`.
    ///
    /// # Errors
    ///
    /// Returns the reason if they may not, and increments the metric for it.
    pub fn check(&self, now: Instant) -> Result<(), MayNotSend> {
        let Some(gated) = &self.gated else {
            return Ok(());
        };
        let checked = gated.schedule.check(&gated.zone, gated.sender, now);
        if let Err(error) = &checked {
            let reason = match error {
                MayNotSend::Evacuated => "evacuated",
                MayNotSend::Unproven => "unproven",
            };
            metrics::counter!("stilequay_evacuation_held_total", "reason" => reason).increment(1);
        }
        checked
    }

    /// Whether the zone is evacuated at `now`, so that connections to the member are useless.
    pub fn is_closed(&self, now: Instant) -> bool {
        self.gated.as_ref().is_some_and(|gated| {
            let checked = gated.schedule.check(&gated.zone, gated.sender, now);
            checked == Err(MayNotSend::Evacuated)
        })
    }

    /// Increments the metric of commands sent to a zone that is being evacuated.
    pub fn count_sent(&self) {
        let Some(gated) = &self.gated else { return };
        if gated.schedule.is_evacuated(&gated.zone) {
            metrics::counter!("stilequay_evacuation_sent_total").increment(1);
        }
    }
}
