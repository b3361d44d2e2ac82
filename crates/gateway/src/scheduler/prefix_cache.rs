//! Parts of prompts that an engine has read for an adapter and keeps: they are not read again while all parts before them in
//! the prompt are kept too. Nobody tells what is kept; this follows the engine's own rule, that the least recently used part
//! yields, from what was given to it.
//!
//! It buys little where few prompts share more than their first part.

use rustc_hash::FxHashMap;

use super::key::Key;
use crate::event::PromptPart;

/// The part of an engine's memory that is taken to be left for kept parts: the rest holds the requests that run, some 25
/// of 2,500 tokens each at a busy engine.
const SHARE: f64 = 0.6;

/// A part for an adapter.
type Row = (Key, u64);

/// The parts that one engine keeps.
#[derive(Debug, Default)]
pub(crate) struct Kept {
    /// The tokens of each, and its turn: higher is later.
    rows: FxHashMap<Row, (u32, u64)>,
    /// All their tokens.
    tokens: u64,
    /// The last turn.
    last: u64,
}

impl Kept {
    /// How many tokens of a prompt are kept, from its begin on.
    pub(crate) fn of(&self, key: Key, parts: &[PromptPart]) -> u32 {
        let rows = parts.iter().map(|part| self.rows.get(&(key, part.id)));
        rows.map_while(|row| row.map(|(tokens, _)| tokens)).sum()
    }

    /// A prompt is read by an engine with memory for so many tokens.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub(crate) fn read(&mut self, key: Key, parts: &[PromptPart], memory: u64) {
        // The first part is of use as long as any other is, so it is used last.
        for part in parts.iter().rev() {
            self.last += 1;
            let row = (part.tokens, self.last);
            self.tokens += u64::from(part.tokens);
            if let Some((tokens, _)) = self.rows.insert((key, part.id), row) {
                self.tokens -= u64::from(tokens);
            }
        }
        let room = (memory as f64 * SHARE) as u64;
        while self.tokens > room {
            self.drop_oldest();
        }
    }

    /// An adapter was unloaded, and what was kept for it went too.
    pub(crate) fn unloaded(&mut self, key: Key) {
        let tokens = &mut self.tokens;
        self.rows.retain(|(of, _), (held, _)| {
            let goes = *of == key;
            *tokens -= if goes { u64::from(*held) } else { 0 };
            !goes
        });
    }

    fn drop_oldest(&mut self) {
        let oldest = self.rows.iter().min_by_key(|(_, (_, turn))| *turn);
        let Some((row, tokens)) = oldest.map(|(row, (tokens, _))| (*row, *tokens)) else {
            self.tokens = 0;
            return;
        };
        self.rows.remove(&row);
        self.tokens -= u64::from(tokens);
    }
}
