//! The entities that the configuration in force names. References stay good for the life of the node; a row
//! that the configuration no longer names is marked as not listed.

use std::sync::Arc;

use crate::config::{self, Document, ServiceKind};
use crate::entity::{Adapter, Caller, Domain, Server, Service, Zone};
use crate::id;
use crate::names::Table;
use crate::time::Span;

/// A caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerRow {
    /// Its name.
    pub(crate) name: id::Caller,
    /// The tenant it is counted for.
    pub(crate) tenant: id::Tenant,
    /// Its traffic class.
    pub(crate) class: id::Class,
    /// Its share of a queue against other callers.
    pub(crate) weight: u32,
    /// Requests a second on this VM, or none for no limit.
    pub(crate) rate: Option<u32>,
    /// Whether the configuration in force names it.
    pub(crate) listed: bool,
}

/// A service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRow {
    /// Its name.
    pub(crate) name: id::Service,
    /// Its kind.
    pub(crate) kind: ServiceKind,
    /// Whether its servers refuse orders with an old fencing number.
    pub(crate) fenced: bool,
    /// The weight of load stalls in placement.
    pub(crate) stall_weight: f64,
    /// The weight of batch efficiency in placement.
    pub(crate) batch_weight: f64,
    /// The weight store of its adapters.
    pub(crate) store: Option<id::Store>,
    /// How long one load takes at full speed.
    pub(crate) load: Span,
    /// How long the base model takes to load.
    pub(crate) base_load: Span,
    /// Whether its work is not idempotent unless a rule says otherwise.
    pub(crate) non_idempotent: bool,
    /// The timeout of requests that name none.
    pub(crate) timeout: Span,
    /// Requests that may wait on this VM.
    pub(crate) queue: u32,
    /// Its servers that are listed.
    pub(crate) servers: Vec<Server>,
    /// Whether the configuration in force names it.
    pub(crate) listed: bool,
}

/// A backend server.
#[derive(Clone, Debug)]
pub(crate) struct ServerRow {
    /// Its name.
    pub(crate) name: id::Server,
    /// Its service.
    pub(crate) service: Service,
    /// Its availability zone.
    pub(crate) zone: Zone,
    /// Its address, as host and port.
    pub(crate) address: Arc<str>,
    /// Its control domain.
    pub(crate) domain: Option<Domain>,
    /// Whether it is leaving and gets no new work.
    pub(crate) leaving: bool,
    /// Whether the configuration in force names it.
    pub(crate) listed: bool,
}

/// One adapter at one version.
#[derive(Clone, Debug)]
pub(crate) struct AdapterRow {
    /// Its name and version.
    pub(crate) name: id::Adapter,
    /// The service whose engines run it.
    pub(crate) service: Service,
    /// Whether the configuration in force names it.
    pub(crate) listed: bool,
}

/// A control domain.
#[derive(Clone, Debug)]
pub(crate) struct DomainRow {
    /// Its name.
    pub(crate) name: id::Domain,
    /// Its servers that are listed.
    pub(crate) servers: Vec<Server>,
}

/// The entities that the configuration names.
#[derive(Clone, Debug, Default)]
pub(crate) struct Catalog {
    /// Availability zones.
    pub(crate) zones: Table<Zone, id::Zone, id::Zone>,
    /// Callers.
    pub(crate) callers: Table<Caller, id::Caller, CallerRow>,
    /// Services.
    pub(crate) services: Table<Service, id::Service, ServiceRow>,
    /// Backend servers.
    pub(crate) servers: Table<Server, id::Server, ServerRow>,
    /// Adapters at their versions.
    pub(crate) adapters: Table<Adapter, id::Adapter, AdapterRow>,
    /// Control domains.
    pub(crate) domains: Table<Domain, id::Domain, DomainRow>,
    /// Names of adapters that are listed at any version, with the number of their versions.
    pub(crate) names: rustc_hash::FxHashMap<String, u32>,
}

impl Catalog {
    /// Brings the tables in line with a document that has been checked.
    pub(crate) fn apply(&mut self, document: &Document) {
        self.unlist();
        self.apply_callers(document);
        self.apply_services(document);
        self.apply_servers(document);
        self.apply_adapters(document);
    }

    /// The reference of a zone, new where the name is new.
    pub(crate) fn zone(&mut self, name: &id::Zone) -> Zone {
        self.zones.intern(name.clone(), || name.clone())
    }

