//! The two threads of a connection: one passes requests in, the other passes answers out.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use dahliastile_core::error::Kind;
use dahliastile_intake::{Phase, Size};

use super::gate::{Connection, STACK, Shared};
use super::head::{self, Head, Refusal};
use super::intake::{Charge, REQUEST_COPIES};

/// Bytes moved at a time.
const BUFFER: usize = 16 * 1024;

/// The target of the request that stands for a refused one; no request that passes the check has it.
pub(super) const REFUSED: &str = "refused";

/// What is passed on in place of a refused request, so that its answer comes in turn.
const STAND_IN: &[u8] = b"GET refused HTTP/1.1\r\nConnection: close\r\n\r\n";

/// Bytes of a refused request that are read and thrown away, so that its caller gets to read the answer.
const LINGER: usize = 64 * 1024 * 1024;

/// The answer to a caller that waits for a word before it sends the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The pause between two looks whether earlier answers are written, before that word is sent.
const CONTINUE_PAUSE: Duration = Duration::from_millis(5);

/// A head or a body up to this size is counted with its connection.
const UNCOUNTED: usize = 16 * 1024;

/// How long the caller of a refused request may stay silent before its connection is closed.
const LINGER_SILENCE: Duration = Duration::from_secs(2);

/// The pause between two looks at what is still sent of a request of which the VM reads no more.
const LINGER_PAUSE: Duration = Duration::from_millis(20);

/// Runs a connection to its end.
pub(super) fn run(shared: &Arc<Shared>, connection: &Arc<Connection>) {
    let outward = Arc::clone(connection);
    let answers = thread::Builder::new()
        .name("answers".to_owned())
        .stack_size(STACK)
        .spawn(move || pass_out(&outward));
    let Ok(answers) = answers else {
        return connection.cut();
    };
    match pass_in(shared, connection) {
        // What has been passed on is still answered.
        Ok(()) if connection.is_refused() || shared.is_closing() => {
            let _ = connection.inner.shutdown(Shutdown::Write);
        }
        Ok(()) | Err(_) => connection.lose(),
    }
    // A panic of the thread has already ended the connection.
    let _ = answers.join();
    if connection.is_stopped() {
        discard(connection);
    }
    connection.cut();
    connection.drop_charges();
}

/// Tells a caller for whom there is no connection left.
pub(super) fn turn_away(mut caller: &TcpStream) -> io::Result<()> {
    const BODY: &str = r#"{"error":{"kind":"queue_full","ran":"no","retry_after_ms":1000,"request_id":null,"message":"too many connections"}}"#;
    let head = format!(
        "HTTP/1.1 429 Too Many Requests\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Retry-After: 1\r\nConnection: close\r\n\r\n",
        BODY.len()
    );
    caller.write_all(head.as_bytes())?;
    caller.write_all(BODY.as_bytes())?;
    caller.shutdown(Shutdown::Write)
}

/// Passes requests in until the caller closes or one is refused.
fn pass_in(shared: &Shared, connection: &Arc<Connection>) -> io::Result<()> {
    let mut bytes: Vec<u8> = Vec::new();
    loop {
        let size = match read_head(shared, connection, &mut bytes)? {
            Ok(Some(size)) => size,
            Ok(None) => return Ok(()),
            Err(refusal) => return refuse(connection, refusal),
        };
        let checked = match &bytes[..size] {
            head if head.len() > shared.limits.header_bytes => Err(too_large(shared)),
            head => head::check(head, shared.limits.body_bytes),
        };
        let head = match checked {
            Ok(head) => head,
            Err(refusal) => return refuse(connection, refusal),
        };
        if head.body > 0
            && let Err(refusal) = shared.admission.admit(&head)
        {
            return refuse(connection, refusal);
        }
        bytes.drain(..size);
        connection.slot.enter(Phase::Reading);
        let mut charge = Charge::new(connection);
        let whole = match await_body(connection, &mut bytes, &head, &mut charge)? {
            Ok(whole) => whole,
            Err(refusal) => return refuse(connection, refusal),
        };
        if !whole {
            return if shared.is_closing() {
                stop(connection)
            } else {
                Ok(())
            };
        }
        connection.slot.enter(Phase::Running);
        connection.pass(charge);
        (&connection.inner).write_all(&head.bytes)?;
        (&connection.inner).write_all(&bytes[..head.body])?;
        bytes = bytes.split_off(head.body);
        connection.passed();
        shared.notify();
        if shared.is_closing() {
            return Ok(());
        }
    }
}

fn too_large(shared: &Shared) -> Refusal {
    Refusal {
        kind: Kind::HeadersTooLarge,
        detail: format!("a head has at most {} bytes", shared.limits.header_bytes),
    }
}

