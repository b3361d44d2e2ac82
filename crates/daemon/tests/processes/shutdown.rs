//! VMs that are told to stop: nothing in progress is interrupted, and what was not taken in did not run.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use dahliastile_standin::caller::Request;
use serde_json::json;

use crate::checks::{begin, broken, whole_or_not_run};
use crate::fleet::{self, FENCED, Fleet, UNFENCED, Vm, error};
use crate::process::until;
use crate::support::{self, connect};

#[test]
fn sigterm_in_a_stream() {
    let mut fleet = Fleet::start();
    let place = fleet.holder("plans");
    fleet.fenced.fault(&json!({ "step_us": 5_000 }));
    let long = fleet.vms[place].completion("lock@1", "a long way", 300);
    let stream = begin(&long);
    let vm = &mut fleet.vms[place];
    vm.process.signal("TERM");
    until("no caller is taken", || {
        TcpStream::connect(vm.callers).is_err()
    });
    assert!(!vm.ready());
    assert_eq!(stream.join().unwrap().verify(&long), Ok(()));
    let (code, lines) = vm.process.end();
    assert_eq!(code, Some(0));
    assert!(lines.contains("draining") && lines.contains("stopped"));
    let name = vm.name;
    for vm in fleet.vms.iter().filter(|vm| vm.name != name) {
        until("the domain is handed over", || {
            vm.holder("plans").is_some_and(|holder| holder != name)
        });
        until("all adapters are served", || {
            whole_or_not_run(vm, &FENCED, 3) == 4
        });
    }
    fleet.assert_harmless();
}

#[test]
fn sigterm_before_a_request_is_whole() {
    let mut fleet = Fleet::start();
    let booking = fleet::booking("late");
    let body = booking.len() - 4;
    // Nothing, part of the head, and part of the body come before the signal.
    for (vm, sent) in fleet.vms.iter_mut().zip([0, body - 20, body + 2]) {
        let mut caller = connect(vm.callers);
        caller.write_all(&booking[..sent]).unwrap();
        vm.process.signal("TERM");
        until("no caller is taken", || {
            TcpStream::connect(vm.callers).is_err()
        });
        caller.write_all(&booking[sent..]).unwrap();
        let mut answer = Vec::new();
        caller.read_to_end(&mut answer).unwrap();
        assert_eq!(support::parse(&answer).error(), turned_away(), "{sent}");
        assert_eq!(vm.process.end().0, Some(0));
    }
    assert_eq!(fleet.booked("late"), 0);
}

#[test]
fn second_sigterm_says_what_it_cuts() {
    let mut fleet = Fleet::start();
    fleet.fenced.fault(&json!({ "step_us": 5_000 }));
    let stream = begin(&fleet.vms[1].completion("lock@1", "a long way", 5_000));
    let process = &mut fleet.vms[1].process;
    process.signal("TERM");
    process.wrote("draining");
    process.signal("TERM");
    broken(&stream.join().unwrap(), "cut");
    let (code, log) = process.end();
    assert_eq!(code, Some(0));
    assert!(
        log.contains("cutting") && log.contains("may_have_run"),
        "{log}"
    );
}

/// A booking with a body of this many bytes.
fn booking_of(key: &str, length: usize) -> Vec<u8> {
    let headers = [support::bearer(), format!("Idempotency-Key: {key}")];
    let headers = headers.each_ref().map(String::as_str);
    support::request(
        "POST",
        "/services/berths/book",
        &headers,
        &"7".repeat(length),
    )
}

/// Begins a booking that never ends, has the VM told to stop, and reads what comes.
fn stopped_within(vm: &mut Vm, booking: &[u8]) -> Vec<u8> {
    let mut caller = connect(vm.callers);
    caller.write_all(booking).unwrap();
    vm.process.signal("TERM");
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).unwrap();
    assert_eq!(vm.process.end().0, Some(0));
    answer
}

/// Guards against a connection that is closed without a word where the head of a request is still coming when the VM stops
/// reading.
#[test]
fn sigterm_within_a_head() {
    let mut fleet = Fleet::start();
    let booking = fleet::booking("head");
    let answer = stopped_within(&mut fleet.vms[0], &booking[..booking.len() / 2]);
    assert_eq!(support::parse(&answer).error(), turned_away());
}

/// Guards against a connection that is closed without a word, or a request that is refused as malformed, never to be repeated,
/// where its body is still coming when the VM stops reading.
#[test]
fn sigterm_within_a_body() {
    /// A body that the HTTP library reads before it hands the request on, and one that it doesn't.
    const LENGTHS: [usize; 2] = [10, 5_000];
    let mut fleet = Fleet::start();
    for (vm, length) in fleet.vms.iter_mut().zip(LENGTHS) {
        let booking = booking_of("body", length);
        let answer = stopped_within(vm, &booking[..booking.len() - 2]);
        assert_eq!(support::parse(&answer).error(), turned_away(), "{length}");
    }
    assert_eq!(fleet.booked("body"), 0);
}

