//! What the machine gives to the process, where the settings don't say.

use std::fs;

use dahliastile_intake::{Machine, Size};

/// What is assumed where the system does not tell.
const MEMORY: Size = Size::megabytes(512);
const DESCRIPTORS: usize = 1_024;

/// The machine, with what was set in place of what the system tells; zero stands for nothing set.
pub(super) fn machine(memory_mb: usize, descriptors: usize) -> Machine {
    let memory = match memory_mb {
        0 => memory().unwrap_or(MEMORY),
        megabytes => Size::megabytes(megabytes),
    };
    let descriptors = match descriptors {
        0 => self::descriptors().unwrap_or(DESCRIPTORS),
        descriptors => descriptors,
    };
    Machine {
        memory,
        descriptors,
    }
}

/// The memory of the machine, as Linux tells it.
fn memory() -> Option<Size> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib = line.split_whitespace().next()?.parse().ok()?;
    Some(Size::kib(kib))
}

/// The soft limit on the descriptors of this process, as Linux tells it.
fn descriptors() -> Option<usize> {
    let text = fs::read_to_string("/proc/self/limits").ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
