//! `peatdeck evacuations`: data centres whose endpoints receive no work.

use expect_test::expect;

use crate::support::{self, instance};

#[peatdeck_macros::on_system]
async fn evacuated_data_centres_are_listed() {
    let listed = r#"[{"data_centre":"east","endpoints":35},{"data_centre":"north","endpoints":0}]"#;
    let addr = instance("/evacuations", &[(200, listed), (200, "[]"), (503, "stopping\n")]);
    let shown = support::run(None, &["evacuations", "--at", &addr]).await;
    expect![[r#"
        exit 0
        DATA CENTRE  ENDPOINTS LEFT IDLE
        east         35
        north        0
    "#]]
    .assert_eq(&shown);
    let shown = support::run(None, &["evacuations", "--at", &addr]).await;
    expect![[r#"
        exit 0
        no data centre is evacuated
    "#]]
    .assert_eq(&shown);
    let shown = support::run(None, &["evacuations", "--at", &addr]).await;
    assert!(shown.starts_with("exit 1"), "{shown}");
}
