//! Operators: what they write, what they are told, and whether it is true.

use crate::{
    ledger::{NodeLife, WorldRule},
    resources::{ENGINES, PLAIN_UPSTREAMS, SPARES, all_documents, mark_text, upstream_document},
    world::{Pending, SETUP_MICROS, World},
};
use rand::Rng;
use savorywood_core::{DaemonEvent, OperatorCallId, OperatorReply, OperatorRequest};
use savorywood_protocol::{
    ConfigRevision, OutcomeKind, UpstreamName,
    resource::{ResourceDocument, ResourceKey, ResourceKind},
};
use std::collections::BTreeMap;

/// The first resource is declared after this time, in microseconds.
const DECLARE_AFTER: u64 = 2_500_000;
/// A declaration that failed is repeated after this time.
const DECLARE_AGAIN: u64 = 100_000;

/// One call of an operator.
#[derive(Debug)]
pub struct OperatorRecord {
    pub to: NodeLife,
    /// Tells the change from all others; zero for declarations.
    pub mark: usize,
    pub drains: Option<UpstreamName>,
    pub reply: Option<OperatorReply>,
}

/// All calls of operators.
#[derive(Debug, Default)]
pub struct OperatorLedger {
    pub calls: BTreeMap<OperatorCallId, OperatorRecord>,
    pub undeclared: Vec<ResourceDocument>,
    /// When operators were told that an upstream is taken out.
    pub drained_at: BTreeMap<UpstreamName, u64>,
    pub newest_accepted: ConfigRevision,
}

impl World {
    pub(crate) fn declare_all(&mut self) {
        self.operators.undeclared = all_documents();
        self.operators.undeclared.reverse();
        self.declare_next(DECLARE_AFTER);
    }

    fn declare_next(&mut self, delay: u64) {
        if let Some(document) = self.operators.undeclared.last().cloned() {
            self.write(0, document, 0, None, delay);
        }
    }

    pub(crate) fn edit(&mut self, node: usize) {
        let spare = SPARES[self.rng.random_range(0..SPARES.len())];
        let mark = self.operators.calls.len();
        let document = upstream_document(spare, mark, true);
        let expected = self
            .revision_at(node, spare)
            .filter(|_| self.rng.random_bool(0.5));
        self.write(node, document, mark, expected, 0);
    }

    pub(crate) fn race(&mut self, first: usize, second: usize) {
        for node in [first, second] {
            let mark = self.operators.calls.len();
            let document = upstream_document(SPARES[0], mark, true);
            let expected = self.revision_at(first, SPARES[0]);
            self.write(node, document, mark, expected, 0);
        }
    }

    /// The first upstream of each service can be taken out. It is never put back.
    pub(crate) fn drain(&mut self, node: usize, plain: bool) {
        let name = if plain {
            PLAIN_UPSTREAMS[0]
        } else {
            ENGINES[0]
        };
        let mark = self.operators.calls.len();
        let document = upstream_document(name, mark, true);
        self.write(node, document, mark, None, 0);
    }

    fn revision_at(&self, node: usize, upstream: &str) -> Option<ConfigRevision> {
        let core = self.nodes[node].core.as_ref()?;
        let key = ResourceKey {
            kind: ResourceKind::Upstream,
            name: upstream.to_owned(),
        };
        core.config().documents.get(&key)?.revision
    }

    fn write(
        &mut self,
        node: usize,
        document: ResourceDocument,
        mark: usize,
        expected: Option<ConfigRevision>,
        delay: u64,
    ) {
        let call = OperatorCallId(self.operators.calls.len() as u64);
        let to = self.nodes[node].at;
        let drainable = [ENGINES[0], PLAIN_UPSTREAMS[0]].contains(&document.name.as_str());
        let drains = (drainable && mark > 0).then(|| document.name.parse().unwrap());
        let record = OperatorRecord {
            to,
            mark,
            drains,
            reply: None,
        };
        self.operators.calls.insert(call, record);
        let request = Box::new(OperatorRequest::Apply { document, expected });
        let event = DaemonEvent::Operator { call, request };
        self.later(delay, Pending::Deliver { to, event });
    }

    pub(crate) fn reply_operator(&mut self, call: OperatorCallId, reply: OperatorReply) {
        let Some(record) = self.operators.calls.get_mut(&call) else {
            return;
        };
        if record.reply.is_some() {
            let detail = format!("operator {call:?} was answered twice");
            return self.ledger.breach(WorldRule::OneAnswer, detail);
        }
        record.reply = Some(reply.clone());
        let (mark, drains) = (record.mark, record.drains.clone());
        let accepted = matches!(reply, OperatorReply::Accepted { .. });
        if mark == 0 {
            if accepted {
                self.operators.undeclared.pop();
            }
            return self.declare_next(if accepted { 0 } else { DECLARE_AGAIN });
        }
        let OperatorReply::Accepted { revision } = reply else {
            return;
        };
        self.figures.accepted += 1;
        let newest = &mut self.operators.newest_accepted;
        *newest = (*newest).max(revision);
        if !self.is_committed(mark) {
            let detail = format!("change {mark} was accepted and is not in the table");
            self.ledger.breach(WorldRule::AcceptedIsCommitted, detail);
        }
        if let Some(upstream) = drains {
            let now = self.now;
            self.operators.drained_at.entry(upstream).or_insert(now);
        }
    }

    fn is_committed(&self, mark: usize) -> bool {
        let text = mark_text(mark);
        let writes = self.table.history.iter().flat_map(|commit| &commit.writes);
        let mut values = writes.filter_map(|write| write.value.as_deref());
        values.any(|value| value.contains(&text))
    }

    /// What was accepted is in force everywhere, and all daemons serve.
    pub(crate) fn check_in_force(&mut self, newest: ConfigRevision) {
        assert!(self.now > SETUP_MICROS && self.operators.undeclared.is_empty());
        let mut behind = Vec::new();
        for node in self.nodes.iter().filter(|node| !node.stopping) {
            let Some(core) = &node.core else {
                continue;
            };
            let revision = core.config().revision;
            let ready = core.readiness(node.clocks(self.now));
            if revision < newest || ready.is_err() {
                behind.push(format!("{:?}: {revision} of {newest}, {ready:?}", node.at));
            }
        }
        for detail in behind {
            self.ledger.breach(WorldRule::AcceptedInForce, detail);
        }
    }

    /// Operators were told the truth, and were told something.
    pub(crate) fn check_operators(&mut self) {
        let records = self
            .operators
            .calls
            .values()
            .filter(|record| record.mark > 0);
        let mut breaches = Vec::new();
        for record in records {
            let committed = self.is_committed(record.mark);
            let denied = match &record.reply {
                Some(OperatorReply::Refused(refusal)) => refusal.outcome == OutcomeKind::NotRun,
                Some(OperatorReply::Accepted { .. }) | None => false,
                Some(_) => true,
            };
            if committed && denied {
                let detail = format!("change {} took effect: {:?}", record.mark, record.reply);
                breaches.push((WorldRule::AcceptedIsCommitted, detail));
            }
            if record.reply.is_none() && self.is_alive(record.to) {
                let detail = format!("operator's change {} was never answered", record.mark);
                breaches.push((WorldRule::NoneLost, detail));
            }
        }
        for (rule, detail) in breaches {
            self.ledger.breach(rule, detail);
        }
    }
}
