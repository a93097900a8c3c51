//! Addresses to listen at and to tell others.

use super::parts;
use crate::fault::MemberFault;
use std::net::SocketAddr;

/// Whether other hosts can reach an address; else a fault.
pub(super) fn check_reachable(
    address: SocketAddr,
    path: &str,
    faults: &mut Vec<MemberFault>,
) -> bool {
    let reachable = !address.ip().is_unspecified() && address.port() != 0;
    if !reachable {
        faults.push(MemberFault {
            path: path.to_owned(),
            message: format!("no host can connect to {address}"),
            allowed: "a host's own IP address and a port from 1 to 65535".to_owned(),
            remedy: "write the address at which it is reached".to_owned(),
        });
    }
    reachable
}

/// Where a daemon listens and what it tells others.
pub(super) struct AddressPair {
    listen_path: String,
    advertise_path: String,
    listen: Option<SocketAddr>,
    advertise: Option<SocketAddr>,
}

impl AddressPair {
    pub(super) fn read(
        whom: &str,
        listen: Option<SocketAddr>,
        advertise: Option<SocketAddr>,
    ) -> Self {
        Self {
            listen_path: format!("listen_{whom}"),
            advertise_path: format!("advertise_{whom}"),
            listen,
            advertise,
        }
    }

    /// The address to listen at and the one to tell.
    pub(super) fn check(self, faults: &mut Vec<MemberFault>) -> Option<(SocketAddr, SocketAddr)> {
        let listen = parts::required(self.listen, &self.listen_path, faults)?;
        if let Some(advertise) = self.advertise {
            let reachable = check_reachable(advertise, &self.advertise_path, faults);
            return reachable.then_some((listen, advertise));
        }
        // Others would be told 0.0.0.0 or port 0 and could never connect, which shows only as
        // silence.
        if listen.ip().is_unspecified() || listen.port() == 0 {
            faults.push(MemberFault {
                path: self.listen_path,
                message: format!("others can't be told to connect to {listen}"),
                allowed: "a host's own IP address and a port from 1 to 65535".to_owned(),
                remedy: format!(
                    "add `{}` with the address at which it is reached",
                    self.advertise_path
                ),
            });
            return None;
        }
        Some((listen, listen))
    }
}

/// Callers' and peers' TCP can't share an address: the second bind would fail at the start.
pub(super) fn check_distinct(
    callers: Option<(SocketAddr, SocketAddr)>,
    peers: Option<(SocketAddr, SocketAddr)>,
    faults: &mut Vec<MemberFault>,
) {
    let (Some((callers, _)), Some((peers, _))) = (callers, peers) else {
        return;
    };
    if callers == peers && callers.port() != 0 {
        faults.push(MemberFault {
            path: "listen_peers".to_owned(),
            message: format!("{peers} is also listen_callers"),
            allowed: "another port".to_owned(),
            remedy: "give peers a port of their own".to_owned(),
        });
    }
}
