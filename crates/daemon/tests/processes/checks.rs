//! What callers do and what they check of their answers.

use std::ops::ControlFlow;
use std::thread::{self, JoinHandle};

use dahliastile_standin::caller::{Answer, Request};

use crate::fleet::{Vm, error};
use crate::support::Reply;

/// Sends a request and checks that its answer is whole and by the adapter it names.
pub(crate) fn whole(request: &Request) {
    let answer = request.send().unwrap();
    answer
        .verify(request)
        .unwrap_or_else(|fault| panic!("{fault}: {answer:?}"));
}

/// Sends one request after the other and counts the whole answers; others did not run, or met the deadline in their run.
pub(crate) fn whole_or_not_run(vm: &Vm, models: &[&str], tokens: u64) -> usize {
    let mut answered = 0;
    for model in models {
        let request = vm
            .completion(model, "from Rotterdam", tokens)
            .header("X-Timeout-Ms", "1500");
        let answer = request.send().unwrap();
        match answer.verify(&request) {
            Ok(()) => answered += 1,
            Err(_) if error(&answer) == late() => {}
            Err(fault) => assert_eq!(error(&answer).1, "no", "{fault}: {answer:?}"),
        }
    }
    answered
}

fn late() -> (String, String) {
    ("deadline_in_run".to_owned(), "unknown".to_owned())
}

/// A repeated key is answered with the first run's result, or says that it may have run.
pub(crate) fn repeated(vm: &Vm, key: &str, first: Option<&Reply>) {
    let again = vm.book(key);
    match first {
        Some(first) if again.status == 200 => assert_eq!(again.body, first.body),
        _ => {
            let (kind, ran) = again.error();
            assert_eq!(kind, "duplicate");
            assert_ne!(ran, "no", "{key} ran");
        }
    }
}

/// Begins a stream on a thread and returns when its first tokens have come.
pub(crate) fn begin(request: &Request) -> JoinHandle<Answer> {
    const FIRST: usize = 3;
    let request = request.clone();
    let (sender, begun) = flume::bounded(1);
    let stream = thread::spawn(move || {
        let answer = request.send_while(|tokens| {
            if tokens.len() == FIRST {
                // An event without a token shows the same ones again.
                let _ = sender.try_send(());
            }
            ControlFlow::Continue(())
        });
        answer.unwrap()
    });
    begun.recv().expect("the stream begins");
    stream
}

/// An answer that is not whole says so.
pub(crate) fn broken(answer: &Answer, kind: &str) {
    assert!(!answer.finished, "{answer:?}");
    let (got, ran) = error(answer);
    assert_eq!(got, kind);
    assert_ne!(ran, "no", "it ran");
}
