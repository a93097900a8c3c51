//! The table of members, in which daemons find each other at the start.

use super::{CALL_TIMEOUT, MAX_BACKOFF, page_limit::PageLimit};
use crate::{
    adapter::{RowRange, StoreTable, TableWrite},
    peers::PeerSocket,
    shared::FrontShared,
    store::StoreConnection,
    wire::InputLimit,
};
use async_io::Timer;
use savorywood_gateway::{
    GatewayEvent, MemberRegistration, PeerContact, ZoneLabel, uses_coordinators,
};
use std::{rc::Rc, time::Duration};

/// Interval between reads of the members.
const MEMBERS_READ_INTERVAL: Duration = Duration::from_secs(8);
/// Interval between reads of the members in a cluster with zone digests, where peers report most
/// other daemons.
const ZONED_MEMBERS_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Interval at which a daemon checks whether it has come to need the list of members.
const NEED_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the first start of all within which seeds register the others.
const REGISTRATION_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after that within which the others read the list.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(500);
/// Interval between two writes of a seed that registers others.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of daemons that one write registers.
const MAX_REGISTRATIONS: usize = 80;
/// Time after the start for which a daemon that is not listed waits for other daemons of its zone
/// to reply.
const REPLY_WAIT: Duration = Duration::from_secs(4);

