#![allow(clippy::unwrap_used)]

use expect_test::expect;
use peatdeck_load::preset::Preset;

fn thin() -> Preset {
    Preset::load("thin").expect("it is built in")
}

#[test]
fn the_users_presets_have_their_sizes() {
    let sizes = |name: &str| {
        let preset = Preset::load(name).unwrap();
        preset.services.iter().map(|service| service.endpoints).collect::<Vec<_>>()
    };
    assert_eq!(sizes("wash-fleet"), [12, 4, 4, 5, 5]);
    assert_eq!(sizes("guild"), [18, 4, 5, 5, 5]);
}

#[test]
fn capacity_follows_from_slots_and_times() {
    // 3 endpoints with 200 slots, 2 ms per call, one call per request.
    assert_eq!(thin().capacity().round(), 300_000.0);
}

#[test]
fn halving_all_times_doubles_the_capacity() {
    let preset = Preset::load("guild").unwrap();
    let ratio = preset.clone().scaled(0.5).capacity() / preset.capacity();
    assert!((ratio - 2.0).abs() < 1e-9, "{ratio}");
}

#[test]
fn each_pool_has_the_expected_capacity() {
    let mut text = String::new();
    for name in ["wash-fleet", "guild"] {
        let preset = Preset::load(name).unwrap();
        text.push_str(&format!(
            "{name} {:.1} warm {:.1}\n",
            preset.capacity(),
            preset.warm_capacity()
        ));
        for (pool, rate) in preset.pool_capacities(false) {
            text.push_str(&format!("  {pool} {rate:.1}\n"));
        }
    }
    expect![[r#"
        wash-fleet 153.4 warm 163.4
          language-model 153.4
          bay-desk 282.9
          member-ledger 660.1
          mart-link 497.0
          haulier-booking 620.3
        guild 120.3 warm 129.7
          review 120.3
          queue-api 332.9
          signer-bridge 394.1
          audit-ledger 975.6
          member-portal 970.9
    "#]]
    .assert_eq(&text);
}

#[test]
fn an_unknown_preset_is_refused_with_the_known_ones() {
    expect!["there is no preset `fleet`; use one of: wash-fleet, guild, thin, or a path to a preset's TOML file"].assert_eq(&Preset::load("fleet").unwrap_err().to_string());
}

#[test]
fn a_class_without_a_pipeline_is_refused() {
    let text = include_str!("../../presets/thin.toml")
        .replace("pipeline = \"lookup\"", "pipeline = \"lockup\"");
    expect!["the preset cannot be used: class `lockup` names no pipeline; correct its TOML"]
        .assert_eq(&Preset::parse(&text).unwrap_err().to_string());
}