    fn unlist(&mut self) {
        self.callers
            .iter_mut()
            .for_each(|(_, row)| row.listed = false);
        self.adapters
            .iter_mut()
            .for_each(|(_, row)| row.listed = false);
        self.servers
            .iter_mut()
            .for_each(|(_, row)| row.listed = false);
        self.domains
            .iter_mut()
            .for_each(|(_, row)| row.servers.clear());
        for (_, row) in self.services.iter_mut() {
            row.listed = false;
            row.servers.clear();
        }
        self.names.values_mut().for_each(|versions| *versions = 0);
    }

    fn apply_callers(&mut self, document: &Document) {
        for caller in &document.callers {
            let row = || CallerRow {
                name: caller.name.clone(),
                tenant: caller.tenant.clone(),
                class: caller.class.clone(),
                weight: caller.weight,
                rate: caller.rate,
                listed: true,
            };
            let entity = self.callers.intern(caller.name.clone(), row);
            *self.callers.get_mut(entity) = row();
        }
    }

    fn apply_services(&mut self, document: &Document) {
        for service in &document.services {
            let row = || ServiceRow {
                name: service.name.clone(),
                kind: service.kind,
                fenced: service.fenced,
                stall_weight: service.stall_weight,
                batch_weight: service.batch_weight,
                store: service.store.clone(),
                load: Span::from_millis(service.load_ms),
                base_load: Span::from_millis(service.base_load_ms),
                non_idempotent: service.non_idempotent,
                timeout: Span::from_millis(service.timeout_ms),
                queue: service.queue,
                servers: Vec::new(),
                listed: true,
            };
            let entity = self.services.intern(service.name.clone(), row);
            *self.services.get_mut(entity) = row();
        }
    }

    fn apply_servers(&mut self, document: &Document) {
        for server in &document.servers {
            let Some(service) = self.services.find(&server.service) else {
                debug_assert!(false, "{} names a service that is not there", server.name);
                continue;
            };
            let zone = self.zone(&server.zone);
            let domain = server.domain.as_ref().map(|name| self.domain(name));
            let entity = self.server(server, service, zone);
            let row = self.servers.get_mut(entity);
            row.service = service;
            row.zone = zone;
            row.domain = domain;
            row.leaving = server.leaving;
            row.listed = true;
            if *row.address != *server.address {
                row.address = server.address.as_str().into();
            }
            self.services.get_mut(service).servers.push(entity);
            if let Some(domain) = domain {
                self.domains.get_mut(domain).servers.push(entity);
            }
        }
    }

    /// The reference of a server, new where its name is new.
    fn server(&mut self, server: &config::Server, service: Service, zone: Zone) -> Server {
        let known = self.servers.find(&server.name);
        known.unwrap_or_else(|| {
            let row = || ServerRow {
                name: server.name.clone(),
                service,
                zone,
                address: server.address.as_str().into(),
                domain: None,
                leaving: false,
                listed: false,
            };
            self.servers.intern(server.name.clone(), row)
        })
    }

    fn domain(&mut self, name: &id::Domain) -> Domain {
        self.domains.intern(name.clone(), || DomainRow {
            name: name.clone(),
            servers: Vec::new(),
        })
    }

    fn apply_adapters(&mut self, document: &Document) {
        let mut text = String::new();
        for adapter in &document.adapters {
            let Some(service) = self.services.find(&adapter.service) else {
                debug_assert!(false, "{} names a service that is not there", adapter.name);
                continue;
            };
            for version in &adapter.versions {
                text.clear();
                text.extend([adapter.name.as_str(), "@", version]);
                let Some(entity) = self.adapter(&text, service) else {
                    debug_assert!(false, "{text} is not a name");
                    continue;
                };
                let row = self.adapters.get_mut(entity);
                row.service = service;
                row.listed = true;
            }
            match self.names.get_mut(&adapter.name) {
                Some(versions) => *versions += 1,
                None => drop(self.names.insert(adapter.name.clone(), 1)),
            }
        }
        self.names.retain(|_, versions| *versions > 0);
    }

    /// The reference of an adapter, new where its name is new. One that is known costs a look-up and no more: there
    /// are tens of thousands, of which an edit changes a few.
    fn adapter(&mut self, text: &str, service: Service) -> Option<Adapter> {
        if let Some(known) = self.adapters.find(text) {
            return Some(known);
        }
        let name: id::Adapter = text.parse().ok()?;
        let row = || AdapterRow {
            name: name.clone(),
            service,
            listed: false,
        };
        Some(self.adapters.intern(name.clone(), row))
    }
}
