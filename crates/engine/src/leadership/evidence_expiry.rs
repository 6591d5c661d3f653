//! Waits until no process relies any more on an old leader that can't be reached.
//!
//! Once every known replica is paused, such a leader can have commits acknowledged only through a
//! server that joins or restarts later. A process passes on a commit only while it has evidence for
//! the leader's term, and no such evidence is newer than the pause of the last replica. So the logs
//! that are reported once that evidence has expired hold every commit that callers know of.

use super::choice::FenceSurvey;
use super::survey::SurveyedMember;
use crate::group::{TERM_LEASE, TERM_LEASE_MARGIN};
use tokio::time::Instant;

/// Since when the members of a group have been fenced, over the rounds of a fence.
#[derive(Debug, Default)]
pub(super) struct EvidenceExpiry {
    fenced_at: Option<Instant>,
}

impl EvidenceExpiry {
    /// Records a round of the fence that has ended at `now`. `before` are the responses of the
    /// members before the round: one that was not paused then may have received commits until it
    /// answered in this round.
    pub fn record_round(
        &mut self,
        survey: &FenceSurvey<'_>,
        before: &[SurveyedMember],
        now: Instant,
    ) {
        if self.fenced_at.is_none() || !survey.were_fenced(before) {
            self.fenced_at = Some(survey.last_fenced_at().unwrap_or(now));
        }
    }

    /// From when on the members must be asked for the logs from which a target may be chosen;
    /// `None` if those of `survey`, asked at `asked_at`, suffice.
    pub fn wait_until(&self, survey: &FenceSurvey<'_>, asked_at: Instant) -> Option<Instant> {
        let expired_at = self.fenced_at? + TERM_LEASE + TERM_LEASE_MARGIN;
        (survey.may_have_leader(asked_at) && asked_at < expired_at).then_some(expired_at)
    }

    /// When the last member was fenced.
    pub fn fenced_at(&self) -> Option<Instant> {
        self.fenced_at
    }
}
