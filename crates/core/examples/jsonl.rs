//! Drives one node from outside: reads `{"now": microseconds, "event": …}` a line, prints effects as JSON lines.

use std::io::{self, BufRead, Write};

use dahliastile_core::Node;
use dahliastile_core::event::Event;
use dahliastile_core::settings::{Settings, Tuning};
use dahliastile_core::time::Instant;
use serde::Deserialize;

#[derive(Deserialize)]
struct Line {
    now: Instant,
    event: Event,
}

fn settings() -> Result<Settings, dahliastile_core::id::Malformed> {
    Ok(Settings {
        vm: "vm-a".parse()?,
        zone: "zone-a".parse()?,
        address: "10.0.0.1:7400".to_owned(),
        incarnation: dahliastile_core::id::Incarnation(1),
        seed: 1,
        prefix: "/dahliastile".to_owned(),
        tuning: Tuning::default(),
    })
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut node = Node::new(settings()?);
    let mut effects = Vec::new();
    let mut out = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let line: Line = serde_json::from_str(&line?)?;
        node.step(line.now, line.event, &mut effects);
        for effect in effects.drain(..) {
            serde_json::to_writer(&mut out, &effect)?;
            writeln!(out)?;
        }
    }
    Ok(())
}
