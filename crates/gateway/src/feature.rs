//! Features that can be switched off, to measure the effect of each or to disable one in an incident.
//!
//! No guarantee depends on a feature: features only make answers faster and adapter loads fewer.

use std::fmt;
use std::str::FromStr;

/// A feature that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feature {
    /// An evicted adapter is loaded again at an engine whose machine still has a local copy of it, which is faster
    /// than a load from the weight store.
    CachedAdapters,
    /// A request waits for a free adapter slot at an engine with a local copy, even if another engine has a free slot.
    CachedAdapterWait,
    /// An engine with parts of the prompt in its prefix cache is preferred, and these parts count as no prefill work.
    PrefixCache,
    /// An adapter with more prefill work than the engines that hold it can do is loaded at additional engines.
    ExtraReplicas,
    /// Engines and plain servers in the VM's own availability zone are preferred.
    ZonePreference,
    /// A request is refused immediately if, according to the scheduler's forecast, it can't be served in time.
    ForecastRefusals,
    /// Servers at which requests failed are used only if no other server is available.
    HealthRanking,
    /// The previous version of an adapter is used for a short time while the newest one is being loaded.
    OldVersions,
    /// A scheduler continues during an outage of the key-value service by lease votes of the other VMs.
    LeaseVotes,
    /// The VMs with the highest strength schedule, and watch the key-value service, on behalf of the others.
    Strength,
    /// A VM whose share of an account has too few tokens gets tokens that other VMs do not need.
    TokenPool,
    /// An account's limit is counted over a sliding window, so that all that is within the limit is admitted.
    WindowQuota,
    /// Of an account that is short of tokens, the requests with the highest priority are admitted first.
    QuotaPriority,
    /// Engines are chosen by their measured speeds, where these differ.
    EngineSpeed,
    /// A prompt is read where it does not interrupt streams for longer than their callers allow.
    StreamPauses,
    /// Accounts whose requests wait for engines are served in proportion to their limits.
    FairShares,
    /// Capacity to load adapters is kept free for the requests with the highest priority.
    UrgentReserve,
    /// A caller that retries after a refusal keeps its place in the queue.
    ReturningCallers,
    /// An adapter with a queue that needs several more engines is loaded at all of them at once.
    ParallelCopies,
    /// A request in the queue of an engine that has fallen behind is withdrawn and served by another engine.
    StalledEngines,
    /// A request for an adapter of which others were refused, and none was served since, is served before others.
    ExpeditedAdapters,
    /// Base models are loaded from the weight store only as many at a time as it serves at full speed.
    StagedBaseLoads,
}

impl Feature {
    /// All features with the names that operators use in the settings.
    pub const ALL: [(Self, &'static str); 22] = [
        (Self::CachedAdapters, "recent-adapters"),
        (Self::CachedAdapterWait, "recent-patience"),
        (Self::PrefixCache, "kept-parts"),
        (Self::ExtraReplicas, "copies"),
        (Self::ZonePreference, "zone-preference"),
        (Self::ForecastRefusals, "forecast-refusals"),
        (Self::HealthRanking, "health-ranking"),
        (Self::OldVersions, "old-versions"),
        (Self::LeaseVotes, "pledges"),
        (Self::Strength, "strength"),
        (Self::TokenPool, "token-pool"),
        (Self::WindowQuota, "window-quota"),
        (Self::QuotaPriority, "quota-priority"),
        (Self::EngineSpeed, "engine-speed"),
        (Self::StreamPauses, "stream-pauses"),
        (Self::FairShares, "fair-shares"),
        (Self::UrgentReserve, "urgent-reserve"),
        (Self::ReturningCallers, "returning-callers"),
        (Self::ParallelCopies, "parallel-copies"),
        (Self::StalledEngines, "stalled-engines"),
        (Self::ExpeditedAdapters, "expedited-adapters"),
        (Self::StagedBaseLoads, "staged-base-loads"),
    ];

    /// Returns the feature's bit in [`DisabledFeatures`].
    const fn bit(self) -> u32 {
        1 << self as u32
    }
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = Self::ALL.iter();
        let name = names.filter(|(feature, _)| feature == self);
        f.write_str(name.map(|(_, name)| *name).next().unwrap_or_default())
    }
}

/// The error for a name that belongs to no feature.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown feature {0:?}; known features: {names}", names = feature_names())]
pub struct UnknownFeature(String);

/// Returns the names of all features, separated by commas.
fn feature_names() -> String {
    let names: Vec<&str> = Feature::ALL.iter().map(|(_, name)| *name).collect();
    names.join(", ")
}

impl FromStr for Feature {
    type Err = UnknownFeature;

    fn from_str(text: &str) -> Result<Self, UnknownFeature> {
        let mut all = Self::ALL.iter();
        let found = all.find(|(_, name)| *name == text);
        let found = found.map(|(feature, _)| *feature);
        found.ok_or_else(|| UnknownFeature(text.to_owned()))
    }
}

/// The set of features that are switched off, as a bit set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledFeatures(u32);

impl DisabledFeatures {
    /// Returns whether a feature is enabled.
    #[must_use]
    pub const fn uses(self, feature: Feature) -> bool {
        self.0 & feature.bit() == 0
    }
}

impl FromIterator<Feature> for DisabledFeatures {
    fn from_iter<T: IntoIterator<Item = Feature>>(features: T) -> Self {
        let bits = features.into_iter().map(Feature::bit);
        Self(bits.fold(0, |all, bit| all | bit))
    }
}

/// Writes the names of the disabled features separated by commas, or `-` if there are none.
impl fmt::Display for DisabledFeatures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let off = Feature::ALL
            .iter()
            .filter(|(feature, _)| !self.uses(*feature));
        let names: Vec<&str> = off.map(|(_, name)| *name).collect();
        match names.as_slice() {
            [] => f.write_str("-"),
            names => f.write_str(&names.join(",")),
        }
    }
}
