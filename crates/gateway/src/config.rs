//! The operator's configuration: routes, services, limits; and the index that finds a request's route.

pub(crate) mod startup_queue;

use std::sync::Arc;

use dahliastile_core::id::Service;
use dahliastile_core::time::Span;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::account::{Account, Table};

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run any number of times.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A stream that runs at most once.
    Stream,
    /// A stream that may go on at another server after the last event that reached the caller.
    Resumable,
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub const fn idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// One target of a route with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Its share, in proportion to the weights of the others.
    pub weight: u32,
}

/// Where requests of one host and path prefix go, and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request is kept waiting.
    pub timeout: Span,
    /// The time within which an answer (its first event) is of full use.
    pub objective: Span,
    /// The longest pause between two events of a stream that is still in time; zero where none is told.
    pub pause: Span,
    /// How long callers wait for the first event of a stream; the timeout for other kinds.
    pub caller_timeout: Span,
    /// The rank, 0 first.
    pub priority: u8,
    /// Whether its requests need no key.
    pub public: bool,
    /// Servers on which one request may run at most.
    pub attempts: u32,
    /// Where requests go, at least one target.
    pub targets: Vec<Target>,
}

/// A base model of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Its name.
    pub name: Arc<str>,
    /// The size of its weights in megabytes.
    pub size_mb: f64,
    /// The size of each of its adapters in megabytes.
    pub adapter_mb: f64,
    /// How long its weights take from the weight store.
    pub load: Span,
}

/// What the engines of a service hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests in one batch.
    pub batch: u32,
    /// Tokens that the memory holds.
    pub tokens: u64,
    /// Memory for weights and adapters in megabytes.
    pub memory_mb: f64,
    /// Adapters that one engine holds at most.
    pub places: usize,
    /// Loads of base models from the weight store a second, over all engines.
    pub loads_per_s: f64,
    /// The base models.
    pub models: Vec<Model>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Its name.
    pub name: Service,
    /// What its engines hold; none for a plain service.
    pub engine: Option<EngineSpec>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpLimits {
    /// The longest head in bytes.
    pub head: usize,
    /// The longest body in bytes.
    pub body: usize,
    /// How long a head may take.
    pub head_time: Span,
    /// How long a connection may be idle.
    pub idle_time: Span,
}

impl Default for HttpLimits {
    /// What holds before the first configuration is known: the usual figures of HTTP servers.
    fn default() -> Self {
        Self {
            head: 16_384,
            body: 4_194_304,
            head_time: Span::from_secs(3),
            idle_time: Span::from_secs(15),
        }
    }
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Its version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services.
    pub services: Vec<Arc<ServiceConfig>>,
    /// What callers may send.
    pub limits: HttpLimits,
    /// The client accounts; none where requests need no key.
    pub accounts: Option<Vec<Arc<Account>>>,
}

/// Finds a request's route: the first in the order of prefixes from the longest to the shortest that matches.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// The routes of each host, longest prefix first.
    hosts: FxHashMap<String, Vec<Arc<Route>>>,
    /// The services by name.
    services: FxHashMap<Service, Arc<ServiceConfig>>,
    /// The client accounts by key.
    accounts: Table,
}

impl RouteIndex {
    /// The index of a configuration.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let mut hosts: FxHashMap<String, Vec<Arc<Route>>> = FxHashMap::default();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = config.services.iter();
        let services = services.map(|s| (s.name.clone(), s.clone())).collect();
        Self {
            hosts,
            services,
            accounts: Table::new(config),
        }
    }

    /// The client accounts.
    #[must_use]
    pub fn accounts(&self) -> &Table {
        &self.accounts
    }

    /// The route of a host and path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceConfig>> {
        self.services.get(name)
    }

    /// The services that have engines.
    pub fn engines(&self) -> impl Iterator<Item = &Arc<ServiceConfig>> {
        self.services.values().filter(|s| s.engine.is_some())
    }
}
