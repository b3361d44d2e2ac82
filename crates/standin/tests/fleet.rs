//! Stand-ins of the users' platform that end.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use dahliastile_standin::fleet::Crash;

/// Servers that end. Where listeners were only dropped, 137 to 169 of them took a connection afterwards in three runs.
const SERVERS: u32 = 300;
/// Threads that start processes meanwhile.
const FORKS: u32 = 8;

/// Guards against a port that goes on taking connections after its server has ended, since a process that another thread
/// has just forked holds a copy of the listening socket.
#[test]
fn crash_portisclosedbesideforks() {
    let over = AtomicBool::new(false);
    let open = thread::scope(|scope| {
        let fork = || {
            while !over.load(Ordering::Relaxed) {
                let status = Command::new("true").stdout(Stdio::null()).status();
                assert!(status.is_ok_and(|status| status.success()));
            }
        };
        let forks: Vec<_> = (0..FORKS).map(|_| scope.spawn(fork)).collect();
        // The source of a connection is another address, so none connects to itself.
        let any = SocketAddr::from((Ipv4Addr::new(127, 0, 0, 2), 0));
        let takes = |_: &u32| {
            let server = Crash::start(any).expect("it listens");
            drop(TcpStream::connect(server.address()).expect("it takes a connection"));
            assert!(server.ended(Duration::from_secs(20)), "it has not ended");
            TcpStream::connect(server.address()).is_ok()
        };
        let open = (0..SERVERS).filter(takes).count();
        over.store(true, Ordering::Relaxed);
        for fork in forks {
            fork.join().expect("processes start");
        }
        open
    });
    assert_eq!(open, 0, "servers that had ended took a connection");
}
