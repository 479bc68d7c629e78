use expect_test::{Expect, expect};
use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use peatdeck_entry::settings::{self, Flags};

const REQUIRED: [&str; 12] = [
    "--name",
    "e1",
    "--data-centre",
    "north",
    "--listen",
    "127.0.0.1:0",
    "--peer-listen",
    "127.0.0.1:0",
    "--log",
    "127.0.0.1:7000",
    "--list",
    "127.0.0.1:7001",
];

fn flags(args: &[&str]) -> Flags {
    settings::parser().run_inner(args).unwrap()
}

fn check_problems(args: &[&str], expected: Expect) {
    let problems = flags(args).check().unwrap_err();
    let mut text = String::new();
    GraphicalReportHandler::new_themed(GraphicalTheme::none())
        .with_width(200)
        .render_report(&mut text, &problems as &dyn Diagnostic)
        .unwrap();
    expected.assert_eq(&text);
}

fn required_with(more: &[&'static str]) -> Vec<&'static str> {
    [&REQUIRED, more].concat()
}

#[test]
fn valid_settings_pass_with_their_defaults() {
    let settings = flags(&required_with(&["--incarnation", "7"])).check().unwrap();
    assert_eq!(settings.instance, Default::default());
    let seen = (settings.identity, settings.limits, settings.connect_timeout, settings.log_filter);
    expect![[r#"
        (
            Identity {
                name: "e1",
                incarnation: Incarnation(
                    7,
                ),
                data_centre: "north",
            },
            Limits {
                body: 1048576,
                header: 16384,
                connections: 4096,
                idle: 30s,
            },
            1s,
            "info,ntex_net=warn,ntex_rt=warn,ntex_server=warn,ntex_service=warn",
        )"#]]
    .assert_eq(&format!("{seen:#?}"));
}

#[test]
fn the_incarnation_is_the_wall_clock_unless_given() {
    let settings = flags(&REQUIRED).check().unwrap();
    assert!(settings.identity.incarnation.0 > 1_700_000_000_000);
}

#[test]
fn all_problems_are_reported_at_once_with_their_remedies() {
    check_problems(
        &["--name", "a b", "--listen", "nowhere", "--log", "10.0.0.1:0", "--max-body", "0"],
        expect![[r#"
              x 7 of the settings cannot be used; nothing was started
              help: run `peatdeck-entry --help` for all settings with examples

            Error: 
              x --name: `a b` is not a name
              help: use at most 64 printable ASCII characters, no spaces

            Error: 
              x --data-centre: is missing
              help: give --data-centre or set PEATDECK_DATA_CENTRE

            Error: 
              x --listen: `nowhere` is not an address
              help: use an IP number and a port, such as 10.0.0.5:8080

            Error: 
              x --peer-listen: is missing
              help: give --peer-listen or set PEATDECK_PEER_LISTEN

            Error: 
              x --log: has port 0, which nothing can listen on
              help: give the service's port

            Error: 
              x --list: is missing
              help: give --list or set PEATDECK_LIST

            Error: 
              x --max-body: `0` is not a number that can be used here
              help: give a whole number from 1 to 67108864, or leave it out
        "#]],
    );
}

#[test]
fn each_optional_setting_is_checked() {
    check_problems(
        &required_with(&[
            "--incarnation",
            "new",
            "--max-header",
            "10",
            "--max-connections",
            "many",
            "--idle-timeout",
            "70000",
            "--connect-timeout",
            "0",
            "--statsd",
            "localhost:8125",
            "--trace-content",
            "some",
            "--log-format",
            "xml",
            "--decisions",
            "some",
            "--without",
            "luck",
        ]),
        expect![[r#"
              x 10 of the settings cannot be used; nothing was started
              help: run `peatdeck-entry --help` for all settings with examples

            Error: 
              x --incarnation: `new` is not a number that can be used here
              help: give a whole number from 1 to 18446744073709551615, or leave it out

            Error: 
              x --max-header: `10` is not a number that can be used here
              help: give a whole number from 1024 to 1048576, or leave it out

            Error: 
              x --max-connections: `many` is not a number that can be used here
              help: give a whole number from 1 to 1000000, or leave it out

            Error: 
              x --idle-timeout: `70000` is not a number that can be used here
              help: give a whole number from 1 to 3600, or leave it out

            Error: 
              x --connect-timeout: `0` is not a number that can be used here
              help: give a whole number from 1 to 60000, or leave it out

            Error: 
              x --decisions: `some` is not a set of decisions
              help: use `full` or `plain`

            Error: 
              x --without: `luck` is not a decision
              help: use some of admission,hedging,affinity,ejection,adaptive-limits,fair-queue,load-aware,budget

            Error: 
              x --statsd: `localhost:8125` is not an address
              help: use an IP number and a port, such as 10.0.0.5:8080

            Error: 
              x --trace-content: `some` is not a way to record texts
              help: use `hash` or `keep`

            Error: 
              x --log-format: `xml` is not a log format
              help: use `text` or `json`
        "#]],
    );
}

#[test]
fn callers_and_peers_need_different_addresses() {
    let args = required_with(&[]).into_iter().map(|arg| match arg {
        "127.0.0.1:0" => "127.0.0.1:9000",
        other => other,
    });
    check_problems(
        &args.collect::<Vec<_>>(),
        expect![[r#"
          x 1 of the settings cannot be used; nothing was started
          help: run `peatdeck-entry --help` for all settings with examples

        Error: 
          x --peer-listen: is the same address as --listen
          help: give callers and peers different ports
    "#]],
    );
}

#[test]
fn help_names_every_variable_and_shows_examples() {
    let help = settings::parser().run_inner(&["--help"]).unwrap_err().unwrap_stdout();
    for flag in ["NAME", "LISTEN", "PEER_LISTEN", "DATA_CENTRE", "LOG", "LIST", "STATSD"] {
        assert!(help.contains(&format!("PEATDECK_{flag}")), "{flag}");
    }
    assert!(help.contains("Examples:\n"), "{help}");
}
