//! Requests that wait for a decision of the core.

use async_channel::{Receiver, Sender};
use savorywood_core::{DispatchCommand, StoredResponse, effect::ResumeCommand};
use savorywood_protocol::{AttemptNumber, RequestId, RequestRefusal};
use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

/// What the core decided about a request.
#[derive(Debug)]
pub enum RequestCommand {
    /// Give the final answer.
    Refuse(RequestRefusal),
    /// Send it to an upstream.
    Dispatch(DispatchCommand),
    /// Read on a stream that another daemon began.
    Resume(ResumeCommand),
    /// Give the recorded answer.
    Replay(Box<StoredResponse>),
    /// Give the attempt up.
    Cancel(AttemptNumber),
}

/// Command channels by request.
#[derive(Debug, Default)]
pub struct RequestRegistry {
    channels: Mutex<HashMap<RequestId, Sender<RequestCommand>>>,
}

impl RequestRegistry {
    /// Opens the channel of a new request.
    pub fn open(&self, request: RequestId) -> Receiver<RequestCommand> {
        let (sender, receiver) = async_channel::unbounded();
        self.lock().insert(request, sender);
        receiver
    }

    /// Hands a command on; `false` when the request is gone.
    pub fn send(&self, request: RequestId, command: RequestCommand) -> bool {
        let sender = self.lock().get(&request).cloned();
        sender.is_some_and(|sender| sender.try_send(command).is_ok())
    }

    /// Closes the channel of a request that is over.
    pub fn close(&self, request: RequestId) {
        self.lock().remove(&request);
    }

    /// Requests open now.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<RequestId, Sender<RequestCommand>>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
