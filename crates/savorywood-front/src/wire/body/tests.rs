//! Bodies split at arbitrary positions, read over a TCP connection.

use super::*;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncWriteExt, future};
use quickcheck::QuickCheck;

/// Writes bytes in pieces over a connection and reads a body from it.
fn read_split(bytes: &[u8], cuts: &[u8], framing: BodyFraming) -> Result<Vec<u8>, BodyError> {
    async_io::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut writer = TcpStream::connect(address).await.expect("a connection");
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut reader = ByteReader::new(stream);
        let write = async {
            let mut rest = bytes;
            for cut in cuts {
                let (piece, after) = rest.split_at(usize::from(*cut).min(rest.len()));
                writer.write_all(piece).await.expect("a write");
                future::yield_now().await;
                rest = after;
            }
            writer.write_all(rest).await.expect("a write");
            drop(writer);
        };
        let read = read_body(&mut reader, framing, 1 << 20);
        let (result, ()) = future::zip(read, write).await;
        result
    })
}

fn chunked(pieces: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for piece in pieces.iter().filter(|piece| !piece.is_empty()) {
        bytes.extend_from_slice(format!("{:x};ext=1\r\n", piece.len()).as_bytes());
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
    bytes
}

#[test]
fn chunked_body_is_independent_of_read_boundaries() {
    let property = |pieces: Vec<Vec<u8>>, cuts: Vec<u8>| {
        let read = read_split(&chunked(&pieces), &cuts, BodyFraming::Chunked);
        read.is_ok_and(|body| body == pieces.concat())
    };
    QuickCheck::new()
        .tests(200)
        .quickcheck(property as fn(Vec<Vec<u8>>, Vec<u8>) -> bool);
}

/// Guards against a body that is cut off by the end of the connection and taken as complete, so
/// that a caller would receive a truncated response.
#[test]
fn truncated_body_is_an_error() {
    let property = |pieces: Vec<Vec<u8>>, cut: usize| {
        let bytes = chunked(&pieces);
        let cut = cut % bytes.len();
        read_split(&bytes[..cut], &[], BodyFraming::Chunked).is_err()
    };
    QuickCheck::new()
        .tests(200)
        .quickcheck(property as fn(Vec<Vec<u8>>, usize) -> bool);
    assert!(read_split(b"hell", &[], BodyFraming::Length(5)).is_err());
    assert!(read_split(b"hello", &[2], BodyFraming::Length(5)).is_ok());
    assert!(read_split(b"hello", &[2], BodyFraming::UntilClose).is_ok());
}

#[test]
fn ambiguous_chunked_coding_is_rejected() {
    let texts: [&[u8]; 7] = [
        b"0x5\r\nhello\r\n0\r\n\r\n",
        b"+5\r\nhello\r\n0\r\n\r\n",
        b" 5\r\nhello\r\n0\r\n\r\n",
        b"5\nhello\n0\n\n",
        b"5\r\nhelloX\r\n0\r\n\r\n",
        b"\r\nhello\r\n0\r\n\r\n",
        b"ffffffffffffffffff\r\nhello",
    ];
    for text in texts {
        assert!(
            read_split(text, &[], BodyFraming::Chunked).is_err(),
            "{text:?}"
        );
    }
}

/// Guards against chunk extensions and trailers without an end: each line is short, and the body stays
/// within its limit.
#[test]
fn endless_chunk_coding_is_rejected() {
    let extended = format!("1;{}\r\nx\r\n", "e".repeat(200)).repeat(2_000);
    let trailers = format!("0\r\n{}", "x: y\r\n".repeat(20_000));
    let line = format!("5;{}", "e".repeat(1_000));
    for text in [extended, trailers, line] {
        let read = read_split(text.as_bytes(), &[], BodyFraming::Chunked);
        let limit = read.err().and_then(|error| error.limit());
        assert_eq!(limit, Some(InputLimit::ChunkCoding));
    }
}

/// Guards against a limit of the chunk coding that rejects a valid body in chunks of one byte.
#[test]
fn chunks_of_one_byte_are_accepted() {
    let pieces: Vec<Vec<u8>> = (0..50_000).map(|_| vec![b'x']).collect();
    let read = read_split(&chunked(&pieces), &[], BodyFraming::Chunked);
    assert!(read.is_ok_and(|body| body.len() == 50_000));
}
