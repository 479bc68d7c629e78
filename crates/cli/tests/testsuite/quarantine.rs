//! `peatdeck quarantine`: contents that relay instances have quarantined.

use expect_test::expect;

use crate::support::{self, instance};

#[peatdeck_macros::on_system]
async fn quarantined_contents_are_listed() {
    let listed =
        r#"[{"content":"00ff","crashes":3,"held_ms":61500,"left_ms":600900,"refused":17}]"#;
    let addr = instance("/quarantine", &[(200, listed), (200, "[]")]);
    let shown = support::run(None, &["quarantine", "--at", &addr]).await;
    expect![[r#"
        exit 0
        CONTENT  CRASHES  HELD FOR  LEFT   REFUSED HERE
        00ff     3        61 s      600 s  17
    "#]]
    .assert_eq(&shown);
    let shown = support::run(None, &["quarantine", "--at", &addr]).await;
    expect![[r#"
        exit 0
        no content is quarantined
    "#]]
    .assert_eq(&shown);
}

#[peatdeck_macros::on_system]
async fn a_content_is_released() {
    let addr = instance("/quarantine", &[(202, "released\n"), (404, "no\n")]);
    let args = ["quarantine", "--at", &addr, "--release", "00ff"];
    let shown = support::run(None, &args).await;
    expect![[r#"
        exit 0
        released 00ff; all instances apply this within seconds
    "#]]
    .assert_eq(&shown);
    let shown = support::run(None, &args).await;
    expect![[r#"
        exit 1
          x 00ff is not quarantined at this instance
          help: list the quarantined contents of the instance with `peatdeck quarantine`
    "#]]
    .assert_eq(&shown);
}
