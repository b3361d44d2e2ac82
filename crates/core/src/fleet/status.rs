//! The state of the fleet as an operator sees it.

use crate::Node;
use crate::id::Edition;
use crate::operator::{Status, VmStatus};
use crate::{domain, sync, traffic};

use super::member::Row;

/// The state of the fleet as this VM sees it.
pub(super) fn report(node: &Node) -> Status {
    let edition = node.sync.edition;
    let fleet = &node.fleet;
    let (domains, servers) = domain::status(node);
    Status {
        vm: node.settings.vm.to_string(),
        ready: edition > Edition(0) && !fleet.draining,
        edition,
        everywhere: fleet
            .rows
            .values()
            .filter(|row| row.live())
            .all(|row| row.member.edition >= edition),
        platform: sync::reachable(node) && !node.claims.platform_lost(),
        vms: vms(node),
        domains,
        servers,
        in_progress: traffic::in_progress(node),
    }
}

fn vms(node: &Node) -> Vec<VmStatus> {
    let own = VmStatus {
        vm: node.settings.vm.clone(),
        zone: node.settings.zone.clone(),
        incarnation: node.settings.incarnation,
        state: if node.fleet.draining {
            "leaving"
        } else {
            "live"
        }
        .to_owned(),
        edition: node.sync.edition,
    };
    let others = node
        .fleet
        .rows
        .values()
        .filter(|row| row.heard && !row.buried);
    let mut vms: Vec<VmStatus> = others.map(vm).chain([own]).collect();
    vms.sort_by(|a, b| a.vm.cmp(&b.vm));
    vms
}

fn vm(row: &Row) -> VmStatus {
    let state = match row {
        row if row.suspected() => "suspected",
        row if row.live() => "live",
        _ => "leaving",
    };
    VmStatus {
        vm: row.member.vm.clone(),
        zone: row.member.zone.clone(),
        incarnation: row.member.incarnation,
        state: state.to_owned(),
        edition: row.member.edition,
    }
}
