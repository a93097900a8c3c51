//! TCP connections through a link.

use super::{
    faults::{LinkDirection, LinkMode},
    switch::LinkSwitch,
};
use crate::tasks::TaskGroup;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{
    AsyncReadExt, AsyncWriteExt,
    future::{self, FutureExt},
};
use std::{
    io,
    net::{Shutdown, SocketAddr},
    sync::{Arc, Weak},
    time::Duration,
};

/// Bytes passed on at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Wait after a failed accept, so that a full descriptor table does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections and leads each to the target.
pub(crate) async fn relay_all(
    listener: TcpListener,
    target: SocketAddr,
    switch: Arc<LinkSwitch>,
    group: Weak<TaskGroup>,
) {
    loop {
        match listener.accept().await {
            Ok((client, _)) => {
                let Some(group) = group.upgrade() else {
                    return;
                };
                group.spawn(relay(client, target, Arc::clone(&switch)));
            }
            Err(error) => {
                log::warn!("event=accept-failed error={error:?}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn relay(client: TcpStream, target: SocketAddr, switch: Arc<LinkSwitch>) {
    match switch.faults().mode {
        LinkMode::Pass => {}
        LinkMode::Cut => return,
        // A connection that was accepted while nothing passed is lost when that ends.
        LinkMode::HalfOpen => return switch.left(LinkMode::HalfOpen).await,
    }
    let server = match TcpStream::connect(target).await {
        Ok(server) => server,
        Err(error) => {
            log::info!("event=connect-failed peer={target} error={error:?}");
            return;
        }
    };
    client.set_nodelay(true).ok();
    server.set_nodelay(true).ok();
    let there = pass(&client, &server, LinkDirection::ToTarget, &switch);
    let back = pass(&server, &client, LinkDirection::ToClient, &switch);
    let both = async {
        let passed = future::try_zip(there, back).await;
        if let Err(error) = passed {
            log::debug!("event=link-broken peer={target} error={error:?}");
        }
    };
    both.or(switch.cut()).await;
}

/// Passes bytes in one direction until their end. An error ends both directions.
async fn pass(
    from: &TcpStream,
    to: &TcpStream,
    direction: LinkDirection,
    switch: &LinkSwitch,
) -> io::Result<()> {
    let mut from = from.clone();
    let mut to = to.clone();
    let mut piece = vec![0; PIECE_BYTES];
    let mut passed = 0;
    loop {
        let count = from.read(&mut piece).await?;
        Timer::after(switch.delay()).await;
        switch.open(direction).await;
        if count == 0 {
            to.shutdown(Shutdown::Write)?;
            return Ok(());
        }
        let rest = rest_before_close(switch, direction, passed);
        let count = count.min(rest);
        to.write_all(&piece[..count]).await?;
        passed += count;
        if count == rest {
            return Err(io::Error::other("closed on purpose"));
        }
    }
}

fn rest_before_close(switch: &LinkSwitch, direction: LinkDirection, passed: usize) -> usize {
    let limit = match direction {
        LinkDirection::ToTarget => None,
        LinkDirection::ToClient => switch.faults().close_after_bytes,
    };
    limit.map_or(usize::MAX, |limit| limit.saturating_sub(passed))
}
