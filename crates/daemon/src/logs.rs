//! Numbered log events, as lines for people or as JSON lines, on the standard error stream.

use dahliastile_core::escape::Line;
use dahliastile_core::id;
use dahliastile_core::log::{Code, Level, Record};
use spdlog::formatter::{Formatter, PatternFormatter, pattern};
use spdlog::sink::StdStreamSink;
use spdlog::{LevelFilter, Logger};
use std::sync::Arc;

use crate::error::Result;
use crate::settings::{Format, Log};

/// The log of one daemon.
#[derive(Clone)]
pub(crate) struct Journal {
    /// Where lines go, or none for no log.
    logger: Option<Arc<Logger>>,
    /// The form of the lines.
    format: Format,
    /// The VM, as each JSON line names it.
    vm: id::Vm,
}

impl Journal {
    /// A log with these settings.
    pub(crate) fn new(log: Log, vm: id::Vm) -> Result<Self> {
        let logger = match log.level {
            Some(level) => Some(Arc::new(logger(log.format, level)?)),
            None => None,
        };
        Ok(Self {
            logger,
            format: log.format,
            vm,
        })
    }

    /// Writes an event.
    pub(crate) fn write(&self, record: &Record) {
        let Some(logger) = &self.logger else {
            return;
        };
        let level = severity(record.code.level());
        if !logger.should_log(level) {
            return;
        }
        let line = match self.format {
            Format::Text => self.text(record),
            Format::Json => self.json(record),
        };
        // The library's macros take constant levels only.
        match record.code.level() {
            Level::Debug => spdlog::debug!(logger: logger, "{line}"),
            Level::Info => spdlog::info!(logger: logger, "{line}"),
            Level::Warn => spdlog::warn!(logger: logger, "{line}"),
            Level::Error => spdlog::error!(logger: logger, "{line}"),
        }
    }

    /// Writes an event of the shell's own.
    pub(crate) fn event(&self, code: Code, detail: impl Into<String>) {
        self.write(&Record::new(code, detail));
    }

    fn text(&self, record: &Record) -> String {
        let (number, name) = (record.code.number(), name(record.code));
        format!("{} E{number} {name} {}", self.vm, Line(&record.detail))
    }

    /// The members of the JSON line after those that the formatter writes.
    fn json(&self, record: &Record) -> String {
        let quoted = |text: &str| serde_json::Value::from(text).to_string();
        format!(
            r#""event":{},"name":{},"detail":{},"vm":{}"#,
            record.code.number(),
            quoted(&name(record.code)),
            quoted(&record.detail),
            quoted(self.vm.as_str()),
        )
    }
}

/// The name of an event, as the catalogue in the docs spells it.
#[must_use]
pub fn name(code: Code) -> String {
    let mut name = String::new();
    for c in format!("{code:?}").chars() {
        if c.is_ascii_uppercase() && !name.is_empty() {
            name.push('_');
        }
        name.push(c.to_ascii_lowercase());
    }
    name
}

fn logger(format: Format, level: Level) -> Result<Logger> {
    let formatter: Box<dyn Formatter> = match format {
        Format::Text => Box::new(PatternFormatter::new(pattern!(
            "{date} {time}.{millisecond} {level} {payload}{eol}"
        ))),
        Format::Json => Box::new(PatternFormatter::new(pattern!(
            r#"{{"time":"{date}T{time}.{millisecond}{tz_offset}","level":"{level}",{payload}}}{eol}"#
        ))),
    };
    let sink = StdStreamSink::builder()
        .stderr()
        .style_mode(spdlog::terminal_style::StyleMode::Never)
        .formatter(formatter)
        .build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(severity(level)))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    Ok(logger)
}

const fn severity(level: Level) -> spdlog::Level {
    match level {
        Level::Debug => spdlog::Level::Debug,
        Level::Info => spdlog::Level::Info,
        Level::Warn => spdlog::Level::Warn,
        Level::Error => spdlog::Level::Error,
    }
}
