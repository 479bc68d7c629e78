//! `peatdeck status`.

#![allow(clippy::unwrap_used)]

use expect_test::expect;

use crate::support::Bench;

#[peatdeck_macros::on_system]
async fn every_instance_has_a_line() {
    let bench = Bench::start("status").await;
    let _one = bench.platform.add_instance("entry-1");
    bench.platform.list_instance("entry-2", "127.0.0.1:1");
    expect![[r#"
        exit 6
        INSTANCE  DATA CENTRE  READY  VERSION  RUNNING  PEERS  REASONS
        entry-1   dc1          yes    0        0        0
        no response from entry-2: no connection to 127.0.0.1:1: Connection refused (os error 111); check the address and that the service runs
    "#]].assert_eq(&bench.run(&["status"]).await);
}
