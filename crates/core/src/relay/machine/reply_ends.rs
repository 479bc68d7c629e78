//! Which replies that have ended are whole.

use crate::relay::{
    machine::Relay,
    model::{BodyEnd, ExchangeKey, ReplyContent},
};

impl Relay {
    /// Whether a reply that has ended answers the request of an exchange as a whole.
    ///
    /// An endpoint that breaks off after the head of a reply without a length ends it as one that
    /// has sent all of it does, so a success that brought nothing is not whole, unless the request
    /// may not be sent again. Where nobody can tell whether the endpoint has outlived a reply, it
    /// is whole only if the request may not be repeated. A whole stream is seldom there at once, so
    /// one of which nothing had to be waited for is continued elsewhere, if that is still possible.
    pub fn is_whole(&self, key: ExchangeKey, end: BodyEnd, content: ReplyContent) -> bool {
        let is_doubtful = match content {
            ReplyContent::Events(count) => count == 0,
            ReplyContent::EmptySuccess => self.may_repeat(key),
            ReplyContent::Whole => false,
        };
        let is_stream = matches!(content, ReplyContent::Events(_));
        match end {
            BodyEnd::Framed => true,
            BodyEnd::Cut => false,
            _ if is_doubtful => false,
            BodyEnd::Outlived => true,
            BodyEnd::Likely => !(is_stream && self.may_call_again(key)),
            BodyEnd::Unknown => !self.may_repeat(key),
        }
    }

    /// Whether the request of an exchange may run more than once.
    fn may_repeat(&self, key: ExchangeKey) -> bool {
        self.exchanges.get(key).is_some_and(|exchange| exchange.route.kind.is_repeatable())
    }

    /// Whether another endpoint may be called for the request of an exchange after this call.
    fn may_call_again(&self, key: ExchangeKey) -> bool {
        let exchange = self.exchanges.get(key).filter(|_| self.may_repeat(key));
        exchange.is_some_and(|it| it.attempts < it.route.max_attempts)
    }
}
