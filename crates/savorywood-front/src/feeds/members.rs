//! The table of members, in which daemons find each other at the start.

use super::{CALL_TIMEOUT, MAX_BACKOFF};
use crate::{
    adapter::{StoreTable, TableWrite},
    peers::PeerSocket,
    settings::FrontSettings,
    shared::FrontShared,
    store::StoreConnection,
};
use async_io::Timer;
use savorywood_gateway::{GatewayEvent, PeerContact, ZoneLabel};
use std::{rc::Rc, time::Duration};

/// Interval between reads of the members.
const MEMBERS_READ_INTERVAL: Duration = Duration::from_secs(8);
/// Interval between reads of the members in a cluster with zone digests, where peers report most
/// other daemons.
const ZONED_MEMBERS_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Registers this daemon in the members table and reads the table periodically.
pub async fn maintain_membership(shared: Rc<FrontShared>, peers: Rc<PeerSocket>) {
    let mut connection = StoreConnection::new(shared.settings.store.address);
    let mut announced = false;
    loop {
        let mut members = read_members(&shared, &mut connection).await;
        let listed = members.as_ref().is_some_and(|members| members.lists_self);
        // A row of a previous incarnation may differ. After writing the own row, the table is read
        // again to include rows written meanwhile.
        if members.is_some() && !listed && register(&shared, &mut connection).await {
            members = read_members(&shared, &mut connection).await;
        }
        let done = members.as_ref().is_some_and(|members| members.lists_self);
        if let Some(members) = members {
            shared.step(GatewayEvent::ContactsRead(members.contacts));
            if !announced {
                // Gossip at once, so that daemons learn of each other one round sooner.
                peers.gossip(&shared).await;
                announced = true;
            }
        }
        let zoned = shared.gateway.borrow().uses_zone_digests();
        let pause = match (done, zoned) {
            (false, _) => MAX_BACKOFF,
            (true, false) => MEMBERS_READ_INTERVAL,
            (true, true) => ZONED_MEMBERS_READ_INTERVAL,
        };
        Timer::after(pause.mul_f64(0.8 + fastrand::f64() * 0.4)).await;
    }
}

/// Content of the members table.
struct MemberList {
    contacts: Vec<PeerContact>,
    /// The table holds this daemon with its current address and zone.
    lists_self: bool,
}

/// Writes the row of this daemon; returns whether the store accepted it.
async fn register(shared: &FrontShared, connection: &mut StoreConnection) -> bool {
    let write = TableWrite {
        table: StoreTable::Members,
        key: shared.settings.host.clone(),
        value: Some(member_text(&shared.settings).into_bytes()),
        expected_version: None,
    };
    let call = shared.adapter.write_row_call(&write);
    match connection.call(&call, CALL_TIMEOUT).await {
        Ok(response) => response.status == 200,
        Err(error) => {
            log::warn!("event=member-unregistered cause={:?}", error.to_string());
            false
        }
    }
}

/// Reads all members; returns `None` when a page could not be read.
async fn read_members(
    shared: &FrontShared,
    connection: &mut StoreConnection,
) -> Option<MemberList> {
    let own = member_text(&shared.settings).into_bytes();
    let mut members = MemberList {
        contacts: Vec::new(),
        lists_self: false,
    };
    let mut after: Option<String> = None;
    loop {
        let call = shared
            .adapter
            .read_rows_call(StoreTable::Members, after.as_deref());
        let response = connection.call(&call, CALL_TIMEOUT).await.ok()?;
        if response.status != 200 {
            return None;
        }
        let page = shared
            .adapter
            .parse_page(shared.observe_store_era(&response), &response.body)?;
        after = page.rows.last().map(|row| row.key.clone());
        for row in page.rows {
            let Some(value) = row.value else { continue };
            members.lists_self |= row.key == shared.settings.host && value == own;
            members.contacts.extend(read_member(&value));
        }
        if !page.truncated || after.is_none() {
            return Some(members);
        }
    }
}

fn member_text(settings: &FrontSettings) -> String {
    format!("{} {}", settings.listen.peers, settings.zone)
}

/// Parses the value of a member's row: an address and, after a space, an availability zone.
fn read_member(value: &[u8]) -> Option<PeerContact> {
    let text = std::str::from_utf8(value).ok()?;
    let (address, zone) = text.split_once(' ').unwrap_or((text, ""));
    Some(PeerContact {
        address: address.parse().ok()?,
        zone: (!zone.is_empty()).then(|| ZoneLabel::from(zone)),
    })
}

/// Removes the row of this daemon from the members table.
pub async fn deregister_member(shared: &FrontShared) {
    let mut connection = StoreConnection::new(shared.settings.store.address);
    let write = TableWrite {
        table: StoreTable::Members,
        key: shared.settings.host.clone(),
        value: None,
        expected_version: None,
    };
    let call = shared.adapter.write_row_call(&write);
    if let Err(error) = connection.call(&call, CALL_TIMEOUT).await {
        log::warn!("event=member-unremoved cause={:?}", error.to_string());
    }
}
