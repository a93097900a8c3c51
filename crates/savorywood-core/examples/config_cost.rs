//! Cost of one change of the configuration, by number of teams: in place, and when somebody else
//! keeps the view so that it must be copied.
//!
//! `cargo run --release -p savorywood-core --example config_cost`

#[path = "../tests/support/fake_table.rs"]
mod fake_table;

use fake_table::FakeTable;
use savorywood_core::{
    DaemonEffect, EffectQueue, MemberView, OperatorCallId, OperatorReply, OperatorRequest,
    config::{ConfigEvent, ConfigOptions, ConfigState},
};
use savorywood_protocol::{
    CoreTime,
    resource::{ResourceDocument, ResourceSpec, TeamSpec, TierSpec},
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// A reducer, its table and the operator that writes through it.
struct CostBench {
    state: ConfigState,
    table: FakeTable,
    now: CoreTime,
    calls: u64,
    accepted: u64,
}

impl CostBench {
    fn new() -> Self {
        let host = "host-0".parse().expect("a name");
        let mut bench = Self {
            state: ConfigState::new(ConfigOptions::new(host, 1)),
            table: FakeTable::default(),
            now: CoreTime::default(),
            calls: 0,
            accepted: 0,
        };
        bench.step(ConfigEvent::Started);
        bench
    }

    /// Steps until nothing is left to do; the table answers at once.
    fn step(&mut self, event: ConfigEvent) -> Duration {
        self.now = self.now.after(Duration::from_millis(1));
        let members = MemberView::default();
        let mut events = vec![event];
        let mut spent = Duration::ZERO;
        while let Some(event) = events.pop() {
            let mut effects = EffectQueue::new();
            let began = Instant::now();
            self.state.step(self.now, event, &members, &mut effects);
            spent += began.elapsed();
            for effect in effects.drain() {
                match effect {
                    DaemonEffect::CallTable { call, request } => {
                        let answer = self.table.execute(&request);
                        let number = call.number;
                        events.push(ConfigEvent::Table { number, answer });
                    }
                    DaemonEffect::ReplyOperator { reply, .. } => {
                        let accepted = matches!(*reply, OperatorReply::Accepted { .. });
                        self.accepted += u64::from(accepted);
                    }
                    _ => {}
                }
            }
        }
        spent
    }

    fn apply(&mut self, name: String, spec: ResourceSpec) -> Duration {
        self.calls += 1;
        let document = ResourceDocument {
            name,
            spec,
            revision: None,
            status: None,
        };
        let request = OperatorRequest::Apply {
            document,
            expected: None,
        };
        self.step(ConfigEvent::Operator {
            call: OperatorCallId(self.calls),
            request: Box::new(request),
        })
    }

    fn apply_team(&mut self, team: usize) -> Duration {
        let spec = ResourceSpec::Team(TeamSpec {
            token_sha256: format!("{:064x}", self.calls + 1),
            tiers: vec!["storm".parse().expect("a name")],
            weight: 1,
        });
        self.apply(format!("team-{team}"), spec)
    }
}

fn resident_kilobytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let digits = line.map(|line| {
        line.chars()
            .filter(char::is_ascii_digit)
            .collect::<String>()
    });
    digits
        .and_then(|digits| digits.parse().ok())
        .unwrap_or_default()
}

const CHANGES: u32 = 50;

fn main() {
    println!(
        "| teams | change in place, µs | change with a kept view, µs | first read of all, ms | memory with table and one more reducer, MB |"
    );
    println!("|---|---|---|---|---|");
    for teams in [1_000, 6_000, 24_000] {
        let mut bench = CostBench::new();
        let tier = ResourceSpec::Tier(TierSpec {
            rank: savorywood_protocol::TierRank(0),
        });
        bench.apply("storm".into(), tier);
        for team in 0..teams {
            bench.apply_team(team);
        }
        let in_place: Duration = (0..CHANGES as usize)
            .map(|team| bench.apply_team(team))
            .sum();
        let kept: Duration = (0..CHANGES as usize)
            .map(|team| {
                let _view = Arc::clone(bench.state.view());
                bench.apply_team(team)
            })
            .sum();
        assert_eq!(bench.accepted, bench.calls, "all changes are accepted");
        let mut reader = CostBench::new();
        reader.state = ConfigState::new(ConfigOptions::new("host-1".parse().expect("a name"), 2));
        std::mem::swap(&mut reader.table, &mut bench.table);
        let read = reader.step(ConfigEvent::Started);
        assert_eq!(reader.state.view().teams.len(), teams);
        println!(
            "| {teams} | {} | {} | {} | {} |",
            in_place.as_micros() / u128::from(CHANGES),
            kept.as_micros() / u128::from(CHANGES),
            read.as_millis(),
            resident_kilobytes() / 1_024,
        );
    }
}
