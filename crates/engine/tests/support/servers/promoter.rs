//! Simulated promotion service.

use super::{ROUND_TRIP, World};
use async_trait::async_trait;
use std::sync::Arc;
use std::time::Duration;
use stilequay_engine::directory::Role;
use stilequay_engine::names::server_name;
use stilequay_engine::ports::{PromoteError, Promoter, PromotionOrder};
use tokio::time::sleep;

/// Time from a promotion order until it takes effect.
const PROMOTION_TIME: Duration = Duration::from_millis(300);

/// Executes promotion orders on the simulated servers.
#[derive(Debug)]
pub struct WorldPromoter {
    pub world: Arc<World>,
}

#[async_trait]
impl Promoter for WorldPromoter {
    async fn promote(&self, order: &PromotionOrder) -> Result<(), PromoteError> {
        sleep(ROUND_TRIP).await;
        self.world.promotions.lock().unwrap().push(order.clone());
        let target = server_name(&order.target).to_owned();
        let server = self.world.snapshot(&target);
        if !server.running {
            return Err(PromoteError::TargetDown);
        }
        if server.role == Role::Primary {
            return Ok(());
        }
        let world = Arc::clone(&self.world);
        tokio::spawn(async move {
            sleep(PROMOTION_TIME).await;
            // A server that has restarted in the meantime doesn't execute the order.
            let present = world.snapshot(&target);
            if !present.running || present.started_at != server.started_at {
                return;
            }
            let newest = world.lock().values().map(|s| s.term).max().unwrap_or(0);
            world.change(&target, |server| {
                server.role = Role::Primary;
                server.term = newest + 1;
                server.paused_for = 0;
            });
            world.announce_promotion(&target);
            world.demote_old_leaders(&target);
        });
        Ok(())
    }
}
