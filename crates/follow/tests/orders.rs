//! Tickets of orders that daemons forward to the leader.

use follow::{OrderTicket, OrderTickets};
use std::time::{Duration, Instant};

const VALID_FOR: Duration = Duration::from_millis(750);

/// Guards against an order that a link holds up and that is carried out after its caller has gone on.
#[test]
fn an_order_that_arrives_after_its_ticket_has_expired_is_not_carried_out() {
    let now = Instant::now();
    let mut tickets = OrderTickets::new(3);
    let (first, second) = (tickets.issue(now, VALID_FOR), tickets.issue(now, VALID_FOR));
    assert!(tickets.redeem(now + VALID_FOR - Duration::from_millis(1), first));
    assert!(!tickets.redeem(now + VALID_FOR, second));
}

#[test]
fn a_ticket_is_valid_once_and_for_its_own_term() {
    let now = Instant::now();
    let mut former = OrderTickets::new(3);
    let mut tickets = OrderTickets::new(4);
    let ticket = tickets.issue(now, VALID_FOR);
    assert!(!tickets.redeem(now, former.issue(now, VALID_FOR)));
    assert!(!tickets.redeem(now, OrderTicket { term: 4, number: 99 }));
    assert!(tickets.redeem(now, ticket));
    assert!(!tickets.redeem(now, ticket));
}
