//! Waits that a token can end.

use std::thread;
use std::time::{Duration, Instant};

use dahliastile_outside::{Cancel, Wake};

/// How often each of the threads meets the end of a channel. With the fault that this was written for, one wait in some
/// tens of thousands lost the last messages, on a machine with more to do than cores.
const ROUNDS: usize = 20_000;

/// Threads that wait beside each other, more than most machines have cores for.
const THREADS: usize = 12;

/// Messages that are sent right before the sender goes, as the last token of a stream and its end are.
const LAST: usize = 3;

#[test]
fn receive_takesthelastmessagesofasenderthatgoes() {
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| (0..ROUNDS).for_each(receive_all));
        }
    });
}

/// Receives from a sender that goes right after its last message.
fn receive_all(round: usize) {
    let cancel = Cancel::new();
    let deadline = Instant::now() + Duration::from_hours(1);
    let (sender, messages) = flume::bounded(LAST);
    let sending = thread::spawn(move || {
        for message in 0..LAST {
            sender.send(message).unwrap();
        }
    });
    let mut received = 0;
    while let Wake::Message(message) = cancel.receive(&messages, deadline) {
        assert_eq!(message, received);
        received += 1;
    }
    assert_eq!(received, LAST, "round {round}");
    sending.join().unwrap();
}

#[test]
fn receive_endswhencancelled() {
    let cancel = Cancel::new();
    let (_sender, messages) = flume::bounded::<()>(1);
    let waiting = {
        let (cancel, messages) = (cancel.clone(), messages.clone());
        let deadline = Instant::now() + Duration::from_hours(1);
        thread::spawn(move || cancel.receive(&messages, deadline))
    };
    cancel.cancel();
    assert_eq!(waiting.join().unwrap(), Wake::Cancelled);
}
