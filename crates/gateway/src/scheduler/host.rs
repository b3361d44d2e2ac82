//! What reaches the schedulers that run on this VM.

use std::sync::Arc;

use dahliastile_core::id::{Server, Service, Vm};

use crate::cluster::snapshot::{Backend, Version};
use crate::effect::{Effects, OrderId};
use crate::event::{OrderOutcome, Report, RequestId};
use crate::message::{PlacementRequest, Progress, Running};
use crate::node::Gateway;

impl Gateway {
    /// A server is listed or describes itself anew.
    pub(crate) fn update_scheduler_server(&mut self, server: &Server, backend: &Arc<Backend>) {
        let Some(scheduler) = self.schedulers.get_mut(&backend.service) else {
            return;
        };
        let known = scheduler.engines.contains_key(server);
        scheduler.update_server(server, backend);
        if !known {
            self.notices
                .inform_scheduler(self.now, &self.settings.vm, scheduler, server);
        }
    }

    /// A server is gone.
    pub(crate) fn remove_scheduler_server(&mut self, server: &Server, service: &Service) {
        if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.server_gone(server);
        }
    }

    /// A newer version of an adapter is named.
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

    /// A VM is gone.
    pub(crate) fn remove_scheduler_vm(&mut self, vm: &Vm) {
        for scheduler in self.schedulers.values_mut() {
            scheduler.vm_gone(vm);
        }
    }

    /// A VM wants a place for a request. Where this VM does not schedule the service, the VM that asks will hear of
    /// the one that does, and ask there.
    pub(crate) fn handle_placement_request(
        &mut self,
        service: &Service,
        from: &Vm,
        want: PlacementRequest,
    ) {
        if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.enqueue(self.now, from, want);
        }
    }

    /// A VM says how a request goes.
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

    /// A VM says all that runs and waits there.
    pub(crate) fn handle_resync(
        &mut self,
        service: &Service,
        from: &Vm,
        running: &[Running],
        wants: Vec<PlacementRequest>,
    ) {
        if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.resync_vm(self.now, from, running, wants);
        }
    }

    /// An order came back.
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

    /// A server's report came, or it gave none.
    pub(crate) fn handle_report(&mut self, server: &Server, report: Option<&Report>) {
        let Some(service) = self.service_of(server) else {
            return;
        };
        if let Some(scheduler) = self.schedulers.get_mut(&service) {
            scheduler.handle_report(self.now, server, report);
        }
    }
}
