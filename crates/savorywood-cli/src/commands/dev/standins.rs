//! What stands in for the platform and the upstreams.

use crate::error::CommandError;
use async_executor::Executor;
use savorywood_standin::{
    BatchSettings, EngineOptions, EngineServer, PlainOptions, PlainServer, PlatformOptions,
    PlatformServer,
};
use std::{io, sync::Arc};

/// Everything that a daemon needs around it.
pub struct DevStandins {
    /// Table, object store, host list and weight store.
    pub platform: PlatformServer,
    /// An engine of a newer hardware generation.
    pub fast_engine: EngineServer,
    /// An engine of an older one.
    pub slow_engine: EngineServer,
    /// A plain service.
    pub plain: PlainServer,
}

impl DevStandins {
    /// Starts all on free ports.
    ///
    /// # Errors
    ///
    /// When a port can't be bound.
    pub async fn start(executor: &Arc<Executor<'static>>) -> Result<Self, CommandError> {
        Self::start_all(executor)
            .await
            .map_err(|error| CommandError::Failed {
                step: "starting the stand-ins".to_owned(),
                reason: error.to_string(),
                remedy: "check the limits of the process".to_owned(),
            })
    }

    async fn start_all(executor: &Arc<Executor<'static>>) -> io::Result<Self> {
        let engine = || EngineOptions::new().version("notes-v1");
        let fast = engine().batch(BatchSettings {
            slots: 16,
            prefill_per_second: 20_000,
            decode_per_second: 120,
            ..BatchSettings::default()
        });
        let slow = engine().batch(BatchSettings {
            slots: 8,
            prefill_per_second: 5_000,
            decode_per_second: 40,
            ..BatchSettings::default()
        });
        Ok(Self {
            platform: PlatformServer::start(executor, PlatformOptions::default()).await?,
            fast_engine: EngineServer::start(executor, fast).await?,
            slow_engine: EngineServer::start(executor, slow).await?,
            plain: PlainServer::start(executor, PlainOptions::default()).await?,
        })
    }
}