/// Registers this daemon in the members table and reads the table periodically.
///
/// Where so many daemons of a zone are listed that it uses coordinators, the others need not be:
/// they report to coordinators themselves.
pub async fn maintain_membership(shared: Rc<FrontShared>, peers: Rc<PeerSocket>) {
    let mut connection = StoreConnection::new(shared.settings.store.address);
    let mut announced = false;
    if shared.gateway.borrow().registers_others() {
        register_others(&shared, &mut connection).await;
    } else {
        await_registration(&shared).await;
    }
    loop {
        let mut members = read_members(&shared, &mut connection, !announced).await;
        let listed = members.as_ref().is_some_and(|members| members.lists_self);
        let needed = members
            .as_ref()
            .is_some_and(|members| must_register(&shared, members));
        // A row of a previous incarnation may differ. After writing the own row, the table is read
        // again to include rows written meanwhile.
        let own = registration_write(&own_registration(&shared));
        if needed && !listed && write_members(&shared, &mut connection, &[own]).await {
            members = read_members(&shared, &mut connection, false).await;
        }
        let done = members
            .as_ref()
            .is_some_and(|members| members.lists_self || !must_register(&shared, members));
        if let Some(members) = members {
            shared.step(GatewayEvent::ContactsRead(members.contacts));
            if !announced {
                // Gossip at once, so that daemons learn of each other one round sooner.
                peers.gossip(&shared).await;
                announced = true;
            }
        }
        if done {
            await_next_read(&shared).await;
        } else {
            Timer::after(jittered(MAX_BACKOFF)).await;
        }
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(0.8 + fastrand::f64() * 0.4)
}

/// Registers the daemons that report to this seed when all start for the first time.
async fn register_others(shared: &FrontShared, connection: &mut StoreConnection) {
    let until = shared.clock.now() + REGISTRATION_PERIOD;
    let mut has_more = false;
    while shared.clock.now() < until {
        if !has_more {
            Timer::after(jittered(REGISTRATION_INTERVAL)).await;
        }
        let members = take_registrations(shared);
        has_more = members.len() == MAX_REGISTRATIONS;
        let writes = members.iter().map(registration_write);
        let writes: Vec<TableWrite> = writes.collect();
        if !writes.is_empty() && !write_members(shared, connection, &writes).await {
            shared.gateway.borrow_mut().retry_registrations(members);
            has_more = false;
        }
    }
    shared.gateway.borrow_mut().end_registrations();
}

fn take_registrations(shared: &FrontShared) -> Vec<MemberRegistration> {
    let mut gateway = shared.gateway.borrow_mut();
    gateway.take_registrations(MAX_REGISTRATIONS)
}

/// Delays the first read where all daemons start for the first time, until the seeds have registered
/// them. Daemons without seeds do not wait.
async fn await_registration(shared: &FrontShared) {
    let settings = &shared.settings;
    if settings.first_start && !settings.seeds.is_empty() {
        let spread = FIRST_READ_SPREAD.mul_f64(fastrand::f64());
        Timer::after(REGISTRATION_PERIOD + spread).await;
    }
}

/// Reports whether other daemons need to find this one in the table.
fn must_register(shared: &FrontShared, members: &MemberList) -> bool {
    let gateway = shared.gateway.borrow();
    let own_zone = gateway.zone();
    let contacts = members.contacts.iter();
    let in_zone = contacts.filter(|contact| contact.zone.as_ref() == Some(own_zone));
    !uses_coordinators(in_zone.count()) || gateway.is_unanswered(shared.clock.now(), REPLY_WAIT)
}

/// Waits until the table is to be read again.
async fn await_next_read(shared: &FrontShared) {
    let read_at = shared.clock.now();
    let had_all = shared.gateway.borrow().needs_all_contacts(read_at);
    loop {
        Timer::after(jittered(NEED_POLL_INTERVAL)).await;
        let now = shared.clock.now();
        let gateway = shared.gateway.borrow();
        let interval = if gateway.uses_zone_digests() {
            ZONED_MEMBERS_READ_INTERVAL
        } else {
            MEMBERS_READ_INTERVAL
        };
        let needs_all = gateway.needs_all_contacts(now);
        let is_due = now.since(read_at) >= jittered(interval);
        let is_needed =
            (needs_all && (is_due || !had_all)) || gateway.is_unanswered(now, REPLY_WAIT);
        if is_needed {
            return;
        }
    }
}

/// Content of the members table.
struct MemberList {
    contacts: Vec<PeerContact>,
    /// The table holds this daemon with its current address and zone.
    lists_self: bool,
}

/// Returns the key of a daemon's row. It begins with the zone, so that the daemons of one zone can be
/// read without the others.
fn member_key(zone: &ZoneLabel, host: &str) -> String {
    format!("{zone}/{host}")
}

/// Returns the value of a daemon's row.
fn member_text(member: &MemberRegistration) -> String {
    let MemberRegistration {
        peer_address,
        zone,
        processor_millis,
        ..
    } = member;
    format!("{peer_address} {zone} {processor_millis}")
}

fn registration_write(member: &MemberRegistration) -> TableWrite {
    TableWrite {
        table: StoreTable::Members,
        key: member_key(&member.zone, &member.host),
        value: Some(member_text(member).into_bytes()),
        expected_version: None,
    }
}

/// Returns the registration of this daemon.
fn own_registration(shared: &FrontShared) -> MemberRegistration {
    MemberRegistration {
        host: shared.settings.host.clone(),
        peer_address: shared.settings.listen.peers,
        zone: shared.gateway.borrow().zone().clone(),
        processor_millis: shared.settings.limits.capacity().processor_millis,
    }
}

/// Writes rows of daemons; returns whether the store accepted them.
async fn write_members(
    shared: &FrontShared,
    connection: &mut StoreConnection,
    writes: &[TableWrite],
) -> bool {
    let call = shared.adapter.write_rows_call(writes);
    let outcome = match connection.call(&call, CALL_TIMEOUT).await {
        Ok(response) if response.status == 200 => {
            log::info!("event=members-registered count={}", writes.len());
            return true;
        }
        Ok(response) => format!("status {}", response.status),
        Err(error) => error.to_string(),
    };
    let count = writes.len();
    log::warn!("event=member-unregistered count={count} cause={outcome:?}");
    false
}

/// Reads the members of the own zone if it is large, else all; returns `None` when a page could not
/// be read.
async fn read_members(
    shared: &FrontShared,
    connection: &mut StoreConnection,
    is_first: bool,
) -> Option<MemberList> {
    let (has_coordinators, needs_all) = {
        let gateway = shared.gateway.borrow();
        let needs_all = gateway.needs_all_contacts(shared.clock.now());
        (gateway.has_coordinators(), needs_all)
    };
    if is_first || (has_coordinators && !needs_all) {
        let prefix = member_key(shared.gateway.borrow().zone(), "");
        let members = read_range(shared, connection, &prefix).await?;
        if uses_coordinators(members.contacts.len()) {
            return Some(members);
        }
    }
    read_range(shared, connection, "").await
}

/// Reads the members whose keys begin with a prefix.
async fn read_range(
    shared: &FrontShared,
    connection: &mut StoreConnection,
    prefix: &str,
) -> Option<MemberList> {
    let own = own_registration(shared);
    let own_text = member_text(&own).into_bytes();
    let own_key = member_key(&own.zone, &own.host);
    let mut members = MemberList {
        contacts: Vec::new(),
        lists_self: false,
    };
    let mut after: Option<String> = None;
    let mut limit = PageLimit::default();
    loop {
        let range = RowRange {
            prefix,
            after: after.as_deref(),
        };
        let call = shared.adapter.read_rows_call(StoreTable::Members, range);
        let response = connection.call(&call, CALL_TIMEOUT).await.ok()?;
        if response.status != 200 {
            return None;
        }
        let size = response.body.len();
        let page = shared
            .adapter
            .parse_page(shared.observe_store_era(&response), &response.body)?;
        after = page.rows.last().map(|row| row.key.clone());
        if page.truncated && limit.record(size, after.as_deref()).is_err() {
            shared.report_unbounded(InputLimit::Pages, "store", "-");
            return None;
        }
        for row in page.rows {
            let Some(value) = row.value else { continue };
            members.lists_self |= row.key == own_key && value == own_text;
            members.contacts.extend(read_member(&value));
        }
        if !page.truncated || after.is_none() {
            return Some(members);
        }
    }
}

/// Parses the value of a member's row: an address, an availability zone and the processor time of the
/// host. The last two may be missing.
fn read_member(value: &[u8]) -> Option<PeerContact> {
    let text = std::str::from_utf8(value).ok()?;
    let mut words = text.split(' ');
    let address = words.next()?.parse().ok()?;
    let zone = words.next().filter(|zone| !zone.is_empty());
    let processor_millis = words.next().and_then(|word| word.parse().ok());
    Some(PeerContact {
        address,
        zone: zone.map(ZoneLabel::from),
        processor_millis: processor_millis.unwrap_or_default(),
    })
}

/// Removes the row of this daemon from the members table.
pub async fn deregister_member(shared: &FrontShared) {
    let mut connection = StoreConnection::new(shared.settings.store.address);
    let write = TableWrite {
        value: None,
        ..registration_write(&own_registration(shared))
    };
    let call = shared.adapter.write_rows_call(&[write]);
    if let Err(error) = connection.call(&call, CALL_TIMEOUT).await {
        log::warn!("event=member-unremoved cause={:?}", error.to_string());
    }
}
