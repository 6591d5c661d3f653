//! Steering over HTTP:
//!
//! - `GET /members` and `GET /members/{name}`: what members report ([`MemberReport`]);
//! - `POST /members/{name}/cut`, `/heal`, `/freeze`, `/thaw`, `/kill`, `/restart` and `/leave`;
//! - `PUT /members/{name}/lag` ([`ReplicationLag`]), `/delays` ([`Delays`]), `/limits`
//!   ([`Limits`]);
//! - `GET /elections`: the elections so far ([`Election`]).

use super::cluster::Election;
use super::error::GroupError;
use super::handle::GroupHandle;
use super::report::MemberReport;
use super::settings::{Delays, Limits, ReplicationLag};
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use serde::Deserialize;

/// What a `POST` does to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Step {
    Cut,
    Heal,
    Freeze,
    Thaw,
    Kill,
    Restart,
    Leave,
}

impl IntoResponse for GroupError {
    fn into_response(self) -> Response {
        let status = match self {
            Self::UnknownMember(_) => StatusCode::NOT_FOUND,
            Self::NotPossible(_) => StatusCode::CONFLICT,
            Self::Settings(_) => StatusCode::BAD_REQUEST,
            Self::Bind(..) | Self::Engine(_) => StatusCode::INTERNAL_SERVER_ERROR,
        };
        (status, self.to_string()).into_response()
    }
}

type Steered = Result<StatusCode, GroupError>;

/// The routes that steer `group`.
pub fn router(group: GroupHandle) -> Router {
    Router::new()
        .route("/members", get(members))
        .route("/members/{name}", get(member))
        .route("/members/{name}/lag", put(set_lag))
        .route("/members/{name}/delays", put(set_delays))
        .route("/members/{name}/limits", put(set_limits))
        .route("/members/{name}/{step}", post(take_step))
        .route("/elections", get(elections))
        .with_state(group)
}

async fn members(State(group): State<GroupHandle>) -> Json<Vec<MemberReport>> {
    Json(group.reports())
}

async fn member(
    State(group): State<GroupHandle>,
    Path(name): Path<String>,
) -> Result<Json<MemberReport>, GroupError> {
    group.report(&name).map(Json)
}

async fn elections(State(group): State<GroupHandle>) -> Json<Vec<Election>> {
    Json(group.elections())
}

async fn take_step(
    State(group): State<GroupHandle>,
    Path((name, step)): Path<(String, Step)>,
) -> Steered {
    match step {
        Step::Cut => group.cut(&name),
        Step::Heal => group.heal(&name),
        Step::Freeze => group.freeze(&name),
        Step::Thaw => group.thaw(&name),
        Step::Kill => group.kill(&name),
        Step::Restart => group.restart(&name).await,
        Step::Leave => group.leave(&name),
    }?;
    Ok(StatusCode::NO_CONTENT)
}

async fn set_lag(
    State(group): State<GroupHandle>,
    Path(name): Path<String>,
    Json(lag): Json<ReplicationLag>,
) -> Steered {
    group.set_lag(&name, lag)?;
    Ok(StatusCode::NO_CONTENT)
}

async fn set_delays(
    State(group): State<GroupHandle>,
    Path(name): Path<String>,
    Json(delays): Json<Delays>,
) -> Steered {
    group.set_delays(&name, delays)?;
    Ok(StatusCode::NO_CONTENT)
}

async fn set_limits(
    State(group): State<GroupHandle>,
    Path(name): Path<String>,
    Json(limits): Json<Limits>,
) -> Steered {
    group.set_limits(&name, limits)?;
    Ok(StatusCode::NO_CONTENT)
}
