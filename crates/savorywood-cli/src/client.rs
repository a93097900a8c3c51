//! Calls of the operators' HTTP interface.

use crate::{
    error::{CommandError, ProblemText},
    options::ServerOptions,
};
use http_types::Method;
use savorywood_http::{CallAnswer, CallRequest, ClientLimits, HttpClient};
use savorywood_protocol::{
    ConfigRevision,
    api::{AcceptedChange, MemberSummary, ProblemSummary, ResourceList},
    burn::DaemonBurnReport,
    resource::{ResourceDocument, ResourceKey, ResourceKind},
};
use serde::de::DeserializeOwned;
use std::{env, fs, net::SocketAddr, time::Duration};

/// Longest wait for one answer. A write waits for the table, at worst for its timeout and a
/// read-back.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Variable that holds the operators' token.
const TOKEN_VARIABLE: &str = "SAVORYWOOD_TOKEN";

/// What must hold for a change to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// Nothing: the last write wins.
    Always,
    /// The resource doesn't exist.
    Absent,
    /// The resource has this revision.
    Revision(ConfigRevision),
}

/// A daemon as operators see it.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    http: HttpClient,
    address: SocketAddr,
    token: Option<String>,
}

impl OperatorClient {
    /// Works out whom to call, and with which token.
    ///
    /// # Errors
    ///
    /// When no address is given or the token can't be read.
    pub fn from_options(options: &ServerOptions) -> Result<Self, CommandError> {
        let Some(address) = options.server else {
            let message = "no daemon is named; write --server ADDR or set SAVORYWOOD_SERVER";
            return Err(CommandError::Usage {
                message: message.to_owned(),
            });
        };
        let token = match &options.token_file {
            Some(path) => {
                let text = fs::read_to_string(path).map_err(|error| CommandError::Failed {
                    step: format!("reading the token from {}", path.display()),
                    reason: error.to_string(),
                    remedy: "check --token-file and the file's mode".to_owned(),
                })?;
                Some(text.trim().to_owned())
            }
            None => env::var(TOKEN_VARIABLE).ok(),
        };
        Ok(Self::new(address, token))
    }

    /// A client of the daemon at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, token: Option<String>) -> Self {
        Self {
            http: HttpClient::new(ClientLimits::default()),
            address,
            token,
        }
    }

    /// The same operator at another daemon.
    #[must_use]
    pub fn at(&self, address: SocketAddr) -> Self {
        Self {
            address,
            ..self.clone()
        }
    }

    /// Daemon that is called.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All resources of a kind.
    ///
    /// # Errors
    ///
    /// When the daemon does not answer or refuses.
    pub async fn list(&self, kind: ResourceKind) -> Result<ResourceList, CommandError> {
        let target = format!("/v1/resources/{kind}");
        self.read(&format!("listing {kind}"), &target).await
    }

    /// One resource; `None` when there is none.
    ///
    /// # Errors
    ///
    /// When the daemon does not answer or refuses.
    pub async fn get(&self, key: &ResourceKey) -> Result<Option<ResourceDocument>, CommandError> {
        const NOT_FOUND: u16 = 404;
        let target = format!("/v1/resources/{key}");
        match self.read(&format!("reading {key}"), &target).await {
            Ok(document) => Ok(Some(document)),
            Err(CommandError::Refused {
                status: NOT_FOUND, ..
            }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Creates or replaces a resource.
    ///
    /// # Errors
    ///
    /// When the daemon does not answer or refuses, another write coming first included.
    pub async fn put(
        &self,
        document: &ResourceDocument,
        condition: WriteCondition,
    ) -> Result<AcceptedChange, CommandError> {
        let key = document.key();
        let step = format!("applying {key}");
        let body = serde_json::to_vec(document).map_err(|error| CommandError::Failed {
            step: step.clone(),
            reason: error.to_string(),
            remedy: "report this as a defect".to_owned(),
        })?;
        let call = self.call(Method::Put, &format!("/v1/resources/{key}"));
        let call = conditional(call.with_body(body), condition);
        self.answer(&step, call).await
    }

    /// Deletes a resource.
    ///
    /// # Errors
    ///
    /// When the daemon does not answer or refuses.
    pub async fn delete(
        &self,
        key: &ResourceKey,
        condition: WriteCondition,
    ) -> Result<AcceptedChange, CommandError> {
        let call = self.call(Method::Delete, &format!("/v1/resources/{key}"));
        let call = conditional(call, condition);
        self.answer(&format!("deleting {key}"), call).await
    }

    /// Daemons that this one knows of.
    ///
    /// # Errors
    ///
    /// When the daemon does not answer or refuses.
    pub async fn members(&self) -> Result<Vec<MemberSummary>, CommandError> {
        self.read("listing members", "/v1/members").await
    }

    /// Counts of this daemon for the burn report.
    ///
    /// # Errors
    ///
    /// When the daemon does not answer or refuses.
    pub async fn burn(&self) -> Result<DaemonBurnReport, CommandError> {
        self.read("reading burn counts", "/v1/burn").await
    }

    /// The HTTP client, for calls whose answers are read piece by piece.
    pub(crate) fn http(&self) -> &HttpClient {
        &self.http
    }

    /// A call of this daemon with the token.
    pub(crate) fn call(&self, method: Method, target: &str) -> CallRequest {
        let mut call = CallRequest::new(self.address, method, target);
        call.timeout = CALL_TIMEOUT;
        call.token.clone_from(&self.token);
        call
    }

    async fn read<T: DeserializeOwned>(&self, step: &str, target: &str) -> Result<T, CommandError> {
        self.answer(step, self.call(Method::Get, target)).await
    }

    async fn answer<T: DeserializeOwned>(
        &self,
        step: &str,
        call: CallRequest,
    ) -> Result<T, CommandError> {
        let peer = self.address;
        let answered = self.http.call(&call).await;
        let answer = answered.map_err(|source| CommandError::Unanswered {
            step: step.to_owned(),
            peer,
            source,
        })?;
        if !(200..300).contains(&answer.status) {
            return Err(refused(step, peer, &answer));
        }
        serde_json::from_slice(&answer.body).map_err(|error| CommandError::Unreadable {
            step: step.to_owned(),
            peer,
            reason: error.to_string(),
        })
    }
}

fn conditional(call: CallRequest, condition: WriteCondition) -> CallRequest {
    match condition {
        WriteCondition::Always => call,
        WriteCondition::Absent => call.with_header("if-none-match", "*"),
        WriteCondition::Revision(revision) => {
            call.with_header("if-match", format!("\"{revision}\""))
        }
    }
}

/// What a refusal says; whatever is no problem body is shown as far as it is text.
pub(crate) fn refused(step: &str, peer: SocketAddr, answer: &CallAnswer) -> CommandError {
    let problem = serde_json::from_slice(&answer.body).unwrap_or_else(|_| ProblemSummary {
        detail: String::from_utf8_lossy(&answer.body)
            .chars()
            .filter(|c| !c.is_control())
            .take(200)
            .collect(),
        code: "no-problem-body".to_owned(),
        ..ProblemSummary::default()
    });
    CommandError::Refused {
        step: step.to_owned(),
        peer,
        status: answer.status,
        problem: Box::new(ProblemText(problem)),
    }
}
