//! Endpoints that misbehave, and what callers are told.

use std::sync::mpsc;

use crate::standins::{Desk, Site, whole};

#[test]
fn a_reply_without_length_is_whole_at_its_end() {
    let site = Site::start(&[Desk::start(|_, conn| {
        let request = conn.read_request().unwrap();
        let id = request.id();
        conn.write(&format!(
            "HTTP/1.1 200 OK\r\npeatdeck-request: {id}\r\npeatdeck-seal: s\r\n\r\nto the end"
        ));
        conn.close();
    })]);
    let reply = site.ask("/once/x");
    assert_eq!((reply.status, reply.body.as_str()), (200, "to the end"));
}

#[test]
fn a_second_reply_belongs_to_nobody() {
    let desk = Desk::start(|_, conn| {
        while let Some(request) = conn.read_request() {
            let id = request.id();
            conn.write(&[whole(&id, 200, "first"), whole(&id, 200, "second")].concat());
        }
    });
    let site = Site::start(&[desk]);
    for _ in 0..5 {
        assert_eq!(site.ask("/once/x").body, "first");
    }
}

#[test]
fn a_reply_to_another_request_is_not_passed_on() {
    let desk = Desk::start(|number, conn| {
        while let Some(request) = conn.read_request() {
            let id = if number == 0 { "another".to_owned() } else { request.id() };
            conn.write(&whole(&id, 200, "answer"));
        }
    });
    let site = Site::start(&[desk]);
    assert_eq!(site.ask("/once/x").status, 502);
    assert_eq!(site.ask("/once/x").body, "answer");
}

#[test]
fn a_body_that_is_cut_is_no_answer() {
    let cutting = || {
        Desk::start(|_, conn| {
            let request = conn.read_request().unwrap();
            let answer = whole(&request.id(), 200, "a whole answer");
            conn.write(&answer[..answer.len() - 3]);
            conn.close();
        })
    };
    let site = Site::start(&[cutting()]);
    assert_eq!(site.ask("/once/x").status, 502);

    let site = Site::start(&[cutting(), Desk::answering("whole")]);
    for _ in 0..6 {
        assert_eq!(site.ask("/idempotent/x").body, "whole");
    }
}

#[test]
fn what_comes_before_the_answer_is_not_the_answer() {
    let site = Site::start(&[Desk::start(|_, conn| {
        let request = conn.read_request().unwrap();
        conn.write("HTTP/1.1 100 Continue\r\n\r\n");
        conn.write(&whole(&request.id(), 200, "answer"));
    })]);
    assert_eq!(site.ask("/once/x").body, "answer");
}

#[test]
fn a_connection_that_closes_unanswered_may_have_run_the_request() {
    let desk = Desk::start(|_, conn| {
        conn.read_request();
        conn.close();
    });
    let site = Site::start(std::slice::from_ref(&desk));
    let reply = site.ask("/once/x");
    assert_eq!(reply.status, 502);
    assert_eq!(reply.header("retry-after"), None);
    assert_eq!(desk.seen().len(), 1);
}

#[test]
fn bytes_that_are_no_reply_are_not_passed_on() {
    let site = Site::start(&[Desk::start(|_, conn| {
        conn.read_request();
        conn.write("these bytes are no reply\r\n\r\n");
        conn.close();
    })]);
    let reply = site.ask("/once/x");
    assert_eq!(reply.status, 502);
    assert!(!reply.body.contains("these bytes"));
}

#[test]
fn an_endpoint_that_did_not_run_it_says_so_and_the_caller_may_come_back() {
    let site = Site::start(&[Desk::start(|_, conn| {
        while conn.read_request().is_some() {
            conn.write("HTTP/1.1 503 X\r\npeatdeck-not-run: 1\r\ncontent-length: 0\r\n\r\n");
        }
    })]);
    let reply = site.ask("/once/x");
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
}

#[test]
fn an_endpoints_own_failure_is_passed_on_unchanged() {
    let site = Site::start(&[Desk::start(|_, conn| {
        while let Some(request) = conn.read_request() {
            conn.write(&whole(&request.id(), 500, "no luck"));
        }
    })]);
    let reply = site.ask("/once/x");
    assert_eq!((reply.status, reply.body.as_str()), (500, "no luck"));
    assert_eq!(reply.header("peatdeck-seal").as_deref(), Some("s"));
}

#[test]
fn a_connection_is_used_again_unless_the_endpoint_closes_it() {
    let (tx, rx) = mpsc::channel();
    let desk = Desk::start(move |number, conn| {
        while let Some(request) = conn.read_request() {
            tx.send(number).unwrap();
            let answer = whole(&request.id(), 200, "x");
            let closing = answer.replace("peatdeck-seal", "connection: close\r\npeatdeck-seal");
            conn.write(if number == 0 { &answer } else { &closing });
        }
    });
    let site = Site::start(&[desk]);
    for _ in 0..3 {
        site.ask("/once/x");
    }
    let numbers: Vec<_> = rx.try_iter().collect();
    assert_eq!(numbers, [0, 0, 0]);
}

#[test]
fn a_caller_that_leaves_ends_the_call() {
    let (tx, rx) = mpsc::channel();
    let desk = Desk::start(move |_, conn| {
        conn.read_request().unwrap();
        tx.send("asked").unwrap();
        conn.read_to_end();
        tx.send("closed").unwrap();
    });
    let site = Site::start(&[desk]);
    let mut conn = crate::standins::Conn::open(site.relay.front);
    conn.write(&crate::standins::request("/once/x", ""));
    assert_eq!(rx.recv().unwrap(), "asked");
    drop(conn);
    assert_eq!(rx.recv_timeout(crate::standins::PATIENCE).unwrap(), "closed");
}

#[test]
fn a_senseless_idle_time_is_passed_over() {
    let site = Site::start(&[Desk::start(|_, conn| {
        while let Some(request) = conn.read_request() {
            let path = request.head.split(' ').nth(1).unwrap();
            let idle = format!("\r\nkeep-alive: timeout={}\r\n\r\n", &path["/once/".len()..]);
            conn.write(&whole(&request.id(), 200, "answer").replacen("\r\n\r\n", &idle, 1));
        }
    })]);
    for idle in ["-1", "nan", "inf", "1e300", "1e19", "x", "5"] {
        assert_eq!(site.ask(&format!("/once/{idle}")).body, "answer", "{idle}");
    }
}
