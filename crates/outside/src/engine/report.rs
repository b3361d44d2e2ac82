//! What an engine reports of itself.

use serde::Deserialize;

/// A load report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Report {
    /// Changes with each start of the engine.
    pub boot: u64,
    /// Whether it takes work.
    pub ready: bool,
    /// Requests that run.
    #[serde(default)]
    pub running: u32,
    /// Requests that wait.
    #[serde(default)]
    pub waiting: u32,
    /// Requests that one step can hold.
    #[serde(default)]
    pub batch: u32,
    /// The time of a step in microseconds.
    #[serde(default)]
    pub step_us: u64,
    /// Adapters that it can hold.
    #[serde(default)]
    pub slots: u32,
    /// The highest fencing number it has seen.
    #[serde(default)]
    pub fence: u64,
    /// How old the figures are, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
    /// The resident adapters.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
}

/// A resident adapter.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Adapter {
    /// Its name, `<adapter>@<version>`.
    pub name: String,
    /// Requests that run or wait on it.
    #[serde(default)]
    pub in_flight: u32,
}

/// A page of cache events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct CachePage {
    /// Where the next page starts.
    pub next: u64,
    /// The events; a gap in their sequence numbers means lost ones.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Its sequence number.
    pub seq: u64,
    /// What happened.
    pub kind: CacheKind,
    /// The hash of the prefix.
    pub prefix: u64,
    /// The adapter and version that the prefix was computed with.
    pub model: String,
}

/// What happened to a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheKind {
    /// It is in the cache now.
    Stored,
    /// It is gone from the cache.
    Removed,
}
