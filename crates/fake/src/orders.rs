//! Orders, with or without a check of their fencing number.

use crate::http::{self, Refusal, Refused};
use serde::{Deserialize, Serialize};
use tiny_http::Request;
use wire::{Fence, ModelId};

/// Body of an order.
#[derive(Debug, Deserialize)]
pub(crate) struct OrderBody {
    #[serde(default)]
    pub(crate) fence: Option<Fence>,
    #[serde(flatten)]
    pub(crate) order: Order,
}

/// What an order asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// Loads a model from the weight store.
    LoadModel {
        /// The model.
        model: ModelId,
    },
    /// Loads an adapter of a model.
    LoadAdapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: String,
    },
    /// Loads a version of a model.
    LoadVersion {
        /// The model.
        model: ModelId,
        /// The version.
        version: String,
    },
    /// Changes what the engine does.
    ChangeRole {
        /// The role.
        role: String,
    },
}

/// An order that was carried out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Executed {
    /// Its fencing number.
    pub fence: Option<Fence>,
    /// What it asked for.
    pub order: Order,
}

/// The highest fencing number seen, and the orders carried out.
#[derive(Debug, Default)]
pub(crate) struct OrderLog {
    highest: Option<Fence>,
    executed: Vec<Executed>,
}

impl OrderLog {
    pub(crate) fn executed(&self) -> &[Executed] {
        &self.executed
    }

    /// Refuses a number below the highest one.
    pub(crate) fn check(&mut self, fence: Option<Fence>, checks: bool) -> Result<(), Refused> {
        if checks && fence < self.highest {
            let message = format!("a fencing number of at least {:?} is needed", self.highest);
            return Err(Refused(409, Refusal::new("stale_fence", message)));
        }
        self.highest = self.highest.max(fence);
        Ok(())
    }

    /// Carries an order out, once for each fencing number.
    pub(crate) fn execute(&mut self, body: OrderBody, checks: bool) -> Result<Order, Refused> {
        let OrderBody { fence, order } = body;
        self.check(fence, checks)?;
        let same = self.executed.iter().find(|done| fence.is_some() && done.fence == fence);
        match same {
            Some(done) if done.order == order => return Ok(order),
            Some(_) if checks => {
                let message = "the fencing number was used for another order";
                return Err(Refused(409, Refusal::new("fence_reused", message)));
            }
            _ => self.executed.push(Executed { fence, order: order.clone() }),
        }
        Ok(order)
    }
}

/// The fencing number in the header `toucansill-fence`, as `epoch.sequence`.
pub(crate) fn fence_of(req: &Request) -> Result<Option<Fence>, Refused> {
    let Some(text) = http::header(req, "toucansill-fence") else {
        return Ok(None);
    };
    let parsed = text.split_once('.').and_then(|(epoch, sequence)| {
        Some(Fence { epoch: epoch.parse().ok()?, sequence: sequence.parse().ok()? })
    });
    let message = format!("toucansill-fence is not epoch.sequence: {text}");
    parsed.map(Some).ok_or_else(|| Refused(400, Refusal::new("bad_header", message)))
}
