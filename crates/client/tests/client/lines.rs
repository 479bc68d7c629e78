#![allow(clippy::unwrap_used)]

use expect_test::{Expect, expect};
use peatdeck_client::lines::Lines;

fn check(chunks: &[&str], expected: Expect) {
    let mut lines = Lines::new(8);
    let mut seen = Vec::new();
    'chunks: for chunk in chunks {
        lines.push(chunk.as_bytes());
        loop {
            match lines.next_line() {
                Ok(Some(line)) => seen.push(String::from_utf8_lossy(line).into_owned()),
                Ok(None) => break,
                Err(error) => {
                    seen.push(format!("({error})"));
                    break 'chunks;
                }
            }
        }
    }
    if lines.has_partial_line() {
        seen.push("(partial)".to_owned());
    }
    expected.assert_eq(&seen.join(" "));
}

#[test]
fn complete_lines_are_returned_one_by_one() {
    check(&["a\nbc\n", "d\n"], expect!["a bc d"]);
}

#[test]
fn a_line_split_over_chunks_is_returned_once_complete() {
    check(&["a", "b", "c\nd", "e\n"], expect!["abc de"]);
}

#[test]
fn a_character_split_over_chunks_is_returned_complete() {
    let mut lines = Lines::new(8);
    lines.push(&"ŵ\n".as_bytes()[..1]);
    assert_eq!(lines.next_line(), Ok(None));
    lines.push(&"ŵ\n".as_bytes()[1..]);
    assert_eq!(lines.next_line(), Ok(Some("ŵ".as_bytes())));
}

#[test]
fn empty_lines_and_carriage_returns_are_dropped() {
    check(&["\n\r\n", "a\r\n \n"], expect!["a"]);
}

#[test]
fn a_last_line_without_a_line_end_is_partial() {
    check(&["a\nb"], expect!["a (partial)"]);
}

#[test]
fn a_line_as_long_as_the_limit_is_accepted() {
    check(&["12345678\n"], expect!["12345678"]);
}

#[test]
fn a_complete_line_over_the_limit_is_refused() {
    check(
        &["a\n123456789\nb\n"],
        expect![
            "a (a line is longer than 8 bytes; raise the limit or shorten the lines sent) (partial)"
        ],
    );
}

#[test]
fn a_line_without_end_over_the_limit_is_refused_early() {
    check(
        &["12345", "6789"],
        expect![
            "(a line is longer than 8 bytes; raise the limit or shorten the lines sent) (partial)"
        ],
    );
}
