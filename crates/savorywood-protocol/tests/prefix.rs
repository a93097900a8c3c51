//! Prefix hashes: prompts share exactly the hashes of their common prefix blocks.

use quickcheck::quickcheck;
use savorywood_protocol::prefix::{MAX_PREFIX_BLOCKS, PREFIX_BLOCK_BYTES, prefix_hashes};

quickcheck! {
    fn prompts_share_exactly_the_hashes_of_their_common_blocks(blocks: u8, tail: u8, rest: u16) -> bool {
        let blocks = usize::from(blocks % 8);
        let common = blocks * PREFIX_BLOCK_BYTES + usize::from(tail);
        let rest = usize::from(rest % 2_048);
        let first = [vec![b'c'; common], vec![b'a'; rest]].concat();
        let second = [vec![b'c'; common], vec![b'b'; rest]].concat();
        let first = prefix_hashes(&first);
        let second = prefix_hashes(&second);
        let shared = first.iter().zip(&second).take_while(|(a, b)| a == b).count();
        let expected = if rest == 0 { first.len() } else { common / PREFIX_BLOCK_BYTES };
        shared == expected
    }
}

#[test]
fn hashes_are_limited_to_max_prefix_blocks() {
    let prompt = vec![b'x'; (MAX_PREFIX_BLOCKS + 3) * PREFIX_BLOCK_BYTES];
    assert_eq!(prefix_hashes(&prompt).len(), MAX_PREFIX_BLOCKS);
}
