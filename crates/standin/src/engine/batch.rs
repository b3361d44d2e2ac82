//! Continuous batching: each step, every running request yields one token.

use std::collections::BTreeMap;
use std::time::Instant;

use super::record::{Run, Violation};
use super::state::State;
use super::token::{self, Digest, Model};
use crate::gate::Client;

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Finish {
    /// All tokens were made.
    Length,
    /// It was aborted.
    Abort,
}

impl Finish {
    /// The value of `finish_reason`.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Abort => "abort",
        }
    }
}

/// What a request's handler gets from the batch; a channel that closes before the end means that
/// the connection breaks.
#[derive(Clone, Debug)]
pub(crate) enum Output {
    /// The request joined the batch on this adapter.
    Started(Model),
    /// One token.
    Token(Token),
    /// Nothing follows.
    End,
}

/// One token of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Token {
    /// The request.
    pub(crate) request_id: String,
    /// The adapter and version that made it.
    pub(crate) model: Model,
    /// Its text.
    pub(crate) text: String,
    /// Set on the last one.
    pub(crate) finish: Option<Finish>,
}

/// One request's progress.
#[derive(Debug)]
pub(crate) struct Sequence {
    /// The request.
    pub(crate) request_id: String,
    /// The adapter and version it runs on.
    pub(crate) model: Model,
    /// What it asks for.
    pub(crate) digest: Digest,
    /// The hash of its prefix.
    pub(crate) prefix: u64,
    /// The next token.
    pub(crate) index: u64,
    /// The token behind the last.
    pub(crate) end: u64,
    /// The token before which the connection breaks.
    pub(crate) break_at: Option<u64>,
    /// Where the tokens go.
    pub(crate) output: flume::Sender<Output>,
    /// Whether anybody waits for them.
    pub(crate) client: Client,
    /// Its place in the record once it runs.
    pub(crate) run: Option<usize>,
}

impl Sequence {
    fn send(&self, output: Output) {
        // A handler that is gone shows as a client that is gone.
        let _ = self.output.send(output);
    }

    fn token(&self, finish: Option<Finish>) -> Token {
        Token {
            request_id: self.request_id.clone(),
            model: self.model.clone(),
            text: token::text(&self.model, self.digest, self.index),
            finish,
        }
    }

    /// Sends the next token.
    fn advance(&mut self) {
        let last = self.index + 1 == self.end;
        self.send(Output::Token(self.token(last.then_some(Finish::Length))));
        self.index += 1;
    }

    /// Ends the answer early, after one token too many when told so.
    fn abort(&mut self, extra: bool) {
        if extra {
            self.send(Output::Token(self.token(None)));
        }
        let text = String::new();
        let finish = Some(Finish::Abort);
        self.send(Output::Token(Token {
            text,
            finish,
            ..self.token(None)
        }));
        self.send(Output::End);
    }

    fn is_broken(&self) -> bool {
        self.break_at.is_some_and(|at| self.index >= at)
    }
}

/// The place of a waiting request: its priority, then its arrival.
type Place = (i64, u64);

/// The requests of one engine.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// Those that wait, the first to run first.
    waiting: BTreeMap<Place, Sequence>,
    /// Those that run.
    running: Vec<Sequence>,
    /// The number of arrivals so far.
    arrivals: u64,
}

impl Batch {
    /// The requests that run.
    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// The requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether there is nothing to do.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// The requests that wait or run on an adapter.
    pub(crate) fn in_flight(&self, model: &Model) -> usize {
        let all = self.waiting.values().chain(&self.running);
        all.filter(|sequence| sequence.model == *model).count()
    }

    /// Takes in a request.
    pub(crate) fn push(&mut self, priority: i64, sequence: Sequence) {
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals), sequence);
    }

    /// Lets go of all requests.
    fn take(&mut self) -> Vec<Sequence> {
        let waiting = std::mem::take(&mut self.waiting).into_values();
        self.running.drain(..).chain(waiting).collect()
    }
}

