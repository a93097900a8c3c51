//! Reads on a stream that another daemon dispatched, without a second dispatch.

use crate::{effect::ResumeCommand, request::ResumeArrival, view::ConfigView};
use savorywood_protocol::{
    CoreTime, RefusalCode, RequestRefusal,
    resource::{UpstreamExtension, UpstreamSpec},
    resume_token::{ResumeKey, ResumeToken},
};
use std::time::Duration;

/// Age up to which a resume token is taken. Upstreams keep streams for a bounded time.
pub const MAX_TOKEN_AGE: Duration = Duration::from_secs(600);

/// Decides what to do for a caller that wants the rest of a stream.
///
/// The stream ran, or runs, on its upstream whatever is decided here, so no refusal says that
/// nothing ran.
///
/// # Errors
///
/// The refusal to give at once.
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
    let token = ResumeToken::verify(&arrival.resume_token, key, team, now.wall, MAX_TOKEN_AGE)
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

/// The upstream that holds the stream. It may be draining: its streams finish. Another upstream
/// of the same name and service is told apart by the stream's name, which it does not know.
fn find_upstream<'a>(
    token: &ResumeToken,
    config: &'a ConfigView,
) -> Result<&'a UpstreamSpec, RequestRefusal> {
    let spec = config.upstreams.get(&token.upstream);
    let spec = spec.filter(|spec| spec.service == token.service);
    let resumes = |spec: &&UpstreamSpec| spec.extensions.contains(&UpstreamExtension::Resume);
    match spec {
        Some(spec) if resumes(&spec) => Ok(spec),
        Some(_) => {
            let detail = format!("the upstream {} can't resume streams", token.upstream);
            Err(RequestRefusal::unknown(RefusalCode::NoUpstream, detail))
        }
        None => {
            let detail = format!("the upstream {} of the stream is gone", token.upstream);
            Err(RequestRefusal::unknown(RefusalCode::NoUpstream, detail))
        }
    }
}
