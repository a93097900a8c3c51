//! `savorywood watch`: shows changes as they come.

use crate::{
    client::{self, OperatorClient},
    error::CommandError,
    options::{KindArgument, ServerOptions, kind_argument, server_options},
};
use async_io::Timer;
use bpaf::Bpaf;
use futures_lite::future;
use http_types::Method;
use savorywood_http::{AnswerBody, CallAnswer};
use savorywood_protocol::{
    ConfigRevision,
    api::{WatchEvent, WatchKind},
    resource::ResourceKind,
};
use std::time::Duration;

/// Status of a revision whose changes are no longer kept.
const GONE: u16 = 410;

/// Connections in a row without an answer after which the command gives up.
const MAX_FAILURES: u32 = 10;

/// Pause before the next connection.
const RECONNECT_PAUSE: Duration = Duration::from_secs(1);

/// Longest silence of a connection. A host that is cut off leaves it open without a word, and the
/// watch would miss every change from then on; a new connection goes on from the last one.
const MAX_SILENCE: Duration = Duration::from_secs(60);

/// Longest line that is read, in bytes. A longer one is no event of a daemon.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Bytes of a refusal that are read.
const MAX_REFUSAL_BYTES: usize = 1 << 20;

/// Options of `watch`.
#[derive(Debug, Clone, Bpaf)]
pub struct WatchOptions {
    /// Daemon to ask
    #[bpaf(external(server_options))]
    pub server: ServerOptions,
    /// Show changes after this revision; without it, what there is now comes first
    #[bpaf(argument("REVISION"))]
    pub from: Option<u64>,
    /// Kind of the resource
    #[bpaf(external(kind_argument))]
    pub kind: KindArgument,
}

/// How one connection ended.
enum StreamEnd {
    /// Closed or broken; another one goes on from the last revision.
    Closed,
    /// Changes since the revision are no longer kept.
    Compacted,
}

/// Shows changes until it is interrupted.
///
/// # Errors
///
/// When the daemon refuses, or no connection holds several times in a row.
pub fn run(options: &WatchOptions, fallback: &ServerOptions) -> Result<(), CommandError> {
    let server = options.server.clone().or(fallback);
    let client = OperatorClient::from_options(&server)?;
    let from = options.from.map(ConfigRevision);
    async_io::block_on(watch(&client, options.kind.0, from))
}

async fn watch(
    client: &OperatorClient,
    kind: ResourceKind,
    from: Option<ConfigRevision>,
) -> Result<(), CommandError> {
    let mut revision = match from {
        Some(revision) => revision,
        None => show_present(client, kind).await?,
    };
    let mut failures = 0;
    loop {
        match Box::pin(follow(client, kind, &mut revision)).await {
            Ok(StreamEnd::Closed) => failures = 0,
            // Events between the two revisions are gone; only the present state can be shown.
            Ok(StreamEnd::Compacted) => {
                log::warn!("event=watch-compacted kind={kind} revision={revision}");
                revision = show_present(client, kind).await?;
            }
            Err(error @ CommandError::Unanswered { .. }) if failures < MAX_FAILURES => {
                log::warn!(
                    "event=watch-broken kind={kind} error={:?}",
                    error.to_string()
                );
                failures += 1;
            }
            Err(error) => return Err(error),
        }
        Timer::after(RECONNECT_PAUSE).await;
    }
}

/// Prints all resources as if just put, and says at which revision they were read.
async fn show_present(
    client: &OperatorClient,
    kind: ResourceKind,
) -> Result<ConfigRevision, CommandError> {
    let list = client.list(kind).await?;
    for document in list.items {
        let event = WatchEvent {
            revision: document.revision.unwrap_or_default(),
            kind: WatchKind::Put,
            name: document.name.clone(),
            document: Some(document),
        };
        print_event(&event)?;
    }
    Ok(list.revision)
}

/// Prints the events of one connection and moves `revision` along.
async fn follow(
    client: &OperatorClient,
    kind: ResourceKind,
    revision: &mut ConfigRevision,
) -> Result<StreamEnd, CommandError> {
    let step = format!("watching {kind}");
    let peer = client.address();
    let call = client.call(Method::Get, &format!("/v1/watch/{kind}?from={revision}"));
    let unanswered = |source| CommandError::Unanswered {
        step: step.clone(),
        peer,
        source,
    };
    let request = call.build().map_err(unanswered)?;
    let answered = client.http().send(peer, request).await;
    let mut answer = answered.map_err(unanswered)?;
    match answer.status() {
        GONE => return Ok(StreamEnd::Compacted),
        200 => {}
        status => {
            let body = read_refusal(&mut answer.body).await;
            let answer = CallAnswer {
                status,
                etag: None,
                body,
            };
            return Err(client::refused(&step, peer, &answer));
        }
    }
    let mut lines = LineReader::default();
    // A line that was cut off is dropped; the next connection brings its event whole.
    while let Some(line) = lines.next(&mut answer.body).await {
        if line.trim_ascii().is_empty() {
            continue;
        }
        let event: WatchEvent =
            serde_json::from_slice(&line).map_err(|error| CommandError::Unreadable {
                step: step.clone(),
                peer,
                reason: error.to_string(),
            })?;
        print_event(&event)?;
        *revision = event.revision.max(*revision);
    }
    Ok(StreamEnd::Closed)
}

async fn read_refusal(body: &mut AnswerBody) -> Vec<u8> {
    let mut whole = Vec::new();
    let mut piece = vec![0; 4_096];
    while whole.len() < MAX_REFUSAL_BYTES {
        match body.read(&mut piece).await {
            Ok(0) | Err(_) => break,
            Ok(count) => whole.extend_from_slice(&piece[..count]),
        }
    }
    whole
}

fn print_event(event: &WatchEvent) -> Result<(), CommandError> {
    let text = serde_json::to_string(event).map_err(|error| CommandError::Failed {
        step: "printing".to_owned(),
        reason: error.to_string(),
        remedy: "report this as a defect".to_owned(),
    })?;
    super::print("printing", &format!("{text}\n"))
}

/// Cuts a body into lines.
#[derive(Debug, Default)]
struct LineReader {
    pending: Vec<u8>,
}

impl LineReader {
    /// The next whole line; `None` when the body ends, breaks, falls silent or has too long a
    /// line.
    async fn next(&mut self, body: &mut AnswerBody) -> Option<Vec<u8>> {
        let mut piece = vec![0; 16_384];
        let mut searched = 0;
        loop {
            let rest = self.pending.get(searched..).unwrap_or_default();
            if let Some(place) = rest.iter().position(|byte| *byte == b'\n') {
                let rest = self.pending.split_off(searched + place + 1);
                return Some(std::mem::replace(&mut self.pending, rest));
            }
            searched = self.pending.len();
            if searched > MAX_LINE_BYTES {
                return None;
            }
            let read = async { body.read(&mut piece).await.unwrap_or_default() };
            let silence = async {
                Timer::after(MAX_SILENCE).await;
                0
            };
            match future::or(read, silence).await {
                0 => return None,
                count => self.pending.extend_from_slice(&piece[..count]),
            }
        }
    }
}
