//! The home side of the data path: holds the back-end connections of the groups
//! that this daemon is a home of, and runs the units that fronts send.

pub mod acquire;
pub mod admission;
pub mod answer;
pub mod confirmation;
pub mod exchange;
pub mod group;
pub mod link;
pub mod pool;
pub mod prober;
pub mod routing;
pub mod runner;
pub mod settings;
pub mod state;
pub mod supervisor;
pub mod unit;

pub use settings::{HomeMutants, HomeSettings};

use crate::domain::names::GroupName;
use crate::domain::verdict::{FailureKind, RequestFailure};
use crate::ports::back_end::BackEnd;
use crate::ports::configuration::ConfigurationReceiver;
use admission::Admission;
use exchange::serve_exchanges;
use group::{Group, OpenExchangeGuard};
use link::FrontLink;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use stilequay_coordination::identity::{NodeId, ZoneName};
use stilequay_engine::events::EventLog;
use supervisor::{configured_group, run_supervisor};
use tokio_util::sync::CancellationToken;

/// What a home needs.
pub struct HomeContext {
    /// This daemon.
    pub node: NodeId,
    /// The zone it runs in.
    pub zone: ZoneName,
    /// The configuration in force.
    pub configuration: ConfigurationReceiver,
    /// How members are reached.
    pub back_end: Arc<dyn BackEnd>,
    /// Settings.
    pub settings: HomeSettings,
    /// The log of decisions.
    pub events: Arc<EventLog>,
}

/// Serves exchanges; clones share their connections.
#[derive(Clone)]
pub struct HomeService {
    inner: Arc<Inner>,
}

struct Inner {
    node: NodeId,
    zone: ZoneName,
    configuration: ConfigurationReceiver,
    back_end: Arc<dyn BackEnd>,
    settings: Arc<HomeSettings>,
    events: Arc<EventLog>,
    admission: Admission,
    groups: Mutex<HashMap<GroupName, Arc<Group>>>,
}

impl HomeService {
    /// A home that serves no group yet: a group is probed from its first exchange on.
    pub fn new(context: HomeContext) -> Self {
        let settings = Arc::new(context.settings);
        Self {
            inner: Arc::new(Inner {
                node: context.node,
                zone: context.zone,
                admission: Admission::new(context.configuration.clone(), settings.clone()),
                configuration: context.configuration,
                back_end: context.back_end,
                settings,
                events: context.events,
                groups: Mutex::new(HashMap::new()),
            }),
        }
    }

    /// Serves the exchanges of one front, one after another, until the link closes.
    ///
    /// After `leaving` is cancelled, new exchanges are refused and those in
    /// progress are finished.
    pub async fn serve(&self, link: impl FrontLink, leaving: CancellationToken) {
        serve_exchanges(self, link, leaving).await;
    }

    /// This daemon.
    pub fn node(&self) -> &NodeId {
        &self.inner.node
    }

    /// The zone of this home.
    pub fn zone(&self) -> &ZoneName {
        &self.inner.zone
    }

    /// Settings.
    pub fn settings(&self) -> &HomeSettings {
        &self.inner.settings
    }

    pub(crate) fn admission(&self) -> &Admission {
        &self.inner.admission
    }

    /// Begins an exchange with a group; its members are probed from then on.
    pub(crate) fn begin_exchange(
        &self,
        name: &GroupName,
    ) -> Result<OpenExchangeGuard, RequestFailure> {
        let mut groups = self.lock_groups();
        if configured_group(&self.inner.configuration, name).is_none() {
            let message = format!("database group {name} is not declared");
            return Err(RequestFailure::not_run(FailureKind::NotPermitted, message));
        }
        let group = groups
            .entry(name.clone())
            .or_insert_with(|| self.start_group(name));
        Ok(group.begin_exchange())
    }

    fn start_group(&self, name: &GroupName) -> Arc<Group> {
        let back_end = Arc::clone(&self.inner.back_end);
        let group = Group::new(name.clone(), back_end, self.inner.settings.clone());
        let home = self.clone();
        tokio::spawn(run_supervisor(
            group.clone(),
            self.inner.configuration.clone(),
            Arc::clone(&self.inner.events),
            move |group| home.retire(group),
        ));
        group
    }

    /// Takes a group without open exchanges out of service.
    fn retire(&self, group: &Arc<Group>) -> bool {
        let mut groups = self.lock_groups();
        if !group.is_unused() {
            return false;
        }
        groups.remove(group.name());
        group.stop();
        true
    }

    fn lock_groups(&self) -> MutexGuard<'_, HashMap<GroupName, Arc<Group>>> {
        self.inner
            .groups
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
