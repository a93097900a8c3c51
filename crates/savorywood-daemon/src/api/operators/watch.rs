//! Changes of resources as they come into force, one JSON object a line.

use crate::{
    api::{not_found, requests},
    daemon::DaemonShared,
    driver::CoreDriver,
    problem,
};
use async_io::Timer;
use futures_lite::future;
use http_types::{Body, Response, StatusCode};
use savorywood_core::config::{ChangeList, ConfigChange};
use savorywood_http::{BodySender, IncomingRequest, body::BodyPair, body_channel};
use savorywood_protocol::{
    ConfigRevision, RefusalCode, RequestRefusal,
    api::{WatchEvent, WatchKind},
    resource::{MoveState, ResourceKind},
};
use serde_json::Map;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// An empty line is sent after so long without a change, so that both sides notice a dead
/// connection.
const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// How often moves are looked at for a change of their state; an empty line goes with each look.
const STATUS_PERIOD: Duration = Duration::from_secs(1);

/// Streams changes of one kind after the revision in `from`.
pub fn follow(shared: &Arc<DaemonShared>, incoming: &IncomingRequest, kind: &str) -> Response {
    let Ok(kind) = kind.parse::<ResourceKind>() else {
        return not_found(incoming.request.url().path());
    };
    let from = match from_revision(incoming, &shared.driver) {
        Ok(from) => from,
        Err(refusal) => return requests::refuse(&refusal),
    };
    if let Err(refusal) = changes_after(&shared.driver, from) {
        return problem::problem_as(&refusal, StatusCode::Gone.into(), None, Map::new());
    }
    let BodyPair { sender, receiver } = body_channel();
    let watcher = ResourceWatcher {
        driver: Arc::clone(&shared.driver),
        kind,
        revision: from,
        sender,
        told: BTreeMap::new(),
    };
    shared.executor.spawn(watcher.run()).detach();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(receiver, None));
    response.insert_header("content-type", "application/x-ndjson");
    response
}

fn from_revision(
    incoming: &IncomingRequest,
    driver: &CoreDriver,
) -> Result<ConfigRevision, RequestRefusal> {
    let url = incoming.request.url();
    let mut pairs = url.query_pairs();
    let Some((_, value)) = pairs.find(|(name, _)| name == "from") else {
        return Ok(driver.config().revision);
    };
    value.parse().map(ConfigRevision).map_err(|_| {
        let detail = "from must be the revision after which to begin, a whole number";
        RequestRefusal::not_run(RefusalCode::BadRequest, detail)
    })
}

fn changes_after(
    driver: &CoreDriver,
    revision: ConfigRevision,
) -> Result<Vec<ConfigChange>, RequestRefusal> {
    match driver.with_core(|core, _, _| core.changes_since(revision)) {
        ChangeList::Changes(changes) => Ok(changes),
        ChangeList::Compacted { oldest } => {
            let detail = format!(
                "changes after revision {revision} are no longer kept: list the resources anew \
                 and watch from the list's revision, at least {oldest}"
            );
            Err(RequestRefusal::not_run(RefusalCode::NotFound, detail))
        }
    }
}

struct ResourceWatcher {
    driver: Arc<CoreDriver>,
    kind: ResourceKind,
    revision: ConfigRevision,
    sender: BodySender,
    told: BTreeMap<String, MoveStanding>,
}

/// What a watcher was told of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct MoveStanding {
    revision: ConfigRevision,
    state: Option<MoveState>,
}

impl ResourceWatcher {
    /// Sends changes until the caller leaves, or lags so far that changes are no longer kept: then
    /// the body breaks off, and the caller's next watch is told to list anew.
    async fn run(mut self) {
        loop {
            let changed = self.driver.config_listener();
            let Ok(changes) = changes_after(&self.driver, self.revision) else {
                return;
            };
            for change in &changes {
                if self.send(change).await.is_none() {
                    return;
                }
                self.revision = change.revision;
            }
            if self.send_statuses().await.is_none() {
                return;
            }
            let pause = match self.kind {
                ResourceKind::Move => STATUS_PERIOD,
                _ => KEEP_ALIVE,
            };
            let idle = async {
                Timer::after(pause).await;
            };
            future::or(changed, idle).await;
            if self.sender.send(b"\n".to_vec()).await.is_err() {
                return;
            }
        }
    }

    async fn send(&self, change: &ConfigChange) -> Option<()> {
        if change.key.kind != self.kind {
            return Some(());
        }
        let config = self.driver.config();
        let document = config.documents.get(&change.key);
        let document = document.map(|document| {
            self.driver
                .with_core(|core, _, _| core.with_status(document))
        });
        self.write(&WatchEvent {
            revision: change.revision,
            kind: document
                .as_ref()
                .map_or(WatchKind::Delete, |_| WatchKind::Put),
            name: change.key.name.clone(),
            document,
        })
        .await
    }

    /// Sends how moves stand where it differs from what was told last. A move goes on for long
    /// after the last change of its resource: without this, an operator who watches would never
    /// hear that it was completed or taken back.
    async fn send_statuses(&mut self) -> Option<()> {
        if self.kind != ResourceKind::Move {
            return Some(());
        }
        let config = self.driver.config();
        let moves = config.documents.values();
        for document in moves.filter(|document| document.spec.kind() == ResourceKind::Move) {
            let driver = &self.driver;
            let document = driver.with_core(|core, _, _| core.with_status(document));
            let standing = MoveStanding {
                revision: document.revision.unwrap_or_default(),
                state: document
                    .status
                    .as_ref()
                    .and_then(|status| status.move_state),
            };
            let told = self.told.insert(document.name.clone(), standing);
            if standing.state.is_none() || told == Some(standing) {
                continue;
            }
            self.write(&WatchEvent {
                revision: standing.revision,
                kind: WatchKind::Status,
                name: document.name.clone(),
                document: Some(document),
            })
            .await?;
        }
        Some(())
    }

    async fn write(&self, event: &WatchEvent) -> Option<()> {
        let mut bytes = serde_json::to_vec(event).unwrap_or_default();
        bytes.push(b'\n');
        self.sender.send(bytes).await.ok()
    }
}
