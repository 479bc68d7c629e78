//! All settings are checked at once.

#![allow(clippy::unwrap_used)]

use expect_test::expect;
use miette::{GraphicalReportHandler, GraphicalTheme};
use peatdeck_admin::settings;

fn refusal(args: &[&str], token: Option<&str>) -> String {
    let flags = settings::options().run_inner(args).expect("flags that parse");
    let problems = settings::check(&flags, token.map(str::to_owned)).expect_err("a refusal");
    let mut text = String::new();
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::none());
    handler.render_report(&mut text, &problems).expect("a report");
    text
}

#[test]
fn without_a_token_it_refuses_to_start() {
    let args = ["--log", "127.0.0.1:1", "--list", "127.0.0.1:1"];
    expect![[r#"
          x 1 of the settings cannot be used; nothing was started
          help: run `peatdeck-admin --help` for all settings with examples

        Error: 
          x PEATDECK_ADMIN_TOKEN: no token is set; without one, anyone could publish
          help: set it to a long random text, such as the output of `openssl rand -hex 32`
    "#]]
    .assert_eq(&refusal(&args, None));
    assert!(refusal(&args, Some("short")).contains("fewer than 16 bytes"));
    assert!(refusal(&args, Some("")).contains("fewer than 16 bytes"));
}

#[test]
fn all_problems_are_reported_at_once() {
    let args = [
        "--listen=nowhere",
        "--log=1.2.3.4",
        "--list=log:80",
        "--statsd=x",
        "--in-force-ms=60001",
        "--log-format=xml",
    ];
    expect![[r#"
          x 7 of the settings cannot be used; nothing was started
          help: run `peatdeck-admin --help` for all settings with examples

        Error: 
          x --listen: `nowhere` is not an address
          help: use an IP number and a port, such as 10.0.0.5:8080

        Error: 
          x --log: `1.2.3.4` is not an address
          help: use an IP number and a port, such as 10.0.0.5:8080

        Error: 
          x --list: `log:80` is not an address
          help: use an IP number and a port, such as 10.0.0.5:8080

        Error: 
          x --statsd: `x` is not an address
          help: use an IP number and a port, such as 10.0.0.5:8080

        Error: 
          x --in-force-ms: `60001` is not a number that can be used here
          help: give a whole number from 0 to 60000, or leave it out

        Error: 
          x --log-format: `xml` is not a log format
          help: use `text` or `json`

        Error: 
          x PEATDECK_ADMIN_TOKEN: no token is set; without one, anyone could publish
          help: set it to a long random text, such as the output of `openssl rand -hex 32`
    "#]]
    .assert_eq(&refusal(&args, None));
}

#[test]
fn a_missing_setting_is_named_with_its_variable() {
    expect![[r#"
          x 2 of the settings cannot be used; nothing was started
          help: run `peatdeck-admin --help` for all settings with examples

        Error: 
          x --log: is missing
          help: give --log or set PEATDECK_LOG

        Error: 
          x --list: is missing
          help: give --list or set PEATDECK_LIST
    "#]]
    .assert_eq(&refusal(&[], Some("a token of sixteen")));
}

#[test]
fn the_scheme_may_be_written_out() {
    let args =
        ["--listen=http://127.0.0.1:0", "--log=http://10.0.0.5:7100", "--list=10.0.0.5:7101"];
    let flags = settings::options().run_inner(&args[..]).expect("flags that parse");
    let settings = settings::check(&flags, Some("a token of sixteen".to_owned())).unwrap();
    assert_eq!(settings.listen.to_string(), "127.0.0.1:0");
    assert_eq!((&*settings.log, &*settings.list), ("10.0.0.5:7100", "10.0.0.5:7101"));
}

/// Guards against the token in a log line or an error message.
#[test]
fn the_token_is_not_printed() {
    let args = ["--log=10.0.0.5:7100", "--list=10.0.0.5:7101"];
    let flags = settings::options().run_inner(&args[..]).expect("flags that parse");
    let settings = settings::check(&flags, Some("a token of sixteen".to_owned())).unwrap();
    let printed = format!("{settings:?} {settings:#?}");
    assert!(!printed.contains("sixteen"), "{printed}");
}
