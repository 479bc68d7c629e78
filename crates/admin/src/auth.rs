//! Authorisation of operators by a bearer token.
//!
//! A handler obtains the [`Context`] only through the extractor [`Operator`],
//! which fails unless the request carries the token. A handler that omits the
//! check has no access to any operation.

use std::{fmt, rc::Rc};

use futures::StreamExt;
use ntex::{
    http::{Payload, header},
    web::{ErrorRenderer, FromRequest, HttpRequest},
};
use subtle::ConstantTimeEq;

use crate::{context::Context, error::Error};

/// Minimum length of the token, in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

/// How much of an unauthorised request's body is read and discarded, in bytes.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// The secret that authorises an operator. `Debug` does not print it.
#[derive(Clone)]
pub struct Token(Rc<str>);

impl Token {
    /// Creates a token from its text.
    pub fn new(text: &str) -> Token {
        Token(Rc::from(text))
    }

    /// Whether `given` equals the token. The comparison takes constant time for
    /// equal lengths, so its duration reveals only whether the lengths differ.
    pub fn matches(&self, given: &str) -> bool {
        self.0.as_bytes().ct_eq(given.as_bytes()).into()
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token")
    }
}

/// An authorised caller; handlers take it as an extractor.
#[derive(Debug)]
pub struct Operator {
    /// The context of the operation.
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

/// Reads and discards a body, up to [`MAX_DISCARDED_BYTES`]. Closing a connection
/// with unread bytes resets it, and the reply may be lost.
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
