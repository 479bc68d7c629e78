//! Callers' connections: which of them wait for a response or have bytes of one to write, and which
//! are idle and for how long.
//!
//! The HTTP server is done with a response once it lies in the write buffer of its connection.
//! Here a response is under way until the caller's socket has taken its last byte.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use ntex::{
    io::{Id, Io, IoRef},
    service::{ServiceFactory, apply_fn_factory, cfg::SharedCfg, dev::ApplyCtx},
};
use peatdeck_util::clock::Clock;

/// One in so many connections is left to those that the server shares the limit with and to those
/// that are being closed.
const RESERVED_SHARE: usize = 16;

/// The open connections of callers.
pub struct Connections {
    clock: Rc<dyn Clock>,
    /// With so many connections, a new one takes the place of an idle one.
    most: usize,
    open: RefCell<HashMap<Id, State>>,
}

struct State {
    io: IoRef,
    /// Requests whose head has arrived, and whose response was not passed to the server in full.
    requests: usize,
    /// Those of them that have arrived whole.
    pending: usize,
    /// When the connection last carried something, as far as is known.
    used: Duration,
    is_closing: bool,
}

impl State {
    fn is_answering(&self) -> bool {
        self.pending > 0 || has_unwritten(&self.io)
    }

    fn is_idle(&self) -> bool {
        let has_unread = || self.io.with_read_src_buf(|buf| !buf.is_empty());
        self.requests == 0 && !self.is_closing && !has_unwritten(&self.io) && !has_unread()
    }

    fn close(&mut self) {
        self.is_closing = true;
        self.io.close();
    }
}

/// Removes a connection when it is dropped.
struct Open {
    connections: Rc<Connections>,
    id: Id,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.id);
    }
}

/// A request, from the arrival of its head until its response was passed to the server.
pub struct Exchange {
    connections: Rc<Connections>,
    /// Also keeps the id from being used for another connection.
    io: Option<IoRef>,
    is_whole: bool,
}

impl Exchange {
    /// The request has arrived whole.
    pub fn set_whole(&mut self) {
        self.is_whole = true;
        self.connections.update(self.io.as_ref(), |state| state.pending += 1);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let now = self.connections.clock.now();
        self.connections.update(self.io.as_ref(), |state| {
            state.requests -= 1;
            state.pending -= usize::from(self.is_whole);
            state.used = now;
        });
    }
}

impl Connections {
    /// No connections yet, of which the server takes up to `limit` together with others.
    pub fn new(clock: Rc<dyn Clock>, limit: usize) -> Rc<Connections> {
        let most = limit - limit.div_ceil(RESERVED_SHARE);
        Rc::new(Connections { clock, most, open: RefCell::default() })
    }

    /// Keeps account of the connections that a service serves.
    pub fn track<S>(
        self: &Rc<Self>,
        service: S,
    ) -> impl ServiceFactory<
        Io,
        SharedCfg,
        Response = S::Response,
        Error = S::Error,
        InitError = S::InitError,
    > + use<S>
    where
        S: ServiceFactory<Io, SharedCfg>,
    {
        let connections = self.clone();
        apply_fn_factory(service, async move |io: Io, service: &ApplyCtx<'_, S::Service>| {
            let _open = connections.add(io.get_ref());
            service.call(io).await
        })
    }

    /// The head of a request has arrived on a connection.
    pub fn begin(self: &Rc<Self>, io: Option<&IoRef>) -> Exchange {
        self.update(io, |state| state.requests += 1);
        Exchange { connections: self.clone(), io: io.cloned(), is_whole: false }
    }

    /// The connections on which a response is under way.
    pub fn answering(&self) -> usize {
        self.open.borrow().values().filter(|state| state.is_answering()).count()
    }

    /// Closes the connections that have been idle for this long.
    pub fn close_idle(&self, limit: Duration) {
        let now = self.clock.now();
        for state in self.open.borrow_mut().values_mut() {
            if !state.is_idle() {
                state.used = now;
            } else if now.saturating_sub(state.used) >= limit {
                state.close();
            }
        }
    }

    /// Closes the connection that has been idle for longest if there are too many.
    fn make_room(&self) {
        let mut open = self.open.borrow_mut();
        if open.values().filter(|state| !state.is_closing).count() < self.most {
            return;
        }
        let idle = open.values_mut().filter(|state| state.is_idle());
        if let Some(oldest) = idle.min_by_key(|state| state.used) {
            oldest.close();
        }
    }

    fn add(self: &Rc<Self>, io: IoRef) -> Open {
        self.make_room();
        let (id, used) = (io.id(), self.clock.now());
        let state = State { io, requests: 0, pending: 0, used, is_closing: false };
        self.open.borrow_mut().insert(id, state);
        Open { connections: self.clone(), id }
    }

    fn update(&self, io: Option<&IoRef>, change: impl FnOnce(&mut State)) {
        let mut open = self.open.borrow_mut();
        // The connection may have ended before its response.
        if let Some(state) = io.and_then(|io| open.get_mut(&io.id())) {
            change(state);
        }
    }
}

/// Whether bytes wait for the caller's socket. There are no filters, so there is one write buffer.
fn has_unwritten(io: &IoRef) -> bool {
    !io.is_closed() && io.with_write_dst_buf(|buf| !buf.is_empty())
}
