//! A TCP proxy on loopback whose behaviour can be changed while it runs.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::schedule::Link;

/// Delay of each piece of bytes while the link delays.
const DELAY: Duration = Duration::from_millis(400);
/// Time between two looks at the behaviour.
const POLL: Duration = Duration::from_millis(20);

struct Shared {
    to: SocketAddr,
    link: AtomicU8,
    ended: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

/// A running proxy; it ends when dropped.
pub(crate) struct Proxy {
    shared: Arc<Shared>,
    addr: SocketAddr,
}

impl Proxy {
    /// Starts a proxy in front of `to`.
    pub fn start(to: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            to,
            link: AtomicU8::new(Link::Pass as u8),
            ended: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let acceptor = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.ended.load(Ordering::Acquire) {
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

    /// Changes the behaviour; a cut closes what is open.
    pub fn set(&self, link: Link) {
        self.shared.link.store(link as u8, Ordering::Release);
        if link == Link::Cut {
            self.shared.close_all();
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Release);
        self.shared.close_all();
        // Wakes the thread that accepts, which then ends.
        let _ = TcpStream::connect(self.addr);
    }
}

impl Shared {
    fn is(&self, link: Link) -> bool {
        self.link.load(Ordering::Acquire) == link as u8
    }

    fn close_all(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in open.drain(..) {
            // It may be closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn accept(self: &Arc<Self>, caller: TcpStream) {
        if self.is(Link::Cut) {
            return;
        }
        let Ok(store) = TcpStream::connect(self.to) else {
            return;
        };
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for (from, to, answers) in [(&caller, &store, false), (&store, &caller, true)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let shared = Arc::clone(self);
            thread::spawn(move || shared.copy(from, to, answers));
        }
        open.extend([caller, store]);
    }

    /// Copies bytes one way. What comes while the link holds them back is lost,
    /// and its connection stays silent from then on.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, answers: bool) {
        let mut buf = [0; 16_384];
        let mut lost = false;
        while let Ok(length) = from.read(&mut buf) {
            if length == 0 {
                break;
            }
            lost |= self.is(Link::Silent) || (answers && self.is(Link::OneWay));
            if self.is(Link::Delay) {
                thread::sleep(DELAY);
            }
            if !lost && to.write_all(&buf[..length]).is_err() {
                break;
            }
        }
        while lost && !self.ended.load(Ordering::Acquire) && self.holds() {
            thread::sleep(POLL);
        }
        // Either end may have closed it.
        let _ = to.shutdown(Shutdown::Both);
    }

    fn holds(&self) -> bool {
        self.is(Link::Silent) || self.is(Link::OneWay)
    }
}
