//! Models the prefix cache of an engine: the parts of prompts that the engine has read for an adapter and does
//! not read again, as long as all parts before them in the prompt are cached too. The engines do not report
//! what they cache; the model applies the engines' own rule, least recently used first out, to the requests
//! placed there.
//!
//! The cache saves little where few prompts share more than their first part.

use rustc_hash::FxHashMap;

use super::adapter::AdapterId;
use crate::event::PromptPart;

/// Share of an engine's memory that is assumed to be available for the prefix cache. The rest holds the running
/// requests: about 25 with 2,500 tokens each at a busy engine.
const MEMORY_SHARE: f64 = 0.6;

/// A part of a prompt, by adapter and part id.
type PartKey = (AdapterId, u64);

/// The parts of prompts that one engine has cached.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    /// Number of tokens of each part, and the value of `use_count` at its last use.
    cached_parts: FxHashMap<PartKey, (u32, u64)>,
    /// Number of tokens of all parts.
    tokens: u64,
    /// Number of parts read.
    use_count: u64,
}

impl PrefixCache {
    /// Returns the number of tokens of a prompt that are cached, counted from its start.
    pub(crate) fn cached_tokens(&self, adapter: AdapterId, parts: &[PromptPart]) -> u32 {
        let cached = parts
            .iter()
            .map(|part| self.cached_parts.get(&(adapter, part.id)));
        cached
            .map_while(|part| part.map(|(tokens, _)| tokens))
            .sum()
    }

    /// Records that an engine with memory for `memory` tokens reads a prompt.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub(crate) fn insert_prompt(&mut self, adapter: AdapterId, parts: &[PromptPart], memory: u64) {
        // A part is of use only while all parts before it are cached, so the first part gets the latest use.
        for part in parts.iter().rev() {
            self.use_count += 1;
            let entry = (part.tokens, self.use_count);
            self.tokens += u64::from(part.tokens);
            if let Some((tokens, _)) = self.cached_parts.insert((adapter, part.id), entry) {
                self.tokens -= u64::from(tokens);
            }
        }
        let capacity = (memory as f64 * MEMORY_SHARE) as u64;
        while self.tokens > capacity {
            self.evict_oldest();
        }
    }

    /// Removes the parts of an adapter that was unloaded.
    pub(crate) fn remove_adapter(&mut self, adapter: AdapterId) {
        let tokens = &mut self.tokens;
        self.cached_parts
            .retain(|(part_adapter, _), (part_tokens, _)| {
                let is_removed = *part_adapter == adapter;
                *tokens -= if is_removed {
                    u64::from(*part_tokens)
                } else {
                    0
                };
                !is_removed
            });
    }

    /// Removes the least recently used part.
    fn evict_oldest(&mut self) {
        let oldest = self
            .cached_parts
            .iter()
            .min_by_key(|(_, (_, last_use))| *last_use);
        let Some((part, tokens)) = oldest.map(|(part, (tokens, _))| (*part, *tokens)) else {
            self.tokens = 0;
            return;
        };
        self.cached_parts.remove(&part);
        self.tokens -= u64::from(tokens);
    }
}
