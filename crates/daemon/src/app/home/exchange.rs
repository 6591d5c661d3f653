//! One task for each front: serves its exchanges, one after another.

use super::HomeService;
use super::group::{Group, OpenExchangeGuard};
use super::link::{FrontLink, LinkClosed};
use super::runner::{HeldConnection, UnitRunner};
use crate::domain::exchange::{FrontMessage, HomeMessage, OpenExchange, RunUnit};
use crate::domain::verdict::{FailureKind, RequestFailure};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// How long a leaving home still answers on links without an exchange, so that what
/// is on its way is told `NotRun` and not cut off.
const LEAVING_LINGER: Duration = Duration::from_millis(1_500);

/// Serves exchanges until the link closes or the home has left.
pub async fn serve_exchanges(
    home: &HomeService,
    mut link: impl FrontLink,
    leaving: CancellationToken,
) {
    loop {
        let message = receive_unless_left(&mut link, &leaving).await;
        let outcome = match message {
            Ok(FrontMessage::Open(open)) => serve_exchange(home, &mut link, open, &leaving).await,
            Ok(FrontMessage::Release | FrontMessage::Cancel { .. }) => Ok(()),
            Ok(FrontMessage::Run(unit)) => refuse_without_exchange(&mut link, &unit).await,
            Ok(FrontMessage::Hello { .. }) | Err(LinkClosed) => return,
        };
        if outcome.is_err() {
            return;
        }
    }
}

/// The next message of a front for which the home holds nothing.
async fn receive_unless_left(
    link: &mut impl FrontLink,
    leaving: &CancellationToken,
) -> Result<FrontMessage, LinkClosed> {
    let left = async {
        leaving.cancelled().await;
        sleep(LEAVING_LINGER).await;
    };
    tokio::select! {
        biased;
        message = link.receive() => message,
        () = left => Err(LinkClosed),
    }
}

async fn refuse_without_exchange(
    link: &mut impl FrontLink,
    unit: &RunUnit,
) -> Result<(), LinkClosed> {
    let reason = "the exchange is over";
    let failure = RequestFailure::not_run(FailureKind::ProtocolViolation, reason);
    send_failure(link, unit, failure).await
}

async fn send_failure(
    link: &mut impl FrontLink,
    unit: &RunUnit,
    failure: RequestFailure,
) -> Result<(), LinkClosed> {
    let request = unit.request;
    log::info!(request:% = request; "unit failed: {failure}");
    link.send(HomeMessage::Failed { request, failure }).await
}

/// Serves one exchange up to its release or its first failure.
async fn serve_exchange(
    home: &HomeService,
    link: &mut impl FrontLink,
    open: OpenExchange,
    leaving: &CancellationToken,
) -> Result<(), LinkClosed> {
    let began = begin(home, &open, leaving);
    let mut held: Option<HeldConnection> = None;
    loop {
        let message = match held {
            Some(_) => link.receive().await,
            None => receive_unless_left(link, leaving).await,
        };
        let unit = match message {
            Ok(FrontMessage::Run(unit)) => unit,
            Ok(FrontMessage::Cancel { .. }) => continue,
            Ok(FrontMessage::Release) => {
                end(home, held);
                return Ok(());
            }
            Ok(FrontMessage::Hello { .. } | FrontMessage::Open(_)) | Err(LinkClosed) => {
                end(home, held);
                return Err(LinkClosed);
            }
        };
        let group = match &began {
            Ok(guard) => guard.group(),
            Err(failure) => return send_failure(link, &unit, failure.clone()).await,
        };
        if leaving.is_cancelled() && held.is_none() {
            return send_failure(link, &unit, shutting_down()).await;
        }
        match run_unit(home, group, link, &open, &unit, held).await? {
            Ok(still_held) => held = still_held,
            Err(failure) => return send_failure(link, &unit, failure).await,
        }
    }
}

fn begin(
    home: &HomeService,
    open: &OpenExchange,
    leaving: &CancellationToken,
) -> Result<OpenExchangeGuard, RequestFailure> {
    if leaving.is_cancelled() {
        return Err(shutting_down());
    }
    home.begin_exchange(&open.group)
}

/// Ends an exchange, in good order or not. What is still held has a transaction or
/// session state of the caller's, so it is closed and never shared.
fn end(home: &HomeService, held: Option<HeldConnection>) {
    if let Some(held) = held
        && home.settings().mutants.return_dirty_connections
    {
        held.connection.give_back();
    }
}

/// Runs a unit and, unless it failed, tells the front that it is done.
async fn run_unit(
    home: &HomeService,
    group: &Arc<Group>,
    link: &mut impl FrontLink,
    open: &OpenExchange,
    unit: &RunUnit,
    held: Option<HeldConnection>,
) -> Result<Result<Option<HeldConnection>, RequestFailure>, LinkClosed> {
    let mut runner = UnitRunner::new(home, group, link, &open.service, unit);
    let finished = match runner.run(held).await? {
        Ok(finished) => finished,
        Err(failure) => return Ok(Err(failure)),
    };
    link.send(HomeMessage::Done(finished.done)).await?;
    Ok(Ok(finished.held))
}

fn shutting_down() -> RequestFailure {
    RequestFailure::not_run(FailureKind::ShuttingDown, "the home is leaving")
}
