//! Callers' connections: which of them wait for a response, or have bytes of one to write.
//!
//! The HTTP server is done with a response once it lies in the write buffer of its connection.
//! Here a response is under way until the caller's socket has taken its last byte.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use ntex::{
    io::{Id, Io, IoRef},
    service::{ServiceFactory, apply_fn_factory, cfg::SharedCfg, dev::ApplyCtx},
};

/// The open connections of callers.
#[derive(Default)]
pub struct Connections {
    open: RefCell<HashMap<Id, State>>,
}

struct State {
    io: IoRef,
    /// Responses that were not passed to the HTTP server in full.
    pending: usize,
}

impl State {
    fn is_answering(&self) -> bool {
        self.pending > 0 || has_unwritten(&self.io)
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

/// A response that is under way until this is dropped and its bytes are written.
pub struct Pending {
    connections: Rc<Connections>,
    id: Option<Id>,
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.connections.update(self.id, |state| state.pending -= 1);
    }
}

impl Connections {
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

    /// A response begins on a connection.
    pub fn begin(self: &Rc<Self>, io: Option<&IoRef>) -> Pending {
        let id = io.map(IoRef::id);
        self.update(id, |state| state.pending += 1);
        Pending { connections: self.clone(), id }
    }

    /// The connections on which a response is under way.
    pub fn answering(&self) -> usize {
        self.open.borrow().values().filter(|state| state.is_answering()).count()
    }

    fn add(self: &Rc<Self>, io: IoRef) -> Open {
        let id = io.id();
        self.open.borrow_mut().insert(id, State { io, pending: 0 });
        Open { connections: self.clone(), id }
    }

    fn update(&self, id: Option<Id>, change: impl FnOnce(&mut State)) {
        let mut open = self.open.borrow_mut();
        // The connection may have ended before its response.
        if let Some(state) = id.and_then(|id| open.get_mut(&id)) {
            change(state);
        }
    }
}

/// Whether bytes wait for the caller's socket. There are no filters, so there is one write buffer.
fn has_unwritten(io: &IoRef) -> bool {
    !io.is_closed() && io.with_write_dst_buf(|buf| !buf.is_empty())
}
