//! UDP datagrams between daemons: gossip, heartbeats and pushed rows.

mod calls;
mod format;
mod relay;
mod transfer;

pub use calls::{PeerCall, serve_calls};
pub use relay::{RelayFailure, RelayRequest, open_first_relay};
pub use transfer::{TableRequest, TableTransfer, fetch_table};

use self::format::DatagramError;
use crate::{adapter::StoreRow, clock::BootClock, shared::FrontShared};
use async_io::Timer;
use async_net::UdpSocket;
use futures_lite::future;
use savorywood_gateway::{GatewayEvent, PeerMessage, ReportScope, SharedTable, StorePosition};
use serde::{Deserialize, Serialize};
use std::{
    cell::RefCell,
    collections::BTreeSet,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Size in bytes up to which a datagram passes common links without fragmentation.
const MAX_UNFRAGMENTED_BYTES: usize = 1_400;

/// Maximum number of senders of undecodable datagrams that are logged.
const MAX_LOGGED_SENDERS: usize = 64;

/// Maximum size in bytes of the rows in one push. Daemons read larger changes from the store.
const MAX_PUSH_BYTES: usize = 32_768;

fn row_bytes(row: &StoreRow) -> usize {
    row.key.len() + row.value.as_ref().map_or(0, Vec::len)
}

/// Changed rows of a table, pushed by a daemon that reads the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowsPush {
    pub table: SharedTable,
    /// Position of the last change before these rows. A daemon that has applied it lacks only these
    /// rows.
    pub after: StorePosition,
    /// Position up to which the sender had applied all changes before. After a restore of the
    /// store, a daemon beyond this position holds rows that the store lost.
    pub before: StorePosition,
    /// Position up to which all changes are applied together with these rows.
    pub through: StorePosition,
    /// Changed rows, in the order in which they are applied.
    pub rows: Vec<StoreRow>,
}

impl RowsPush {
    /// Reports whether a daemon that has applied all changes up to `known` lacks only these rows.
    #[must_use]
    pub fn is_complete_for(&self, known: StorePosition) -> bool {
        let is_restored = self.before.era < self.through.era;
        let holds_lost = is_restored && known > self.before;
        self.after <= known && known < self.through && !holds_lost
    }
}

/// Content of a datagram.
#[derive(Debug, Serialize, Deserialize)]
enum PeerDatagram {
    /// A message between the gateways of two daemons.
    Message(Box<PeerMessage>),
    /// Rows pushed to daemons that rely on the sender.
    Rows(RowsPush),
}

/// UDP socket for datagrams of other daemons.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    clock: BootClock,
    /// Senders of datagrams that could not be decoded, so that each is logged once.
    unreadable_senders: RefCell<BTreeSet<SocketAddr>>,
}

