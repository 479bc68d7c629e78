//! `peatdeck publish`.

#![allow(clippy::unwrap_used)]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpListener,
};

use expect_test::expect;
use peatdeck_test_support::platform::AppendFault;

use crate::support::{self, Bench};

const TEAM: &str = "[[team]]\nname = \"bala\"\n";
const PUBLISH: [&str; 5] = ["publish", "--author", "mair", "--id", "p-1"];

#[peatdeck_macros::on_system]
async fn without_a_base_the_version_in_force_is_used_and_printed() {
    let bench = Bench::start("publish-base").await;
    let _one = bench.platform.add_instance("entry-1");
    let file = bench.file("fleet.toml", TEAM);
    let args = [&PUBLISH[..], &[&file]].concat();
    expect![[r#"
        exit 0
        base: version 0
        accepted: version 1 (publish p-1)
        in force on 1 instance: entry-1
    "#]]
    .assert_eq(&bench.run(&args).await);
}

#[peatdeck_macros::on_system]
async fn an_instance_without_the_version_is_reported() {
    let bench = Bench::start("publish-missing").await;
    bench.platform.list_instance("entry-2", "127.0.0.1:1");
    let file = bench.file("fleet.toml", TEAM);
    let args = [&PUBLISH[..], &["--base", "0", &file]].concat();
    expect![[r#"
        exit 6
        accepted: version 1 (publish p-1)
        not known to be in force on any instance
        not known to be in force on entry-2: no connection to 127.0.0.1:1: Connection refused (os error 111); check the address and that the service runs
    "#]].assert_eq(&bench.run(&args).await);
}

#[peatdeck_macros::on_system]
async fn a_conflict_has_its_own_exit_code() {
    let bench = Bench::start("publish-conflict").await;
    let file = bench.file("fleet.toml", TEAM);
    bench.run(&["publish", "--author", "ann", "--base", "0", "--id", "p-0", &file]).await;
    let args = [&PUBLISH[..], &["--base", "0", &file]].concat();
    expect![[r#"
        exit 4
          x version 1, published by ann, is in force, but this publish was made from 0 (conflict)
          help: fetch version 1 (`peatdeck show`), apply the change to it and publish it with a new id and
                base 1
    "#]].assert_eq(&bench.run(&args).await);
}

#[peatdeck_macros::on_system]
async fn an_unknown_result_is_not_reported_as_a_failure() {
    let bench = Bench::start("publish-unknown").await;
    bench.platform.state().append_faults.extend([AppendFault::Drop; 100]);
    let file = bench.file("fleet.toml", TEAM);
    let args = [&PUBLISH[..], &["--base", "0", &file]].concat();
    expect![[r#"
        exit 5
          x unknown: publish `p-1` may have taken effect, and the log did not say in time (unknown)
          help: ask for the verdict of `p-1` (GET /v1/config/verdict/p-1, `peatdeck show --verdict p-1`),
                or publish again with the same id: it counts once
    "#]].assert_eq(&bench.run(&args).await);
}

#[peatdeck_macros::on_system]
async fn an_invalid_file_is_not_sent() {
    let bench = Bench::start("publish-invalid").await;
    let file = bench.file("fleet.toml", "[[team]]\nname = \"\"\n");
    let answer = bench.run(&[&PUBLISH[..], &[&file]].concat()).await;
    assert!(answer.starts_with("exit 3\n"), "{answer}");
    assert!(bench.platform.state().records.is_empty());
}

#[peatdeck_macros::on_system]
async fn a_missing_or_wrong_token_is_reported() {
    let mut bench = Bench::start("publish-token").await;
    let file = bench.file("fleet.toml", TEAM);
    let args = [&PUBLISH[..], &[&file]].concat();
    bench.token = None;
    expect![[r#"
        exit 2
          x PEATDECK_ADMIN_TOKEN is not set
          help: set it to the token that peatdeck-admin was started with
    "#]]
    .assert_eq(&bench.run(&args).await);
    bench.token = Some("another token than the API's".to_owned());
    expect![[r#"
        exit 1
          x the bearer token is missing or wrong (unauthorized)
          help: send `Authorization: Bearer` with the token that the process was started with
    "#]]
    .assert_eq(&bench.run(&args).await);
}

#[peatdeck_macros::on_system]
async fn an_unreachable_api_is_reported() {
    let bench = Bench::start("publish-unreachable").await;
    let file = bench.file("fleet.toml", TEAM);
    let admin = ["--admin", "http://127.0.0.1:1", &file];
    let args = [&PUBLISH[..], &admin].concat();
    expect![[r#"
        exit 1
          x cannot reach peatdeck-admin at http://127.0.0.1:1: Connection refused (os error 111)
          help: check --admin (PEATDECK_ADMIN) and that peatdeck-admin is running; nothing was done
    "#]]
    .assert_eq(&support::run(bench.token.clone(), &args).await);
}

/// Publishes to a server that sends these bytes, one item per attempt.
async fn publish_to(name: &str, replies: [&'static str; 3]) -> String {
    let bench = Bench::start(name).await;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("a bound address"));
    std::thread::spawn(move || replies.into_iter().try_for_each(|reply| serve(&listener, reply)));
    let file = bench.file("fleet.toml", TEAM);
    let args = [&PUBLISH[..], &["--admin", &url, "--base", "0", &file]].concat();
    support::run(bench.token.clone(), &args).await
}

/// Reads one complete request, sends the reply and closes the connection.
fn serve(listener: &TcpListener, reply: &str) -> std::io::Result<()> {
    let (mut stream, _) = listener.accept()?;
    let mut request = BufReader::new(stream.try_clone()?);
    let mut length = 0;
    loop {
        let mut line = String::new();
        request.read_line(&mut line)?;
        let line = line.trim_end().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().map_err(std::io::Error::other)?;
        }
        if line.is_empty() {
            break;
        }
    }
    request.read_exact(&mut vec![0; length])?;
    stream.write_all(reply.as_bytes())
}

const CUT: &str = "";
const GATEWAY: &str =
    "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 4\r\nConnection: close\r\n\r\noops";
const LOG_UNAVAILABLE: &str = "HTTP/1.1 503 Out\r\nContent-Length: 43\r\nConnection: close\r\n\r\n\
                       {\"code\":\"log_out\",\"message\":\"\",\"remedy\":\"\"}";

#[peatdeck_macros::on_system]
async fn an_api_that_closes_the_connection_leaves_the_result_unknown() {
    let answer = publish_to("publish-cut", [CUT, CUT, CUT]).await;
    assert!(answer.starts_with("exit 5\n"), "{answer}");
    assert!(answer.contains("--id p-1 --base 0"), "{answer}");
}

#[peatdeck_macros::on_system]
async fn a_response_of_a_gateway_leaves_the_result_unknown() {
    let answer = publish_to("publish-gateway", [GATEWAY, GATEWAY, GATEWAY]).await;
    assert!(answer.starts_with("exit 5\n"), "{answer}");
}

#[peatdeck_macros::on_system]
async fn a_later_refusal_does_not_hide_an_earlier_unknown_result() {
    let answer = publish_to("publish-doubt", [CUT, LOG_UNAVAILABLE, LOG_UNAVAILABLE]).await;
    assert!(answer.starts_with("exit 5\n"), "{answer}");
}

#[peatdeck_macros::on_system]
async fn a_wrong_command_line_is_reported() {
    let bench = Bench::start("publish-usage").await;
    let answer = bench.run(&["publish", "--author", "mair", "--base", "one", "f"]).await;
    expect![[r#"
        exit 2
        couldn't parse `one`: invalid digit found in string"#]]
    .assert_eq(&answer);
    let answer = support::run(None, &["show", "--admin", "https://127.0.0.1:7300"]).await;
    expect![[r#"
        exit 2
        couldn't parse `https://127.0.0.1:7300`: `https://127.0.0.1:7300` is not an address; use an IP
        number and a port, such as 10.0.0.5:8080"#]].assert_eq(&answer);
}

#[peatdeck_macros::on_system]
async fn the_scheme_of_the_api_may_be_left_out() {
    let bench = Bench::start("publish-scheme").await;
    let bare = bench.url.trim_start_matches("http://").to_owned();
    let answer = support::run(bench.token.clone(), &["show", "--admin", &bare]).await;
    assert!(answer.starts_with("exit 0\n# version 0\n"), "{answer}");
}
