//! What the requests that wait will take from the engines that hold their adapters, or get them.
//!
//! An adapter for which a request waits makes room for no other, and an engine counts as busy with the prompts that wait for the
//! adapters on their way to it. Without the first, adapters that were loaded for a request were taken away before it began, and
//! loaded again. Without the second, adapters asked for together went to the same engine, which then read their prompts one after
//! the other.

use rustc_hash::FxHashMap;

use super::Scheduler;
use super::engine::Engine;
use super::forecast::Wait;
use super::key::Key;
use super::residency::Spread;

/// The adapters that requests wait for, with the prompt tokens of those requests.
#[derive(Debug, Default)]
pub(crate) struct Claims(FxHashMap<Key, u64>);

impl Claims {
    /// An adapter is wanted, by requests of so many prompt tokens.
    pub(crate) fn add(&mut self, key: Key, tokens: u64) {
        *self.0.entry(key).or_default() += tokens;
    }

    /// Whether an adapter is waited for.
    pub(crate) fn claimed(&self, key: Key) -> bool {
        self.0.contains_key(&key)
    }

    /// The prompt tokens that an engine will have to read besides those given to it already, of requests for adapters other
    /// than one. Where several engines hold an adapter, each reads its part.
    pub(crate) fn at(&self, engine: &Engine, except: Option<Key>, spread: &Spread) -> u64 {
        let others = engine.places.keys().filter(|key| Some(**key) != except);
        let tokens = others.filter_map(|key| {
            let tokens = self.0.get(key)?;
            let copies = spread.spot(*key).map_or(1, |spot| spot.copies.max(1));
            Some(tokens / u64::from(copies))
        });
        tokens.sum()
    }
}

impl Scheduler {
    /// What the requests that wait claim.
    pub(crate) fn claims(&self, waits: &[Wait]) -> Claims {
        let mut claims = Claims::default();
        for job in waits.iter().filter_map(|wait| self.jobs.get(&wait.id)) {
            if let Some(key) = job.key.filter(|_| job.waits()) {
                claims.add(key, u64::from(job.work.prompt_tokens));
            }
        }
        claims
    }
}
