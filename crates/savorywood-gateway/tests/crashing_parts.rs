//! Parts of prompts that crash the upstreams that respond to them.

#[path = "common/callers.rs"]
mod callers;
#[path = "common/cluster.rs"]
mod cluster;
#[path = "common/crashing_parts.rs"]
mod crashing_parts;
#[path = "common/harness.rs"]
mod harness;

use crashing_parts::{MAX_LATE_DISPATCHES, PartEnvironment, PromptRequest};

/// First parts of prompts, each shared by all requests of a kind.
const KINDS: usize = 4;
/// Parts in the middle of prompts; those with low numbers are popular.
const MIDDLE_PARTS: usize = 60;
/// A part that crashes upstreams.
const CRASHING_PART: u64 = 9_001;

fn first_part(kind: usize) -> u64 {
    1 + u64::try_from(kind).expect("a small number")
}

fn middle_part(number: usize) -> u64 {
    100 + u64::try_from(number).expect("a small number")
}

/// Returns the parts of a prompt but the last: the first of its kind and some of the middle, of
/// which low numbers are popular and high ones rare.
fn shared_parts(environment: &mut PartEnvironment) -> Vec<u64> {
    let random = &mut environment.random;
    let mut parts = vec![first_part(random.below(KINDS))];
    for _ in 0..1 + random.below(3) {
        let bound = 1 + random.below(MIDDLE_PARTS);
        let part = middle_part(random.below(bound));
        if !parts.contains(&part) {
            parts.push(part);
        }
    }
    parts
}

fn sound_request(environment: &mut PartEnvironment) -> PromptRequest {
    let parts = shared_parts(environment);
    environment.new_request(&parts)
}

/// Returns a request with the given part in the middle of its prompt.
fn request_with(environment: &mut PartEnvironment, part: u64) -> PromptRequest {
    let mut parts = shared_parts(environment);
    let position = 1 + environment.random.below(parts.len());
    parts.insert(position, part);
    environment.new_request(&parts)
}

/// Runs rounds with some sound requests and some with each of the given parts.
fn run_rounds(
    environment: &mut PartEnvironment,
    rounds: usize,
    sound: usize,
    crashing: usize,
    parts: &[u64],
) {
    let daemons = environment.cluster.daemons.len();
    for round in 0..rounds {
        let mut requests = Vec::new();
        for _ in 0..sound {
            let daemon = environment.random.below(daemons);
            requests.push((daemon, sound_request(environment)));
        }
        for number in 0..crashing {
            for part in parts {
                let daemon = (round * crashing + number) * 5 % daemons;
                let position = environment.random.below(requests.len() + 1);
                requests.insert(position, (daemon, request_with(environment, *part)));
            }
        }
        environment.advance_round(requests);
    }
}

/// Guards against a part of prompts that goes on crashing upstreams because no two requests with it
/// are alike.
#[test]
fn a_part_of_prompts_that_crashed_five_upstreams_reaches_few_more() {
    let runs = [(1, 1), (8, 2), (48, 4)].map(|(daemons, crashing)| {
        let mut environment = PartEnvironment::new(daemons, 8, 1);
        environment.crashing_parts.insert(CRASHING_PART);
        run_rounds(&mut environment, 16, 8, 0, &[]);
        run_rounds(&mut environment, 60, 8, crashing, &[CRASHING_PART]);
        let record = &environment.parts[&CRASHING_PART];
        let (crashes, late) = (record.crashes.len(), record.late_dispatches());
        println!("daemons {daemons} crashes {crashes} late {late}");
        (daemons, crashes, late)
    });
    for (daemons, crashes, late) in runs {
        assert!(
            late <= MAX_LATE_DISPATCHES,
            "{late} of {crashes} crashes with {daemons} daemons"
        );
    }
}
