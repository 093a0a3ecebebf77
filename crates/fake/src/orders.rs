//! Execution of orders, with or without a check of their fencing tokens.

use crate::http::{self, HttpRefusal, Refusal};
use tiny_http::Request;
use wire::{
    FencingToken,
    border::upstream::{Order, OrderAction},
};

/// An order that was executed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExecutedOrder {
    /// Its fencing token.
    pub fence: FencingToken,
    /// Requested action.
    pub action: OrderAction,
    /// Object of the action, such as the name of a model.
    pub target: Option<String>,
}

impl ExecutedOrder {
    fn new(order: Order) -> Self {
        let fence = FencingToken { epoch: order.fence_epoch, sequence: order.fence_sequence };
        Self { fence, action: order.action, target: order.target }
    }
}

/// The highest fencing token received, and the executed orders.
#[derive(Debug, Default)]
pub(crate) struct OrderLog {
    highest_fence: Option<FencingToken>,
    executed: Vec<ExecutedOrder>,
}

impl OrderLog {
    pub(crate) fn executed(&self) -> &[ExecutedOrder] {
        &self.executed
    }

    /// Records a fencing token. If `is_enforced`, refuses one below the highest received so far.
    pub(crate) fn check_fence(
        &mut self,
        fence: Option<FencingToken>,
        is_enforced: bool,
    ) -> Result<(), HttpRefusal> {
        if is_enforced && fence < self.highest_fence {
            let message = format!("the fencing token is older than {:?}", self.highest_fence);
            return Err(HttpRefusal(409, Refusal::new("stale_fence", message)));
        }
        self.highest_fence = self.highest_fence.max(fence);
        Ok(())
    }

    /// Executes an order, once for each fencing token: an equal order with the same token
    /// succeeds without being executed again. If `is_enforced`, refuses another order with the
    /// same token.
    pub(crate) fn execute(
        &mut self,
        order: Order,
        is_enforced: bool,
    ) -> Result<ExecutedOrder, HttpRefusal> {
        let order = ExecutedOrder::new(order);
        self.check_fence(Some(order.fence), is_enforced)?;
        let previous = self.executed.iter().find(|executed| executed.fence == order.fence);
        match previous {
            Some(executed) if *executed == order => return Ok(order),
            Some(_) if is_enforced => {
                let message = "the fencing token was used for another order";
                return Err(HttpRefusal(409, Refusal::new("fence_reused", message)));
            }
            _ => self.executed.push(order.clone()),
        }
        Ok(order)
    }
}

/// Fencing token in the header `toucansill-fence`, written as `epoch.sequence`.
pub(crate) fn fence_header(req: &Request) -> Result<Option<FencingToken>, HttpRefusal> {
    let Some(text) = http::header(req, "toucansill-fence") else {
        return Ok(None);
    };
    let parsed = text.split_once('.').and_then(|(epoch, sequence)| {
        Some(FencingToken { epoch: epoch.parse().ok()?, sequence: sequence.parse().ok()? })
    });
    let message = format!("toucansill-fence is not epoch.sequence: {text}");
    parsed.map(Some).ok_or_else(|| HttpRefusal(400, Refusal::new("bad_header", message)))
}
