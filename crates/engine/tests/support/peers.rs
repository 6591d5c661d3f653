//! Processes that reach one another in memory.

use async_trait::async_trait;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use stilequay_engine::engine::Engine;
use stilequay_engine::names::GroupName;
use stilequay_engine::peers::beliefs;
use stilequay_engine::peers::declared::newer;
use stilequay_engine::ports::{
    DeclaredState, DeclaredVersions, GroupBelief, PeerError, PeerNetwork,
};
use tokio::time::sleep;

/// Time for a question or an answer.
const ONE_WAY: Duration = Duration::from_millis(1);

/// All processes, by address.
#[derive(Debug, Default)]
pub struct MemoryPeers {
    engines: Mutex<HashMap<SocketAddr, Weak<Engine>>>,
    away: Mutex<bool>,
}

impl MemoryPeers {
    pub fn address_of(node: &str) -> SocketAddr {
        let last = node.bytes().last().unwrap_or(0);
        SocketAddr::from(([10, 1, 0, last], 7440))
    }

    pub fn join(&self, node: &str, engine: &Arc<Engine>) {
        let address = Self::address_of(node);
        self.engines
            .lock()
            .unwrap()
            .insert(address, Arc::downgrade(engine));
    }

    async fn reach(&self, peer: SocketAddr) -> Result<Arc<Engine>, PeerError> {
        sleep(ONE_WAY).await;
        let engines = self.engines.lock().unwrap();
        let engine = engines.get(&peer).and_then(Weak::upgrade);
        let away = *self.away.lock().unwrap();
        let engine = engine.filter(|_| !away);
        engine.ok_or_else(|| PeerError::Unreachable("away".to_owned()))
    }

    /// Lets no process reach another.
    pub fn set_away(&self, away: bool) {
        *self.away.lock().unwrap() = away;
    }
}

#[async_trait]
impl PeerNetwork for MemoryPeers {
    async fn ask(
        &self,
        peer: SocketAddr,
        groups: &[GroupName],
    ) -> Result<Vec<GroupBelief>, PeerError> {
        let engine = self.reach(peer).await?;
        let answer = beliefs(&engine, groups);
        sleep(ONE_WAY).await;
        Ok(answer)
    }

    async fn ask_declared(
        &self,
        peer: SocketAddr,
        known: DeclaredVersions,
    ) -> Result<DeclaredState, PeerError> {
        let engine = self.reach(peer).await?;
        let answer = newer(&engine, known);
        sleep(ONE_WAY).await;
        Ok(answer)
    }
}
