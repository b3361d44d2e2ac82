//! What a gateway is told at its start, and the figures behind its decisions.

use std::net::SocketAddr;

use dahliastile_core::id::{Incarnation, Vm, Zone};
use dahliastile_core::time::Span;

use crate::feature::{DisabledFeatures, Feature};

/// What one entry VM is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub vm: Vm,
    /// Its availability zone.
    pub zone: Zone,
    /// Where other VMs reach it.
    pub address: SocketAddr,
    /// Its start, larger than that of every earlier start.
    pub incarnation: Incarnation,
    /// How much it can do for others: the smaller of its share of a core in hundredths and its link in Mbit/s, since what a
    /// scheduler uses of both is alike at the larger deployments (5 hundredths and 5 Mbit/s).
    pub strength: u32,
    /// The seed of its random numbers.
    pub seed: u64,
    /// Addresses of some other VMs, possibly stale.
    pub seeds: Vec<SocketAddr>,
    /// The figures.
    pub tuning: Tuning,
    /// The features that are switched off.
    pub without: DisabledFeatures,
}

impl Settings {
    /// Whether a feature is in use.
    #[must_use]
    pub fn uses(&self, feature: Feature) -> bool {
        self.without.uses(feature)
    }
}

/// The figures behind the decisions.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// How long the lease of this VM's own entry lives without a renewal: longer than three renewals that fail, so that an outage of
    /// seconds ends none.
    pub entry_lease: Span,
    /// The time between renewals of it: three fit into the lease. It is what an idle VM costs the service.
    pub entry_renew: Span,
    /// How long the lease of a leadership lives without a renewal. Twice the shortest that the service grants: one lost renewal must
    /// not end it.
    pub lease: Span,
    /// The time between renewals: four fit into a lease.
    pub renew: Span,
    /// How long before the end of its lease a holder stops where servers don't check fencing numbers, for orders
    /// that are on their way.
    pub lease_guard: Span,
    /// Whether servers refuse an order under an old fencing number.
    pub fencing: bool,
    /// How long a watch waits at the key-value service. Short, since only its answers show that the way there is good,
    /// and others rely on it; three VMs make six such calls a second at most.
    pub watch: Span,
    /// The pause after a call of the key-value service that failed.
    pub store_retry: Span,
    /// How long a server whose entry lapsed while the key-value service was away may still come back.
    pub lapse_grace: Span,
    /// The time an adapter takes from the weight store until one was measured.
    pub adapter_load: Span,
    /// How long an order may stay without an answer before it is repeated: several round trips between zones. Each further
    /// copy has twice the time of the one before, since a VM that is busy hears answers late.
    pub order_timeout: Span,
    /// How long an engine's report may take: less than the time after which it is asked for again, and twice that of an
    /// order, as a VM that has just taken its leadership asks for all at once.
    pub report_timeout: Span,
    /// Loads of adapters under way over all engines of a service, for each hundred engines. Beyond what the weight
    /// store gives at full speed each load takes longer in proportion, and below it loads wait though they need not.
    pub loads_per_hundred: usize,
    /// Adapters on their way to one server at most: a limit of the servers.
    pub loads_per_server: usize,
    /// Requests that the scheduler gives one engine at once. Fewer than the batch holds, since what waits at an
    /// engine can't go elsewhere any more.
    pub running_per_engine: u32,
    /// Prompt work that the scheduler gives one engine at once, the new request's included; a longer prompt goes to an engine that
    /// reads nothing. Prompts that follow each other without a gap hold up the streams of their engine, each step of which
    /// reads a piece of them, and what waits at an engine can't go elsewhere.
    pub backlog: Span,
    /// The share of a service's requests that may be sent a second time, over all VMs.
    pub retry_ratio: f64,
    /// Second sends over all VMs in a window that are allowed besides the share.
    pub retry_extra: f64,
    /// The length of that window.
    pub retry_window: Span,
    /// The window in which the use of client accounts is counted against their limits.
    pub quota_window: Span,
    /// The part of a limit by which a window may exceed it.
    pub quota_overage: f64,
    /// The tokens by which it may besides.
    pub quota_slack: f64,
    /// How long a server that leaves takes requests of VMs that know of it.
    pub drain: Span,
    /// How long the platform needs to see that a VM is leaving, before it may close connections.
    pub leave: Span,
    /// The longest a graceful stop may take.
    pub grace: Span,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            entry_lease: Span::from_secs(16),
            entry_renew: Span::from_secs(5),
            lease: Span::from_millis(2_000),
            renew: Span::from_millis(500),
            lease_guard: Span::from_millis(300),
            fencing: true,
            watch: Span::from_millis(500),
            store_retry: Span::from_millis(150),
            lapse_grace: Span::from_millis(2_000),
            adapter_load: Span::from_millis(250),
            order_timeout: Span::from_millis(150),
            report_timeout: Span::from_millis(300),
            loads_per_hundred: 67,
            loads_per_server: 4,
            running_per_engine: 24,
            backlog: Span::from_millis(100),
            retry_ratio: 0.25,
            retry_extra: 50.0,
            retry_window: Span::from_secs(10),
            quota_window: Span::from_secs(8),
            quota_overage: 0.0,
            quota_slack: 0.0,
            drain: Span::from_secs(2),
            leave: Span::from_millis(2_500),
            grace: Span::from_secs(8),
        }
    }
}
