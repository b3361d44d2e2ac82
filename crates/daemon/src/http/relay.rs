//! The two threads of a connection: one passes requests in, the other passes answers out.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use dahliastile_core::error::Kind;

use super::gate::{Connection, STACK, Shared};
use super::head::{self, Refusal};

/// Bytes moved at a time.
const BUFFER: usize = 16 * 1024;

/// The target of the request that stands for a refused one; no request that passes the check has it.
pub(super) const REFUSED: &str = "refused";

/// What is passed on in place of a refused request, so that its answer comes in turn.
const STAND_IN: &[u8] = b"GET refused HTTP/1.1\r\nConnection: close\r\n\r\n";

/// Bytes of a refused request that are read and thrown away, so that its caller gets to read the answer.
const LINGER: usize = 64 * 1024 * 1024;

/// The largest body, in bytes, that the HTTP library reads before it hands its request on. It drops the connection where one
/// is cut short, so that these are passed on only when they are whole.
const READ_FIRST: usize = 1024;

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
fn pass_in(shared: &Shared, connection: &Connection) -> io::Result<()> {
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
        bytes.drain(..size);
        let whole = head.expects || head.body > READ_FIRST || {
            await_body(connection, &mut bytes, head.body)?
        };
        if !whole {
            return if shared.is_closing() {
                stop(connection)
            } else {
                Ok(())
            };
        }
        connection.pass();
        (&connection.inner).write_all(&head.bytes)?;
        if !pass_body(connection, &mut bytes, head.body)? {
            if shared.is_closing() {
                connection.stop();
            }
            return Ok(());
        }
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
    connection: &Connection,
    bytes: &mut Vec<u8>,
) -> io::Result<Result<Option<usize>, Refusal>> {
    let mut begun = None;
    loop {
        if let Some(size) = head::end(bytes) {
            return Ok(Ok(Some(size)));
        }
        if bytes.len() > shared.limits.header_bytes {
            return Ok(Err(too_large(shared)));
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
                bytes.extend_from_slice(&buffer[..count]);
                return Ok(count);
            }
            Err(error) => return Err(error),
        }
    }
}

/// Reads until a body is there; says whether it is whole.
fn await_body(connection: &Connection, bytes: &mut Vec<u8>, length: usize) -> io::Result<bool> {
    while bytes.len() < length {
        if read_more(connection, bytes)? == 0 {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Passes a body on; says whether it was whole.
fn pass_body(connection: &Connection, bytes: &mut Vec<u8>, length: usize) -> io::Result<bool> {
    let mut left = length;
    loop {
        let ready = left.min(bytes.len());
        (&connection.inner).write_all(&bytes[..ready])?;
        bytes.drain(..ready);
        left -= ready;
        if left == 0 {
            return Ok(true);
        }
        if read_more(connection, bytes)? == 0 {
            return Ok(false);
        }
    }
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
        // A caller that does not read within its time counts as gone.
        if (&connection.caller).write_all(&buffer[..count]).is_err() {
            return connection.lose();
        }
    }
    match connection.is_refused() {
        // With both sides closed, the system would answer what still comes by a reset. The other thread closes.
        _ if connection.is_stopped() => {}
        true => drop(connection.caller.shutdown(Shutdown::Write)),
        false => connection.cut(),
    }
}
