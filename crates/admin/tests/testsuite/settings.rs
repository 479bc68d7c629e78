//! Settings, checked as a whole.

#![allow(clippy::unwrap_used)]

use expect_test::expect;
use miette::{GraphicalReportHandler, GraphicalTheme};
use peatdeck_admin::settings;

fn refusal(args: &[&str], token: Option<&str>) -> String {
    let raw = settings::options().run_inner(args).expect("the form is right");
    let problems = settings::check(raw, token.map(str::to_owned)).expect_err("a refusal");
    let mut text = String::new();
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::none());
    handler.render_report(&mut text, &problems).expect("a report");
    text
}

#[test]
fn without_a_token_it_refuses_to_start() {
    let args = ["--log", "127.0.0.1:1", "--list", "127.0.0.1:1"];
    expect![[r#"
          x 1 setting(s) are wrong; nothing was started

        Error: 
          x PEATDECK_ADMIN_TOKEN: no token is set, and without one anybody could publish
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
          x 7 setting(s) are wrong; nothing was started

        Error: 
          x --listen: `nowhere` is not an IP address with a port
          help: give it as IP:PORT, such as 10.0.0.5:7100

        Error: 
          x --log: `1.2.3.4` is not an IP address with a port
          help: give it as IP:PORT, such as 10.0.0.5:7100

        Error: 
          x --list: `log:80` is not an IP address with a port
          help: give it as IP:PORT, such as 10.0.0.5:7100

        Error: 
          x --statsd: `x` is not an IP address with a port
          help: give it as IP:PORT, such as 10.0.0.5:7100

        Error: 
          x --in-force-ms: `60001` is not a number of milliseconds up to 60000
          help: give a whole number, such as 8000

        Error: 
          x --log-format: unknown log format `xml`
          help: use text or json

        Error: 
          x PEATDECK_ADMIN_TOKEN: no token is set, and without one anybody could publish
          help: set it to a long random text, such as the output of `openssl rand -hex 32`
    "#]]
    .assert_eq(&refusal(&args, None));
}