impl PeerSocket {
    /// Binds the socket to the peer address of this daemon.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be used.
    pub async fn open(own: SocketAddr) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Self {
            socket: UdpSocket::bind(own).await?,
            clock: BootClock,
            unreadable_senders: RefCell::default(),
        }))
    }

    /// Sends the state of this daemon and its zone to the current gossip targets.
    pub async fn gossip(&self, shared: &FrontShared) {
        let now = self.clock.now();
        let plan = shared.gateway.borrow_mut().plan_gossip(now);
        if !plan.summary_targets.is_empty() {
            let summary = shared.gateway.borrow_mut().summary(now);
            let datagram = PeerDatagram::Message(Box::new(PeerMessage::Summary(Box::new(summary))));
            self.send(&datagram, &plan.summary_targets).await;
            self.send_reports(shared, ReportScope::Daemon, &plan.summary_targets)
                .await;
        }
        for (slots, receivers) in [
            (true, &plan.digest_targets),
            (false, &plan.slotless_digest_targets),
        ] {
            if !receivers.is_empty() {
                let digest = shared.gateway.borrow_mut().zone_digest(now, slots);
                let datagram = PeerDatagram::Message(Box::new(PeerMessage::Digest(digest)));
                self.send(&datagram, receivers).await;
            }
        }
        let far: Vec<SocketAddr> =
            [&plan.digest_targets[..], &plan.slotless_digest_targets[..]].concat();
        if !far.is_empty() {
            self.send_reports(shared, ReportScope::Zone, &far).await;
        }
    }

    /// Sends new crash records and the rate limits that upstreams report.
    async fn send_reports(
        &self,
        shared: &FrontShared,
        scope: ReportScope,
        receivers: &[SocketAddr],
    ) {
        let now = self.clock.now();
        let gossip = shared.gateway.borrow_mut().crash_gossip(now, scope);
        for gossip in gossip {
            let datagram = PeerDatagram::Message(Box::new(PeerMessage::Crashes(gossip)));
            self.send(&datagram, receivers).await;
        }
        let gossip = shared.gateway.borrow().limit_gossip(now, scope);
        if let Some(gossip) = gossip {
            let datagram = PeerDatagram::Message(Box::new(PeerMessage::Limits(gossip)));
            self.send(&datagram, receivers).await;
        }
    }

    /// Pushes changed rows to the daemons that rely on this one. A daemon that misses a push
    /// detects the gap with the next message and reads the rows from the store.
    pub async fn push(&self, shared: &FrontShared, push: RowsPush) {
        let bytes: usize = push.rows.iter().map(row_bytes).sum();
        let followers = shared.gateway.borrow().row_update_targets(self.clock.now());
        if !followers.is_empty() && bytes <= MAX_PUSH_BYTES {
            self.send(&PeerDatagram::Rows(push), &followers).await;
        }
    }

    async fn send(&self, datagram: &PeerDatagram, addresses: &[SocketAddr]) {
        let Some(bytes) = format::encode(datagram) else {
            return;
        };
        if bytes.len() > MAX_UNFRAGMENTED_BYTES {
            log::debug!("event=datagram-large bytes={}", bytes.len());
        }
        for address in addresses {
            // Sending is best effort: a datagram that can't be sent is dropped, and the next
            // message replaces it.
            let _ = future::poll_once(self.socket.send_to(&bytes, *address)).await;
        }
    }

    /// Receives datagrams until the process ends.
    pub async fn receive(self: Rc<Self>, shared: Rc<FrontShared>) {
        let mut buffer = vec![0; 65_536];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((count, sender)) => match format::decode(&buffer[..count]) {
                    Ok(PeerDatagram::Message(message)) => {
                        self.message_received(&shared, sender, *message).await;
                    }
                    // When the queue is full the rows are dropped, and the reader of the table
                    // fetches them from the store.
                    Ok(PeerDatagram::Rows(push)) => shared.queue_rows(push),
                    Err(error) => self.report_unreadable(&shared, sender, error),
                },
                Err(error) => {
                    log::debug!("event=datagrams-stopped error={error:?}");
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    }

    async fn message_received(
        &self,
        shared: &FrontShared,
        sender: SocketAddr,
        message: PeerMessage,
    ) {
        match message {
            PeerMessage::Summary(summary) => {
                shared.step(GatewayEvent::SummaryReceived(summary.clone()));
                let now = self.clock.now();
                let view = shared.gateway.borrow_mut().view_reply(now, &summary);
                if let Some(view) = view {
                    let datagram =
                        PeerDatagram::Message(Box::new(PeerMessage::View(Box::new(view))));
                    self.send(&datagram, &[summary.peer_address]).await;
                }
            }
            PeerMessage::Digest(digest) => {
                let now = self.clock.now();
                let targets = shared.gateway.borrow().digest_forward_targets(now, sender);
                let event = GatewayEvent::DigestReceived(Box::new(digest.clone()));
                shared.step(event);
                if !targets.is_empty() {
                    let datagram = PeerDatagram::Message(Box::new(PeerMessage::Digest(digest)));
                    self.send(&datagram, &targets).await;
                }
            }
            PeerMessage::Slots(update) => shared.step(GatewayEvent::SlotsReceived(update)),
            PeerMessage::Heartbeat(beat) => shared.step(GatewayEvent::HeartbeatReceived(beat)),
            PeerMessage::Crashes(gossip) => shared.step(GatewayEvent::CrashesReported(gossip)),
            PeerMessage::Limits(gossip) => shared.step(GatewayEvent::LimitsReported(gossip)),
            PeerMessage::View(view) => shared.step(GatewayEvent::ViewReceived(view)),
        }
    }

    /// Counts a datagram that could not be decoded: it comes from a daemon of another build, or is
    /// not one of ours.
    fn report_unreadable(&self, shared: &FrontShared, sender: SocketAddr, error: DatagramError) {
        shared.metrics.unreadable_datagrams.inc();
        let mut unread = self.unreadable_senders.borrow_mut();
        if unread.len() < MAX_LOGGED_SENDERS && unread.insert(sender) {
            let cause = error.to_string();
            log::warn!("event=datagram-unread sender={sender} cause={cause:?}");
        }
    }

    /// Sends gossip periodically until the process ends.
    pub async fn run_gossip(self: Rc<Self>, shared: Rc<FrontShared>) {
        loop {
            self.gossip(&shared).await;
            let pause = shared.gateway.borrow().gossip_interval(self.clock.now());
            let next = Instant::now() + pause.mul_f64(0.9 + fastrand::f64() * 0.2);
            loop {
                let pause = shared.gateway.borrow().slot_update_interval();
                let pause = pause.mul_f64(0.9 + fastrand::f64() * 0.2);
                if Instant::now() + pause >= next {
                    break;
                }
                Timer::after(pause).await;
                self.send_slots(&shared).await;
            }
            Timer::at(next).await;
        }
    }

    /// Sends only the slots of this daemon, while free slots are scarce.
    async fn send_slots(&self, shared: &FrontShared) {
        let now = self.clock.now();
        let update = shared.gateway.borrow_mut().slot_update(now);
        let Some(update) = update else { return };
        let plan = shared.gateway.borrow().plan_slots(now);
        let datagram = PeerDatagram::Message(Box::new(PeerMessage::Slots(update)));
        self.send(&datagram, &plan.daemon_slot_targets).await;
        if !plan.zone_slot_targets.is_empty() {
            let update = shared.gateway.borrow_mut().zone_slot_update(now);
            let datagram = PeerDatagram::Message(Box::new(PeerMessage::Slots(update)));
            self.send(&datagram, &plan.zone_slot_targets).await;
        }
    }

    /// Sends heartbeats while this daemon is a member of the entry set, and the view of its zone
    /// after a loss.
    pub async fn run_heartbeats(self: Rc<Self>, shared: Rc<FrontShared>) {
        loop {
            let pause = shared.gateway.borrow().heartbeat_interval();
            Timer::after(pause.mul_f64(0.9 + fastrand::f64() * 0.2)).await;
            let now = self.clock.now();
            let view = shared.gateway.borrow_mut().loss_view(now);
            if let Some((view, receivers)) = view {
                let datagram = PeerDatagram::Message(Box::new(PeerMessage::View(Box::new(view))));
                self.send(&datagram, &receivers).await;
            }
            let due = shared.gateway.borrow_mut().heartbeat(now);
            if let Some((beat, receivers)) = due {
                let datagram = PeerDatagram::Message(Box::new(PeerMessage::Heartbeat(beat)));
                self.send(&datagram, &receivers).await;
            }
        }
    }
}
