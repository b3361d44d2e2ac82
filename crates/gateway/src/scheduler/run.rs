//! Runs the schedulers on this VM when they are due, and carries out their decisions.

use dahliastile_core::id::Service;
use dahliastile_core::metric::Figure;

use crate::effect::{Effect, Effects};
use crate::message::Message;
use crate::metrics;
use crate::node::Gateway;
use crate::scheduler::{Decision, Scheduler};
use crate::timer::Timer;

impl Gateway {
    /// Runs the schedulers on this VM that are due, and carries out their decisions.
    pub(crate) fn run_schedulers(&mut self, out: &mut Effects) {
        let services: Vec<Service> = self.schedulers.keys().cloned().collect();
        for service in services {
            // After most events no scheduler is due, so the VMs are counted only if one is.
            let Some(next_run) = self.schedulers.get(&service).map(Scheduler::next_run) else {
                continue;
            };
            if self.now < next_run {
                self.timers.set_once(next_run, Timer::Scheduler(service));
                continue;
            }
            let vm_count = self.peers().count();
            let Some(scheduler) = self.schedulers.get_mut(&service) else {
                continue;
            };
            self.scheduler_ran = true;
            scheduler.set_vm_count(vm_count);
            scheduler.set_allows_withdrawals(self.index.allows_withdrawals(&service));
            let mut decisions = Vec::new();
            scheduler.run(self.now, &mut decisions);
            let (fence, next_run) = (scheduler.fence(), scheduler.next_run());
            for (label, count) in scheduler.take_contention() {
                metrics::add_for_service(out, Figure::Contention, &service, count, label);
            }
            for decision in decisions {
                self.apply_decision(&service, fence, decision, out);
            }
            self.timers.set_once(next_run, Timer::Scheduler(service));
        }
    }

    fn apply_decision(
        &mut self,
        service: &Service,
        fence: u64,
        decision: Decision,
        out: &mut Effects,
    ) {
        let me = self.settings.vm.clone();
        match decision {
            Decision::Place(vm, request, server, version) if vm == me => {
                self.handle_placement(request, &server, version, out);
            }
            Decision::Place(vm, request, server, version) => {
                self.send(
                    &vm,
                    Message::Placement(service.clone(), fence, request, server, version),
                    out,
                );
            }
            Decision::Refuse(vm, request, after) if vm == me => {
                self.handle_placement_refused(request, after, out);
            }
            Decision::Refuse(vm, request, after) => {
                self.send(
                    &vm,
                    Message::PlacementRefused(service.clone(), fence, request, after),
                    out,
                );
            }
            Decision::Withdraw(vm, request, server) if vm == me => {
                self.handle_withdrawal(request, &server, out);
            }
            Decision::Withdraw(vm, request, server) => {
                let message = Message::Withdraw(service.clone(), fence, request, server);
                self.send(&vm, message, out);
            }
            Decision::Order(id, server, address, order) => {
                metrics::count_for_service(
                    out,
                    Figure::Loads,
                    service,
                    if order.load { "load" } else { "unload" },
                );
                out.push(Effect::Order(id, server, address, order));
            }
            Decision::QueryReport(server, address) => out.push(Effect::Report(server, address)),
            Decision::Residents(residents) => {
                self.record_residents(service, residents.clone());
                self.broadcast_residents(service, fence, residents, out);
            }
            Decision::Heartbeat => {
                self.broadcast(&Message::SchedulerHeartbeat(service.clone(), fence), out);
            }
            Decision::Log(record) => out.push(Effect::Log(record)),
        }
    }

    /// Sends a message to all other VMs.
    pub(crate) fn broadcast(&self, message: &Message, out: &mut Effects) {
        for vm in self.peers() {
            self.send(vm, message.clone(), out);
        }
    }
}
