//! Encoding of datagrams, and rejection of those of other formats.

use super::{DatagramError, decode, encode};
use crate::peers::{PeerDatagram, RowsPush};
use quickcheck::quickcheck;
use savorywood_gateway::{SharedTable, StorePosition};

fn push() -> RowsPush {
    RowsPush {
        table: SharedTable::Upstreams,
        after: StorePosition::new(1, 10),
        before: StorePosition::new(1, 12),
        through: StorePosition::new(2, 3),
        rows: Vec::new(),
    }
}

#[test]
fn message_decodes_to_what_was_encoded() {
    let bytes = encode(&push()).expect("bytes");
    assert_eq!(decode::<RowsPush>(&bytes), Ok(push()));
    assert_eq!(
        decode::<RowsPush>(&bytes[..3]),
        Err(DatagramError::Malformed)
    );
}

/// Guards against a datagram of another build that decodes to wrong values.
#[test]
fn message_of_another_format_version_is_rejected() {
    let bytes = encode(&push()).expect("bytes");
    let mut other = bytes.clone();
    other[1] += 1;
    let error = DatagramError::OtherVersion { version: other[1] };
    assert_eq!(decode::<RowsPush>(&other), Err(error));
    assert_eq!(
        decode::<RowsPush>(&bytes[2..]),
        Err(DatagramError::UnknownFormat)
    );
}

quickcheck! {
    /// Guards against arbitrary input that makes the process panic.
    fn arbitrary_bytes_are_decoded_or_rejected(bytes: Vec<u8>) -> bool {
        let mut marked = encode(&()).unwrap_or_default();
        marked.extend(&bytes);
        let _ = decode::<PeerDatagram>(&marked);
        let is_unmarked = decode::<PeerDatagram>(&bytes).err() == Some(DatagramError::UnknownFormat);
        let is_marked = bytes.len() > 1 && bytes[0] == 0xd5;
        is_marked != is_unmarked
    }
}
