//! Limits on what is taken in.

use crate::Node;
use crate::entity::{Caller, Rule, Service};
use crate::error::{Answer, Kind};
use crate::time::Span;

/// Says whether one more request of a caller may be taken in.
pub(crate) fn admit(
    node: &mut Node,
    caller: Caller,
    service: Service,
    rule: Option<Rule>,
) -> Result<(), Answer> {
    let _ = (caller, rule);
    let most = node
        .settings
        .tuning
        .queue
        .min(u64::from(node.catalog.services.get(service).queue));
    if u64::from(node.traffic.waiting) < most {
        return Ok(());
    }
    let answer = Answer::new(Kind::QueueFull, "too many requests wait on this VM");
    Err(answer.after(Span::from_millis(500)))
}

/// Says whether one more retry is within the service's budget.
pub(crate) fn retry(node: &Node, service: Service) -> bool {
    let _ = (node, service);
    true
}
