//! Datagrams through a link.

use super::{faults::LinkDirection, switch::LinkSwitch};
use crate::tasks::TaskGroup;
use async_io::Timer;
use async_net::UdpSocket;
use std::{
    collections::HashMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Weak},
    time::Duration,
};

/// Largest datagram.
const MAX_DATAGRAM: usize = 65_536;

/// Wait after a failed receive: an unreachable peer shows as an error of the next receive.
const ERROR_PAUSE: Duration = Duration::from_millis(1);

/// A relay for the datagrams of one link.
#[derive(Debug)]
pub(crate) struct DatagramRelay {
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) target: SocketAddr,
    pub(crate) switch: Arc<LinkSwitch>,
    pub(crate) group: Weak<TaskGroup>,
}

/// One datagram on its way.
struct DatagramTrip {
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    bytes: Vec<u8>,
}

impl DatagramRelay {
    /// Passes datagrams on; each client gets a socket of its own towards the target, so that
    /// answers find their way back.
    pub(crate) async fn relay_all(self) {
        let mut sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((count, client)) = self.socket.recv_from(&mut buffer).await else {
                Timer::after(ERROR_PAUSE).await;
                continue;
            };
            let known = sockets.get(&client).cloned();
            let socket = match known {
                Some(socket) => socket,
                None => match self.open(client).await {
                    Ok(socket) => {
                        sockets.insert(client, Arc::clone(&socket));
                        socket
                    }
                    Err(error) => {
                        log::warn!("event=relay-socket-failed error={error:?}");
                        continue;
                    }
                },
            };
            let trip = DatagramTrip {
                socket,
                to: self.target,
                bytes: buffer[..count].to_vec(),
            };
            send(&self.switch, &self.group, LinkDirection::ToTarget, trip).await;
        }
    }

    async fn open(&self, client: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let socket = Arc::new(UdpSocket::bind(any).await?);
        if let Some(group) = self.group.upgrade() {
            let back = ReturnPath {
                from: Arc::clone(&socket),
                to: Arc::clone(&self.socket),
                client,
                switch: Arc::clone(&self.switch),
                group: Weak::clone(&self.group),
            };
            group.spawn(back.relay_all());
        }
        Ok(socket)
    }
}

/// The way back to one client.
struct ReturnPath {
    from: Arc<UdpSocket>,
    to: Arc<UdpSocket>,
    client: SocketAddr,
    switch: Arc<LinkSwitch>,
    group: Weak<TaskGroup>,
}

impl ReturnPath {
    async fn relay_all(self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((count, _)) = self.from.recv_from(&mut buffer).await else {
                Timer::after(ERROR_PAUSE).await;
                continue;
            };
            let trip = DatagramTrip {
                socket: Arc::clone(&self.to),
                to: self.client,
                bytes: buffer[..count].to_vec(),
            };
            send(&self.switch, &self.group, LinkDirection::ToClient, trip).await;
        }
    }
}

async fn send(
    switch: &LinkSwitch,
    group: &Weak<TaskGroup>,
    direction: LinkDirection,
    trip: DatagramTrip,
) {
    if !switch.faults().passes(direction) || switch.drops_datagram() {
        return;
    }
    let delay = switch.delay();
    if delay.is_zero() {
        trip.finish().await;
    } else if let Some(group) = group.upgrade() {
        group.spawn(async move {
            Timer::after(delay).await;
            trip.finish().await;
        });
    }
}

impl DatagramTrip {
    async fn finish(self) {
        if let Err(error) = self.socket.send_to(&self.bytes, self.to).await {
            log::debug!("event=datagram-lost peer={} error={error:?}", self.to);
        }
    }
}
