//! The data path of a daemon: callers' side, and exchanges with other daemons.

use super::stage::Stage;
use crate::adapters::exchange::{self, ExchangeConnector};
use crate::adapters::postgres::back_end::PostgresBackEnd;
use crate::adapters::postgres::caller;
use crate::app::control::state::ConfigurationState;
use crate::app::front::FrontContext;
use crate::app::home::{HomeContext, HomeService};
use crate::app::homes::PlacedHomes;
use crate::ports::configuration::ConfigurationReceiver;
use crate::ports::fleet::FleetReceiver;
use crate::settings::Settings;
use std::sync::Arc;
use stilequay_engine::events::EventLog;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// The data path: callers' side, and exchanges with other daemons.
pub(super) struct DataPath {
    /// Callers' side.
    pub front: Stage,
    /// Exchanges with other daemons.
    pub exchanges: Stage,
}

/// Neither side takes a connection before the configuration is in force.
pub(super) fn start_data_path(
    settings: &Settings,
    state: &Arc<ConfigurationState>,
    fleet: FleetReceiver,
    callers: TcpListener,
    peer: TcpListener,
) -> DataPath {
    let events = Arc::new(EventLog::for_node(settings.node.id.as_str().into()));
    let home = HomeService::new(HomeContext {
        node: settings.node.id.clone(),
        zone: settings.node.zone.clone(),
        configuration: state.receiver(),
        back_end: Arc::new(PostgresBackEnd {
            prepared_statements: settings.home.prepared_statements_per_connection,
        }),
        settings: settings.home.clone(),
        events: Arc::clone(&events),
    });
    let connector = ExchangeConnector::new(settings.node.id.clone(), fleet.clone(), home.clone());
    let context = FrontContext {
        configuration: state.receiver(),
        homes: Arc::new(PlacedHomes::new(settings.node.zone.clone(), fleet)),
        connector: Arc::new(connector),
        settings: settings.front.clone(),
        events,
    };
    let front = Stage::new();
    let leaving = front.leaving.clone();
    front.tasks.spawn(once_in_force(
        state.receiver(),
        leaving.clone(),
        caller::serve(callers, context, leaving),
    ));
    let exchanges = Stage::new();
    let leaving = exchanges.leaving.clone();
    exchanges.tasks.spawn(once_in_force(
        state.receiver(),
        leaving.clone(),
        exchange::listen(peer, home, leaving),
    ));
    DataPath { front, exchanges }
}

/// Runs `serve` from the moment when a configuration is in force.
async fn once_in_force(
    mut configuration: ConfigurationReceiver,
    leaving: CancellationToken,
    serve: impl Future<Output = ()>,
) {
    tokio::select! {
        Ok(_) = configuration.wait_for(Option::is_some) => {}
        () = leaving.cancelled() => return,
    }
    serve.await;
}
