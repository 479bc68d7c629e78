//! The operators' token.

use std::time::SystemTime;

use peatdeck::{ops::client::Remote, shell::Environment};
use peatdeck_util::secret::Secret;

/// Guards against the token in a log line or an error message.
#[test]
fn the_token_is_not_printed() {
    let token = Secret::from("a token of sixteen");
    let env = Environment { token: Some(token.clone()), now: SystemTime::UNIX_EPOCH };
    let remote = Remote { admin: "http://10.0.0.1:7300".to_owned(), token };
    let printed = format!("{env:?} {remote:?} {env:#?} {remote:#?}");
    assert!(!printed.contains("sixteen"), "{printed}");
}
