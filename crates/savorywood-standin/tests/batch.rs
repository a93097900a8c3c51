//! The pure model of continuous batching: nothing is lost, limits hold, speeds follow settings.

use quickcheck::{Arbitrary, Gen, quickcheck};
use savorywood_standin::engine::{
    BatchSettings,
    batch::{BatchAdmission, BatchModel, SequenceNumber, SequenceRequest},
    cache::{CacheChange, PrefixCache},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// More iterations than any of these workloads needs.
const MAX_ITERATIONS: usize = 100_000;

const COOL: u32 = 1_000;

#[derive(Debug, Clone)]
struct Workload {
    settings: BatchSettings,
    requests: Vec<SequenceRequest>,
}

impl Arbitrary for Workload {
    fn arbitrary(source: &mut Gen) -> Self {
        let settings = BatchSettings {
            slots: u32::arbitrary(source) % 8 + 1,
            kv_tokens: u32::arbitrary(source) % 4_000 + 100,
            cache_blocks: usize::arbitrary(source) % 32,
            prefill_chunk: u32::arbitrary(source) % 300 + 1,
            ..BatchSettings::default()
        };
        let count = u64::arbitrary(source) % 30;
        let requests = (0..count).map(|number| SequenceRequest {
            number: SequenceNumber(number),
            prompt_tokens: u32::arbitrary(source) % 1_000 + 1,
            prefix_hashes: (0..u64::arbitrary(source) % 12).collect(),
            output_tokens: u32::arbitrary(source) % 40 + 1,
        });
        let requests = requests.collect();
        Self { settings, requests }
    }
}

quickcheck! {
    fn each_request_gets_exactly_its_tokens_in_order(workload: Workload) -> bool {
        let mut model = BatchModel::new(workload.settings);
        let mut wanted = BTreeMap::new();
        for request in workload.requests {
            let tokens = request.output_tokens;
            let number = request.number;
            if model.submit(request) == BatchAdmission::Taken {
                wanted.insert(number, tokens);
            }
        }
        let mut made: BTreeMap<SequenceNumber, u32> = BTreeMap::new();
        for _ in 0..MAX_ITERATIONS {
            let Some(iteration) = model.iterate(COOL) else {
                return made == wanted;
            };
            let load = model.load();
            if load.running > workload.settings.slots || load.kv_used_per_mille > 1_000 {
                return false;
            }
            for token in iteration.tokens {
                let count = made.entry(token.number).or_default();
                let last = *count + 1 == wanted[&token.number];
                if token.index != *count || token.last != last {
                    return false;
                }
                *count += 1;
            }
        }
        false
    }

    fn replaying_the_changes_gives_the_cache(capacity: u8, chains: Vec<(u8, u8)>) -> bool {
        let mut cache = PrefixCache::new(usize::from(capacity));
        let mut replayed = BTreeSet::new();
        let mut seen = BTreeSet::new();
        for (family, length) in chains {
            let hashes = (0..u64::from(length)).map(|at| u64::from(family) << 8 | at);
            let hashes: Vec<u64> = hashes.collect();
            seen.extend(hashes.iter().copied());
            cache.use_prefix(&hashes);
            for change in cache.store(&hashes) {
                match change {
                    CacheChange::Stored(block) => replayed.insert(block),
                    CacheChange::Removed(block) => replayed.remove(&block),
                };
            }
        }
        let held = seen.into_iter().filter(|block| cache.contains(*block));
        let held: BTreeSet<u64> = held.collect();
        held == replayed && cache.len() == held.len() && held.len() <= usize::from(capacity)
    }
}

fn request(number: u64, prompt_tokens: u32, output_tokens: u32) -> SequenceRequest {
    SequenceRequest {
        number: SequenceNumber(number),
        prompt_tokens,
        prefix_hashes: Vec::new(),
        output_tokens,
    }
}

fn time_for(requests: Vec<SequenceRequest>, heat_per_mille: u32) -> Duration {
    let mut model = BatchModel::new(BatchSettings::default());
    for request in requests {
        model.submit(request);
    }
    let mut total = Duration::ZERO;
    while let Some(iteration) = model.iterate(heat_per_mille) {
        total += iteration.duration;
    }
    total
}

#[test]
fn a_fuller_batch_is_slower_for_each_and_faster_in_all() {
    let alone = time_for(vec![request(0, 1, 100)], COOL);
    let eight = time_for((0..8).map(|n| request(n, 1, 100)).collect(), COOL);
    assert!(eight > alone, "{eight:?} against {alone:?}");
    assert!(eight < alone * 8, "{eight:?} against {alone:?}");
}

#[test]
fn heat_stretches_all_work() {
    let cool = time_for(vec![request(0, 1_000, 50)], COOL);
    let hot = time_for(vec![request(0, 1_000, 50)], 2 * COOL);
    assert_eq!(hot, cool * 2);
}

#[test]
fn a_cached_prefix_saves_its_prefill_and_is_counted() {
    let mut model = BatchModel::new(BatchSettings::default());
    let prompt = |number| SequenceRequest {
        prefix_hashes: vec![1, 2, 3],
        ..request(number, 200, 1)
    };
    model.submit(prompt(0));
    let first = model.iterate(COOL).expect("one iteration");
    model.submit(prompt(1));
    let second = model.iterate(COOL).expect("one iteration");
    assert_eq!(first.tokens[0].cached_tokens, 0);
    assert_eq!(second.tokens[0].cached_tokens, 192);
    assert!(second.duration < first.duration / 10);
}

#[test]
fn the_start_of_a_chain_outlives_its_end() {
    let mut cache = PrefixCache::new(4);
    cache.store(&[1, 2, 3]);
    cache.store(&[11, 12]);
    assert!(cache.contains(1) && cache.contains(2));
    assert!(!cache.contains(3));
}

#[test]
fn a_cancelled_request_frees_its_place() {
    let settings = BatchSettings {
        slots: 1,
        ..BatchSettings::default()
    };
    let mut model = BatchModel::new(settings);
    model.submit(request(0, 1, 1_000));
    model.submit(request(1, 1, 1));
    model.iterate(COOL).expect("work");
    assert_eq!(model.cancel(SequenceNumber(0)), Some(1));
    let next = model.iterate(COOL).expect("work");
    assert_eq!(next.tokens[0].number, SequenceNumber(1));
    assert_eq!(model.cancel(SequenceNumber(0)), None);
}