/// Guards against an answer that is lost to a caller which writes its whole request before it reads, as the VM closes the
/// connection under it.
#[test]
fn sigterm_while_a_body_comes() {
    const PIECE: usize = 1_000;
    const PAUSE: Duration = Duration::from_millis(20);
    /// Pieces that still come after the answer.
    const MORE: usize = 10;
    let mut fleet = Fleet::start();
    let booking = booking_of("long", 1_000_000);
    let mut pieces = booking.chunks(PIECE);
    let vm = &mut fleet.vms[0];
    let mut caller = connect(vm.callers);
    caller.set_nonblocking(true).unwrap();
    vm.process.signal("TERM");
    let mut write = |caller: &mut TcpStream| {
        caller.write_all(pieces.next().expect("more of the body"))?;
        thread::sleep(PAUSE);
        Ok::<(), std::io::Error>(())
    };
    while caller.peek(&mut [0]).is_err() {
        write(&mut caller).expect("nothing is closed before the answer");
    }
    for _ in 0..MORE {
        write(&mut caller).expect("the rest is taken, too");
    }
    let mut answer = vec![0; PIECE];
    let count = caller.read(&mut answer).expect("the answer");
    answer.truncate(count);
    assert_eq!(support::parse(&answer).error(), turned_away());
    drop(caller);
    assert_eq!(vm.process.end().0, Some(0));
    assert_eq!(fleet.booked("long"), 0);
}

/// Guards against requests without an answer where a VM is told to stop twice while they wait for a load, for a claim, or
/// for an engine that has gone silent.
#[test]
fn second_sigterm_answers_what_waits() {
    let mut fleet = Fleet::start();
    let (warm, cold) = (FENCED[0], FENCED[1]);
    until("it is resident", || {
        whole_or_not_run(&fleet.vms[1], &[warm], 3) == 1
    });
    fleet.fenced.outage("silent");
    fleet.kv.outage("silent");
    let vm = &fleet.vms[1];
    let ask = |model| {
        let request = vm.completion(model, "silence", 3);
        thread::spawn(move || error(&request.send().unwrap()))
    };
    let (at_engine, for_load) = (ask(warm), ask(cold));
    let callers = vm.callers;
    let for_claim = thread::spawn(move || support::raw(callers, &fleet::booking("waits")).error());
    until("all are in progress", || {
        vm.status()["in_progress"].as_u64() >= Some(2)
    });
    let process = &mut fleet.vms[1].process;
    process.signal("TERM");
    process.wrote("draining");
    process.signal("TERM");
    assert_eq!(
        at_engine.join().unwrap(),
        ("cut".to_owned(), "unknown".to_owned())
    );
    assert_eq!(for_load.join().unwrap(), turned_away());
    let (kind, ran) = for_claim.join().unwrap();
    assert!(
        ["shutting_down", "platform_down"].contains(&kind.as_str()),
        "{kind}"
    );
    assert_eq!(ran, "no");
    assert_eq!(process.end().0, Some(0));
    assert_eq!(fleet.booked("waits"), 0);
}

/// What callers see while VMs are replaced.
#[derive(Default)]
struct Tally {
    /// Whole answers.
    whole: usize,
    /// Requests that a VM which is shutting down did not take.
    turned_away: usize,
    /// Everything else.
    faults: Vec<String>,
}

impl Tally {
    fn count(&mut self, request: &Request) {
        match request.send() {
            Ok(answer) if answer.verify(request) == Ok(()) => self.whole += 1,
            Ok(answer) if answer.error.is_some() && error(&answer) == turned_away() => {
                self.turned_away += 1;
            }
            // Nothing was sent.
            Err(minreq::Error::IoError(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                self.turned_away += 1;
            }
            other => self.faults.push(format!("{} got {other:?}", request.body)),
        }
    }
}

fn turned_away() -> (String, String) {
    ("shutting_down".to_owned(), "no".to_owned())
}

/// Asks one VM after the other until told to stop.
fn load(rotation: &Mutex<Vec<SocketAddr>>, over: &AtomicBool, number: usize) -> Tally {
    let mut tally = Tally::default();
    let models = FENCED.iter().chain(&UNFENCED).cycle().skip(number);
    for (turn, model) in models.enumerate() {
        if over.load(Ordering::SeqCst) {
            break;
        }
        let address = rotation.lock().unwrap()[(turn + number) % 3];
        let request = Request::completion(address, model, "under load", 10);
        tally.count(&fleet::authorized(request).header("X-Timeout-Ms", "10000"));
    }
    tally
}

#[test]
fn vms_replaced_one_by_one_under_load() {
    let mut fleet = Fleet::start();
    let rotation = Mutex::new(fleet.vms.iter().map(|vm| vm.callers).collect::<Vec<_>>());
    let over = AtomicBool::new(false);
    let tallies = thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|number| {
                scope.spawn({
                    let (rotation, over) = (&rotation, &over);
                    move || load(rotation, over, number)
                })
            })
            .collect();
        for place in 0..fleet.vms.len() {
            fleet.vms[place].process.signal("TERM");
            assert_eq!(fleet.vms[place].process.end().0, Some(0));
            fleet.restart(place);
            fleet.vms[place].settle();
            rotation.lock().unwrap()[place] = fleet.vms[place].callers;
            let edition = fleet.vms[place].edit(&format!("after {place}"), 1, &json!([{
                "put_adapter": { "name": format!("tug-{place}"), "service": "plans", "versions": ["1"] },
            }]));
            assert_eq!(edition, place as u64 + 2, "no edition is lost");
        }
        over.store(true, Ordering::SeqCst);
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .collect::<Vec<_>>()
    });
    let faults: Vec<_> = tallies.iter().flat_map(|tally| &tally.faults).collect();
    assert!(faults.is_empty(), "{faults:#?}");
    assert!(tallies.iter().all(|tally| tally.whole > 0));
    fleet.assert_harmless();
}
