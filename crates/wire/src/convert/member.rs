//! Membership: heartbeats, and who holds a domain.

use dahliastile_core::id::{Edition, Fence, Incarnation};
use dahliastile_core::peer::{Heartbeat, Holder, Member, NotHolder};

use super::Convert;
use super::field::{count, name, read_list, string, write_list};
use crate::error::Result;
use crate::peer_capnp::{heartbeat, holder, member, not_holder};

impl Convert for Heartbeat {
    type Schema = heartbeat::Owned;

    fn write(&self, mut to: heartbeat::Builder<'_>) {
        write_list(
            &self.members,
            to.reborrow().init_members(count(self.members.len())),
        );
        write_list(&self.holders, to.init_holders(count(self.holders.len())));
    }

    fn read(from: heartbeat::Reader<'_>) -> Result<Self> {
        Ok(Self {
            members: read_list(from.get_members())?,
            holders: read_list(from.get_holders())?,
        })
    }
}

impl Convert for Member {
    type Schema = member::Owned;

    fn write(&self, mut to: member::Builder<'_>) {
        to.set_vm(self.vm.as_str());
        to.set_address(self.address.as_str());
        to.set_zone(self.zone.as_str());
        to.set_incarnation(self.incarnation.0);
        to.set_beat(self.beat);
        to.set_leaving(self.leaving);
        to.set_edition(self.edition.0);
    }

    fn read(from: member::Reader<'_>) -> Result<Self> {
        Ok(Self {
            vm: name("vm", from.get_vm())?,
            address: string(from.get_address())?.to_owned(),
            zone: name("zone", from.get_zone())?,
            incarnation: Incarnation(from.get_incarnation()),
            beat: from.get_beat(),
            leaving: from.get_leaving(),
            edition: Edition(from.get_edition()),
        })
    }
}

impl Convert for Holder {
    type Schema = holder::Owned;

    fn write(&self, mut to: holder::Builder<'_>) {
        to.set_domain(self.domain.as_str());
        to.set_vm(self.vm.as_str());
        to.set_fence(self.fence.0);
    }

    fn read(from: holder::Reader<'_>) -> Result<Self> {
        Ok(Self {
            domain: name("domain", from.get_domain())?,
            vm: name("vm", from.get_vm())?,
            fence: Fence(from.get_fence()),
        })
    }
}

impl Convert for NotHolder {
    type Schema = not_holder::Owned;

    fn write(&self, mut to: not_holder::Builder<'_>) {
        to.set_domain(self.domain.as_str());
        if let Some(holder) = &self.holder {
            holder.write(to.init_holder());
        }
    }

    fn read(from: not_holder::Reader<'_>) -> Result<Self> {
        let holder = from.has_holder().then(|| from.get_holder());
        Ok(Self {
            domain: name("domain", from.get_domain())?,
            holder: holder.transpose()?.map(Holder::read).transpose()?,
        })
    }
}
