//! Resumes streams that another daemon dispatched, without a second dispatch.

use crate::{effect::ResumeCommand, request::ResumeArrival, view::ConfigView};
use savorywood_protocol::{
    CoreTime, RefusalCode, RequestRefusal,
    resource::{UpstreamExtension, UpstreamSpec},
    resume_token::{ResumeKey, ResumeToken},
};
use std::time::Duration;

/// Maximum age of a resume token. Upstreams keep streams for a bounded time.
pub const MAX_RESUME_TOKEN_AGE: Duration = Duration::from_secs(600);

/// Checks the resume token of a caller and returns the order to fetch the rest of the stream.
///
/// The upstream has executed the request, or is executing it, whatever the result. So every refusal
/// has an unknown outcome.
///
/// # Errors
///
/// The refusal for the caller.
pub fn resolve_resume(
    now: CoreTime,
    arrival: &ResumeArrival,
    key: &ResumeKey,
    config: &ConfigView,
) -> Result<ResumeCommand, RequestRefusal> {
    let team = arrival.token.and_then(|token| config.team_of(&token));
    let team = team.ok_or_else(|| {
        let detail = "send `Authorization: Bearer TOKEN` with the token of the team that began \
                      the stream";
        RequestRefusal::unknown(RefusalCode::Unauthorized, detail)
    })?;
    let token = ResumeToken::verify(
        &arrival.resume_token,
        key,
        team,
        now.wall,
        MAX_RESUME_TOKEN_AGE,
    )
    .map_err(|error| RequestRefusal::unknown(RefusalCode::BadResumeToken, error.to_string()))?;
    let upstream = find_upstream(&token, config)?;
    Ok(ResumeCommand {
        request: arrival.request,
        upstream: token.upstream.clone(),
        address: upstream.address,
        stream: token.stream,
        offset: arrival.offset,
    })
}

/// Returns the upstream that has the stream. It may be draining, since it finishes its streams. If
/// it was replaced by another upstream of the same name and service, that one rejects the unknown
/// stream.
fn find_upstream<'a>(
    token: &ResumeToken,
    config: &'a ConfigView,
) -> Result<&'a UpstreamSpec, RequestRefusal> {
    let spec = config.upstreams.get(&token.upstream);
    let spec = spec.filter(|spec| spec.service == token.service);
    let supports_resume =
        |spec: &&UpstreamSpec| spec.extensions.contains(&UpstreamExtension::Resume);
    match spec {
        Some(spec) if supports_resume(&spec) => Ok(spec),
        Some(_) => {
            let detail = format!(
                "upstream {} does not support stream resumption",
                token.upstream
            );
            Err(RequestRefusal::unknown(RefusalCode::NoUpstream, detail))
        }
        None => {
            let detail = format!(
                "upstream {}, which has the stream, is no longer configured",
                token.upstream
            );
            Err(RequestRefusal::unknown(RefusalCode::NoUpstream, detail))
        }
    }
}
