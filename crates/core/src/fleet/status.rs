//! The state of the fleet as an operator sees it.

use crate::Node;
use crate::event::Report;
use crate::id::Edition;
use crate::operator::{DomainStatus, ServerStatus, Status, VmStatus};
use crate::{sync, traffic};

use super::member::Row;

/// The state of the fleet as this VM sees it.
pub(super) fn report(node: &Node) -> Status {
    let edition = node.sync.edition;
    let fleet = &node.fleet;
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
        domains: domains(node),
        servers: servers(node),
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

fn domains(node: &Node) -> Vec<DomainStatus> {
    let named = node
        .catalog
        .domains
        .iter()
        .filter(|(_, row)| !row.servers.is_empty());
    named
        .map(|(_, row)| {
            let holder = node.fleet.holders.get(&row.name).map(|news| &news.holder);
            DomainStatus {
                domain: row.name.clone(),
                holder: holder.map(|holder| holder.vm.clone()),
                fence: holder.map(|holder| holder.fence).unwrap_or_default(),
            }
        })
        .collect()
}

fn servers(node: &Node) -> Vec<ServerStatus> {
    let listed = node.catalog.servers.iter().filter(|(_, row)| row.listed);
    listed
        .map(|(server, row)| {
            let load = node.domains.load(server);
            let state = match load {
                _ if row.leaving => "leaving",
                Some(report) if report.ready => "ready",
                Some(_) => "starting",
                None if row.domain.is_none() => "ready",
                None => "lost",
            };
            let residents = |report: &Report| {
                let names = report
                    .residents
                    .iter()
                    .map(|resident| resident.adapter.clone());
                names.collect()
            };
            ServerStatus {
                server: row.name.clone(),
                state: state.to_owned(),
                residents: load.map(residents).unwrap_or_default(),
                running: load.map_or(0, |report| report.running),
                waiting: load.map_or(0, |report| report.waiting),
            }
        })
        .collect()
}
