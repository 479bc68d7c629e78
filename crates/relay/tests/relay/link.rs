//! A slow network link in front of instances.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Size of the units in which connections share the link.
const PACKET_BYTES: usize = 4 << 10;

/// A link that limits the data rate of all its connections together, from the listening side to
/// the side that opened them. The other direction is not limited. Clones share the link.
#[derive(Clone)]
pub struct SlowLink {
    rate: f64,
    state: Arc<Mutex<State>>,
}

struct State {
    free_at: Instant,
    carried: usize,
}

impl SlowLink {
    /// Creates a link with a rate in bytes per second.
    pub fn new(rate: u32) -> SlowLink {
        let state = State { free_at: Instant::now(), carried: 0 };
        SlowLink { rate: f64::from(rate), state: Arc::new(Mutex::new(state)) }
    }

    /// Returns an address whose connections lead to `target` over the link.
    pub fn listen_for(&self, target: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind((target.ip(), 0)).unwrap();
        let addr = listener.local_addr().unwrap();
        let link = self.clone();
        thread::spawn(move || {
            for near in listener.incoming() {
                let (near, far) = (near.unwrap(), TcpStream::connect(target));
                // If the target has stopped, the client's connection is closed.
                let Ok(far) = far else { continue };
                let (to, from) = (far.try_clone().unwrap(), near.try_clone().unwrap());
                thread::spawn(move || copy(from, to, |_| {}));
                let link = link.clone();
                thread::spawn(move || copy(far, near, |len| link.carry(len)));
            }
        });
        addr
    }

    /// Number of bytes transferred so far.
    pub fn carried(&self) -> usize {
        self.state.lock().unwrap().carried
    }

    /// Waits until the link has transferred `len` more bytes.
    fn carry(&self, len: usize) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        state.carried += len;
        state.free_at = state.free_at.max(now) + Duration::from_secs_f64(len as f64 / self.rate);
        let pause = state.free_at - now;
        drop(state);
        thread::sleep(pause);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, carry: impl Fn(usize)) {
    let mut packet = [0; PACKET_BYTES];
    while let Ok(len) = from.read(&mut packet) {
        if len == 0 {
            break;
        }
        carry(len);
        if to.write_all(&packet[..len]).is_err() {
            break;
        }
    }
    // Ends the copy in the other direction, and lets both peers see the end.
    from.shutdown(Shutdown::Both).ok();
    to.shutdown(Shutdown::Both).ok();
}
