//! Watches: changes of one kind as lines of JSON, from a version on.

use super::SharedApi;
use super::documents::{Document, show};
use super::failure::{ApiFailure, FailureCode};
use super::requests::ApiRequestId;
use crate::app::control::catalogue::{AppliedChange, ChangeKind};
use crate::domain::document::ResourceKind;
use crate::domain::names::Revision;
use axum::body::{Body, Bytes};
use axum::http::header;
use axum::response::{IntoResponse, Response};
use futures::Stream;
use futures::stream::unfold;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::convert::Infallible;
use tokio::sync::watch::Receiver;
use tokio::time::{Instant, sleep_until};

/// One line of a watch.
#[derive(Debug, Serialize, Deserialize)]
#[serde(
    tag = "type",
    rename_all = "UPPERCASE",
    rename_all_fields = "camelCase"
)]
pub enum WatchEvent {
    /// A resource is new.
    Added {
        /// The resource.
        object: Box<Document>,
    },
    /// A resource was replaced.
    Modified {
        /// The resource.
        object: Box<Document>,
    },
    /// A resource is gone.
    Deleted {
        /// Its last state.
        object: Box<Document>,
        /// The version of the deletion.
        resource_version: String,
    },
    /// Nothing up to this version is missing; a later watch may begin here.
    Bookmark {
        /// The version.
        resource_version: String,
    },
    /// Changes were missed: list again, then watch from there.
    Gone {
        /// The first version that a watch can begin at.
        resource_version: String,
    },
}

/// A watch in progress.
struct Watch {
    api: SharedApi,
    kind: ResourceKind,
    applied: Receiver<Revision>,
    seen: Revision,
    ready: VecDeque<WatchEvent>,
    next_bookmark: Instant,
    ended: bool,
}

/// Begins a watch of the changes after `from`; after the present where absent.
///
/// # Errors
/// 410 where some of these changes are no longer kept.
pub fn watch(
    api: SharedApi,
    kind: ResourceKind,
    from: Option<u64>,
    request: ApiRequestId,
) -> Result<Response, ApiFailure> {
    let applied = api.context.state.applied();
    let from = from.map_or(*applied.borrow(), Revision);
    let kept = api
        .context
        .state
        .read(|catalogue| catalogue.changes_after(from).is_some());
    if !kept {
        return Err(ApiFailure::new(
            FailureCode::Gone,
            format!("changes after version {from} are no longer kept: list again"),
        ));
    }
    log::debug!(request = request.0.as_str(), kind = kind.as_str(); "watch from {from}");
    let next_bookmark = Instant::now() + api.context.settings.bookmark_interval();
    let watch = Watch {
        api,
        kind,
        applied,
        seen: from,
        ready: VecDeque::new(),
        next_bookmark,
        ended: false,
    };
    let body = Body::from_stream(lines(watch));
    Ok(([(header::CONTENT_TYPE, "application/x-ndjson")], body).into_response())
}

fn lines(watch: Watch) -> impl Stream<Item = Result<Bytes, Infallible>> {
    unfold(watch, |mut watch| async move {
        let event = watch.next().await?;
        let mut line = serde_json::to_vec(&event).ok()?;
        line.push(b'\n');
        Some((Ok(Bytes::from(line)), watch))
    })
}

impl Watch {
    /// The next event; `None` at the end of the watch.
    async fn next(&mut self) -> Option<WatchEvent> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Some(event);
            }
            if self.ended {
                return None;
            }
            self.collect();
            if !self.ready.is_empty() {
                continue;
            }
            tokio::select! {
                changed = self.applied.changed() => changed.ok()?,
                () = sleep_until(self.next_bookmark) => self.bookmark(),
                () = self.api.leaving.cancelled() => return None,
            }
        }
    }

    /// Takes the changes since the last time.
    fn collect(&mut self) {
        self.applied.mark_unchanged();
        let (revision, changes) = self
            .api
            .context
            .state
            .read(|catalogue| (catalogue.revision(), catalogue.changes_after(self.seen)));
        let Some(changes) = changes else {
            self.ready.push_back(WatchEvent::Gone {
                resource_version: revision.to_string(),
            });
            self.ended = true;
            return;
        };
        let of_kind = changes
            .iter()
            .filter(|change| change.resource.resource.spec.kind() == self.kind);
        let events: Vec<_> = of_kind.map(|change| self.event(change)).collect();
        self.ready.extend(events);
        self.seen = self.seen.max(revision);
    }

    fn event(&self, change: &AppliedChange) -> WatchEvent {
        let object = Box::new(show(&change.resource, &self.api.context.in_force));
        match change.kind {
            ChangeKind::Added => WatchEvent::Added { object },
            ChangeKind::Modified => WatchEvent::Modified { object },
            ChangeKind::Deleted => WatchEvent::Deleted {
                object,
                resource_version: change.revision.to_string(),
            },
        }
    }

    fn bookmark(&mut self) {
        self.ready.push_back(WatchEvent::Bookmark {
            resource_version: self.seen.to_string(),
        });
        self.next_bookmark = Instant::now() + self.api.context.settings.bookmark_interval();
    }
}
