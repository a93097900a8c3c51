//! The HTTP edge of every stand-in.

use crate::tasks::TaskGroup;
use async_net::{TcpListener, TcpStream};
use http_types::{Body, Mime, Request, Response, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Duration,
};

/// Result of a handler. An error closes the connection without an answer.
pub(crate) type HandlerResult = http_types::Result<Response>;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Wait after a failed accept, so that a full descriptor table does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Body of an error answer, in the shape that OpenAI-compatible engines use.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

/// What went wrong.
#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    code: u16,
}

/// Listens on `address` and hands each request to `handler`. Returns the bound address.
pub(crate) async fn listen<H, F>(
    group: &Arc<TaskGroup>,
    address: SocketAddr,
    handler: H,
) -> io::Result<SocketAddr>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    group.spawn(accept_all(listener, Arc::downgrade(group), handler));
    Ok(bound)
}

async fn accept_all<H, F>(listener: TcpListener, group: Weak<TaskGroup>, handler: H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(group) = group.upgrade() else {
                    return;
                };
                group.spawn(serve_connection(stream, handler.clone()));
            }
            Err(error) => {
                log::warn!("event=accept-failed error={error:?}");
                async_io::Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    // Small token chunks wait up to 40 ms for an acknowledgement otherwise.
    stream.set_nodelay(true).ok();
    if let Err(error) = async_h1::accept(stream, handler).await {
        log::debug!("event=connection-closed reason={error:?}");
    }
}

/// Reads a whole request body.
pub(crate) async fn read_body(request: &mut Request) -> http_types::Result<Vec<u8>> {
    if request.len().is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(http_types::format_err!("body too large"));
    }
    let announced = request.len();
    let body = request.body_bytes().await?;
    // A body cut short under a length reads as a clean end; half a request must not run.
    if announced.is_some_and(|length| length != body.len()) {
        return Err(http_types::format_err!("body cut short"));
    }
    Ok(body)
}

/// Reads a JSON body; `Err` is the answer that says what is wrong with it.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Box<Response>> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!("the body is not as expected: {error}");
        Box::new(error_reply(StatusCode::BadRequest, &message))
    })
}

/// An answer with a JSON body.
pub(crate) fn json_reply(status: StatusCode, value: &impl Serialize) -> Response {
    let mut response = Response::new(status);
    match Body::from_json(value) {
        Ok(body) => response.set_body(body),
        Err(error) => {
            log::error!("event=encode-failed error={error:?}");
            response.set_status(StatusCode::InternalServerError);
        }
    }
    response
}

/// An answer that says what went wrong.
pub(crate) fn error_reply(status: StatusCode, message: &str) -> Response {
    let code = u16::from(status);
    let error = ErrorDetail { message, code };
    json_reply(status, &ErrorBody { error })
}

/// An answer with bytes of a given type.
pub(crate) fn bytes_reply(content_type: &str, bytes: Vec<u8>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_bytes(bytes));
    set_content_type(&mut response, content_type);
    response
}

/// Sets the content type, if the text is one.
pub(crate) fn set_content_type(response: &mut Response, content_type: &str) {
    if let Ok(mime) = content_type.parse::<Mime>() {
        response.set_content_type(mime);
    }
}

/// First value of a request header.
pub(crate) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

/// Value of a query parameter that needs no decoding.
pub(crate) fn query<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = request.url().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}
