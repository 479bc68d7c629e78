//! The links of one instance to all endpoints, which a test can cut.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU8, Ordering},
    },
    thread,
    time::Duration,
};

use peatdeck_core::relay::directory::{Change, Entry};
use socket2::SockRef;

/// How often a link checks whether it was cut.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Connections that fill the queue of a listener which accepts none.
const BLOCKERS: usize = 3;

/// How the links are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Cut {
    /// Everything passes.
    None,
    /// Open connections carry nothing, and new ones get no answer.
    Hang,
    /// Open connections are reset, and new ones refused.
    Refuse,
    /// Open connections work, and new ones are refused.
    RefuseNew,
    /// Open connections are reset, and new ones as soon as they are open.
    Reset,
    /// Open connections carry nothing, and neither do new ones, which open.
    Silent,
}

const CUTS: [Cut; 6] = [Cut::None, Cut::Hang, Cut::Refuse, Cut::RefuseNew, Cut::Reset, Cut::Silent];

/// The links of one instance. Clones share them.
#[derive(Clone, Default)]
pub struct EndpointLinks {
    cut: Arc<AtomicU8>,
    addrs: Arc<Mutex<HashMap<Arc<str>, Arc<str>>>>,
}

impl EndpointLinks {
    pub fn cut(&self, cut: Cut) {
        self.cut.store(cut as u8, Ordering::SeqCst);
    }

    fn state(&self) -> Cut {
        CUTS[usize::from(self.cut.load(Ordering::SeqCst))]
    }

    /// Replaces the address of an endpoint's entry by that of a link to it.
    pub fn redirect(&self, change: Result<Change, String>) -> Result<Change, String> {
        let Ok(Change::Put(entry)) = change else { return change };
        let mut addrs = self.addrs.lock().unwrap();
        let link = || self.open(entry.addr.parse().unwrap());
        let addr = addrs.entry(entry.addr.clone()).or_insert_with(link).clone();
        Ok(Change::Put(Entry { addr, ..entry }))
    }

    fn open(&self, target: SocketAddr) -> Arc<str> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let links = self.clone();
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                listener = links.serve(listener.take(), addr, target);
            }
        });
        Arc::from(addr.to_string())
    }

    /// Serves a link until its state changes. Returns the listener unless it was closed.
    fn serve(
        &self,
        listener: Option<TcpListener>,
        addr: SocketAddr,
        target: SocketAddr,
    ) -> Option<TcpListener> {
        let state = self.state();
        let unchanged = || self.state() == state;
        if matches!(state, Cut::Refuse | Cut::RefuseNew) {
            drop(listener);
            wait_while(unchanged);
            return None;
        }
        let listener = listener.unwrap_or_else(|| TcpListener::bind(addr).unwrap());
        listener.set_nonblocking(true).unwrap();
        if state == Cut::Hang {
            // The kernel ignores new connections while the queue is full.
            SockRef::from(&listener).listen(0).unwrap();
            let connect = || TcpStream::connect_timeout(&addr, POLL_INTERVAL).ok();
            let blockers: Vec<_> = (0..BLOCKERS).map(|_| connect()).collect();
            wait_while(unchanged);
            drop(blockers);
            SockRef::from(&listener).listen(128).unwrap();
            return Some(listener);
        }
        while unchanged() {
            match listener.accept() {
                Ok((near, _)) if state == Cut::Reset => reset(&near),
                Ok((near, _)) => self.carry(near, target),
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
        Some(listener)
    }

    fn carry(&self, near: TcpStream, target: SocketAddr) {
        // If the endpoint has ended, the connection is closed.
        let Ok(far) = TcpStream::connect(target) else { return };
        for (from, to) in [(&near, &far), (&far, &near)] {
            from.set_nonblocking(false).unwrap();
            from.set_read_timeout(Some(POLL_INTERVAL)).unwrap();
            let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
            let links = self.clone();
            thread::spawn(move || links.copy(from, to));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = [0; 4096];
        loop {
            match self.state() {
                Cut::Hang | Cut::Silent => {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                }
                Cut::Refuse | Cut::Reset => {
                    reset(&from);
                    reset(&to);
                    return;
                }
                Cut::None | Cut::RefuseNew => {}
            }
            match from.read(&mut chunk) {
                Ok(0) => break,
                Ok(len) if to.write_all(&chunk[..len]).is_ok() => {}
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                _ => break,
            }
        }
        for stream in [&from, &to] {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
    }
}

fn wait_while(holds: impl Fn() -> bool) {
    while holds() {
        thread::sleep(POLL_INTERVAL);
    }
}

/// Makes the connection end with a reset once it is closed.
fn reset(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).ok();
}
