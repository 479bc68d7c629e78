//! Texts that must not reach logs or error messages.

use std::{fmt, sync::Arc};

/// A secret text. `Debug` does not print it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<str>);

impl Secret {
    /// The text itself, for the use that it is meant for.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl<T: Into<Arc<str>>> From<T> for Secret {
    fn from(text: T) -> Secret {
        Secret(text.into())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}
