//! Datagrams between daemons.

mod format;

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

/// Largest datagram that passes usual links in one piece.
const MAX_UNFRAGMENTED_BYTES: usize = 1_400;

/// Senders of unreadable datagrams that are logged at most.
const MAX_LOGGED_SENDERS: usize = 64;

/// Bytes of rows that are handed on at most; larger changes are read by each daemon.
const MAX_PUSH_BYTES: usize = 32_768;

fn row_bytes(row: &StoreRow) -> usize {
    row.key.len() + row.value.as_ref().map_or(0, Vec::len)
}

/// Rows that changed, handed on by a daemon that reads the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowsPush {
    /// Their table.
    pub table: SharedTable,
    /// The last change that was known before. Whoever knows it lacks nothing but these rows.
    pub after: StorePosition,
    /// All changes up to this position were known before. Where the store was restored since, whoever
    /// knows more holds what it lost.
    pub before: StorePosition,
    /// All changes up to this one are known with these rows.
    pub through: StorePosition,
    /// The rows, in order.
    pub rows: Vec<StoreRow>,
}

impl RowsPush {
    /// These rows are all that is missing where all changes up to a position are known.
    #[must_use]
    pub fn is_complete_for(&self, known: StorePosition) -> bool {
        let is_restored = self.before.era < self.through.era;
        let holds_lost = is_restored && known > self.before;
        self.after <= known && known < self.through && !holds_lost
    }
}

/// What travels between daemons.
#[derive(Debug, Serialize, Deserialize)]
enum PeerDatagram {
    /// Of decisions to decisions.
    Message(Box<PeerMessage>),
    /// Rows of registrations.
    Rows(RowsPush),
}

/// The socket on which daemons gossip.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    clock: BootClock,
    /// Senders of datagrams that could not be read, so that each is logged once.
    unreadable_senders: RefCell<BTreeSet<SocketAddr>>,
}

impl PeerSocket {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// When the address can't be had.
    pub async fn open(own: SocketAddr) -> io::Result<Rc<Self>> {
        Ok(Rc::new(Self {
            socket: UdpSocket::bind(own).await?,
            clock: BootClock,
            unreadable_senders: RefCell::default(),
        }))
    }

    /// Sends state of this daemon and its zone to others now.
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

    /// Sends what is new of requests under which upstreams crashed, and of limits that upstreams
    /// name.
    async fn send_reports(
        &self,
        shared: &FrontShared,
        scope: ReportScope,
        receivers: &[SocketAddr],
    ) {
        let now = self.clock.now();
        let gossip = shared.gateway.borrow_mut().crash_gossip(now, scope);
        if let Some(gossip) = gossip {
            let datagram = PeerDatagram::Message(Box::new(PeerMessage::Crashes(gossip)));
            self.send(&datagram, receivers).await;
        }
        let gossip = shared.gateway.borrow().limit_gossip(now, scope);
        if let Some(gossip) = gossip {
            let datagram = PeerDatagram::Message(Box::new(PeerMessage::Limits(gossip)));
            self.send(&datagram, receivers).await;
        }
    }

    /// Hands changed rows on to the neighbours that rely on this daemon. Those that miss them see
    /// by its next message that they lack something, and read it.
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
            // A peer that can't be reached gets the next message; a full buffer drops the message.
            let _ = future::poll_once(self.socket.send_to(&bytes, *address)).await;
        }
    }

    /// Receives messages of peers for as long as the process lives.
    pub async fn receive(self: Rc<Self>, shared: Rc<FrontShared>) {
        let mut buffer = vec![0; 65_536];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((count, sender)) => match format::decode(&buffer[..count]) {
                    Ok(PeerDatagram::Message(message)) => shared.step(match *message {
                        PeerMessage::Summary(summary) => GatewayEvent::SummaryReceived(summary),
                        PeerMessage::Digest(digest) => {
                            GatewayEvent::DigestReceived(Box::new(digest))
                        }
                        PeerMessage::Slots(update) => GatewayEvent::SlotsReceived(update),
                        PeerMessage::Heartbeat(beat) => GatewayEvent::HeartbeatReceived(beat),
                        PeerMessage::Crashes(gossip) => GatewayEvent::CrashesReported(gossip),
                        PeerMessage::Limits(gossip) => GatewayEvent::LimitsReported(gossip),
                    }),
                    // The receiver lives as long as the daemon; a full queue drops the rows, which
                    // are then read.
                    Ok(PeerDatagram::Rows(push)) => shared.queue_rows(push),
                    Err(fault) => self.report_unreadable(&shared, sender, fault),
                },
                Err(error) => {
                    log::debug!("event=datagrams-stopped error={error:?}");
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// A datagram of another build, or of no daemon.
    fn report_unreadable(&self, shared: &FrontShared, sender: SocketAddr, fault: DatagramError) {
        shared.metrics.unreadable_datagrams.inc();
        let mut unread = self.unreadable_senders.borrow_mut();
        if unread.len() < MAX_LOGGED_SENDERS && unread.insert(sender) {
            let cause = fault.to_string();
            log::warn!("event=datagram-unread sender={sender} cause={cause:?}");
        }
    }

    /// Gossips for as long as the process lives.
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

    /// Sends this daemon's slots alone, while these are scarce.
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

    /// Sends heartbeats while this daemon is a member of the entry set.
    pub async fn run_heartbeats(self: Rc<Self>, shared: Rc<FrontShared>) {
        loop {
            let pause = shared.gateway.borrow().heartbeat_interval();
            Timer::after(pause.mul_f64(0.9 + fastrand::f64() * 0.2)).await;
            let due = shared.gateway.borrow_mut().heartbeat();
            if let Some((beat, receivers)) = due {
                let datagram = PeerDatagram::Message(Box::new(PeerMessage::Heartbeat(beat)));
                self.send(&datagram, &receivers).await;
            }
        }
    }
}