impl State {
    /// Runs one step of the batch.
    pub(crate) fn step(&mut self, now: Instant) {
        self.part(now, |sequence| sequence.client.is_gone());
        self.admit(now);
        self.part(now, Sequence::is_broken);
        self.cross();
        self.record.steps += u64::from(self.batch.running() > 0);
        self.record.filled += self.batch.running() as u64;
        for at in 0..self.batch.running.len() {
            self.advance(at);
        }
        self.part(now, |sequence| sequence.index >= sequence.end);
        self.note(now);
    }

    /// Ends the requests with this id and returns their number.
    pub(crate) fn abort(&mut self, now: Instant, request_id: &str) -> usize {
        let parted = self.split(|sequence| sequence.request_id == request_id);
        let count = parted.len();
        for mut sequence in parted {
            let extra = self.faults.take_extra();
            sequence.abort(extra);
            self.leave(now, &sequence);
        }
        self.note(now);
        count
    }

    /// Lets go of all requests; their connections break.
    pub(crate) fn drop_all(&mut self, now: Instant) {
        for sequence in self.batch.take() {
            self.leave(now, &sequence);
        }
    }

    fn admit(&mut self, now: Instant) {
        while self.batch.running() < self.settings.batch {
            let Some((_, mut sequence)) = self.batch.waiting.pop_first() else {
                return;
            };
            sequence.run = Some(self.record.runs.len());
            self.record.runs.push(Run {
                request_id: sequence.request_id.clone(),
                model: sequence.model.clone(),
                boot: self.boot,
                start_us: self.micros(now),
                end_us: None,
                first: sequence.index,
                tokens: 0,
                interrupted: false,
            });
            self.cache
                .touch(now, self.settings.cache, sequence.prefix, &sequence.model);
            self.check_resident(&sequence);
            if !sequence.is_broken() {
                sequence.send(Output::Started(sequence.model.clone()));
            }
            self.batch.running.push(sequence);
        }
    }

    fn advance(&mut self, at: usize) {
        let Some(sequence) = self.batch.running.get_mut(at) else {
            return;
        };
        if sequence.index >= sequence.end {
            return;
        }
        sequence.advance();
        if let Some(run) = sequence.run.and_then(|run| self.record.runs.get_mut(run)) {
            run.tokens += 1;
        }
    }

    fn check_resident(&mut self, sequence: &Sequence) {
        if !self.is_resident(&sequence.model) {
            self.record.violations.push(Violation::NotResident {
                model: sequence.model.clone(),
                request_id: sequence.request_id.clone(),
            });
        }
    }

    /// Swaps the clients of two running requests when told so.
    fn cross(&mut self) {
        match self.batch.running.as_mut_slice() {
            [first, second, ..] if self.faults.cross > 0 => {
                self.faults.cross -= 1;
                std::mem::swap(&mut first.output, &mut second.output);
                std::mem::swap(&mut first.client, &mut second.client);
            }
            _ => {}
        }
    }

    /// Removes the requests that match; complete ones get their end.
    fn part(&mut self, now: Instant, matches: impl Fn(&Sequence) -> bool) {
        for sequence in self.split(matches) {
            if sequence.index >= sequence.end && !sequence.is_broken() {
                sequence.send(Output::End);
            }
            self.leave(now, &sequence);
        }
    }

    fn split(&mut self, matches: impl Fn(&Sequence) -> bool) -> Vec<Sequence> {
        let running = self
            .batch
            .running
            .extract_if(.., |sequence| matches(sequence));
        let mut parted: Vec<Sequence> = running.collect();
        let waiting = self
            .batch
            .waiting
            .extract_if(.., |_, sequence| matches(sequence));
        parted.extend(waiting.map(|(_, sequence)| sequence));
        parted
    }

    /// Notes that a request left the batch.
    fn leave(&mut self, now: Instant, sequence: &Sequence) {
        let end = self.micros(now);
        if let Some(run) = sequence.run.and_then(|run| self.record.runs.get_mut(run)) {
            run.end_us = Some(end);
            run.interrupted = sequence.index < sequence.end;
        }
    }
}
