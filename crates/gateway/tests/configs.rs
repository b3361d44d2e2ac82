//! Configurations in quick succession among faults of VMs and of the key-value service.
//!
//! The bound is the users': a configuration is in force within two seconds on each VM that has been well for three, while the key-value
//! service has been.

mod support;

use dahliastile_core::time::{Instant, Span};
use rand::Rng;
use support::config;
use support::series::{CONTACT, Series, VMS, seeds};

/// Within so long a configuration is in force.
const IN_FORCE: Span = Span::from_secs(2);

/// The operator writes the next configuration, if it can.
fn configure(series: &mut Series, written: &mut Vec<(Instant, u64)>) {
    if series.world.store_up {
        let version = written.last().map_or(1, |(_, version)| *version) + 1;
        series.world.configure(config(version));
        written.push((series.world.now, version));
    }
}

/// The key-value service drops its history, a server's entry goes and comes back, or one is rewritten.
fn churn(series: &mut Series) {
    let server = format!("e{}", series.rng.random_range(0..8));
    let world = &mut series.world;
    match series.rng.random_range(0..40) {
        0 => world.store.compacted = world.store.revision,
        1 => {
            world.unlist(&server);
            world.rewrite(&server);
        }
        2..10 => world.rewrite(&server),
        _ => {}
    }
}

/// That each VM that is well has the configuration that it must have.
fn check(series: &Series, written: &[(Instant, u64)], seed: u64) {
    let now = series.world.now;
    let mut due = written.iter().rev();
    let due = due.find(|(at, _)| *at + IN_FORCE <= now);
    let Some((_, due)) = due.filter(|_| now >= series.store_troubled + CONTACT) else {
        return;
    };
    for vm in (0..VMS).filter(|vm| series.was_well(*vm, now)) {
        let gateway = series.world.hosts[vm].gateway.as_ref().expect("it runs");
        let version = gateway.version();
        assert!(
            version >= *due,
            "seed {seed}: at {now} vm{vm} has {version} of {due}"
        );
    }
}

/// Random series of a minute.
#[test]
fn config_isinforceamongfaults() {
    for seed in 0..seeds(10) {
        let mut series = Series::new(seed);
        let mut written = vec![(series.world.now, 1)];
        let end = series.world.now + Span::from_secs(60);
        while series.world.now < end {
            series.step();
            churn(&mut series);
            if series.rng.random_bool(0.05) {
                configure(&mut series, &mut written);
            }
            check(&series, &written, seed);
        }
    }
}
