//! The operators' policy, read from a file.

use std::{fs, sync::Arc};

use peatdeck_relay::{policy, server::Control, surroundings::TableName};

use crate::standins::{Desk, MemoryStore, Relay, ask, wait_for};

/// A file of this test run that is gone at its end.
struct File {
    path: Arc<str>,
}

impl File {
    fn new(name: &str, script: &str) -> File {
        let name = format!("peatdeck-{}-{name}.rhai", std::process::id());
        let path = std::env::temp_dir().join(name);
        let file = File { path: Arc::from(path.to_str().unwrap()) };
        file.write(script);
        file
    }

    fn write(&self, script: &str) {
        fs::write(&*self.path, script).unwrap();
    }
}

impl Drop for File {
    fn drop(&mut self) {
        fs::remove_file(&*self.path).ok();
    }
}

#[test]
fn the_policy_that_is_shipped_can_be_used() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/policies/default.rhai");
    policy::load(&Arc::from(path)).unwrap();
}

#[test]
fn a_policy_that_cannot_be_used_is_named() {
    let error = policy::load(&Arc::from("/nowhere/at-all.rhai")).unwrap_err().to_string();
    assert!(error.starts_with("the policy /nowhere/at-all.rhai cannot be read: "), "{error}");
    let file = File::new("wrong", "fn admit(a, b) { true }");
    let error = policy::load(&file.path).unwrap_err().to_string();
    assert!(error.ends_with("give it exactly one, the facts"), "{error}");
}

#[test]
fn a_new_policy_is_in_force_after_a_reload_and_a_wrong_one_is_not() {
    let desk = Desk::answering("x");
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.enlist("desk", "desk", desk.addr);
    let file = File::new("reload", "fn admit(ctx) { true }");
    let relay = Relay::with("own", &store).policy(file.path.clone()).start();
    relay.wait_ready();
    assert_eq!(ask(relay.front, "/once/x", "").status, 200);

    file.write("fn admit(ctx) { false }");
    relay.tell(Control::Reload);
    wait_for("the new policy is in force", || ask(relay.front, "/once/x", "").status == 503);

    file.write("no policy");
    relay.tell(Control::Reload);
    wait_for("the reload was counted", || relay.counter("peatdeck.relay.policy_unusable") == 1);
    assert_eq!(ask(relay.front, "/once/x", "").status, 503, "the one before stays in force");
}
