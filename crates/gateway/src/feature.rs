//! Parts of the decisions that can be switched off, to measure what each is worth or to do without one in an incident.
//!
//! Without any of them everything promised still holds: they only make answers faster and loads fewer.

use std::fmt;
use std::str::FromStr;

/// Something that the decisions can do without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feature {
    /// Adapters come back to the engine beside which copies of them lie.
    CachedAdapters,
    /// A request waits for room at such an engine, though another one has room.
    CachedAdapterWait,
    /// An engine that keeps parts of a prompt is preferred, and they don't count as work for it.
    PrefixCache,
    /// Adapters that are asked for beyond what their engines can read are loaded on more of them.
    ExtraReplicas,
    /// Engines and plain servers of the VM's own availability zone are preferred.
    ZonePreference,
    /// What can't be served in time by the forecast is refused at once.
    ForecastRefusals,
    /// Servers that fail what they run come last.
    HealthRanking,
    /// The version before is used for a moment while the newest one loads.
    OldVersions,
    /// A scheduler goes on through an outage by the votes of the other VMs.
    LeaseVotes,
    /// The strongest VMs schedule and watch for the others.
    Strength,
    /// VMs that run short of an account's tokens draw from what others don't need.
    TokenPool,
}

impl Feature {
    /// All of them, with the names that operators write.
    pub const ALL: [(Self, &'static str); 11] = [
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
    ];

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

/// A name that is none of a feature.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no feature; there are: {names}", names = names())]
pub struct Unknown(String);

fn names() -> String {
    let names: Vec<&str> = Feature::ALL.iter().map(|(_, name)| *name).collect();
    names.join(", ")
}

impl FromStr for Feature {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Unknown> {
        let mut all = Self::ALL.iter();
        let found = all.find(|(_, name)| *name == text);
        let found = found.map(|(feature, _)| *feature);
        found.ok_or_else(|| Unknown(text.to_owned()))
    }
}

/// The features that are switched off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DisabledFeatures(u32);

impl DisabledFeatures {
    /// Whether a feature is in use.
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

/// The names with commas between; `-` where none is switched off.
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
