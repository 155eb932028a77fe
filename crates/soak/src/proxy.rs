//! A TCP proxy on loopback that can inject link faults at run time.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::schedule::Link;

/// Delay of each read with [`Link::Delay`].
const DELAY: Duration = Duration::from_millis(400);
/// Interval at which a blocked connection checks whether the fault has ended.
const POLL: Duration = Duration::from_millis(20);

struct Shared {
    upstream: SocketAddr,
    link: AtomicU8,
    stopped: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// A running proxy; it stops when dropped.
pub(crate) struct Proxy {
    shared: Arc<Shared>,
    addr: SocketAddr,
}

impl Proxy {
    /// Starts a proxy in front of `upstream`.
    pub fn start(upstream: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            upstream,
            link: AtomicU8::new(Link::Pass as u8),
            stopped: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let acceptor = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.stopped.load(Ordering::Acquire) {
                    return;
                }
                acceptor.accept(stream);
            }
        });
        Ok(Proxy { shared, addr })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the link behaviour; [`Link::Cut`] closes all open connections.
    pub fn set(&self, link: Link) {
        self.shared.link.store(link as u8, Ordering::Release);
        if link == Link::Cut {
            self.shared.close_all();
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Release);
        self.shared.close_all();
        // Wakes the accepting thread, which then exits.
        let _ = TcpStream::connect(self.addr);
    }
}

impl Shared {
    fn is(&self, link: Link) -> bool {
        self.link.load(Ordering::Acquire) == link as u8
    }

    fn close_all(&self) {
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for stream in connections.drain(..) {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn accept(self: &Arc<Self>, client: TcpStream) {
        if self.is(Link::Cut) {
            return;
        }
        let Ok(store) = TcpStream::connect(self.upstream) else {
            return;
        };
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (from, to, is_response) in [(&client, &store, false), (&store, &client, true)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let shared = Arc::clone(self);
            thread::spawn(move || shared.copy(from, to, is_response));
        }
        connections.extend([client, store]);
    }

    /// Copies bytes in one direction. Bytes read while the link is blocked are
    /// dropped, and nothing more is forwarded in this direction of the connection.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, is_response: bool) {
        let mut buf = [0; 16_384];
        let mut blocked = false;
        while let Ok(length) = from.read(&mut buf) {
            if length == 0 {
                break;
            }
            blocked |= self.is(Link::Silent) || (is_response && self.is(Link::OneWay));
            if self.is(Link::Delay) {
                thread::sleep(DELAY);
            }
            if !blocked && to.write_all(&buf[..length]).is_err() {
                break;
            }
        }
        while blocked && !self.stopped.load(Ordering::Acquire) && self.is_blocking() {
            thread::sleep(POLL);
        }
        // Either end may have closed it.
        let _ = to.shutdown(Shutdown::Both);
    }

    fn is_blocking(&self) -> bool {
        self.is(Link::Silent) || self.is(Link::OneWay)
    }
}
