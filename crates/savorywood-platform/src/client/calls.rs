//! Calls of the table, the object store, the host list and the weight store.

use super::{GatedCall, PlatformClient};
use crate::{
    duty::{CallKind, PlatformDuty, PlatformService},
    error::{BadAnswerSnafu, BadStatusSnafu, NoAnswerSnafu, PlatformError, PlatformStep},
};
use http_types::Method;
use savorywood_http::{CallAnswer, CallRequest, SendError};
use savorywood_protocol::{
    host_list::HostDocument,
    table::{TableRequest, TableResponse},
};
use snafu::ResultExt;
use std::net::SocketAddr;

/// Bytes of an error's body that are kept.
const DETAIL_BYTES: usize = 200;

impl PlatformClient {
    /// Calls the table service for a duty. What went wrong is logged and told as
    /// [`TableResponse::Unavailable`] when the call took no effect, else as [`TableResponse::Lost`].
    pub async fn execute(&self, duty: PlatformDuty, request: &TableRequest) -> TableResponse {
        match self.call_table(duty, request).await {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!(
                    "event=table-call-failed duty={duty} error={:?}",
                    error.to_string()
                );
                let harmless = error.had_no_effect();
                if harmless {
                    TableResponse::Unavailable
                } else {
                    TableResponse::Lost
                }
            }
        }
    }

    async fn call_table(
        &self,
        duty: PlatformDuty,
        request: &TableRequest,
    ) -> Result<TableResponse, PlatformError> {
        let step = PlatformStep::CallTable;
        let peer = self.options.address;
        let kind = match request {
            TableRequest::Get { .. } | TableRequest::Scan { .. } => CallKind::Read,
            TableRequest::Commit(_) => CallKind::Write,
        };
        let body = serde_json::to_vec(request).context(BadAnswerSnafu { step, peer })?;
        let call = self.request(PlatformService::Table, Method::Post, "/v1/table".to_owned());
        let call = call.with_body(body);
        let answer = self.gated(duty, kind, step, &call).await?;
        serde_json::from_slice(&answer.body).context(BadAnswerSnafu { step, peer })
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// [`PlatformError::had_no_effect`] tells whether it may be there all the same.
    pub async fn put_object(&self, key: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        let call = self.request(
            PlatformService::Objects,
            Method::Put,
            format!("/v1/objects/{key}"),
        );
        let call = call.with_body(bytes);
        let step = PlatformStep::PutObject;
        self.gated(PlatformDuty::Objects, CallKind::Write, step, &call)
            .await?;
        Ok(())
    }

    /// Reads an object; `None` when there is none.
    ///
    /// # Errors
    ///
    /// When the store can't be asked.
    pub async fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let call = self.request(
            PlatformService::Objects,
            Method::Get,
            format!("/v1/objects/{key}"),
        );
        let step = PlatformStep::GetObject;
        let read = self.gated(PlatformDuty::Objects, CallKind::Read, step, &call);
        found(read.await)
    }

    /// Deletes an object; a missing one is no error.
    ///
    /// # Errors
    ///
    /// [`PlatformError::had_no_effect`] tells whether it may be gone all the same.
    pub async fn delete_object(&self, key: &str) -> Result<(), PlatformError> {
        let call = self.request(
            PlatformService::Objects,
            Method::Delete,
            format!("/v1/objects/{key}"),
        );
        let step = PlatformStep::DeleteObject;
        let delete = self.gated(PlatformDuty::Objects, CallKind::Write, step, &call);
        found(delete.await).map(drop)
    }

    /// Reads weights; `None` when there are none of that key.
    ///
    /// # Errors
    ///
    /// When the store can't be asked.
    pub async fn get_weights(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let call = self.request(
            PlatformService::Objects,
            Method::Get,
            format!("/v1/weights/{key}"),
        );
        let step = PlatformStep::GetWeights;
        let read = self.gated(PlatformDuty::Weights, CallKind::Read, step, &call);
        found(read.await)
    }

    /// Reads the host list, which lags.
    ///
    /// # Errors
    ///
    /// When the list can't be had.
    pub async fn list_hosts(&self) -> Result<Vec<HostDocument>, PlatformError> {
        let step = PlatformStep::ListHosts;
        let peer = self.options.host_list_address;
        let call = self.request(
            PlatformService::HostList,
            Method::Get,
            "/v1/hosts".to_owned(),
        );
        let answer = self
            .gated(PlatformDuty::Hosts, CallKind::Read, step, &call)
            .await?;
        serde_json::from_slice(&answer.body).context(BadAnswerSnafu { step, peer })
    }

    fn request(&self, service: PlatformService, method: Method, target: String) -> CallRequest {
        let mut call = CallRequest::new(self.address_of(service), method, target);
        call.timeout = self.options.call_time;
        call.token.clone_from(&self.options.token);
        call
    }

    async fn gated(
        &self,
        duty: PlatformDuty,
        kind: CallKind,
        step: PlatformStep,
        request: &CallRequest,
    ) -> Result<CallAnswer, PlatformError> {
        let call = GatedCall {
            duty,
            kind,
            step,
            request,
        };
        self.call(call).await
    }
}

fn found(read: Result<CallAnswer, PlatformError>) -> Result<Option<Vec<u8>>, PlatformError> {
    match read {
        Ok(answer) => Ok(Some(answer.body)),
        Err(PlatformError::BadStatus { status: 404, .. }) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Turns statuses that are no success into errors.
pub(super) fn check_status(
    step: PlatformStep,
    peer: SocketAddr,
    result: Result<CallAnswer, SendError>,
) -> Result<CallAnswer, PlatformError> {
    let answer = result.context(NoAnswerSnafu { step, peer })?;
    let status = answer.status;
    if (200..300).contains(&status) {
        return Ok(answer);
    }
    let length = answer.body.len().min(DETAIL_BYTES);
    let detail = String::from_utf8_lossy(&answer.body[..length]).into_owned();
    BadStatusSnafu {
        step,
        peer,
        status,
        detail,
    }
    .fail()
}
