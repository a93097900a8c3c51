//! Paths that a plain service serves: every path echoes.

use super::{
    faults::{PlainContext, PlainFaults},
    server::PlainState,
};
use crate::{
    body::{BodyReader, BodyState, GrowingBody, ReadFault},
    http::{self, HandlerResult},
    runs::{RunRecord, RunState},
    tasks::lock,
};
use async_io::Timer;
use futures_lite::io::BufReader;
use http_types::{Body, Method, Request, Response, StatusCode};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

/// Answer header that says how often a request of this identity has run.
const COUNT_HEADER: &str = "x-standin-run-count";

/// Request header that asks for an answer of this many bytes instead of an echo.
const SIZE_HEADER: &str = "x-standin-answer-bytes";

/// Largest answer that can be asked for, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Type of an echo whose request named none.
const DEFAULT_TYPE: &str = "text/plain;charset=utf-8";

/// What is done with one call.
#[derive(Debug)]
struct CallPlan {
    run: u64,
    count: u32,
    fails: bool,
    drops: bool,
    latency: Duration,
    read_fault: Option<ReadFault>,
}

/// Serves one request.
pub(crate) async fn handle(state: Arc<Mutex<PlainState>>, mut request: Request) -> HandlerResult {
    let body = http::read_body(&mut request).await?;
    match (request.method(), request.url().path()) {
        (Method::Get, "/standin/runs") => {
            Ok(http::json_reply(StatusCode::Ok, lock(&state).runs.report()))
        }
        (Method::Get, "/standin/faults") => {
            Ok(http::json_reply(StatusCode::Ok, &lock(&state).faults))
        }
        (Method::Put, "/standin/faults") => Ok(set_faults(&state, &body)),
        _ => call(&state, &request, body).await,
    }
}

fn set_faults(state: &Mutex<PlainState>, body: &[u8]) -> Response {
    match http::parse_json::<PlainFaults>(body) {
        Ok(faults) => {
            let mut state = lock(state);
            state.faults = faults;
            http::json_reply(StatusCode::Ok, &state.faults)
        }
        Err(reply) => *reply,
    }
}

async fn call(state: &Mutex<PlainState>, request: &Request, body: Vec<u8>) -> HandlerResult {
    let plan = lock(state).begin(request);
    Timer::after(plan.latency).await;
    let ended = if plan.fails {
        RunState::Failed
    } else {
        RunState::Finished
    };
    lock(state).end(plan.run, ended);
    if plan.drops {
        return Err(http_types::format_err!("answer dropped on purpose"));
    }
    let mut response = if plan.fails {
        http::error_reply(StatusCode::InternalServerError, "failed on purpose")
    } else {
        echo(request, body, plan.read_fault)
    };
    response.insert_header(COUNT_HEADER, plan.count.to_string());
    Ok(response)
}

/// The request's body, or its method and path when it has none, or as much as was asked for.
fn answer_bytes(request: &Request, body: Vec<u8>) -> Vec<u8> {
    let size = http::header(request, SIZE_HEADER).and_then(|text| text.parse::<usize>().ok());
    if let Some(size) = size {
        return vec![b'x'; size.min(MAX_ANSWER_BYTES)];
    }
    if !body.is_empty() {
        return body;
    }
    let url = request.url();
    let query = url.query().map(|query| format!("?{query}"));
    let query = query.unwrap_or_default();
    format!("{} {}{query}\n", request.method(), url.path()).into_bytes()
}

/// Answers a call, broken as the fault says.
fn echo(request: &Request, body: Vec<u8>, fault: Option<ReadFault>) -> Response {
    let content_type = http::header(request, "content-type").unwrap_or(DEFAULT_TYPE);
    let content_type = content_type.to_owned();
    let bytes = answer_bytes(request, body);
    let Some(fault) = fault else {
        return http::bytes_reply(&content_type, bytes);
    };
    let growing = GrowingBody::new();
    growing.push(&bytes);
    growing.end(BodyState::Finished);
    let reader = BodyReader::new(&growing, 0).with_fault(Some(fault));
    let mut response = Response::new(StatusCode::Ok);
    // With its length announced, a cut answer can be told from a whole one.
    let length = Some(bytes.len());
    response.set_body(Body::from_reader(BufReader::new(reader), length));
    http::set_content_type(&mut response, &content_type);
    response
}

impl PlainState {
    fn begin(&mut self, request: &Request) -> CallPlan {
        let path = request.url().path();
        let context = PlainContext {
            requests: self.runs.report().total,
            load: self.open,
            dice: self.dice.u16(0..1_000),
        };
        let strikes = self.faults.strikes(path);
        let run = self.runs.begin(RunRecord::of(request));
        let count = self.runs.report().runs.last().map_or(1, |run| run.count);
        self.open += 1;
        let drops = strikes && self.faults.drop_answers > 0;
        if drops {
            self.faults.drop_answers -= 1;
        }
        CallPlan {
            run,
            count,
            fails: strikes && self.faults.fails(context),
            drops,
            latency: Duration::from_millis(if strikes { self.faults.latency_ms } else { 0 }),
            read_fault: self.faults.read_fault().filter(|_| strikes),
        }
    }

    fn end(&mut self, run: u64, state: RunState) {
        self.open -= 1;
        self.runs.end(run, state, 0);
    }
}
