//! Reads of tables that never end.

use super::*;

/// Guards against a store that reports another page forever, which would fill the memory.
#[test]
fn endless_pages_are_cut() {
    let mut limit = PageLimit::default();
    let pages = (0..1_000_000_u32)
        .take_while(|page| {
            let key = format!("{page:08}");
            limit.record(100, Some(&key)).is_ok()
        })
        .count();
    assert_eq!(pages, MAX_PAGES as usize);
    let mut limit = PageLimit::default();
    let pages = (0..1_000_000_u32)
        .take_while(|page| {
            let key = format!("{page:08}");
            limit.record(8 << 20, Some(&key)).is_ok()
        })
        .count();
    assert_eq!(pages, 4);
}

/// Guards against a store that repeats a page: the reader would ask for the next one forever.
#[test]
fn repeated_page_is_cut() {
    let mut limit = PageLimit::default();
    assert!(limit.record(100, Some("b")).is_ok());
    assert!(limit.record(100, Some("c")).is_ok());
    assert_eq!(limit.record(100, Some("c")), Err(InputLimit::Pages));
}
