//! Ways to serve slow callers, compared under the same load: memory, responses delivered and slots
//! that are occupied although their upstream has nothing to do.

use super::*;

const STEP_MS: u64 = 20;
const RUN_MS: u64 = 60_000;
const SLOTS: usize = 16;
/// Bytes that an upstream sends in one step.
const UPSTREAM_STEP: usize = 200_000;
/// Bytes of one response that socket buffers and the read buffer take without a holder.
const WINDOW: usize = 262_144;
/// Time without a read after which an upstream aborts a response.
const ABORT_MS: u64 = 4_000;
const DEADLINE_MS: u64 = 15_000;
/// Budget of a host with 160 MB at a share of 0.5.
const BUDGET: usize = 80_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// The response is held until it is complete, within the budget, with cuts.
    Hold,
    /// The same without cuts: a caller that reads nothing keeps its memory until its deadline.
    HoldWithoutCuts,
    /// The response is passed on as the caller reads it.
    Backpressure,
    /// The response is held as long as the budget allows, and then passed on as the caller reads it.
    HoldThenPass,
}

#[derive(Debug, Clone, Copy, Default)]
struct Figures {
    peak_bytes: usize,
    requests: usize,
    delivered: usize,
    /// Responses of callers that read at a usual speed, and how many of them were delivered.
    reading: usize,
    reading_delivered: usize,
    aborted: usize,
    cut: usize,
    /// Time of slots beyond the time that the upstream needs to send.
    blocked_ms: u64,
}

struct Transfer {
    arrived_ms: u64,
    size: usize,
    /// Bytes that the caller reads in one step.
    speed: usize,
    started_ms: Option<u64>,
    received: usize,
    delivered: usize,
    last_read_ms: u64,
    holder: Option<HolderId>,
    /// It is passed on before it is complete.
    passed_on: bool,
    ended: bool,
}

impl Transfer {
    fn occupies_slot(&self) -> bool {
        self.started_ms.is_some() && self.received < self.size && !self.ended
    }
}

/// One response of up to `max_size` each 120 ms; 1 of 10 callers reads nothing, 2 of 10 read 100 KB/s, the
/// others 5 MB/s.
fn arrivals(seed: u64, max_size: usize) -> Vec<Transfer> {
    let mut random = fastrand::Rng::with_seed(seed);
    let arrivals = (0..RUN_MS / 120).map(|number| Transfer {
        arrived_ms: number * 120,
        size: random.usize(max_size / 48..max_size),
        speed: match random.u8(..10) {
            0 => 0,
            1 | 2 => 2_000,
            _ => 100_000,
        },
        started_ms: None,
        received: 0,
        delivered: 0,
        last_read_ms: 0,
        holder: None,
        passed_on: false,
        ended: false,
    });
    arrivals.collect()
}

fn run(way: Way, seed: u64, max_size: usize) -> Figures {
    let mut figures = Figures::default();
    let mut table = HolderTable::new(BUDGET);
    let mut transfers = arrivals(seed, max_size);
    for now_ms in (0..RUN_MS + DEADLINE_MS).step_by(STEP_MS as usize) {
        let now = MonotonicTime(1_000_000 + now_ms * 1_000);
        let mut free = SLOTS - transfers.iter().filter(|one| one.occupies_slot()).count();
        let mut cuts = Vec::new();
        let mut held = 0;
        for one in &mut transfers {
            if one.ended || now_ms < one.arrived_ms {
                continue;
            }
            if now_ms >= one.arrived_ms + DEADLINE_MS {
                one.ended = true;
            } else if one.started_ms.is_none() && free > 0 {
                free -= 1;
                one.started_ms = Some(now_ms);
                one.last_read_ms = now_ms;
                one.holder = Some(table.open(now, HeldKind::Response));
            }
            let (Some(started_ms), Some(holder), false) = (one.started_ms, one.holder, one.ended)
            else {
                continue;
            };
            if one.received < one.size {
                let wanted = UPSTREAM_STEP.min(one.size - one.received);
                let unread = one.received - one.delivered;
                let verdict = if way == Way::Backpressure {
                    HeldVerdict::Pause
                } else {
                    table.grow(now, holder, wanted)
                };
                let may_pass = matches!(way, Way::Backpressure | Way::HoldThenPass);
                let accepted = match verdict {
                    HeldVerdict::Allow => wanted,
                    HeldVerdict::Cut(cut) if way != Way::HoldWithoutCuts => {
                        cuts.push(cut.holder);
                        0
                    }
                    _ if may_pass => wanted.min(WINDOW.saturating_sub(unread)),
                    _ => 0,
                };
                if verdict != HeldVerdict::Allow && may_pass && !one.passed_on {
                    one.passed_on = true;
                    table.begin_delivery(now, holder);
                }
                one.received += accepted;
                if accepted > 0 {
                    one.last_read_ms = now_ms;
                } else if now_ms - one.last_read_ms >= ABORT_MS {
                    figures.aborted += 1;
                    one.ended = true;
                }
                let sending_ms = (one.received / UPSTREAM_STEP) as u64 * STEP_MS;
                if now_ms - started_ms > sending_ms + STEP_MS {
                    figures.blocked_ms += STEP_MS;
                }
                if one.received == one.size {
                    table.begin_delivery(now, holder);
                }
            }
            if one.passed_on || one.received == one.size {
                let read = one.speed.min(one.received - one.delivered);
                one.delivered += read;
                if way != Way::Backpressure && read > 0 {
                    table.shrink(now, holder, read);
                }
            }
            held += one.received - one.delivered;
            if one.delivered == one.size {
                one.ended = true;
                figures.delivered += 1;
                figures.reading_delivered += usize::from(one.speed > 2_000);
            }
        }
        figures.peak_bytes = figures.peak_bytes.max(held);
        for one in &mut transfers {
            if let Some(holder) = one.holder {
                if cuts.contains(&holder) {
                    one.ended = true;
                    figures.cut += 1;
                }
                if one.ended {
                    table.close(holder);
                    one.holder = None;
                }
            }
        }
    }
    figures.requests = transfers.len();
    figures.reading = transfers.iter().filter(|one| one.speed > 2_000).count();
    figures
}

/// Guards against slow callers that keep the slots of upstreams, as with backpressure alone, and
/// against slow callers whose responses fill the memory, so that those of others wait, as with holding
/// alone.
#[test]
fn holding_and_then_passing_on_serves_the_most_callers() {
    let ways = [
        Way::Hold,
        Way::HoldWithoutCuts,
        Way::Backpressure,
        Way::HoldThenPass,
    ];
    let mut lines = String::new();
    for max_size in [1_500_000, 12_000_000] {
        for seed in 1..=5 {
            let [hold, uncut, passed, both] = ways.map(|way| {
                let figures = run(way, seed, max_size);
                lines.push_str(&format!("{max_size} {seed} {way:?} {figures:?}\n"));
                figures
            });
            assert!(both.peak_bytes <= BUDGET + SLOTS * WINDOW, "{lines}");
            for other in [hold, uncut, passed] {
                assert!(both.reading_delivered >= other.reading_delivered, "{lines}");
                // A held response begins later, so that single slow callers miss their deadline.
                assert!(both.delivered * 100 >= other.delivered * 99, "{lines}");
            }
            assert!(both.blocked_ms < passed.blocked_ms, "{lines}");
        }
    }
    println!("{lines}");
}
