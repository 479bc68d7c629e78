//! `peatdeck quarantine`: what relay instances hold back.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use expect_test::expect;

use crate::support;

/// A relay instance's metrics address that gives these answers, one a connection.
fn instance(answers: &[(u16, &'static str)]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let answers = answers.to_vec();
    thread::spawn(move || {
        for (status, body) in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let mut head = [0; 1024];
            let read = stream.read(&mut head).unwrap();
            let asked = String::from_utf8_lossy(&head[..read]).into_owned();
            assert!(asked.contains(" /quarantine"), "{asked}");
            let len = body.len();
            let reply = format!(
                "HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n{body}"
            );
            stream.write_all(reply.as_bytes()).unwrap();
        }
    });
    addr
}

#[peatdeck_macros::on_system]
async fn what_is_held_back_is_listed() {
    let listed =
        r#"[{"content":"00ff","crashes":3,"held_ms":61500,"left_ms":600900,"refused":17}]"#;
    let addr = instance(&[(200, listed), (200, "[]")]);
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
        nothing is held back
    "#]]
    .assert_eq(&shown);
}

#[peatdeck_macros::on_system]
async fn a_content_is_released() {
    let addr = instance(&[(202, "released\n"), (404, "no\n")]);
    let args = ["quarantine", "--at", &addr, "--release", "00ff"];
    let shown = support::run(None, &args).await;
    expect![[r#"
        exit 0
        released 00ff; all instances know within seconds
    "#]]
    .assert_eq(&shown);
    let shown = support::run(None, &args).await;
    expect![[r#"
        exit 1
          x 00ff is not held back there
          help: list what is held back with `peatdeck quarantine`, at this instance
    "#]]
    .assert_eq(&shown);
}
