//! Datagrams between daemons: authentication, replays and sizes.

use quickcheck::quickcheck;
use savorywood_protocol::{
    ConfigRevision, HostIncarnation, HostName,
    peer::{
        DatagramError, DatagramKey, MembershipMessage, PeerDatagram, PeerMessage,
        datagram::{ReplayDecision, ReplayGuard, ReplayWindow},
        membership::{MemberLocation, MemberState, MemberUpdate},
    },
};
use std::collections::BTreeSet;

fn host(name: &str) -> HostName {
    HostName::new(name).expect("a name")
}

fn update(with_location: bool) -> MemberUpdate {
    let location = MemberLocation {
        peer_address: "10.12.13.14:7000".parse().expect("an address"),
        caller_address: "10.12.13.14:8080".parse().expect("an address"),
        zone: "north-1a".parse().expect("a name"),
        region: "north-1".parse().expect("a name"),
    };
    MemberUpdate {
        host: host("entry-0123"),
        incarnation: HostIncarnation(1_780_000_000_000),
        refutation: 3,
        state: MemberState::Alive,
        config_revision: ConfigRevision(70_000),
        location: with_location.then_some(location),
    }
}

fn datagram() -> PeerDatagram {
    let message = MembershipMessage::Updates {
        newest_revision: ConfigRevision(70_000),
        updates: vec![update(true)],
    };
    PeerDatagram {
        from: host("entry-1"),
        incarnation: HostIncarnation(1_780_000_000_000),
        sequence: 7,
        message: PeerMessage::Membership(message),
    }
}

#[test]
fn a_sealed_datagram_opens_at_its_receiver() {
    let key = DatagramKey::derive(b"secret");
    let bytes = datagram().seal(&host("entry-2"), &key).expect("sealed");
    let opened = PeerDatagram::open(&bytes, &host("entry-2"), &key);
    assert_eq!(opened, Ok(datagram()));
}

/// Guards against accepting a captured datagram at another receiver, or with a flipped bit: two
/// daemons could then use one grant of slots.
#[test]
fn datagrams_for_another_receiver_or_changed_are_dropped() {
    let key = DatagramKey::derive(b"secret");
    let sealed = datagram().seal(&host("entry-2"), &key).expect("sealed");
    let elsewhere = PeerDatagram::open(&sealed, &host("entry-3"), &key);
    assert_eq!(elsewhere, Err(DatagramError::BadTag));
    for position in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[position] ^= 1;
        let opened = PeerDatagram::open(&changed, &host("entry-2"), &key);
        assert_eq!(opened, Err(DatagramError::BadTag));
    }
}

/// Guards against accepting a captured datagram a second time, before or after a restart of the
/// sender. It would leave slots unused or make a member flap.
#[test]
fn a_replayed_datagram_is_dropped() {
    let mut guard = ReplayGuard::default();
    let from = host("entry-1");
    let old = HostIncarnation(1);
    let new = HostIncarnation(2);
    assert_eq!(guard.check_and_record(&from, old, 5), ReplayDecision::Fresh);
    assert_eq!(
        guard.check_and_record(&from, old, 5),
        ReplayDecision::Replayed
    );
    assert_eq!(guard.check_and_record(&from, old, 4), ReplayDecision::Fresh);
    assert_eq!(guard.check_and_record(&from, new, 1), ReplayDecision::Fresh);
    assert_eq!(
        guard.check_and_record(&from, old, 6),
        ReplayDecision::OldIncarnation
    );
    assert_eq!(
        guard.check_and_record(&from, new, 500),
        ReplayDecision::Fresh
    );
    assert_eq!(
        guard.check_and_record(&from, new, 1),
        ReplayDecision::Replayed
    );
}

#[test]
fn news_of_a_known_member_takes_few_bytes() {
    let brief = postcard::to_stdvec(&update(false)).expect("encoded").len();
    let full = postcard::to_stdvec(&update(true)).expect("encoded").len();
    assert_eq!((brief, full), (23, 54));
}

quickcheck! {
    fn replay_window_accepts_each_number_at_most_once(sequences: Vec<u16>) -> bool {
        let mut window = ReplayWindow::default();
        let mut seen = BTreeSet::new();
        sequences.into_iter().all(|sequence| {
            let sequence = u64::from(sequence % 300);
            !window.accept(sequence) || seen.insert(sequence)
        })
    }

    fn encoded_update_is_within_max_wire_bytes(incarnation: u64, refutation: u32, revision: u64) -> bool {
        [true, false].into_iter().all(|with_location| {
            let update = MemberUpdate {
                incarnation: HostIncarnation(incarnation),
                refutation,
                config_revision: ConfigRevision(revision),
                ..update(with_location)
            };
            let bytes = postcard::to_stdvec(&update).expect("encoded").len();
            bytes <= update.max_wire_bytes()
        })
    }

    fn arbitrary_bytes_are_refused(bytes: Vec<u8>) -> bool {
        let key = DatagramKey::derive(b"secret");
        PeerDatagram::open(&bytes, &host("entry-2"), &key).is_err()
    }
}
