//! The check before each command to a member.

use super::schedule::{MayNotSend, Schedule, Sender};
use crate::names::ZoneName;
use std::sync::Arc;
use tokio::time::Instant;

/// Whether one member may be sent anything.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    gated: Option<GatedZone>,
}

#[derive(Debug, Clone)]
struct GatedZone {
    schedule: Arc<Schedule>,
    zone: ZoneName,
    sender: Sender,
}

impl Gate {
    /// The gate before the members of `zone`.
    pub fn new(schedule: Arc<Schedule>, zone: ZoneName, sender: Sender) -> Self {
        let gated = GatedZone {
            schedule,
            zone,
            sender,
        };
        Self { gated: Some(gated) }
    }

    /// Whether anything may be sent at `now`.
    ///
    /// # Errors
    ///
    /// Why it may not; that is counted.
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

    /// Whether connections are of no use any more at `now`: the zone is evacuated.
    pub fn is_closed(&self, now: Instant) -> bool {
        self.gated.as_ref().is_some_and(|gated| {
            let checked = gated.schedule.check(&gated.zone, gated.sender, now);
            checked == Err(MayNotSend::Evacuated)
        })
    }

    /// Counts a command that is sent to a zone while that is being evacuated.
    pub fn count_sent(&self) {
        let Some(gated) = &self.gated else { return };
        if gated.schedule.is_evacuated(&gated.zone) {
            metrics::counter!("stilequay_evacuation_sent_total").increment(1);
        }
    }
}
