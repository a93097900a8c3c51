//! What happens to the daemons in one run, made from a seed.

use quickcheck::{Arbitrary, Gen};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Daemons in a run.
pub const NODES: usize = 5;
/// Time over which a schedule's actions are spread, in microseconds.
pub const SCHEDULE_MICROS: u64 = 20_000_000;
/// Actions of a schedule, the least and the most.
const ACTIONS: std::ops::Range<usize> = 60..240;
/// Faults among a schedule's actions, in percent: the least and the most.
const FAULT_PERCENT: std::ops::Range<u32> = 2..30;

/// Bytes of a seed.
const SEED_BYTES: usize = 8;

/// One thing that happens from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorldAction {
    /// Callers send model requests to one daemon, in one tier.
    Burst {
        node: usize,
        count: u64,
        tier: usize,
    },
    /// A caller makes a call that may not be repeated, with a new key.
    Charge { node: usize },
    /// A caller repeats such a call with the same key at any daemon.
    Repeat { node: usize },
    /// A caller goes away.
    Leave,
    /// A caller asks any daemon for the rest of a stream.
    Resume { node: usize },
    /// An operator edits an upstream that takes no work.
    Edit { node: usize },
    /// Two operators edit the same one through two daemons at once.
    Race { first: usize, second: usize },
    /// An operator takes an upstream out for good.
    Drain { node: usize, plain: bool },
    /// A fault.
    Fault(WorldFault),
}

/// One fault. Durations are in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorldFault {
    /// A daemon stands still and goes on.
    Pause { node: usize, micros: u64 },
    /// A daemon dies and begins anew with nothing.
    Crash { node: usize, micros: u64 },
    /// A planned stop; a new daemon begins on the host after it.
    Stop { node: usize, micros: u64 },
    /// The table refuses every call.
    Outage { micros: u64 },
    /// Answers of the table are lost, before or after the effect, or long before it.
    LossyTable { micros: u64 },
    /// The table answers late.
    SlowTable { micros: u64 },
    /// One daemon can't reach the table.
    CutTable { node: usize, micros: u64 },
    /// Datagrams are lost, doubled and late.
    LossyNetwork { micros: u64 },
    /// Two daemons can't reach each other, or one of them not the other.
    Cut {
        from: usize,
        to: usize,
        both: bool,
        micros: u64,
    },
    /// A daemon's wall clock jumps.
    WallJump { node: usize, millis: i64 },
    /// An upstream takes no connections.
    UpstreamDown { upstream: usize, micros: u64 },
    /// An upstream is slow.
    UpstreamSlow { upstream: usize, micros: u64 },
    /// The host list is empty or lacks hosts.
    WrongHosts { micros: u64 },
}

/// One run: everything follows from it.
#[derive(Debug, Clone)]
pub struct WorldSchedule {
    /// Seed of delays, losses and choices.
    pub seed: u64,
    /// What happens when, in microseconds from the beginning.
    pub actions: Vec<(u64, WorldAction)>,
}

impl WorldSchedule {
    /// The schedule of a seed.
    pub fn from_seed(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let faults = rng.random_range(FAULT_PERCENT);
        let count = rng.random_range(ACTIONS);
        let mut actions = Vec::with_capacity(count);
        for _ in 0..count {
            let at = rng.random_range(0..SCHEDULE_MICROS);
            let action = if rng.random_range(0..100) < faults {
                WorldAction::Fault(random_fault(&mut rng))
            } else {
                random_action(&mut rng)
            };
            actions.push((at, action));
        }
        actions.sort_by_key(|(at, _)| *at);
        Self { seed, actions }
    }
}

impl Arbitrary for WorldSchedule {
    fn arbitrary(g: &mut Gen) -> Self {
        // A single number would too often be one of a few special values.
        let bytes = (0..SEED_BYTES).map(|_| u8::arbitrary(g));
        Self::from_seed(bytes.fold(0, |seed, byte| seed << 8 | u64::from(byte)))
    }

    /// Leaves out half, a quarter, and so on down to single actions.
    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let seed = self.seed;
        Box::new(
            self.actions
                .shrink_parts()
                .map(move |actions| Self { seed, actions }),
        )
    }
}

trait ShrinkParts: Sized {
    fn shrink_parts(&self) -> impl Iterator<Item = Self> + use<Self>;
}

impl ShrinkParts for Vec<(u64, WorldAction)> {
    fn shrink_parts(&self) -> impl Iterator<Item = Self> + use<> {
        let all = self.clone();
        let sizes = std::iter::successors(Some(all.len() / 2), |size| Some(size / 2));
        let sizes: Vec<_> = sizes.take_while(|size| *size > 0).collect();
        sizes.into_iter().flat_map(move |size| {
            let all = all.clone();
            (0..all.len()).step_by(size).map(move |begin| {
                let end = (begin + size).min(all.len());
                let kept = all[..begin].iter().chain(&all[end..]);
                kept.copied().collect()
            })
        })
    }
}

fn random_action(rng: &mut ChaCha8Rng) -> WorldAction {
    let node = rng.random_range(0..NODES);
    match rng.random_range(0..100) {
        0..40 => WorldAction::Burst {
            node,
            count: rng.random_range(1..12),
            tier: rng.random_range(0..3),
        },
        40..58 => WorldAction::Charge { node },
        58..74 => WorldAction::Repeat { node },
        74..82 => WorldAction::Leave,
        82..88 => WorldAction::Resume { node },
        88..94 => WorldAction::Edit { node },
        94..97 => WorldAction::Race {
            first: node,
            second: rng.random_range(0..NODES),
        },
        _ => WorldAction::Drain {
            node,
            plain: rng.random_bool(0.5),
        },
    }
}

fn random_fault(rng: &mut ChaCha8Rng) -> WorldFault {
    let node = rng.random_range(0..NODES);
    let upstream = rng.random_range(0..NODES);
    let micros = rng.random_range(100_000..8_000_000);
    match rng.random_range(0..13) {
        0 => WorldFault::Pause { node, micros },
        1 => WorldFault::Crash { node, micros },
        2 => WorldFault::Stop { node, micros },
        3 => WorldFault::Outage { micros },
        4 => WorldFault::LossyTable { micros },
        5 => WorldFault::SlowTable { micros },
        6 => WorldFault::CutTable { node, micros },
        7 => WorldFault::LossyNetwork { micros },
        8 => WorldFault::Cut {
            from: node,
            to: rng.random_range(0..NODES),
            both: rng.random_bool(0.5),
            micros,
        },
        9 => WorldFault::WallJump {
            node,
            millis: rng.random_range(-120_000..120_000),
        },
        10 => WorldFault::UpstreamDown { upstream, micros },
        11 => WorldFault::UpstreamSlow { upstream, micros },
        _ => WorldFault::WrongHosts { micros },
    }
}
