//! Walks the tables and reports every broken invariant in readable text.

use crate::Node;

/// Every invariant that does not hold.
pub(crate) fn run(node: &Node) -> Vec<String> {
    let mut broken = Vec::new();
    crate::fleet::verify(node, &mut broken);
    crate::claim::verify(node, &mut broken);
    crate::traffic::verify(node, &mut broken);
    broken
}
