//! The operators' policy script, which instances load from a file.

use std::{fs, sync::Arc};

use peatdeck_relay::{policy, server::Control, surroundings::TableName};

use crate::standins::{MemoryStore, Relay, ScriptedEndpoint, exchange, wait_for};

/// A policy file that is deleted on drop.
struct PolicyFile {
    path: Arc<str>,
}

impl PolicyFile {
    fn new(name: &str, script: &str) -> PolicyFile {
        let name = format!("peatdeck-{}-{name}.rhai", std::process::id());
        let path = std::env::temp_dir().join(name);
        let file = PolicyFile { path: Arc::from(path.to_str().unwrap()) };
        file.write(script);
        file
    }

    fn write(&self, script: &str) {
        fs::write(&*self.path, script).unwrap();
    }
}

impl Drop for PolicyFile {
    fn drop(&mut self) {
        fs::remove_file(&*self.path).ok();
    }
}

#[test]
fn the_shipped_policy_loads() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/policies/default.rhai");
    policy::load(&Arc::from(path)).unwrap();
}

#[test]
fn an_unusable_policy_is_reported_with_its_reason() {
    let error = policy::load(&Arc::from("/nowhere/at-all.rhai")).unwrap_err().to_string();
    assert!(error.starts_with("the policy /nowhere/at-all.rhai cannot be read: "), "{error}");
    let file = PolicyFile::new("wrong", "fn admit(a, b) { true }");
    let error = policy::load(&file.path).unwrap_err().to_string();
    assert!(error.ends_with("give it exactly one, the facts"), "{error}");
}

#[test]
fn a_reload_applies_a_new_policy_and_ignores_an_invalid_one() {
    let endpoint = ScriptedEndpoint::answering("x");
    let store = MemoryStore::default();
    store.put(TableName::Config, "config", b"1".to_vec());
    store.add_endpoint("desk", "desk", endpoint.addr);
    let file = PolicyFile::new("reload", "fn admit(ctx) { true }");
    let relay = Relay::builder("own", &store).policy(file.path.clone()).start();
    relay.wait_ready();
    assert_eq!(exchange(relay.front, "/once/x", "").status, 200);

    file.write("fn admit(ctx) { false }");
    relay.send_control(Control::Reload);
    wait_for("the new policy is in force", || exchange(relay.front, "/once/x", "").status == 503);

    file.write("no policy");
    relay.send_control(Control::Reload);
    wait_for("the reload was counted", || relay.counter("peatdeck.relay.policy_unusable") == 1);
    assert_eq!(
        exchange(relay.front, "/once/x", "").status,
        503,
        "the previous policy stays in force"
    );
}
