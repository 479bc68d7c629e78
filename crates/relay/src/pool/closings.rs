//! Notices connections that peers close although no exchange is under way on them and they may
//! still be used. A process that ends closes them all.

use std::{
    cell::{Cell, OnceCell},
    rc::Rc,
    time::Duration,
};

use peatdeck_util::clock::Clock;

/// What happens to connections besides exchanges.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEvent {
    /// A new connection has served a request.
    Served,
    /// A connection could not be opened.
    Unopened,
    /// The peer has closed an idle connection that it had not announced to close yet.
    IdleClosed,
}

/// Called with the address that the event concerns.
pub type ConnectionObserver = Box<dyn Fn(&str, ConnectionEvent)>;

/// Who is told of events.
pub(super) struct Closings {
    clock: Rc<dyn Clock>,
    observer: OnceCell<ConnectionObserver>,
}

impl Closings {
    /// Nobody is told yet.
    pub(super) fn new(clock: Rc<dyn Clock>) -> Rc<Closings> {
        Rc::new(Closings { clock, observer: OnceCell::new() })
    }

    /// Sets who is told. Only the first call has an effect.
    pub(super) fn observe(&self, observer: ConnectionObserver) {
        self.observer.set(observer).ok();
    }

    /// The current time.
    pub(super) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Tells of an event.
    pub(super) fn notify(&self, addr: &str, event: ConnectionEvent) {
        if let Some(observer) = self.observer.get() {
            observer(addr, event);
        }
    }

    /// A connection that was idle as this says has been closed by the peer.
    pub(super) fn on_closed(&self, addr: &str, idle: &IdleTime) {
        if idle.0.get().is_some_and(|until| self.clock.now() < until) {
            self.notify(addr, ConnectionEvent::IdleClosed);
        }
    }
}

/// Until when a connection may be used again; nothing while it carries an exchange.
#[derive(Debug, Clone, Default)]
pub(super) struct IdleTime(Rc<Cell<Option<Duration>>>);

impl IdleTime {
    /// The connection is idle, and may be used until this time.
    pub(super) fn begin(&self, until: Duration) {
        self.0.set(Some(until));
    }

    /// The connection carries an exchange.
    pub(super) fn end(&self) {
        self.0.set(None);
    }
}
