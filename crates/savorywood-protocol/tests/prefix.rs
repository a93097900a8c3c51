//! Prompts that begin alike share their first hashes, and only those.

use quickcheck::quickcheck;
use savorywood_protocol::prefix::{BLOCK_BYTES, prefix_hashes, prompt_text, prompt_tokens};

quickcheck! {
    fn prompts_share_exactly_their_common_whole_blocks(head: Vec<u8>, one: u8, other: u8) -> bool {
        let head: String = head.iter().map(|byte| char::from(byte % 26 + b'a')).collect();
        let first = format!("{head}{}", "A".repeat(usize::from(one)));
        let second = format!("{head}{}", "B".repeat(usize::from(other)));
        let common = head.len() / BLOCK_BYTES;
        let first = prefix_hashes(&first);
        let second = prefix_hashes(&second);
        let shared = first.iter().zip(&second).take_while(|(a, b)| a == b).count();
        shared == common
    }
}

#[test]
fn a_chat_and_a_text_give_their_prompt() {
    let chat = br#"{"messages":[{"role":"user","content":"a \"b\""}],"stream":true}"#;
    assert_eq!(prompt_text(chat).as_deref(), Some("user\na \"b\"\n"));
    assert_eq!(prompt_text(br#"{"prompt":"abc"}"#).as_deref(), Some("abc"));
    assert_eq!(prompt_text(br#"{"prompt":[1,2]}"#), None);
    assert_eq!(prompt_text(b"{}"), None);
}

#[test]
fn tokens_are_counted_up_and_never_none() {
    assert_eq!(prompt_tokens(""), 1);
    assert_eq!(prompt_tokens("abcde"), 2);
}
