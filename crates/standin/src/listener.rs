//! Closes listening sockets.

use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::fd::OwnedFd;

/// Ends listening at once: connections that wait are reset, and new ones are refused on return.
///
/// Dropping a listener only closes one descriptor. A process that another thread has just forked holds a copy until its
/// exec, and with it the port would go on taking connections that nobody accepts.
pub(crate) fn close(listener: TcpListener) {
    let socket = TcpStream::from(OwnedFd::from(listener));
    // It fails only where the socket does not listen any more.
    let _ = socket.shutdown(Shutdown::Both);
}
