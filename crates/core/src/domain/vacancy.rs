//! Since when the holder of a domain is not there, and how long each VM then leaves the domain to others.

use super::assign;
use super::seat::{self, Known};
use crate::Node;
use crate::entity::Domain;
use crate::id;
use crate::time::Span;

/// Parts of a lease's time to live by which VMs that are not to hold a free domain look at it one after the other.
const STEPS: u64 = 8;

/// How a domain's holder stands, as far as this VM knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    /// It is live, or nobody is known.
    #[default]
    Live,
    /// It is not live, but its start may still go on.
    Silent,
    /// Its start is certainly over.
    Gone,
}

/// Notes which holders are not there any more. From then on the domain counts as free, and the VM that is to hold it
/// looks at its key at once; others leave it time.
pub(crate) fn watch(node: &mut Node) {
    let now = node.now;
    let changed: Vec<(Domain, Standing)> = node
        .domains
        .seats
        .iter()
        .map(|(domain, seat)| (*domain, seat.standing, standing(node, seat.holder.as_ref())))
        .filter(|(_, before, after)| before != after)
        .map(|(domain, _, after)| (domain, after))
        .collect();
    for (domain, standing) in changed {
        let seat = node.domains.seat(domain);
        if seat.standing == Standing::Live {
            seat.empty = now;
        }
        if standing > seat.standing {
            seat.next = now;
        }
        seat.standing = standing;
    }
}

fn standing(node: &Node, holder: Option<&Known>) -> Standing {
    let Some(known) = holder.filter(|known| known.vm != node.settings.vm) else {
        return Standing::Live;
    };
    let over = |incarnation| seat::is_gone(node, &known.vm, incarnation);
    match known.incarnation {
        Some(incarnation) if over(incarnation) => Standing::Gone,
        _ if !node.fleet.is_live(&known.vm) => Standing::Silent,
        _ => Standing::Live,
    }
}

/// How long this VM leaves a free domain to the VM that is to hold it. The others come one after the other, however
/// many they are, so that the reads of a free domain's key do not grow with the fleet.
pub(crate) fn patience(node: &Node, name: &id::Domain) -> Span {
    let ttl = Span::from_millis(node.settings.tuning.lease_ttl_ms);
    let places = STEPS.max(node.fleet.live().count() as u64);
    let place = assign::score(name, &node.settings.vm) % places;
    Span(ttl.0 / 2 + ttl.0 / STEPS * place)
}
