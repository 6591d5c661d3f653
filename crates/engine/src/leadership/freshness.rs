//! Learning a position that covers a moment, where the traffic has not brought one.

use crate::engine::Engine;
use crate::group::Group;
use crate::pool::SessionValues;
use crate::ports::Command;
use crate::position::LogPosition;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Longest time for one question.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(250);

/// A position that covers every commit acknowledged before `moment`, learned by `until`.
///
/// One task asks at a time for each group; the others share what it learns.
pub async fn covering_position(
    engine: &Engine,
    group: &Group,
    moment: Instant,
    until: Instant,
) -> Option<LogPosition> {
    if let Some(position) = group.covering_position(moment) {
        return Some(position);
    }
    let _one_at_a_time = timeout_at(until, group.questions().lock()).await.ok()?;
    if let Some(position) = group.covering_position(moment) {
        return Some(position);
    }
    let until = until.min(Instant::now() + QUESTION_TIMEOUT);
    let _ = timeout_at(until, ask_leader(engine, group)).await;
    group.covering_position(moment)
}

/// Opens a transaction at the leader and ends it at once: its answer tells the position
/// of the log and takes none of the member's slots. A member that does not lead refuses.
async fn ask_leader(engine: &Engine, group: &Group) -> Option<()> {
    let now = Instant::now();
    let leader = group.leased_leader(now, Duration::ZERO)?;
    let pool = engine.pool_of(&leader.member)?;
    let until = now + QUESTION_TIMEOUT;
    let values = SessionValues::default();
    let mut connection = pool.acquire(&values, until).await.ok()?;
    let sent = Instant::now();
    let begin = Command::Begin {
        read_only: false,
        after: None,
    };
    let answer = connection.run(&begin).await.ok()?;
    if answer.outcome.is_ok()
        && let Some(position) = answer.position
    {
        group.record_leader_position(leader.epoch, sent, position);
    }
    connection.roll_back();
    Some(())
}
