//! Orders, with or without a check of their fencing number.

use crate::http::{self, Refusal, Refused};
use tiny_http::Request;
use wire::{
    FencingToken,
    border::upstream::{Order, OrderAction},
};

/// An order that was carried out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExecutedOrder {
    /// Its fencing number.
    pub fence: FencingToken,
    /// What it asked for.
    pub action: OrderAction,
    /// What it was about.
    pub target: Option<String>,
}

impl ExecutedOrder {
    fn of(order: Order) -> Self {
        let fence = FencingToken { epoch: order.fence_epoch, sequence: order.fence_sequence };
        Self { fence, action: order.action, target: order.target }
    }
}

/// The highest fencing number seen, and the orders carried out.
#[derive(Debug, Default)]
pub(crate) struct OrderLog {
    highest: Option<FencingToken>,
    executed: Vec<ExecutedOrder>,
}

impl OrderLog {
    pub(crate) fn executed(&self) -> &[ExecutedOrder] {
        &self.executed
    }

    /// Refuses a number below the highest one.
    pub(crate) fn check(
        &mut self,
        fence: Option<FencingToken>,
        checks: bool,
    ) -> Result<(), Refused> {
        if checks && fence < self.highest {
            let message = format!("a fencing number of at least {:?} is needed", self.highest);
            return Err(Refused(409, Refusal::new("stale_fence", message)));
        }
        self.highest = self.highest.max(fence);
        Ok(())
    }

    /// Carries an order out, once for each fencing number.
    pub(crate) fn execute(&mut self, order: Order, checks: bool) -> Result<ExecutedOrder, Refused> {
        let order = ExecutedOrder::of(order);
        self.check(Some(order.fence), checks)?;
        let same = self.executed.iter().find(|done| done.fence == order.fence);
        match same {
            Some(done) if *done == order => return Ok(order),
            Some(_) if checks => {
                let message = "the fencing number was used for another order";
                return Err(Refused(409, Refusal::new("fence_reused", message)));
            }
            _ => self.executed.push(order.clone()),
        }
        Ok(order)
    }
}

/// The fencing number in the header `toucansill-fence`, as `epoch.sequence`.
pub(crate) fn fence_of(req: &Request) -> Result<Option<FencingToken>, Refused> {
    let Some(text) = http::header(req, "toucansill-fence") else {
        return Ok(None);
    };
    let parsed = text.split_once('.').and_then(|(epoch, sequence)| {
        Some(FencingToken { epoch: epoch.parse().ok()?, sequence: sequence.parse().ok()? })
    });
    let message = format!("toucansill-fence is not epoch.sequence: {text}");
    parsed.map(Some).ok_or_else(|| Refused(400, Refusal::new("bad_header", message)))
}
