//! The operators' token.
//!
//! A handler gets at the [`Context`] only through [`Operator`], which exists
//! only where the request carried the token. A handler that forgets the check
//! therefore does not compile into anything that can act.

use std::{fmt, rc::Rc};

use futures::StreamExt;
use ntex::{
    http::{Payload, header},
    web::{ErrorRenderer, FromRequest, HttpRequest},
};
use subtle::ConstantTimeEq;

use crate::{context::Context, error::Error};

/// The shortest token that is accepted, in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

/// The most that is read of a body that came without the token, in bytes.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// A secret that matches an operator. Never printed.
#[derive(Clone)]
pub struct Token(Rc<str>);

impl Token {
    /// The token with this text.
    pub fn new(text: &str) -> Token {
        Token(Rc::from(text))
    }

    /// Whether `given` is the token. The time it takes tells nothing of the
    /// bytes, only whether the lengths are equal.
    pub fn matches(&self, given: &str) -> bool {
        self.0.as_bytes().ct_eq(given.as_bytes()).into()
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token")
    }
}

/// A caller that has shown the token.
#[derive(Debug)]
pub struct Operator {
    /// What an operation works with.
    pub ctx: Rc<Context>,
}

impl<Err: ErrorRenderer> FromRequest<Err> for Operator {
    type Error = Error;

    async fn from_request(req: &HttpRequest, payload: &mut Payload) -> Result<Operator, Error> {
        let ctx = req.app_state::<Rc<Context>>().expect("the server sets the context");
        if !bearer(req).is_some_and(|given| ctx.token.matches(given)) {
            ctx.metrics.count("admin.unauthorized", 1);
            discard(payload).await;
            return Err(Error::Unauthorized);
        }
        Ok(Operator { ctx: Rc::clone(ctx) })
    }
}

/// Reads a body to its end, up to a limit. A connection that is closed with
/// unread bytes is reset, and the reply may be lost with it.
async fn discard(payload: &mut Payload) {
    let mut total = 0;
    while let Some(Ok(chunk)) = payload.next().await {
        total += chunk.len();
        if total > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

fn bearer(req: &HttpRequest) -> Option<&str> {
    let value = req.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(token)
}
