//! `peatdeck rollouts`: states of rollouts and the counts behind them.

use expect_test::expect;

use crate::support::{self, instance};

const LISTED: &str = r#"[
    {"service":"desk","version":"v2","state":"rolled_back","phase":"","age_ms":4210,
     "duration_ms":12000,"baseline":"v1","by":"edge-3","reason":"too many failures on draft",
     "halt":null,"instances":3,"routes":[
        {"route":"draft","stable":{"good":940,"failed":2,"slow":11},
         "canary":{"good":30,"failed":24,"slow":1}}]},
    {"service":"maker","version":"v7","state":"active","phase":"canary","age_ms":900,
     "duration_ms":30000,"baseline":null,"by":null,"reason":null,"halt":"no verdict for 1 s",
     "instances":0,"routes":[]}]"#;

#[peatdeck_macros::on_system]
async fn rollouts_are_listed_with_their_counts() {
    let addr = instance("/rollouts", &[(200, LISTED), (200, "[]"), (503, "stopping\n")]);
    let shown = support::run(None, &["rollouts", "--at", &addr]).await;
    expect![[r#"
        exit 0
        SERVICE  VERSION  STATE        PHASE   AGE    OF      DECIDED BY  REASON
        desk     v2       rolled_back          4.2 s  12.0 s  edge-3      too many failures on draft
        maker    v7       active       canary  0.9 s  30.0 s              halted here: no verdict for 1 s

        replies of desk, from 3 instances:
        ROUTE  TRACK   GOOD  FAILED  SLOW
        draft  stable  940   2       11
        draft  v2      30    24      1
    "#]].assert_eq(&shown);
    let shown = support::run(None, &["rollouts", "--at", &addr]).await;
    expect![[r#"
        exit 0
        no rollout has been ordered
    "#]]
    .assert_eq(&shown);
    let shown = support::run(None, &["rollouts", "--at", &addr]).await;
    assert!(shown.starts_with("exit 1"), "{shown}");
}
