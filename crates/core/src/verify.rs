//! Walks the tables and reports every broken invariant in readable text.

use crate::{Node, claim, domain, fleet, sync, traffic};

/// Every invariant that does not hold.
pub(crate) fn run(node: &Node) -> Vec<String> {
    let mut broken = Vec::new();
    fleet::verify(node, &mut broken);
    sync::verify(node, &mut broken);
    domain::verify(node, &mut broken);
    claim::verify(node, &mut broken);
    traffic::verify(node, &mut broken);
    broken
}
