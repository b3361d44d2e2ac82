//! The operator's configuration (routes, services, client accounts, HTTP limits), and the index that finds a request's
//! route, service and account.

pub(crate) mod startup_queue;

use std::sync::Arc;

use dahliastile_core::id::Service;
use dahliastile_core::time::Span;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use crate::account::{Account, AccountIndex};

/// The kind of a route's requests: whether one may be retried after it may have run, and whether its answer is a
/// stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run any number of times; no stream.
    Safe,
    /// May run at most once; no stream.
    Unsafe,
    /// A stream; the request may run at most once.
    Stream,
    /// A stream that can be continued at another server after the last event that reached the caller.
    Resumable,
}

impl RouteKind {
    /// Returns whether a request that may have run can be retried.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Returns whether the answer is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A service that a route sends requests to, and its share of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: Service,
    /// Its share of the route's requests, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// A route: the services that requests with one host and path prefix go to, and how they are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The value of the requests' `Host` header, compared without case.
    pub host: String,
    /// The path prefix of the requests; it begins and ends with a slash.
    pub prefix: String,
    /// The kind of the requests.
    pub kind: RouteKind,
    /// The deadline of a request, counted from its arrival.
    pub timeout: Span,
    /// The time within which the first chunk of the answer is wanted, counted from the request's arrival.
    pub objective: Span,
    /// The longest pause between two chunks of a stream after which the next chunk does not count as late; zero if the
    /// operator sets none.
    pub pause: Span,
    /// How long callers wait for the first chunk of a stream; equal to `timeout` for other kinds.
    pub caller_timeout: Span,
    /// The priority of requests whose account has none; requests with a lower number are served first.
    pub priority: u8,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// Limit on the number of servers at which one request may run.
    pub attempts: u32,
    /// The services that the requests go to; at least one.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns whether a request that `executions` servers may have run before its present server may be withdrawn from
    /// that one and run on a further server. Requests without a stream are not withdrawn, since a VM does not observe
    /// the start of their answers.
    #[must_use]
    pub fn is_withdrawable(&self, executions: u32) -> bool {
        self.kind.is_stream() && self.kind.is_idempotent() && executions + 2 <= self.attempts
    }
}

/// A base model of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The name of the base model.
    pub name: Arc<str>,
    /// Size of its weights in megabytes.
    pub size_mb: f64,
    /// Size of each of its adapters in megabytes.
    pub adapter_mb: f64,
    /// Time to load its weights from the weight store.
    pub load: Span,
}

/// The capacity of the engines of a service, which are all alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Number of requests that run in one batch.
    pub batch: u32,
    /// Capacity of the KV cache in tokens, for running requests and the prefix cache.
    pub tokens: u64,
    /// Memory for the weights of base models and adapters in megabytes.
    pub memory_mb: f64,
    /// Number of adapter slots: limit on the adapters resident at one engine.
    pub adapter_slots: usize,
    /// Loads of base models that the weight store serves per second, over all engines.
    pub loads_per_s: f64,
    /// The base models.
    pub models: Vec<Model>,
}

/// A service that requests are sent to. Its servers are either inference engines or plain servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// The name of the service.
    pub name: Service,
    /// The capacity of its engines; none for a plain service.
    pub engine: Option<EngineSpec>,
}

/// Limits on callers' HTTP requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpLimits {
    /// Limit on the size of a request's head in bytes.
    pub head: usize,
    /// Limit on the size of a request's body in bytes.
    pub body: usize,
    /// Limit on the time from the first to the last byte of a request's head.
    pub head_time: Span,
    /// Limit on the time that a connection is kept open without a request.
    pub idle_time: Span,
}

impl Default for HttpLimits {
    /// The limits that apply before the first configuration is known: common defaults of HTTP servers.
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
    /// The version of the configuration; a higher version replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services.
    pub services: Vec<Arc<ServiceConfig>>,
    /// Limits on callers' HTTP requests and connections.
    pub limits: HttpLimits,
    /// The client accounts; none where requests need no API key.
    pub accounts: Option<Vec<Arc<Account>>>,
}

/// Lookup tables for the routes, services and accounts of a configuration. If several routes match a request, the route
/// with the longest path prefix applies.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// The routes by host in lower case, longest prefix first.
    hosts: FxHashMap<String, Vec<Arc<Route>>>,
    /// The services by name.
    services: FxHashMap<Service, Arc<ServiceConfig>>,
    /// The services of which requests may be withdrawn from a server.
    withdrawable: FxHashSet<Service>,
    /// The client accounts by API key.
    accounts: AccountIndex,
    /// The priority of the most urgent route to each service.
    first_priorities: FxHashMap<Service, u8>,
}

impl RouteIndex {
    /// Builds the index of a configuration.
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
        let withdrawable = config.services.iter().map(|service| &service.name);
        let withdrawable = withdrawable.filter(|service| allows_withdrawals(config, service));
        let mut first_priorities: FxHashMap<Service, u8> = FxHashMap::default();
        for route in &config.routes {
            for target in &route.targets {
                let first = first_priorities.entry(target.service.clone());
                let first = first.or_insert(route.priority);
                *first = route.priority.min(*first);
            }
        }
        Self {
            first_priorities,
            hosts,
            services,
            withdrawable: withdrawable.cloned().collect(),
            accounts: AccountIndex::new(config),
        }
    }

    /// Returns how many levels a priority is below that of the most urgent route to a service.
    #[must_use]
    pub fn levels_below_first(&self, service: &Service, priority: u8) -> u8 {
        let first = self.first_priorities.get(service).copied();
        priority.saturating_sub(first.unwrap_or_default())
    }

    /// Returns the client accounts by API key.
    #[must_use]
    pub fn accounts(&self) -> &AccountIndex {
        &self.accounts
    }

    /// Returns the route of requests with this host and path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceConfig>> {
        self.services.get(name)
    }

    /// Returns whether requests of a service may be withdrawn from a server: all of its answers are streams, whose
    /// start a VM observes, and some of them may run on a second server.
    #[must_use]
    pub fn allows_withdrawals(&self, service: &Service) -> bool {
        self.withdrawable.contains(service)
    }

    /// Returns the services whose servers are engines.
    pub fn engines(&self) -> impl Iterator<Item = &Arc<ServiceConfig>> {
        self.services.values().filter(|s| s.engine.is_some())
    }
}

/// Computes [`RouteIndex::allows_withdrawals`] for a service.
fn allows_withdrawals(config: &Config, service: &Service) -> bool {
    let targets = |route: &&Arc<Route>| route.targets.iter().any(|t| t.service == *service);
    let routes = || config.routes.iter().filter(targets);
    routes().all(|route| route.kind.is_stream()) && routes().any(|route| route.is_withdrawable(0))
}
