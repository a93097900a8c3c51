//! Runs a proxy and lets it be steered.

use super::{
    datagrams::DatagramRelay,
    faults::ProxyFaults,
    options::{ProxyLink, ProxyOptions},
    streams,
    switch::LinkSwitch,
};
use crate::{
    http::{self, HandlerResult},
    tasks::TaskGroup,
};
use async_executor::Executor;
use async_net::{TcpListener, UdpSocket};
use http_types::{Method, Request, StatusCode};
use std::{io, net::SocketAddr, sync::Arc};

/// A running proxy. Dropping it closes its listeners and its connections.
#[derive(Debug)]
pub struct FaultProxy {
    control: SocketAddr,
    tcp: Option<SocketAddr>,
    udp: Option<SocketAddr>,
    switch: Arc<LinkSwitch>,
    _group: Arc<TaskGroup>,
}

impl FaultProxy {
    /// Starts a proxy on an executor.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub async fn start(
        executor: &Arc<Executor<'static>>,
        options: ProxyOptions,
    ) -> io::Result<Self> {
        let group = TaskGroup::new(executor);
        let switch = Arc::new(LinkSwitch::new(options.faults, options.seed));
        let tcp = match options.tcp {
            Some(link) => Some(start_tcp(&group, &switch, link).await?),
            None => None,
        };
        let udp = match options.udp {
            Some(link) => Some(start_udp(&group, &switch, link).await?),
            None => None,
        };
        let steered = Arc::clone(&switch);
        let handle = move |request| steer(Arc::clone(&steered), request);
        let control = http::listen(&group, options.control, handle).await?;
        log::info!("event=proxy-started control={control}");
        Ok(Self {
            control,
            tcp,
            udp,
            switch,
            _group: group,
        })
    }

    /// Address on which it is steered.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control
    }

    /// Address of its TCP link, if it has one.
    #[must_use]
    pub fn tcp_address(&self) -> Option<SocketAddr> {
        self.tcp
    }

    /// Address of its datagram link, if it has one.
    #[must_use]
    pub fn udp_address(&self) -> Option<SocketAddr> {
        self.udp
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.switch.set(faults);
    }
}

async fn start_tcp(
    group: &Arc<TaskGroup>,
    switch: &Arc<LinkSwitch>,
    link: ProxyLink,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(link.listen).await?;
    let address = listener.local_addr()?;
    let switch = Arc::clone(switch);
    let weak = Arc::downgrade(group);
    group.spawn(streams::relay_all(listener, link.target, switch, weak));
    Ok(address)
}

async fn start_udp(
    group: &Arc<TaskGroup>,
    switch: &Arc<LinkSwitch>,
    link: ProxyLink,
) -> io::Result<SocketAddr> {
    let socket = Arc::new(UdpSocket::bind(link.listen).await?);
    let address = socket.local_addr()?;
    let relay = DatagramRelay {
        socket,
        target: link.target,
        switch: Arc::clone(switch),
        group: Arc::downgrade(group),
    };
    group.spawn(relay.relay_all());
    Ok(address)
}

async fn steer(switch: Arc<LinkSwitch>, mut request: Request) -> HandlerResult {
    let body = http::read_body(&mut request).await?;
    match (request.method(), request.url().path()) {
        (Method::Get, "/standin/faults") => Ok(http::json_reply(StatusCode::Ok, &switch.faults())),
        (Method::Put, "/standin/faults") => match http::parse_json::<ProxyFaults>(&body) {
            Ok(faults) => {
                switch.set(faults);
                Ok(http::json_reply(StatusCode::Ok, &switch.faults()))
            }
            Err(reply) => Ok(*reply),
        },
        _ => Ok(http::error_reply(StatusCode::NotFound, "no such path")),
    }
}
