//! The settings of one entry VM, and the tuning parameters of its decisions.

use std::net::SocketAddr;

use dahliastile_core::id::{Incarnation, Vm, Zone};
use dahliastile_core::time::Span;

use crate::feature::{DisabledFeatures, Feature};

/// The settings of one entry VM, fixed at its start except for `tuning`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the VM.
    pub vm: Vm,
    /// The availability zone of the VM.
    pub zone: Zone,
    /// The address at which other VMs reach the VM.
    pub address: SocketAddr,
    /// The port at which each VM takes attempts of other VMs; none if VMs don't carry attempts for each other.
    pub relay_port: Option<u16>,
    /// The incarnation of this process, larger than those of all earlier processes of the same VM.
    pub incarnation: Incarnation,
    /// Capacity of the VM for work that it does on behalf of others, such as scheduling: the smaller of its share of a
    /// core in hundredths and its link in Mbit/s. Both count alike, since a scheduler of the larger deployments uses 5
    /// hundredths of a core and 5 Mbit/s.
    pub strength: u32,
    /// The seed of the gateway's random number generator.
    pub seed: u64,
    /// Addresses of some other VMs, possibly stale. The gateway asks them for the entries of the key-value service
    /// while it knows no other VM and the service does not answer.
    pub seeds: Vec<SocketAddr>,
    /// The tuning parameters.
    pub tuning: Tuning,
    /// The features that are switched off.
    pub without: DisabledFeatures,
}

impl Settings {
    /// Returns whether a feature is enabled.
    #[must_use]
    pub fn uses(&self, feature: Feature) -> bool {
        self.without.uses(feature)
    }
}

/// The parameters of the gateway's decisions: timeouts, intervals and limits. A reload of the settings file replaces
/// them.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Time to live of the lease of this VM's own entry in the key-value service. Three renewals may fail within it, so
    /// an outage of some seconds does not remove the entry.
    pub entry_lease: Span,
    /// Interval between renewals of that lease; three fit into its time to live. These renewals are the only load that
    /// an idle VM puts on the key-value service.
    pub entry_renew: Span,
    /// Time to live of the lease of a VM's leaderships. Twice the shortest time to live that the key-value service
    /// grants, since one lost renewal must not end the lease.
    pub lease: Span,
    /// Interval between renewals of that lease; four fit into its time to live.
    pub renew: Span,
    /// Where servers do not check fencing tokens, the time before the end of its lease at which the holder of a
    /// leadership stops scheduling, so that orders in flight arrive before another VM can take the leadership.
    pub lease_guard: Span,
    /// Whether servers reject an order with a stale fencing token.
    pub fencing: bool,
    /// The time after which a watch of the key-value service returns without changes. Short, since only the answers of
    /// watches show that the service is reachable, and other VMs rely on this; the three VMs that watch make at most
    /// six of these calls per second.
    pub watch: Span,
    /// Delay before a failed call of the key-value service is retried.
    pub store_retry: Span,
    /// How long after an outage of the key-value service a server whose entry is missing is still used, since its lease
    /// may have expired only because it could not be renewed.
    pub lapse_grace: Span,
    /// Interval at which servers renew their entries in the key-value service.
    pub report_interval: Span,
    /// The assumed time to load an adapter from the weight store until one has been measured.
    pub adapter_load: Span,
    /// Timeout of an order to a server, after which it is retried: several round trips between zones. The timeout
    /// doubles with each retry, since a busy VM reads answers late.
    pub order_timeout: Span,
    /// Timeout of an engine's report: shorter than the interval between two reports of an engine, and twice the timeout
    /// of an order, since a VM that has just won a leadership asks for the reports of all engines at once.
    pub report_timeout: Span,
    /// Limit on concurrent adapter loads over all engines of a service, per hundred engines. If there are more loads
    /// than the weight store serves at full speed, each takes longer in proportion; with a lower limit loads wait
    /// needlessly.
    pub loads_per_hundred: usize,
    /// Limit on concurrent adapter loads of one server; the servers themselves have this limit.
    pub loads_per_server: usize,
    /// Limit on the requests that the scheduler has running at one engine. Below the engine's batch size, since a
    /// request that is queued at an engine can't be sent to another one.
    pub running_per_engine: u32,
    /// Limit on the prefill time that the scheduler has pending at one engine, the new request's included; a prompt
    /// that takes longer by itself goes to an engine without pending prefill. Prompts that follow each other
    /// without a gap delay the streams of their engine, since each of its steps then reads a piece of a prompt; and
    /// a request that is queued at an engine can't be sent to another one.
    pub backlog: Span,
    /// Retry budget: the fraction of a service's requests that may be retried, over all VMs.
    pub retry_ratio: f64,
    /// Retry budget: retries in a window that are allowed in addition to that fraction, over all VMs.
    pub retry_extra: f64,
    /// Length of the window of the retry budget.
    pub retry_window: Span,
    /// Length of the sliding window in which the tokens of a client account are counted against its limit.
    pub quota_window: Span,
    /// The fraction by which the tokens of a window may exceed an account's limit.
    pub quota_overage: f64,
    /// The number of tokens by which the tokens of a window may exceed an account's limit in addition to that fraction.
    pub quota_slack: f64,
    /// How long a server still accepts requests after it has announced that it shuts down.
    pub drain: Span,
    /// How long a VM that stops keeps accepting connections, so that the platform notices that it is not ready; at most half of
    /// `grace`.
    pub leave: Span,
    /// Limit on the duration of a graceful stop: the platform then kills the process.
    pub grace: Span,
    /// How long before the end of `grace` the process of a VM that stops ends by itself.
    pub end_margin: Span,
}

impl Tuning {
    /// Returns how long after a stop connections are still accepted.
    #[must_use]
    pub fn leave_time(&self) -> Span {
        self.leave.min(self.start_time())
    }

    /// Returns how long after a stop requests are still sent to servers for the first time: half of the grace.
    #[must_use]
    pub fn start_time(&self) -> Span {
        Span(self.grace.0 / 2)
    }
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
            report_interval: Span::from_millis(1_200),
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
            end_margin: Span::from_millis(300),
        }
    }
}
