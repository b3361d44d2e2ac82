//! Adapters that are asked for again and again are served, however short the engines' adapter slots and loads are.

mod support;

use dahliastile_gateway::feature::Feature;
use support::contention::{Asked, Load, Loss, Outcome, PASSAGES, play};

/// A day of the large installation, in full.
fn large_load(seed: u64) -> Load {
    Load {
        deployment: PASSAGES,
        length: 34_000,
        burst: (0, 0),
        shifts: vec![1_000, 10_000, 19_000],
        losses: Vec::new(),
        without: Vec::new(),
        scale: 1.0,
        accounts: 0,
        flood: 1.0,
        priorities: true,
        replaced_at: None,
        seed,
    }
}

/// Returns a summary of how often adapters were served, by how often they were asked for.
fn table(outcome: &Outcome) -> String {
    let asked = outcome.asked();
    let steady: Vec<&Asked> = asked.values().filter(|row| row.is_steady()).collect();
    let starved = steady.iter().filter(|row| row.served == 0).count();
    let mut text = format!("{}\n  {} adapters through the day, {starved} never served", outcome.table(), steady.len());
    for (least, most) in [(1, 1), (2, 3), (4, 7), (8, 15), (16, 63), (64, usize::MAX)] {
        let rows = asked.values().filter(|row| (least..=most).contains(&row.callers));
        let (callers, served) = rows.fold((0, 0), |sum, row| (sum.0 + row.callers, sum.1 + row.served));
        text += &format!("\n  asked {least}+: {callers} callers, {:.3} served", served as f64 / callers.max(1) as f64);
    }
    text
}

#[test]
fn explore() {
    for (label, scale, losses) in [
        ("calm", 1.0, vec![]),
        ("more", 1.7, vec![]),
        ("quarter lost", 1.0, vec![Loss { at: 3_000, engines: 20, replaced_after: 2_000 }]),
        ("half lost", 1.0, vec![Loss { at: 3_000, engines: 39, replaced_after: 2_000 }]),
        ("half lost, more", 1.7, vec![Loss { at: 3_000, engines: 39, replaced_after: 2_000 }]),
        ("3/4 lost, more", 1.7, vec![Loss { at: 3_000, engines: 58, replaced_after: 2_000 }]),
        ("1.7, 2/5 lost for good", 1.7, vec![Loss { at: 3_000, engines: 32, replaced_after: 100_000 }]),
        ("1, 3/5 lost for good", 1.0, vec![Loss { at: 3_000, engines: 47, replaced_after: 100_000 }]),
    ] {
        let load = Load { scale, losses, ..large_load(1) };
        let at = std::time::Instant::now();
        let outcome = play(&load);
        println!("{label}: {} {:?}", table(&outcome), at.elapsed());
    }
    let _ = Feature::ALL;
}
