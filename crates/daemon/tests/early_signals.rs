//! Signals that come while a VM still starts. A supervisor that tells all processes to read their settings again, or to end,
//! does not wait for one that it has just started.

#[path = "platform/fleet.rs"]
mod fleet;
mod pipe;

use fleet::{Fleet, Vm, config, settings_text, until};
use pipe::Pipe;

/// Starts a VM and sends it a signal while it reads its settings. Returns it with what it has read them from.
fn signalled(fleet: &Fleet, signal: &str) -> (Vm, Pipe) {
    let pipe = Pipe::new(&format!("early{signal}"));
    let vm = fleet.start_from(1, pipe.path().to_owned());
    let reader = pipe.reader();
    vm.signal(signal);
    let ip = fleet.address(1, 0).ip();
    let text = settings_text(1, ip, fleet.address(250, 8142));
    pipe.release(reader, &text);
    (vm, pipe)
}

/// Guards against a VM that is ended by the signal to read its settings again, with no line in its log and no error, as its
/// process had not yet said that it takes signals.
#[test]
fn hangup_whileitstarts() {
    let mut fleet = Fleet::bare(0);
    fleet.store.put("op/config", &config(1));
    let logs = std::env::temp_dir().join(format!("early-hangup-{}", std::process::id()));
    std::fs::create_dir_all(&logs).expect("the directory is made");
    fleet.logs = Some(logs.clone());
    let (mut vm, _pipe) = signalled(&fleet, "-HUP");
    until("it is ready", || vm.ended().is_some() || vm.ready());
    assert_eq!(vm.ended(), None, "the signal has ended it");
    let log = || std::fs::read_to_string(logs.join("vm1.log")).unwrap_or_default();
    until("it has read its settings again", || {
        log().contains("outcome=taken")
    });
    let _ = std::fs::remove_dir_all(&logs);
}

/// Guards against a VM that is ended by the signal to end, instead of with 0, for the same reason.
#[test]
fn terminate_whileitstarts() {
    let fleet = Fleet::bare(0);
    fleet.store.put("op/config", &config(1));
    let (mut vm, _pipe) = signalled(&fleet, "-TERM");
    until("it has ended", || !vm.runs());
    assert_eq!(vm.ended(), Some(0));
}
