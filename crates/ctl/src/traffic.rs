//! What VMs cost each other and the key-value service, from their figures: calls by kind, and messages between VMs by kind and by
//! whether they leave the availability zone.
//!
//! The figures are counters since each VM's start, as text in Prometheus's form; the pages of all VMs stand one after the other.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use serde::Serialize;

use crate::error::{Error, Result};
use crate::file;
use crate::output::Output;

/// The counter of calls of the key-value service.
const CALLS: &str = "dahliastile_outside_calls_total";

/// The counter of messages to other VMs.
const MESSAGES: &str = "dahliastile_peer_sent_messages_total";

/// The counter of their bytes.
const BYTES: &str = "dahliastile_peer_sent_bytes_total";

/// Something counted, over all VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Of all VMs together.
    pub all: u64,
    /// Of the VM that has most.
    pub most: u64,
    /// That VM.
    pub vm: String,
}

impl Count {
    fn add(&mut self, vm: &str, count: u64) {
        self.all += count;
        if count > self.most {
            self.most = count;
            vm.clone_into(&mut self.vm);
        }
    }
}

/// Messages of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Kind {
    /// How many.
    pub messages: Count,
    /// Their bytes, as encoded.
    pub bytes: Count,
}

/// What VMs cost each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// The VMs whose figures these are.
    pub vms: usize,
    /// Calls of the key-value service, by kind.
    pub calls: BTreeMap<String, Count>,
    /// Messages between VMs, by kind and `_zone` or `_beyond`.
    pub messages: BTreeMap<String, Kind>,
}

/// One value of a counter.
struct Sample<'a> {
    /// The counter.
    name: &'a str,
    /// The VM.
    vm: &'a str,
    /// What is counted.
    label: &'a str,
    /// How many.
    value: u64,
}

/// Adds up the figures of all VMs.
#[must_use]
pub fn traffic(pages: &str) -> Traffic {
    let mut traffic = Traffic::default();
    let mut vms = BTreeSet::new();
    for sample in pages.lines().filter_map(sample) {
        vms.insert(sample.vm);
        let label = sample.label.to_owned();
        match sample.name {
            CALLS => {
                let count = traffic.calls.entry(label).or_default();
                count.add(sample.vm, sample.value);
            }
            MESSAGES => {
                let kind = traffic.messages.entry(label).or_default();
                kind.messages.add(sample.vm, sample.value);
            }
            BYTES => {
                let kind = traffic.messages.entry(label).or_default();
                kind.bytes.add(sample.vm, sample.value);
            }
            _ => {}
        }
    }
    traffic.vms = vms.len();
    traffic
}

/// A line of a page, where it is a value of a counter with a VM and a label.
fn sample(line: &str) -> Option<Sample<'_>> {
    let (name, rest) = line.split_once('{')?;
    let (labels, value) = rest.rsplit_once("} ")?;
    let label = |name: &str| {
        let mut pairs = labels.split(',').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        value.strip_prefix('"')?.strip_suffix('"')
    };
    Some(Sample {
        name,
        vm: label("vm")?,
        label: label("label")?,
        value: value.trim().parse().ok()?,
    })
}

/// Reads pages of figures and prints what they add up to.
pub(crate) fn run(path: &str) -> Result<Output> {
    let traffic = traffic(&file::read(path)?);
    if traffic.calls.is_empty() && traffic.messages.is_empty() {
        let nothing = format!("{path} has no figures of calls or messages");
        return Err(Error::Missing(nothing));
    }
    let mut text = format!("{} VMs\n\n", traffic.vms);
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "{:<20}{:>12}{:>12}  busiest",
        "calls", "all VMs", "busiest"
    );
    for (kind, count) in &traffic.calls {
        let (all, most, vm) = (count.all, count.most, &count.vm);
        let _ = writeln!(text, "{kind:<20}{all:>12}{most:>12}  {vm}");
    }
    let _ = writeln!(
        text,
        "\n{:<20}{:>12}{:>14}{:>14}  busiest",
        "messages", "all VMs", "bytes", "busiest"
    );
    for (kind, row) in &traffic.messages {
        let (messages, bytes) = (row.messages.all, &row.bytes);
        let (all, most, vm) = (bytes.all, bytes.most, &bytes.vm);
        let _ = writeln!(text, "{kind:<20}{messages:>12}{all:>14}{most:>14}  {vm}");
    }
    Ok(Output::new(text, &traffic))
}
