//! One organisation at this daemon.

use crate::{
    admission::{Priority, TicketId},
    bucket::Bucket,
    usage::Meter,
};
use std::{collections::VecDeque, time::Instant};
use wire::Tokens;

/// State of one organisation.
#[derive(Debug)]
pub(crate) struct Account {
    /// Relative part under contention, at least 1.
    pub(crate) weight: f64,
    /// Quota of the whole region in tokens a second.
    pub(crate) quota: Option<Tokens>,
    /// Local part of the quota.
    pub(crate) bucket: Option<Bucket>,
    /// Tokens served, divided by the weight. The organisation with the lowest
    /// value is served next.
    pub(crate) virtual_time: f64,
    /// Tokens waiting.
    pub(crate) waiting_tokens: Tokens,
    /// Tokens asked for here.
    pub(crate) demand: Meter,
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
            demand: Meter::new(now),
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

    /// Whether the local part of the quota allows another request.
    pub(crate) fn is_within_quota(&self) -> bool {
        self.bucket.as_ref().is_none_or(Bucket::is_open)
    }

    pub(crate) fn charge(&mut self, tokens: Tokens) {
        self.virtual_time += tokens as f64 / self.weight;
        if let Some(bucket) = &mut self.bucket {
            bucket.take(tokens);
        }
    }

    /// Replaces an estimate that was charged by the use that was measured.
    pub(crate) fn correct(&mut self, charged: Tokens, used: Tokens) {
        self.virtual_time += (used as f64 - charged as f64) / self.weight;
        let Some(bucket) = &mut self.bucket else { return };
        if used > charged {
            bucket.take(used - charged);
        } else {
            bucket.give_back(charged - used);
        }
    }
}
