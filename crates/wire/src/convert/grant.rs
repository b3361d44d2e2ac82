//! Residency grants: what grantees ask, and what the holder of a domain tells them.

use dahliastile_core::event::{Report, Resident};
use dahliastile_core::id::{Boot, Fence, Grant};
use dahliastile_core::peer::{Ask, Expected, Granted, Held, Load, Update, Use, Want};
use dahliastile_core::time::Span;

use super::Convert;
use super::field::{count, missing, name, read_list, read_numbers, write_list, write_numbers};
use crate::error::Result;
use crate::peer_capnp::{
    ask, expected, granted, held, load, report, resident, update, use_ as usage, want,
};

impl Convert for Ask {
    type Schema = ask::Owned;

    fn write(&self, mut to: ask::Builder<'_>) {
        to.set_domain(self.domain.as_str());
        to.set_nonce(self.nonce);
        to.set_fence(self.fence.0);
        to.set_seen(self.seen);
        to.set_full(self.full);
        write_list(&self.held, to.reborrow().init_held(count(self.held.len())));
        write_numbers(
            self.released.iter().map(|grant| grant.0),
            to.reborrow().init_released(count(self.released.len())),
        );
        write_list(
            &self.wants,
            to.reborrow().init_wants(count(self.wants.len())),
        );
        write_list(&self.uses, to.init_uses(count(self.uses.len())));
    }

    fn read(from: ask::Reader<'_>) -> Result<Self> {
        Ok(Self {
            domain: name("domain", from.get_domain())?,
            nonce: from.get_nonce(),
            fence: Fence(from.get_fence()),
            seen: from.get_seen(),
            full: from.get_full(),
            held: read_list(from.get_held())?,
            released: read_numbers(from.get_released(), Grant)?,
            wants: read_list(from.get_wants())?,
            uses: read_list(from.get_uses())?,
        })
    }
}

impl Convert for Held {
    type Schema = held::Owned;

    fn write(&self, mut to: held::Builder<'_>) {
        to.set_server(self.server.as_str());
        to.set_adapter(self.adapter.as_str());
        to.set_in_flight(self.in_flight);
    }

    fn read(from: held::Reader<'_>) -> Result<Self> {
        Ok(Self {
            server: name("server", from.get_server())?,
            adapter: name("adapter", from.get_adapter())?,
            in_flight: from.get_in_flight(),
        })
    }
}

impl Convert for Want {
    type Schema = want::Owned;

    fn write(&self, mut to: want::Builder<'_>) {
        to.set_adapter(self.adapter.as_str());
        to.set_waiting(self.waiting);
        to.set_weight(self.weight);
        to.set_left(self.left.0);
        to.set_waited(self.waited.0);
    }

    fn read(from: want::Reader<'_>) -> Result<Self> {
        Ok(Self {
            adapter: name("adapter", from.get_adapter())?,
            waiting: from.get_waiting(),
            weight: from.get_weight(),
            left: Span(from.get_left()),
            waited: Span(from.get_waited()),
        })
    }
}

impl Convert for Use {
    type Schema = usage::Owned;

    fn write(&self, mut to: usage::Builder<'_>) {
        to.set_adapter(self.adapter.as_str());
        to.set_arrived(self.arrived);
        to.set_in_flight(self.in_flight);
    }

    fn read(from: usage::Reader<'_>) -> Result<Self> {
        Ok(Self {
            adapter: name("adapter", from.get_adapter())?,
            arrived: from.get_arrived(),
            in_flight: from.get_in_flight(),
        })
    }
}

impl Convert for Update {
    type Schema = update::Owned;

    fn write(&self, mut to: update::Builder<'_>) {
        to.set_domain(self.domain.as_str());
        to.set_fence(self.fence.0);
        to.set_seq(self.seq);
        to.set_nonce(self.nonce);
        write_list(
            &self.grants,
            to.reborrow().init_grants(count(self.grants.len())),
        );
        write_numbers(
            self.revokes.iter().map(|grant| grant.0),
            to.reborrow().init_revokes(count(self.revokes.len())),
        );
        write_list(
            &self.loads,
            to.reborrow().init_loads(count(self.loads.len())),
        );
        write_list(&self.expected, to.init_expected(count(self.expected.len())));
    }

    fn read(from: update::Reader<'_>) -> Result<Self> {
        Ok(Self {
            domain: name("domain", from.get_domain())?,
            fence: Fence(from.get_fence()),
            seq: from.get_seq(),
            nonce: from.get_nonce(),
            grants: read_list(from.get_grants())?,
            revokes: read_numbers(from.get_revokes(), Grant)?,
            loads: read_list(from.get_loads())?,
            expected: read_list(from.get_expected())?,
        })
    }
}

impl Convert for Granted {
    type Schema = granted::Owned;

    fn write(&self, mut to: granted::Builder<'_>) {
        to.set_grant(self.grant.0);
        to.set_server(self.server.as_str());
        to.set_adapter(self.adapter.as_str());
    }

    fn read(from: granted::Reader<'_>) -> Result<Self> {
        Ok(Self {
            grant: Grant(from.get_grant()),
            server: name("server", from.get_server())?,
            adapter: name("adapter", from.get_adapter())?,
        })
    }
}

impl Convert for Load {
    type Schema = load::Owned;

    fn write(&self, mut to: load::Builder<'_>) {
        to.set_server(self.server.as_str());
        self.report.write(to.init_report());
    }

    fn read(from: load::Reader<'_>) -> Result<Self> {
        if !from.has_report() {
            return missing("report");
        }
        Ok(Self {
            server: name("server", from.get_server())?,
            report: Report::read(from.get_report()?)?,
        })
    }
}

impl Convert for Report {
    type Schema = report::Owned;

    fn write(&self, mut to: report::Builder<'_>) {
        to.set_boot(self.boot.0);
        to.set_ready(self.ready);
        to.set_running(self.running);
        to.set_waiting(self.waiting);
        to.set_batch(self.batch);
        to.set_step(self.step.0);
        to.set_slots(self.slots);
        to.set_age(self.age.0);
        write_list(
            &self.residents,
            to.init_residents(count(self.residents.len())),
        );
    }

    fn read(from: report::Reader<'_>) -> Result<Self> {
        Ok(Self {
            boot: Boot(from.get_boot()),
            ready: from.get_ready(),
            running: from.get_running(),
            waiting: from.get_waiting(),
            batch: from.get_batch(),
            step: Span(from.get_step()),
            slots: from.get_slots(),
            age: Span(from.get_age()),
            residents: read_list(from.get_residents())?,
        })
    }
}

impl Convert for Resident {
    type Schema = resident::Owned;

    fn write(&self, mut to: resident::Builder<'_>) {
        to.set_adapter(self.adapter.as_str());
        to.set_in_flight(self.in_flight);
    }

    fn read(from: resident::Reader<'_>) -> Result<Self> {
        Ok(Self {
            adapter: name("adapter", from.get_adapter())?,
            in_flight: from.get_in_flight(),
        })
    }
}

impl Convert for Expected {
    type Schema = expected::Owned;

    fn write(&self, mut to: expected::Builder<'_>) {
        to.set_adapter(self.adapter.as_str());
        to.set_wait(self.wait.0);
    }

    fn read(from: expected::Reader<'_>) -> Result<Self> {
        Ok(Self {
            adapter: name("adapter", from.get_adapter())?,
            wait: Span(from.get_wait()),
        })
    }
}
