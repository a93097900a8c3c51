//! Callers: arrivals, refusals and returns, deadlines.

use super::{NETWORK_TIME, RunControl, RunWorld};
use crate::{
    agenda::WorldEvent,
    central::{CentralEntry, CentralOrder},
    deployment::FIRST_TOKEN_OBJECTIVE,
    task::{TaskState, parts_of, request_id},
    workload::CallerTask,
};
use rand::Rng;
use savorywood_core::{
    DaemonEffect, DispatchCommand, PromptShape, QueuedRequest, scheduler::SchedulerEvent,
};
use savorywood_protocol::{MonotonicTime, RefusalCode, RequestId, RequestRefusal, TierRank};
use std::time::Duration;

/// Times that a refused caller comes back.
const MAX_RETURNS: u32 = 2;
/// Seconds after which a caller refused by the central queue comes back.
const CENTRAL_RETURN: f64 = 10.0;
/// Share of callers who use another daemon than the one they are steered to.
const ASTRAY_SHARE: f64 = 0.2;
/// Seconds after a deadline until which a scheduler may still act on it.
const DEADLINE_GRACE: f64 = 0.05;

impl RunWorld {
    /// Daemon of a request: prompts of a group mostly meet at one.
    pub(super) fn steer(&mut self, task: &CallerTask, index: usize) -> usize {
        let daemons = self.shape.daemons;
        if self.rng.random::<f64>() < ASTRAY_SHARE {
            return index % daemons;
        }
        let hash = u64::from(task.shape.group).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (hash >> 40) as usize % daemons
    }

    pub(super) fn arrive(&mut self, now: f64, index: usize) {
        let route = self.shape.routes[self.tasks[index].task.route];
        let record = &mut self.tasks[index];
        record.arrived_at = now;
        record.deadline_at = now + route.deadline();
        record.first_at = None;
        record.state = TaskState::Waiting;
        let (entry, daemon, rank) = (record.entry, record.daemon, record.rank);
        let grace = record.deadline_at + DEADLINE_GRACE;
        self.agenda
            .add(grace, WorldEvent::Deadline { task: index, entry });
        self.waiting[daemon][rank] += 1;
        self.tally.decisions += 1;
        match &mut self.control {
            RunControl::Schedulers(_) => {
                let request = Box::new(self.queued_request(now, index));
                self.tell(now, daemon, SchedulerEvent::Arrived(request));
            }
            RunControl::Direct(router) => {
                let engine = router.place(daemon, &mut self.rng);
                self.send(now, index, engine, 0);
            }
            RunControl::Central(queue) => {
                let record = &self.tasks[index];
                let waiting = CentralEntry {
                    task: index,
                    entry,
                    rank,
                    shape: record.task.shape,
                    arrived_at: now,
                    deadline_at: record.deadline_at,
                };
                queue.push(waiting, &self.engines);
                self.serve_central(now);
            }
        }
    }

    fn queued_request(&self, now: f64, index: usize) -> QueuedRequest {
        let record = &self.tasks[index];
        let route = &self.shape.routes[record.task.route];
        let arrived_at = MonotonicTime(crate::agenda::micros(now));
        QueuedRequest {
            request: request_id(index, record.entry),
            service: self.names.service.clone(),
            route: route.path.to_owned(),
            team: self.names.teams[record.task.team].clone(),
            weight: 1,
            rank: TierRank(route.rank),
            idempotent: true,
            arrived_at,
            deadline_at: arrived_at + Duration::from_secs_f64(route.deadline()),
            prompt: PromptShape {
                tokens: record.task.shape.prompt,
                prefix_hashes: record.task.shape.all_hashes(),
                max_output_tokens: None,
            },
        }
    }

    pub(super) fn serve_central(&mut self, now: f64) {
        let scenario = self.scenario;
        while let RunControl::Central(queue) = &mut self.control
            && let Some(order) = queue.next(now, &self.engines, &scenario)
        {
            let (CentralOrder::Send { entry, .. } | CentralOrder::Refuse { entry }) = order;
            let record = self.tasks[entry.task];
            // Its caller has given up meanwhile.
            if record.state != TaskState::Waiting || record.entry != entry.entry {
                continue;
            }
            match order {
                CentralOrder::Send { entry, engine } => {
                    // Nothing is delayed here, so the engine knows of it before the next choice.
                    self.mark_sent(now, entry.task, engine, 0);
                    let key = parts_of(request_id(entry.task, entry.entry), 0);
                    self.reach(now, engine, key);
                }
                CentralOrder::Refuse { entry } => self.refused(now, entry.task, CENTRAL_RETURN),
            }
        }
    }

    fn mark_sent(&mut self, now: f64, index: usize, engine: usize, attempt: u32) {
        let record = &mut self.tasks[index];
        record.sent_at = now;
        if record.state == TaskState::Waiting {
            self.waiting[record.daemon][record.rank] -= 1;
        }
        record.state = TaskState::Sent { engine, attempt };
    }

