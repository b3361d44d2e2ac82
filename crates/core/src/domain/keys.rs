//! The keys of control domains in the key-value service.

use crate::Node;
use crate::entity::Domain;

/// The key whose creation revision is the fencing number; it goes away with the holder's lease.
pub(crate) fn lease(node: &Node, domain: Domain) -> String {
    let name = &node.catalog.domains.get(domain).name;
    format!("{}/lease/{name}", node.settings.prefix)
}

/// The key of the domain's record, which stays.
pub(crate) fn record(node: &Node, domain: Domain) -> String {
    let name = &node.catalog.domains.get(domain).name;
    format!("{}/domain/{name}", node.settings.prefix)
}
