//! The settings of a node: each one declared once, with its meaning, default and range.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::time::Span;

/// One setting as the docs and `--help` print it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name in the settings file.
    pub name: &'static str,
    /// What it means.
    pub doc: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Its default.
    pub default: u64,
    /// The smallest value accepted.
    pub min: u64,
    /// The largest value accepted.
    pub max: u64,
}

macro_rules! tuning {
    ($($(#[doc = $doc:literal])* $name:ident $unit:literal $default:literal, $min:literal..=$max:literal;)*) => {
        /// Times and sizes that shape the decisions. All are whole numbers in the unit named.
        #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct Tuning {
            $($(#[doc = $doc])* pub $name: u64,)*
        }

        impl Default for Tuning {
            fn default() -> Self {
                Self { $($name: $default,)* }
            }
        }

        impl Tuning {
            /// Every setting.
            pub const ENTRIES: &[Entry] = &[$(Entry {
                name: stringify!($name),
                doc: concat!($($doc),*),
                unit: $unit,
                default: $default,
                min: $min,
                max: $max,
            },)*];

            /// The value of the setting of that name.
            #[must_use]
            pub fn get(&self, name: &str) -> Option<u64> {
                match name {
                    $(stringify!($name) => Some(self.$name),)*
                    _ => None,
                }
            }

            /// The settings whose values are out of range.
            pub fn out_of_range(&self) -> impl Iterator<Item = Entry> + '_ {
                Self::ENTRIES.iter().copied().filter(|entry| {
                    let value = self.get(entry.name).unwrap_or(entry.default);
                    value < entry.min || value > entry.max
                })
            }
        }
    };
}

tuning! {
    /// Time between two ticks.
    tick_ms "ms" 20, 1..=1_000;
    /// A gap between two steps after which the VM counts as paused and gives up its leases and grants.
    pause_ms "ms" 2_000, 100..=60_000;
    /// Time to live of the lease with which a VM holds its domains.
    lease_ttl_ms "ms" 9_000, 500..=60_000;
    /// Time between two renewals of a lease.
    lease_renew_ms "ms" 3_000, 50..=20_000;
    /// How long before its end by the local clock a lease counts as lost.
    lease_guard_ms "ms" 1_500, 10..=20_000;
    /// The shortest time between two asks to one domain's holder.
    ask_min_ms "ms" 5, 1..=1_000;
    /// The longest time between two asks to one domain's holder while it is used.
    ask_max_ms "ms" 1_000, 10..=10_000;
    /// Time after which an ask or update that was not confirmed is sent again.
    ask_retry_ms "ms" 200, 5..=10_000;
    /// How long a grant must have been idle before it is given back; longer than a request is on its way to a server.
    release_guard_ms "ms" 500, 0..=30_000;
    /// Time between two load reports fetched from one server by its domain's holder.
    poll_ms "ms" 250, 5..=10_000;
    /// How long a server may fail to report before it counts as lost.
    server_lost_ms "ms" 2_000, 50..=60_000;
    /// How long a silent grantee blocks an eviction at most; longer than the longest deadline.
    grant_abandon_ms "ms" 900_000, 1_000..=3_600_000;
    /// The longest timeout that a request may have.
    deadline_max_ms "ms" 600_000, 100..=3_000_000;
    /// How long an order may take before its outcome counts as unknown.
    order_timeout_ms "ms" 30_000, 100..=300_000;
    /// The first delay after a failed load; it doubles with each failure.
    load_backoff_ms "ms" 500, 10..=60_000;
    /// The longest delay after failed loads.
    load_backoff_max_ms "ms" 30_000, 10..=600_000;
    /// The half-life of an adapter's demand.
    demand_half_life_ms "ms" 60_000, 100..=3_600_000;
    /// Time between two heartbeats to each neighbour.
    heartbeat_ms "ms" 500, 10..=10_000;
    /// How long a member may be silent before it is suspected.
    suspect_ms "ms" 2_000, 50..=60_000;
    /// How long a member may be silent before it counts as gone, where the platform no longer lists it.
    gone_ms "ms" 10_000, 100..=600_000;
    /// Neighbours in the same availability zone.
    neighbours_near "VMs" 4, 1..=64;
    /// Neighbours in other availability zones.
    neighbours_far "VMs" 3, 1..=64;
    /// VMs that watch the platform's configuration.
    watchers "VMs" 3, 1..=16;
    /// How long a call of the key-value service may stay without an answer.
    platform_timeout_ms "ms" 2_000, 50..=30_000;
    /// The first delay after a failed call of the key-value service; it doubles with each failure.
    platform_backoff_ms "ms" 100, 10..=10_000;
    /// The longest delay between two tries to reach the key-value service.
    platform_backoff_max_ms "ms" 2_000, 10..=60_000;
    /// Edits after which a new snapshot of the configuration is written.
    snapshot_edits "edits" 256, 8..=65_536;
    /// Groups into which idempotency keys are divided.
    claim_slots "slots" 16, 1..=1_024;
    /// The shortest time between two writes of claims of one slot.
    claim_write_ms "ms" 20, 1..=1_000;
    /// How long an idempotency key is remembered.
    claim_keep_ms "ms" 3_600_000, 1_000..=86_400_000;
    /// The largest answer that is kept for a repeated idempotency key.
    claim_result_bytes "bytes" 2_048, 0..=65_536;
    /// Requests that may wait on this VM, all services together.
    queue "requests" 10_000, 1..=1_000_000;
    /// Retries in a hundred attempts that are allowed per service.
    retry_percent "percent" 10, 0..=100;
    /// Attempts of one request at most.
    attempts_max "attempts" 3, 1..=10;
    /// Trails of finished requests that are kept.
    trails "trails" 4_096, 0..=1_000_000;
    /// How long a shutdown waits for requests in progress.
    drain_ms "ms" 600_000, 100..=3_600_000;
}

impl Tuning {
    /// A setting in milliseconds as a span.
    #[must_use]
    pub(crate) const fn span(millis: u64) -> Span {
        Span::from_millis(millis)
    }
}

/// What a node is told of itself when it is made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Its VM's name.
    pub vm: id::Vm,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its address for peers.
    pub address: String,
    /// This start's number: higher than that of any earlier start of this VM's name.
    pub incarnation: id::Incarnation,
    /// The seed of its random numbers.
    pub seed: u64,
    /// The prefix of its keys in the key-value service, without a closing slash.
    pub prefix: String,
    /// Times and sizes.
    pub tuning: Tuning,
}