    fn send(&mut self, now: f64, index: usize, engine: usize, attempt: u32) {
        self.mark_sent(now, index, engine, attempt);
        let key = parts_of(request_id(index, self.tasks[index].entry), attempt);
        let event = WorldEvent::Reach { engine, key };
        self.agenda.add(now + NETWORK_TIME, event);
    }

    /// Does what a scheduler wants.
    pub(super) fn execute(&mut self, now: f64, daemon: usize, effect: DaemonEffect) {
        match effect {
            DaemonEffect::Dispatch(order) => self.dispatch(now, &order),
            DaemonEffect::CancelAttempt { request, attempt } => {
                let key = parts_of(request, attempt.0);
                if let TaskState::Sent { engine, .. } = self.tasks[key.task].state {
                    self.drop_sequence(now, engine, key);
                }
            }
            DaemonEffect::Refuse { request, refusal } => {
                self.answer_refusal(now, daemon, request, &refusal);
            }
            DaemonEffect::SetTimer { key, at } => {
                let at = at.0 as f64 / 1e6;
                let number = key.number;
                self.agenda.add(at, WorldEvent::Timer { daemon, number });
            }
            DaemonEffect::InvariantViolated(_) => self.tally.noticed_breaches += 1,
            _ => {}
        }
    }

    fn dispatch(&mut self, now: f64, order: &DispatchCommand) {
        let key = parts_of(order.request, order.attempt.0);
        let mut names = self.names.upstreams.iter();
        let engine = names.position(|name| *name == order.upstream);
        if let Some(engine) = engine {
            self.send(now, key.task, engine, key.attempt);
        }
    }

    fn answer_refusal(
        &mut self,
        now: f64,
        daemon: usize,
        request: RequestId,
        refusal: &RequestRefusal,
    ) {
        let key = parts_of(request, 0);
        let rank = self.tasks[key.task].rank;
        if let TaskState::Sent { .. } = self.tasks[key.task].state {
            self.end_late(key.task);
            return;
        }
        let for_load = matches!(
            refusal.code,
            RefusalCode::Overloaded | RefusalCode::TierShed
        );
        let lower = self.waiting[daemon].iter().skip(rank + 1);
        if for_load && lower.sum::<u32>() > 0 {
            self.tally.order_breaches += 1;
        }
        let after = refusal.retry_after.unwrap_or(Duration::from_secs(1));
        self.refused(now, key.task, after.as_secs_f64());
    }

    /// A caller was refused: it comes back when it was told to, or gives up.
    fn refused(&mut self, now: f64, index: usize, after: f64) {
        self.tally.refusals += 1;
        let record = &mut self.tasks[index];
        if record.state == TaskState::Waiting {
            self.waiting[record.daemon][record.rank] -= 1;
        }
        if record.entry < MAX_RETURNS {
            record.entry += 1;
            record.state = TaskState::Away;
            self.agenda
                .add(now + after, WorldEvent::Arrive { task: index });
            return;
        }
        record.state = TaskState::Ended;
        if record.counted {
            self.tally.tiers[record.rank].shed += 1;
        }
        self.open -= 1;
    }

    /// A caller gives up on an answer that is not whole.
    pub(super) fn deadline(&mut self, now: f64, index: usize, entry: u32) {
        let record = self.tasks[index];
        if record.entry != entry {
            return;
        }
        match record.state {
            TaskState::Away | TaskState::Ended => {}
            TaskState::Waiting => {
                self.waiting[record.daemon][record.rank] -= 1;
                self.end_late(index);
                let request = request_id(index, entry);
                self.tell(now, record.daemon, SchedulerEvent::CallerLeft { request });
            }
            TaskState::Sent { engine, attempt } => {
                let key = parts_of(request_id(index, entry), attempt);
                self.drop_sequence(now, engine, key);
                self.end_late(index);
                let request = request_id(index, entry);
                self.tell(now, record.daemon, SchedulerEvent::CallerLeft { request });
            }
        }
    }

    fn end_late(&mut self, index: usize) {
        let record = &mut self.tasks[index];
        record.state = TaskState::Ended;
        if record.counted {
            self.tally.tiers[record.rank].late += 1;
        }
        self.open -= 1;
    }

    /// An answer is whole at its caller.
    pub(super) fn end_whole(&mut self, now: f64, index: usize) {
        let record = &mut self.tasks[index];
        record.state = TaskState::Ended;
        self.open -= 1;
        if !record.counted {
            return;
        }
        if now > record.deadline_at {
            self.tally.tiers[record.rank].late += 1;
            return;
        }
        let first = record.first_at.unwrap_or(now) - record.arrived_at;
        let prompt_start = first <= FIRST_TOKEN_OBJECTIVE;
        self.tally.teams[record.task.team].in_time += 1;
        self.tally
            .count_good(record.rank, &record.task.shape, prompt_start);
    }

    pub(super) fn end_broken(&mut self, index: usize) {
        let record = &mut self.tasks[index];
        record.state = TaskState::Ended;
        if record.counted {
            self.tally.tiers[record.rank].broken += 1;
        }
        self.open -= 1;
    }
}
