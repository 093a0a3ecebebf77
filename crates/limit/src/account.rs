//! State of one organisation at this daemon: its weight, quota, demand and queues.

use crate::{
    admission::{Priority, TicketId},
    bucket::Bucket,
    demand::DemandMeter,
};
use std::{collections::VecDeque, time::Instant};
use wire::Tokens;

/// State of one organisation.
#[derive(Debug)]
pub(crate) struct Account {
    /// Weight of its share of the capacity under contention, at least 1.
    pub(crate) weight: f64,
    /// Quota for the whole region in tokens per second; `None` without a quota.
    pub(crate) quota: Option<Tokens>,
    /// Token bucket of this daemon's share of the quota; `None` without a quota.
    pub(crate) bucket: Option<Bucket>,
    /// Tokens charged, divided by the weight. Among organisations with waiting requests, the one
    /// with the lowest value is served next.
    pub(crate) virtual_time: f64,
    /// Sum of the costs of its waiting requests, in tokens.
    pub(crate) waiting_tokens: Tokens,
    /// Tokens requested at this daemon, admitted or not.
    pub(crate) demand: DemandMeter,
    queues: [VecDeque<TicketId>; 2],
}

impl Account {
    pub(crate) fn new(now: Instant, virtual_time: f64) -> Self {
        Self {
            weight: 1.0,
            quota: None,
            bucket: None,
            virtual_time,
            waiting_tokens: 0,
            demand: DemandMeter::new(now),
            queues: Default::default(),
        }
    }

    pub(crate) fn queue(&self, priority: Priority) -> &VecDeque<TicketId> {
        &self.queues[priority.index()]
    }

    pub(crate) fn queue_mut(&mut self, priority: Priority) -> &mut VecDeque<TicketId> {
        &mut self.queues[priority.index()]
    }

    pub(crate) fn is_waiting(&self) -> bool {
        self.queues.iter().any(|q| !q.is_empty())
    }

    /// Whether this daemon's share of the quota allows another request.
    pub(crate) fn is_within_quota(&self) -> bool {
        self.bucket.as_ref().is_none_or(Bucket::has_balance)
    }

    /// Charges tokens to the virtual time and the quota.
    pub(crate) fn charge(&mut self, tokens: Tokens) {
        self.virtual_time += tokens as f64 / self.weight;
        if let Some(bucket) = &mut self.bucket {
            bucket.withdraw(tokens);
        }
    }

    /// Replaces the estimate that was charged by the measured usage.
    pub(crate) fn settle(&mut self, charged: Tokens, used: Tokens) {
        self.virtual_time += (used as f64 - charged as f64) / self.weight;
        let Some(bucket) = &mut self.bucket else { return };
        if used > charged {
            bucket.withdraw(used - charged);
        } else {
            bucket.refund(charged - used);
        }
    }
}
