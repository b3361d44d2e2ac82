//! Passes entries of the key-value service, messages of other VMs, and answers of the engines to the schedulers that
//! run on this VM.

use std::sync::Arc;

use dahliastile_core::id::{Server, Service, Vm};

use crate::cluster::snapshot::{Backend, Version};
use crate::effect::{Effects, OrderId};
use crate::event::{OrderOutcome, Report, RequestId};
use crate::message::{BoundPlacement, PlacementDetail, PlacementRequest, Progress, Running};
use crate::node::Gateway;

impl Gateway {
    /// Passes a server's entry to the scheduler of its service.
    pub(crate) fn update_scheduler_server(&mut self, server: &Server, backend: &Arc<Backend>) {
        let Some(scheduler) = self.schedulers.get_mut(&backend.service) else {
            return;
        };
        let is_known = scheduler.engines.contains_key(server);
        scheduler.update_server(server, backend);
        if !is_known {
            self.notices
                .inform_scheduler(self.now, &self.settings.vm, scheduler, server);
        }
    }

    /// Removes a server from the scheduler of its service.
    pub(crate) fn remove_scheduler_server(&mut self, server: &Server, service: &Service) {
        if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.remove_server(server);
        }
    }

    /// Passes a newly published version of an adapter to all schedulers.
    pub(crate) fn update_adapter_version(
        &mut self,
        model: &Arc<str>,
        adapter: &Arc<str>,
        version: Version,
    ) {
        for scheduler in self.schedulers.values_mut() {
            scheduler.update_adapter_version(model, adapter, version, Some(self.now));
        }
    }

    /// Removes a VM that is gone from all schedulers.
    pub(crate) fn remove_scheduler_vm(&mut self, vm: &Vm) {
        for scheduler in self.schedulers.values_mut() {
            scheduler.remove_vm(vm);
        }
    }

    /// Handles a VM's request for a placement. If this VM does not schedule the service, nothing is answered:
    /// the sender will learn which VM does, and repeat its request there.
    pub(crate) fn handle_placement_request(
        &mut self,
        service: &Service,
        from: &Vm,
        placement: PlacementRequest,
        detail: PlacementDetail,
    ) {
        if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.enqueue(self.now, from, placement, detail);
        }
    }

    /// Handles a VM's request for a placement at some builds.
    pub(crate) fn handle_bound_placement(
        &mut self,
        service: &Service,
        from: &Vm,
        bound: BoundPlacement,
    ) {
        let detail = PlacementDetail {
            binding: bound.binding,
            ..bound.detail
        };
        self.handle_placement_request(service, from, bound.placement, detail);
    }

    /// Handles a VM's report on the progress of a request.
    pub(crate) fn handle_progress(
        &mut self,
        service: &Service,
        from: &Vm,
        request: RequestId,
        progress: Progress,
    ) {
        if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.update_progress(self.now, from, request, progress);
        }
    }

    /// Handles a VM's list of all of its running and waiting requests.
    pub(crate) fn handle_resync(
        &mut self,
        service: &Service,
        from: &Vm,
        running: &[Running],
        waiting: Vec<PlacementRequest>,
    ) {
        if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.resync_vm(self.now, from, running, waiting);
        }
    }

    /// Handles the outcome of an order.
    pub(crate) fn handle_order_outcome(
        &mut self,
        order: OrderId,
        outcome: OrderOutcome,
        out: &mut Effects,
    ) {
        let now = self.now;
        let owner = self
            .schedulers
            .iter_mut()
            .find(|(_, scheduler)| scheduler.owns(order));
        let Some((service, scheduler)) = owner else {
            return;
        };
        let service = service.clone();
        if scheduler.handle_order_outcome(now, order, outcome) {
            self.handle_fenced_order(&service, out);
        }
    }

    /// Handles a server's report; `None` if the server did not answer.
    pub(crate) fn handle_report(
        &mut self,
        server: &Server,
        report: Option<&Report>,
        out: &mut Effects,
    ) {
        match report {
            Some(_) => self.path.record_heard(self.now),
            None => self.look_at_server(server, out),
        }
        let Some(service) = self.service_of(server) else {
            return;
        };
        if let Some(scheduler) = self.schedulers.get_mut(&service) {
            scheduler.handle_report(self.now, server, report);
        }
    }
}
