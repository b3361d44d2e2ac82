//! The log: one line an event on the standard output, bounded, and never waited for.

use std::sync::Arc;

use dahliastile_core::escape::Line;
use dahliastile_core::id::Vm;
use dahliastile_core::log::{Code, Level, Record};
use dahliastile_core::time::{Instant, Span};
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

/// Lines of a VM that are written a second over a while; beyond it only warnings, errors and summaries are, and what was left
/// out is counted. Three lines a request at a hundred requests a second, which is more than a VM of a quarter core serves.
const LINES_A_SECOND: u64 = 300;

/// Lines that may be written at once.
const BURST: u64 = 3_000;

/// Lines that wait for the standard output; beyond it they are dropped.
const WAITING: usize = 4_096;

/// Decides which lines are written, so that a VM spends a bounded part of its time on them.
#[derive(Debug)]
pub struct LineBudget {
    /// Lines that may be written now, in millionths.
    saved: u64,
    /// When that was computed.
    at: Instant,
}

impl Default for LineBudget {
    fn default() -> Self {
        Self {
            saved: BURST * 1_000_000,
            at: Instant::default(),
        }
    }
}

impl LineBudget {
    /// Returns whether the line of an event is to be written, and counts it.
    pub fn try_spend(&mut self, now: Instant, code: Code) -> bool {
        let passed: Span = now.since(self.at);
        self.at = now;
        self.saved = (self.saved + passed.0 * LINES_A_SECOND).min(BURST * 1_000_000);
        if self.saved < 1_000_000 {
            return code.level() >= Level::Warn || code.is_summary();
        }
        self.saved -= 1_000_000;
        true
    }
}

/// The log of one VM.
pub(crate) struct Journal {
    /// Where lines go.
    logger: Logger,
    /// The VM, as each line names it.
    vm: Vm,
    budget: LineBudget,
    /// Lines left out since the last one written.
    left_out: u64,
}

impl Journal {
    pub(crate) fn new(vm: Vm) -> eyre::Result<Self> {
        let formatter = PatternFormatter::new(pattern!(
            "{date} {time}.{millisecond} {level} {payload}{eol}"
        ));
        let out = StdStreamSink::builder()
            .stdout()
            .style_mode(spdlog::terminal_style::StyleMode::Never)
            .formatter(Box::new(formatter))
            .build()?;
        let pool = ThreadPool::builder().capacity(WAITING).build()?;
        let sink = AsyncPoolSink::builder()
            .sink(Arc::new(out))
            .thread_pool(Arc::new(pool))
            .overflow_policy(OverflowPolicy::DropIncoming)
            .error_handler(|_| {})
            .build()?;
        let logger = Logger::builder()
            .sink(Arc::new(sink))
            .level_filter(LevelFilter::All)
            .flush_level_filter(LevelFilter::All)
            .build()?;
        Ok(Self {
            logger,
            vm,
            budget: LineBudget::default(),
            left_out: 0,
        })
    }

    /// Writes an event.
    pub(crate) fn write(&mut self, now: Instant, record: &Record) {
        let level = record.code.level();
        if !self.budget.try_spend(now, record.code) {
            self.left_out += 1;
            return;
        }
        let (vm, number, code, detail) = (
            &self.vm,
            record.code.number(),
            record.code,
            Line(&record.detail),
        );
        let left_out = std::mem::take(&mut self.left_out);
        let more = if left_out > 0 {
            format!(" left_out={left_out}")
        } else {
            String::new()
        };
        // The library's macros take constant levels only.
        match level {
            Level::Debug => {
                spdlog::debug!(logger: self.logger, "{vm} E{number} {code:?} {detail}{more}");
            }
            Level::Info => {
                spdlog::info!(logger: self.logger, "{vm} E{number} {code:?} {detail}{more}");
            }
            Level::Warn => {
                spdlog::warn!(logger: self.logger, "{vm} E{number} {code:?} {detail}{more}");
            }
            Level::Error => {
                spdlog::error!(logger: self.logger, "{vm} E{number} {code:?} {detail}{more}");
            }
        }
    }

    /// Writes what waits, before the process ends.
    pub(crate) fn flush(&self) {
        self.logger.flush();
    }
}