/// Reads until a whole head is there and says how long it is; none where the caller has closed.
fn read_head(
    shared: &Shared,
    connection: &Arc<Connection>,
    bytes: &mut Vec<u8>,
) -> io::Result<Result<Option<usize>, Refusal>> {
    let mut begun = None;
    let mut charge = Charge::new(connection);
    loop {
        if let Some(size) = head::end(bytes) {
            return Ok(Ok(Some(size)));
        }
        if bytes.len() > shared.limits.header_bytes {
            return Ok(Err(too_large(shared)));
        }
        if bytes.len() > UNCOUNTED && !charge.extend_to(Size(bytes.len())) {
            return Ok(Err(Refusal::no_room()));
        }
        let begun_at = *begun.get_or_insert_with(Instant::now);
        let late = !bytes.is_empty() && begun_at.elapsed() > shared.limits.idle;
        match read_more(connection, bytes) {
            _ if late => return Err(ErrorKind::TimedOut.into()),
            // The gate ends the reading, and whoever has begun a request is told so.
            Ok(0) if !bytes.is_empty() && shared.is_closing() => {
                connection.stop();
                return Ok(Err(Refusal::stopping()));
            }
            Ok(0) => return Ok(Ok(None)),
            Ok(_) => {}
            // A caller that waits for its answer has nothing to say.
            Err(error) if is_timeout(&error) && bytes.is_empty() && connection.is_busy() => {
                begun = None;
            }
            Err(error) => return Err(error),
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

fn read_more(connection: &Connection, bytes: &mut Vec<u8>) -> io::Result<usize> {
    let mut buffer = [0; BUFFER];
    loop {
        match (&connection.caller).read(&mut buffer) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Ok(count) => {
                connection.slot.progress(count);
                bytes.extend_from_slice(&buffer[..count]);
                return Ok(count);
            }
            Err(error) => return Err(error),
        }
    }
}

/// Reads until a body is there, as there is room for it, so that no thread that answers requests waits for a caller. Says
/// whether the body is whole.
fn await_body(
    connection: &Connection,
    bytes: &mut Vec<u8>,
    head: &Head,
    charge: &mut Charge,
) -> io::Result<Result<bool, Refusal>> {
    if head.expects && bytes.len() < head.body {
        // The word may not come within the answer to an earlier request.
        while connection.is_busy() && !connection.is_gone() {
            thread::sleep(CONTINUE_PAUSE);
        }
        (&connection.caller).write_all(CONTINUE)?;
    }
    loop {
        let length = bytes.len().min(head.body);
        if length > UNCOUNTED && !charge.extend_to(Size(length) * REQUEST_COPIES) {
            return Ok(Err(Refusal::no_room()));
        }
        if length == head.body {
            break;
        }
        if read_more(connection, bytes)? == 0 {
            return Ok(Ok(false));
        }
    }
    if head.is_json() && !charge.extend_by_json(&bytes[..head.body]) {
        return Ok(Err(Refusal::no_room()));
    }
    Ok(Ok(true))
}

/// Refuses a request of which the VM reads no more.
fn stop(connection: &Connection) -> io::Result<()> {
    connection.stop();
    refuse(connection, Refusal::stopping())
}

/// Throws away, for a while after the answer, what is still sent of a request of which the VM reads no more. Closing at once
/// would fail the writes of its caller, which then may not look for an answer.
fn discard(connection: &Connection) {
    let begun = Instant::now();
    let mut buffer = [0; BUFFER];
    while begun.elapsed() < LINGER_SILENCE {
        match (&connection.caller).read(&mut buffer) {
            // The reading side is closed: this says that nothing has come, not that the caller has closed.
            Ok(0) => thread::sleep(LINGER_PAUSE),
            Ok(_) => {}
            Err(_) => return,
        }
    }
}

/// Passes a refused request on as such, and throws away what its caller still sends.
fn refuse(connection: &Connection, refusal: Refusal) -> io::Result<()> {
    connection.refuse(refusal);
    (&connection.inner).write_all(STAND_IN)?;
    connection.inner.shutdown(Shutdown::Write)?;
    connection.caller.set_read_timeout(Some(LINGER_SILENCE))?;
    let mut buffer = [0; BUFFER];
    let mut thrown = 0;
    while thrown < LINGER {
        match (&connection.caller).read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => thrown += count,
        }
    }
    Ok(())
}

/// Passes answers out until the HTTP library closes.
fn pass_out(connection: &Connection) {
    let mut buffer = [0; BUFFER];
    loop {
        let count = match (&connection.inner).read(&mut buffer) {
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        connection.slot.enter(Phase::Writing);
        // A caller that does not read within its time counts as gone.
        if (&connection.caller).write_all(&buffer[..count]).is_err() {
            return connection.lose();
        }
        connection.rest();
    }
    match connection.is_refused() {
        // With both sides closed, the system would answer what still comes by a reset. The other thread closes.
        _ if connection.is_stopped() => {}
        true => drop(connection.caller.shutdown(Shutdown::Write)),
        false => connection.cut(),
    }
}
